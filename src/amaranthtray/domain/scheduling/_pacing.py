"""Slows filler tasks while they disturb serving tasks on the same host.

A filler uses only CPU time that other tasks leave. A serving task has a target for
its response time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunPhase
from .orders import PaceRun

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import Host, PlacedRun

SLOW_ABOVE_SHARE = 0.85
"""Part of a response-time target above which fillers slow down, well before a miss."""

SPEED_UP_BELOW_SHARE = 0.6
"""Part of a response-time target below which fillers may speed up."""

SPEED_UP_STEP_PERCENT = 10
"""Step by which speed is restored; small, as interference changes within seconds."""

SPEED_UP_EVERY_MS = 1_000
STOPPED_PERCENT = 0
INITIAL_PERCENT = 30
"""Initial speed of a filler beside serving tasks."""


def pace_fillers(state: SchedulerState) -> list[PaceRun]:
    """Returns orders that adapt the pace of fillers to the load of serving tasks."""
    orders: list[PaceRun] = []
    for host in state.hosts.values():
        fillers = [
            placed
            for placed in host.placed_runs()
            if placed.step.fills and placed.run.phase is RunPhase.RUNNING
        ]
        if not fillers:
            continue
        serving = list(host.serving_runs())
        if not serving and all(filler.run.pace >= 100 for filler in fillers):
            continue
        worst_share = max(
            (placed.run.load / placed.step.target_ms for placed in serving),
            default=0.0,
        )
        for placed in fillers:
            percent = _target_pace(
                state, host, placed, worst_share, is_alone=not serving
            )
            if percent != placed.run.pace:
                placed.run.pace = percent
                placed.run.paced_ms = state.now_ms
                orders.append(
                    PaceRun(host.info.id, placed.name, placed.run.number, percent)
                )
    return orders


def _target_pace(
    state: SchedulerState,
    host: Host,
    placed: PlacedRun,
    worst_share: float,
    *,
    is_alone: bool,
) -> int:
    """Returns the pace that a filler should have now, in percent."""
    run = placed.run
    if is_alone:
        return 100
    if run.paced_ms is None:
        return INITIAL_PERCENT
    if worst_share >= 1.0:
        return STOPPED_PERCENT
    if worst_share >= SLOW_ABOVE_SHARE:
        return run.pace // 2
    is_due = state.now_ms - run.paced_ms >= SPEED_UP_EVERY_MS
    if worst_share <= SPEED_UP_BELOW_SHARE and is_due and host.seen_ms > run.paced_ms:
        return min(100, run.pace + SPEED_UP_STEP_PERCENT)
    return run.pace
