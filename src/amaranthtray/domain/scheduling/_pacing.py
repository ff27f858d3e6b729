"""Slows tasks that fill a host while they disturb tasks that serve there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunPhase
from .messages import PaceRun

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import Host, Placed

SLOW_ABOVE = 0.85
"""Part of the target at which what fills is slowed, well before it is missed."""

SPEED_UP_BELOW = 0.6
"""Part of the target below which what fills may go faster."""

SPEED_UP_PERCENT = 10
"""Steps back are small: disturbance changes within seconds."""

SPEED_UP_EVERY_MS = 1_000
STOPPED_PERCENT = 0
CAREFUL_PERCENT = 30
"""A task that fills begins at this speed beside tasks that serve."""


def pace_fillers(state: SchedulerState) -> list[PaceRun]:
    """Returns orders that bring the pace of what fills in line with what serves."""
    orders: list[PaceRun] = []
    for host in state.hosts.values():
        fillers = [
            placed
            for placed in host.placed()
            if placed.step.fills and placed.run.phase is RunPhase.RUNNING
        ]
        serving = list(host.serving())
        if not fillers or not (serving or any(f.run.pace < 100 for f in fillers)):
            continue
        worst = max(
            (placed.run.load / placed.step.target_ms for placed in serving),
            default=0.0,
        )
        for placed in fillers:
            percent = _wanted(state, host, placed, worst, is_alone=not serving)
            if percent != placed.run.pace:
                placed.run.pace = percent
                placed.run.paced_ms = state.now_ms
                orders.append(
                    PaceRun(host.info.id, placed.name, placed.run.number, percent)
                )
    return orders


def _wanted(
    state: SchedulerState, host: Host, placed: Placed, worst: float, *, is_alone: bool
) -> int:
    """Returns the pace that a run should have now."""
    run = placed.run
    if is_alone:
        return 100
    if run.paced_ms is None:
        return CAREFUL_PERCENT
    if worst >= 1.0:
        return STOPPED_PERCENT
    if worst >= SLOW_ABOVE:
        return run.pace // 2
    is_due = state.now_ms - run.paced_ms >= SPEED_UP_EVERY_MS
    if worst <= SPEED_UP_BELOW and is_due and host.seen_ms > run.paced_ms:
        return min(100, run.pace + SPEED_UP_PERCENT)
    return run.pace
