"""Decisions on evacuated zones: no starts there, progress, and the return of load.

The load that this addresses: an operator needs a zone empty of new work within
seconds, while placements, held starts and queued orders for it are under way.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..jobs.model import Resources, StepKey
from ..jobs.task import RunPhase
from ._evacuation_moves import SETTLE_MS, move_runs, run_kind
from .evacuation import (
    EvacuationHosts,
    EvacuationProgress,
    RunKind,
    StartWithheld,
)
from .orders import StartRun

if TYPE_CHECKING:
    from ..ids import ZoneId
    from ..jobs.job import Job
    from ..jobs.model import TaskName
    from ._state import SchedulerState
    from .messages import Effect

CHECK_EVERY_MS = 200
"""Time between checks of the runs of evacuated zones; a stop and the start elsewhere
take longer."""

REPORT_EVERY_MS = 1_000

REFILL_STEP_MS = 1_000
"""Time between the steps in which a host that may have become cold is loaded."""

REFILL_PERCENT = (25, 50, 75)
"""Share of its capacity that a host accepts in each step; all of it after the last."""


def apply_zones(state: SchedulerState, zones: frozenset[ZoneId]) -> None:
    """Applies the set of evacuated zones to the hosts.

    Hosts of a zone whose evacuation was too short to move a run are not cold.
    """
    known = state.evacuation
    for zone in zones - known.zones:
        known.since_ms[zone] = state.now_ms
    for zone in known.zones - zones:
        if state.now_ms - known.since_ms.pop(zone) >= SETTLE_MS:
            known.ended_ms[zone] = state.now_ms
    known.zones = zones
    mark_hosts(state)


def mark_hosts(state: SchedulerState) -> None:
    """Marks the hosts of evacuated zones, also those that have just been listed."""
    for host in state.hosts.values():
        host.is_evacuated = host.info.zone in state.evacuation.zones


def limit_loads(state: SchedulerState) -> None:
    """Limits the load of hosts whose evacuation has just ended, in steps."""
    ended_ms = state.evacuation.ended_ms
    if not ended_ms:
        return
    steps = {
        zone: (state.now_ms - since_ms) // REFILL_STEP_MS
        for zone, since_ms in ended_ms.items()
    }
    for host in state.hosts.values():
        step = steps.get(host.info.zone, len(REFILL_PERCENT))
        host.withheld = _withheld(host.info.capacity, step)
    for zone, step in steps.items():
        if step >= len(REFILL_PERCENT):
            del ended_ms[zone]


def _withheld(capacity: Resources, step: int) -> Resources | None:
    if step >= len(REFILL_PERCENT):
        return None
    percent = REFILL_PERCENT[step]
    return Resources(*(amount - amount * percent // 100 for amount in capacity))


def withhold_starts(
    state: SchedulerState, effects: list[Effect]
) -> tuple[list[Effect], list[StartWithheld]]:
    """Drops the starts on evacuated hosts that waited for their records.

    A gang is dropped as a whole, as its other members could not work.

    Returns:
        The other effects, and a report for each dropped start.
    """
    if not state.evacuation.zones:
        return effects, []
    starts = [effect for effect in effects if isinstance(effect, StartRun)]
    evacuated = {start for start in starts if _is_evacuated(state, start)}
    gangs = {
        StepKey(*start.name[:3])
        for start in evacuated
        if state.step_of(start.name).is_gang
    }
    kept: list[Effect] = []
    dropped: list[StartWithheld] = []
    for effect in effects:
        run = state.find_run(effect) if isinstance(effect, StartRun) else None
        if (
            not isinstance(effect, StartRun)
            or run is None
            or run.phase is not RunPhase.RESERVED
            or (effect not in evacuated and StepKey(*effect.name[:3]) not in gangs)
        ):
            kept.append(effect)
            continue
        state.drop_run(effect.name, run)
        dropped.append(StartWithheld(effect.host, effect.name, effect.number))
    return kept, dropped


def _is_evacuated(state: SchedulerState, start: StartRun) -> bool:
    host = state.hosts.get(start.host)
    return host is not None and host.is_evacuated and start.name.job in state.jobs


def evacuate(state: SchedulerState) -> list[Effect]:
    """Moves runs out of evacuated zones and reports what remains there.

    It is called after the placement of waiting tasks, so that only room which these
    can't use counts.
    """
    known = state.evacuation
    if not known.zones and not known.lacks_hosts:
        known.moving.clear()
        known.tried_ms.clear()
        return []
    if known.checked_ms is not None and (
        state.now_ms - known.checked_ms < CHECK_EVERY_MS
    ):
        return []
    known.checked_ms = state.now_ms
    return [*move_runs(state), *_report_hosts(state), *_report_progress(state)]


def stays_in_zone(state: SchedulerState, job: Job, name: TaskName) -> bool:
    """Returns whether all runs of a task are left to end in an evacuated zone.

    They need no host elsewhere, so a pool asks for none for them.
    """
    if not state.evacuation.zones or run_kind(state.step_of(name)) is not RunKind.OTHER:
        return False
    task = job.task(name)
    hosts = [state.hosts.get(run.host) for run in task.runs] if task else []
    return all(host is not None and host.is_evacuated for host in hosts)


def _report_hosts(state: SchedulerState) -> list[EvacuationHosts]:
    """Reports when the pool loses its last host outside the zones or has one again."""
    listed = [host for host in state.hosts.values() if host.is_listed]
    lacks_hosts = bool(listed) and all(host.is_evacuated for host in listed)
    if lacks_hosts == state.evacuation.lacks_hosts:
        return []
    state.evacuation.lacks_hosts = lacks_hosts
    return [EvacuationHosts(has_hosts=not lacks_hosts)]


def _report_progress(state: SchedulerState) -> list[EvacuationProgress]:
    """Reports, once a second, the runs that remain in each zone."""
    known = state.evacuation
    if known.reported_ms is not None and (
        state.now_ms - known.reported_ms < REPORT_EVERY_MS
    ):
        return []
    remaining: dict[ZoneId, Counter[RunKind]] = {
        zone: Counter() for zone in known.zones
    }
    for host in state.hosts.values():
        if host.is_evacuated:
            kinds = (run_kind(placed.step) for placed in host.placed_runs())
            remaining[host.info.zone].update(kinds)
    known.reported_ms = state.now_ms
    return [
        EvacuationProgress(
            zone,
            dict(counts),
            len(known.moving),
            state.now_ms - known.since_ms[zone],
        )
        for zone, counts in sorted(remaining.items())
        if counts
    ]
