"""Which hosts are taken out next: moves first, then waves, spread over domains."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..budgets.rules import allowed_out, try_take_out
from ..configuration.model import WaveState
from ..invariants.observations import OutCause
from ._situation import waiting_hosts

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..budgets.model import OutageLedger
    from ..budgets.rules import OutageOrder
    from ..ids import HostId
    from ._situation import Situation


def start_moves(ledger: OutageLedger, now: Situation) -> OutageLedger:
    """Enters hosts whose labels put them into another pool."""
    if not _has_room(ledger, now):
        return ledger
    waiting = [
        host
        for host, member in now.view.members.items()
        if member.desired != ledger.pool
        and not member.is_missing
        and host not in ledger.out
    ]
    orders = {
        host: now.order(OutCause.MOVING, target=now.view.members[host].desired)
        for host in waiting
    }
    turns = _by_work_left(waiting, now)
    return _start(ledger, turns, orders, now)


def start_waves(ledger: OutageLedger, now: Situation) -> OutageLedger:
    """Enters hosts of running waves as far as the budget allows."""
    for task in now.view.waves.values():
        if task.state is not WaveState.RUNNING or not _has_room(ledger, now):
            continue
        deferred = ledger.wave_record(task.name).deferred
        waiting = waiting_hosts(ledger, now.view, task)
        turns = _by_work_left(waiting, now)
        turns.sort(key=lambda host: (host in deferred, task.ranks[host]))
        order = now.order(OutCause.MAINTENANCE, wave=task.name)
        ledger = _start(ledger, turns, dict.fromkeys(turns, order), now)
    return ledger


def _start(
    ledger: OutageLedger,
    turns: list[HostId],
    orders: dict[HostId, OutageOrder],
    now: Situation,
) -> OutageLedger:
    starts = 0
    for host in turns:
        if starts == now.settings.max_starts or not _has_room(ledger, now):
            break
        taken = try_take_out(
            ledger,
            now.view.members[host].location,
            orders[host],
            budget=now.view.budget,
            size=now.size,
            now_ms=now.wall_ms,
        ).value_or(ledger)
        starts += taken is not ledger
        ledger = taken
    return ledger


def _has_room(ledger: OutageLedger, now: Situation) -> bool:
    return ledger.count < allowed_out(now.view.budget, now.size)


def _by_work_left(waiting: Collection[HostId], now: Situation) -> list[HostId]:
    """Returns the hosts from where most work is left first, then by name.

    The zone or rack with the most hosts left for its bound would end last.
    """
    if not waiting:
        return []
    places = {host: now.view.members[host].location for host in waiting}
    zones = Counter(place.zone for place in places.values())
    racks = Counter(place.rack for place in places.values())
    per_zone = max(now.view.budget.max_out_per_zone, 1)
    per_rack = max(now.view.budget.max_out_per_rack, 1)

    def turn(host: HostId) -> tuple[float, HostId]:
        place = places[host]
        left = max(zones[place.zone] / per_zone, racks[place.rack] / per_rack)
        return -left, host

    return sorted(waiting, key=turn)
