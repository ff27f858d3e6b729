"""How far a wave is in one pool, and when it should end."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ..budgets.rules import allowed_out
from ..configuration.model import WaveState
from ..ids import HostId, PoolName, WaveName
from ._situation import waiting_hosts
from .settings import ConductorSettings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..budgets.model import OutageLedger, OutHost
    from ..placement.view import PoolView, WaveTask

MIN_MEASURED = 3
"""Hosts that must have ended before an end is estimated."""


class EndUnknown(StrEnum):
    """Why no honest estimate of the end can be given."""

    NOT_MEASURED = "not_measured"
    PAUSED = "paused"
    ABORTED = "aborted"
    NO_ROOM = "no_room"
    HOSTS_OUT = "hosts_out"


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """A wave in one pool, or over several.

    Attributes:
        wave: The wave.
        pools: The pools summed up.
        done: Hosts maintained.
        active: Hosts draining or rebooting for it.
        waiting: Hosts that wait for their turn.
        unreachable: Hosts that wait because they are out by themselves.
        overdue: Hosts out for it much longer than expected, by name.
        end_ms: Estimated wall-clock end; none if it is unknown.
        end_unknown: Why it is unknown, none if it is known.
    """

    wave: WaveName
    pools: tuple[PoolName, ...]
    done: int
    active: int
    waiting: int
    unreachable: tuple[HostId, ...]
    overdue: tuple[HostId, ...]
    end_ms: int | None = None
    end_unknown: EndUnknown | None = None

    @property
    def is_complete(self) -> bool:
        """Returns whether nothing is left to do."""
        return not self.active and not self.waiting and not self.unreachable


def progress(
    ledger: OutageLedger,
    view: PoolView,
    wave: WaveName,
    *,
    wall_ms: int,
    settings: ConductorSettings | None = None,
) -> WaveProgress:
    """Returns the progress of a wave in one pool, from the stored ledger alone."""
    task = view.waves[wave]
    cfg = settings if settings is not None else ConductorSettings()
    own = [out for out in ledger.out.values() if out.wave == wave]
    done = ledger.wave_record(wave).done | (task.done_elsewhere & set(task.hosts))
    waiting = waiting_hosts(ledger, view, task)
    unreachable = tuple(
        host
        for host in task.hosts
        if host not in done and host in ledger.out and ledger.out[host].wave != wave
    )
    overdue = [out for out in own if wall_ms - out.since_ms >= cfg.overdue_ms]
    estimate = _end(ledger, view, task, own, overdue, waiting, unreachable, wall_ms)
    return WaveProgress(
        wave=wave,
        pools=(ledger.pool,),
        done=len(done),
        active=sum(out.location.host not in done for out in own),
        waiting=len(waiting),
        unreachable=unreachable,
        overdue=tuple(sorted(out.location.host for out in overdue)),
        end_ms=estimate if isinstance(estimate, int) else None,
        end_unknown=estimate if isinstance(estimate, EndUnknown) else None,
    )


def _end(
    ledger: OutageLedger,
    view: PoolView,
    task: WaveTask,
    own: list[OutHost],
    overdue: list[OutHost],
    waiting: list[HostId],
    unreachable: tuple[HostId, ...],
    wall_ms: int,
) -> int | EndUnknown:
    if not own and not waiting and not unreachable:
        return wall_ms
    if task.state is not WaveState.RUNNING:
        is_paused = task.state is WaveState.PAUSED
        return EndUnknown.PAUSED if is_paused else EndUnknown.ABORTED
    if unreachable or overdue:
        return EndUnknown.HOSTS_OUT
    log = ledger.wave_record(task.name)
    if len(log.done) < MIN_MEASURED:
        return EndUnknown.NOT_MEASURED
    mean_ms = log.took_ms // len(log.done)
    slots = _free_slots(ledger, view, own, mean_ms, wall_ms)
    if not slots:
        return EndUnknown.NO_ROOM
    for _ in waiting:
        heapq.heapreplace(slots, slots[0] + mean_ms)
    spread_ms = _turns_by_domain(waiting, view) * mean_ms
    return wall_ms + max(*slots, spread_ms, 0)


def _free_slots(
    ledger: OutageLedger, view: PoolView, own: list[OutHost], mean_ms: int, wall_ms: int
) -> list[int]:
    """Returns when each place of the budget that the wave can use becomes free."""
    others = ledger.count - len(own)
    size = len(view.members)
    usable = max(allowed_out(view.budget, size) - others, len(own))
    left = [max(mean_ms - (wall_ms - out.since_ms), 0) for out in own]
    slots = left + [0] * (usable - len(own))
    heapq.heapify(slots)
    return slots


def _turns_by_domain(waiting: list[HostId], view: PoolView) -> int:
    places = [view.members[host].location for host in waiting]
    zones = Counter(place.zone for place in places)
    racks = Counter(place.rack for place in places)
    per_zone = max(view.budget.max_out_per_zone, 1)
    per_rack = max(view.budget.max_out_per_rack, 1)
    turns = [-(-count // per_zone) for count in zones.values()]
    turns += [-(-count // per_rack) for count in racks.values()]
    return max(turns, default=0)


def combine(parts: Iterable[WaveProgress]) -> WaveProgress:
    """Returns the progress over all pools; its end is unknown if one of them is.

    Raises:
        ValueError: There are no parts.
    """
    listed = list(parts)
    if not listed:
        raise ValueError("no pool takes part in the wave")
    unknown = [part.end_unknown for part in listed if part.end_unknown is not None]
    ends = [part.end_ms for part in listed if part.end_ms is not None]
    return WaveProgress(
        wave=listed[0].wave,
        pools=tuple(pool for part in listed for pool in part.pools),
        done=sum(part.done for part in listed),
        active=sum(part.active for part in listed),
        waiting=sum(part.waiting for part in listed),
        unreachable=tuple(host for part in listed for host in part.unreachable),
        overdue=tuple(host for part in listed for host in part.overdue),
        end_ms=None if unknown else max(ends),
        end_unknown=unknown[0] if unknown else None,
    )
