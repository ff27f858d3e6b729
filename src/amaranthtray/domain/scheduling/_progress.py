"""Finds runs that do not get on, by what their hosts list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunPhase
from .messages import StopRun

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import Host, Placed

STUCK_MS = 2_500
"""A run whose share of work has not grown for so long stands still."""

STUCK_PAUSE_MS = 3_000
"""A host on which a run stood still gets no new ones for this long."""

MAX_SHUNNED_SHARE = 0.3
"""At most this part of the pool is shunned; if more stand still, the jobs do."""


def note_progress(state: SchedulerState, placed: Placed, percent: int) -> None:
    """Takes the share of its work that a run has done."""
    run = placed.run
    if percent != run.percent or run.progress_ms is None:
        run.progress_ms = state.now_ms
    run.percent = percent


def stop_stuck(state: SchedulerState) -> list[StopRun]:
    """Stops runs that stand still, so that they run elsewhere."""
    orders: list[StopRun] = []
    shunned = sum(host.avoid_until_ms > state.now_ms for host in state.hosts.values())
    for host in state.hosts.values():
        stuck = [placed for placed in host.placed() if _is_stuck(state, host, placed)]
        if not stuck:
            continue
        if host.avoid_until_ms <= state.now_ms:
            shunned += 1
            if shunned > max(1, MAX_SHUNNED_SHARE * len(state.hosts)):
                return orders
        host.avoid_until_ms = state.now_ms + STUCK_PAUSE_MS
        for placed in stuck:
            placed.run.phase, placed.run.settled_ms = RunPhase.STOPPING, None
            orders.append(StopRun(host.info.id, placed.name, placed.run.number))
    return orders


def _is_stuck(state: SchedulerState, host: Host, placed: Placed) -> bool:
    run, step = placed.run, placed.step
    if run.phase is not RunPhase.RUNNING or step.is_lasting or step.is_gang:
        return False
    if step.fills or run.pace < 100 or run.progress_ms is None:
        return False
    return host.seen_ms - run.progress_ms > STUCK_MS
