"""Selects the hosts to take out next, spread over zones and racks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..budgets.rules import allowed_out, count_unavailable, try_take_out
from ..configuration.model import WaveState
from ..invariants.observations import OutCause
from ._planning_context import waiting_hosts

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..budgets.model import OutageLedger
    from ..budgets.rules import OutageOrder
    from ..ids import HostId
    from ._planning_context import PlanningContext


def start_moves(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    """Starts to drain hosts whose labels assign them to another pool.

    A host of an evacuated zone stays where it is: it can replace no host, as it would
    get no work in the other pool either.
    """
    if not _has_budget_left(ledger, ctx):
        return ledger
    waiting = [
        host
        for host, member in ctx.view.members.items()
        if member.desired != ledger.pool
        and not member.is_missing
        and host not in ctx.view.evacuated
        and host not in ledger.out
    ]
    orders_by_host = {
        host: ctx.make_order(OutCause.MOVING, target=ctx.view.members[host].desired)
        for host in waiting
    }
    candidates = _by_remaining_work(waiting, ctx)
    return _start(ledger, candidates, orders_by_host, ctx)


def start_waves(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    """Starts to drain hosts of running waves as far as the budget allows.

    A host whose long drain was cancelled before goes last in its wave.
    """
    for task in ctx.view.waves.values():
        if task.state is not WaveState.RUNNING or not _has_budget_left(ledger, ctx):
            continue
        deferred = ledger.wave_record(task.name).deferred
        waiting = waiting_hosts(ledger, ctx.view, task)
        candidates = _by_remaining_work(waiting, ctx)
        candidates.sort(key=lambda host: (host in deferred, task.ranks[host]))
        order = ctx.make_order(OutCause.MAINTENANCE, wave=task.name)
        ledger = _start(ledger, candidates, dict.fromkeys(candidates, order), ctx)
    return ledger


def _start(
    ledger: OutageLedger,
    candidates: list[HostId],
    orders_by_host: dict[HostId, OutageOrder],
    ctx: PlanningContext,
) -> OutageLedger:
    starts = 0
    for host in candidates:
        if starts == ctx.settings.max_starts or not _has_budget_left(ledger, ctx):
            break
        updated = try_take_out(
            ledger,
            ctx.view.members[host].location,
            orders_by_host[host],
            budget=ctx.view.budget,
            size=ctx.pool_size,
            now_ms=ctx.wall_ms,
            evacuated=ctx.view.evacuated,
        ).value_or(ledger)
        starts += updated is not ledger
        ledger = updated
    return ledger


def _has_budget_left(ledger: OutageLedger, ctx: PlanningContext) -> bool:
    """Returns whether another host may be taken out.

    A member that is evacuated and not out yet does not need further budget.
    """
    unavailable = count_unavailable(ledger, ctx.view.evacuated)
    unavailable -= not ctx.view.evacuated <= ledger.out.keys()
    return unavailable < allowed_out(ctx.view.budget, ctx.pool_size)


def _by_remaining_work(
    waiting: Collection[HostId], ctx: PlanningContext
) -> list[HostId]:
    """Returns the hosts ordered by the remaining work of their zone and rack.

    The zone or rack with the most waiting hosts per concurrent drain that its budget
    allows would finish last, so its hosts go first; equal hosts are ordered by name.
    """
    if not waiting:
        return []
    locations = {host: ctx.view.members[host].location for host in waiting}
    zones = Counter(location.zone for location in locations.values())
    racks = Counter(location.rack for location in locations.values())
    per_zone = max(ctx.view.budget.max_out_per_zone, 1)
    per_rack = max(ctx.view.budget.max_out_per_rack, 1)

    def sort_key(host: HostId) -> tuple[float, HostId]:
        location = locations[host]
        remaining = max(
            zones[location.zone] / per_zone, racks[location.rack] / per_rack
        )
        return -remaining, host

    return sorted(waiting, key=sort_key)
