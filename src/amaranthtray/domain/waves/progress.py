"""Progress of maintenance waves and the estimate of their end."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ..budgets.rules import allowed_out, count_unavailable
from ..configuration.model import WaveState
from ..ids import HostId, PoolName, WaveName
from ._planning_context import waiting_hosts
from .settings import ConductorSettings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..budgets.model import OutageLedger, OutHost
    from ..placement.view import PoolView, WaveTask

MIN_COMPLETED_HOSTS = 3
"""Completed hosts needed before the end of a wave is estimated."""


class EndUnknown(StrEnum):
    """Why the end of a wave cannot be estimated."""

    NOT_MEASURED = "not_measured"
    PAUSED = "paused"
    ABORTED = "aborted"
    NO_ROOM = "no_room"
    EVACUATION = "evacuation"
    HOSTS_OUT = "hosts_out"


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Progress of a wave in one pool or over several.

    Attributes:
        wave: The wave.
        pools: The pools included.
        done: Number of hosts maintained.
        active: Number of hosts draining or rebooting for the wave.
        waiting: Number of hosts not yet taken out.
        unreachable: Hosts that cannot be taken out because they are out already, for
            another cause.
        overdue: Hosts out for the wave longer than ``overdue_ms``, ordered by name.
        end_ms: Estimated wall-clock time of the end; ``None`` if it is unknown.
        end_unknown: Why the end is unknown; ``None`` if it is known.
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
        """Returns whether every host of the wave is maintained."""
        return not self.active and not self.waiting and not self.unreachable


def wave_progress(
    ledger: OutageLedger,
    view: PoolView,
    wave: WaveName,
    *,
    wall_ms: int,
    settings: ConductorSettings | None = None,
) -> WaveProgress:
    """Returns the progress of a wave in one pool, computed from its stored ledger."""
    task = view.waves[wave]
    limits = settings if settings is not None else ConductorSettings()
    wave_hosts = [out for out in ledger.out.values() if out.wave == wave]
    done = ledger.wave_record(wave).done | (task.done_elsewhere & set(task.hosts))
    waiting = waiting_hosts(ledger, view, task)
    unreachable = tuple(
        host
        for host in task.hosts
        if host not in done and host in ledger.out and ledger.out[host].wave != wave
    )
    overdue = [out for out in wave_hosts if wall_ms - out.since_ms >= limits.overdue_ms]
    estimate = _estimate_end(
        ledger, view, task, wave_hosts, overdue, waiting, unreachable, wall_ms
    )
    return WaveProgress(
        wave=wave,
        pools=(ledger.pool,),
        done=len(done),
        active=sum(out.location.host not in done for out in wave_hosts),
        waiting=len(waiting),
        unreachable=unreachable,
        overdue=tuple(sorted(out.location.host for out in overdue)),
        end_ms=estimate if isinstance(estimate, int) else None,
        end_unknown=estimate if isinstance(estimate, EndUnknown) else None,
    )


def _estimate_end(
    ledger: OutageLedger,
    view: PoolView,
    task: WaveTask,
    wave_hosts: list[OutHost],
    overdue: list[OutHost],
    waiting: list[HostId],
    unreachable: tuple[HostId, ...],
    wall_ms: int,
) -> int | EndUnknown:
    if not wave_hosts and not waiting and not unreachable:
        return wall_ms
    if task.state is not WaveState.RUNNING:
        is_paused = task.state is WaveState.PAUSED
        return EndUnknown.PAUSED if is_paused else EndUnknown.ABORTED
    if unreachable or overdue:
        return EndUnknown.HOSTS_OUT
    unavailable = count_unavailable(ledger, view.evacuated)
    if view.evacuated and unavailable > allowed_out(view.budget, len(view.members)):
        return EndUnknown.EVACUATION
    record = ledger.wave_record(task.name)
    if len(record.done) < MIN_COMPLETED_HOSTS:
        return EndUnknown.NOT_MEASURED
    mean_ms = record.took_ms // len(record.done)
    slots = _free_slots(ledger, view, wave_hosts, mean_ms, wall_ms)
    if not slots:
        return EndUnknown.NO_ROOM
    for _ in waiting:
        heapq.heapreplace(slots, slots[0] + mean_ms)
    domain_bound_ms = _rounds_by_domain(waiting, view) * mean_ms
    return wall_ms + max(*slots, domain_bound_ms, 0)


def _free_slots(
    ledger: OutageLedger,
    view: PoolView,
    wave_hosts: list[OutHost],
    mean_ms: int,
    wall_ms: int,
) -> list[int]:
    """Returns a heap of the delays until each budget slot open to the wave is free."""
    others = count_unavailable(ledger, view.evacuated) - len(wave_hosts)
    size = len(view.members)
    usable = max(allowed_out(view.budget, size) - others, len(wave_hosts))
    left = [max(mean_ms - (wall_ms - out.since_ms), 0) for out in wave_hosts]
    slots = left + [0] * (usable - len(wave_hosts))
    heapq.heapify(slots)
    return slots


def _rounds_by_domain(waiting: list[HostId], view: PoolView) -> int:
    places = [view.members[host].location for host in waiting]
    zones = Counter(place.zone for place in places)
    racks = Counter(place.rack for place in places)
    per_zone = max(view.budget.max_out_per_zone, 1)
    per_rack = max(view.budget.max_out_per_rack, 1)
    rounds = [-(-count // per_zone) for count in zones.values()]
    rounds += [-(-count // per_rack) for count in racks.values()]
    return max(rounds, default=0)


def combine_progress(parts: Iterable[WaveProgress]) -> WaveProgress:
    """Returns the progress over all pools; its end is unknown if any pool's end is.

    Raises:
        ValueError: ``parts`` is empty.
    """
    pools_progress = list(parts)
    if not pools_progress:
        raise ValueError("no pool has hosts of the wave")
    unknown = [
        part.end_unknown for part in pools_progress if part.end_unknown is not None
    ]
    ends = [part.end_ms for part in pools_progress if part.end_ms is not None]
    return WaveProgress(
        wave=pools_progress[0].wave,
        pools=tuple(pool for part in pools_progress for pool in part.pools),
        done=sum(part.done for part in pools_progress),
        active=sum(part.active for part in pools_progress),
        waiting=sum(part.waiting for part in pools_progress),
        unreachable=tuple(host for part in pools_progress for host in part.unreachable),
        overdue=tuple(host for part in pools_progress for host in part.overdue),
        end_ms=None if unknown else max(ends),
        end_unknown=unknown[0] if unknown else None,
    )
