"""Finds runs that make no progress according to their hosts' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunPhase
from .orders import StopRun

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import PlacedRun

STALL_MS = 2_500
"""Longest time without a change in reported progress before a run has stalled."""

STALL_PAUSE_MS = 3_000
"""Time for which a host on which a run stalled gets no new runs."""

MAX_AVOIDED_SHARE = 0.3
"""Maximum part of the pool to avoid; if more hosts stall, the jobs are at fault."""


def record_progress(state: SchedulerState, placed: PlacedRun, percent: int) -> None:
    """Records the reported progress of a run."""
    run = placed.run
    if percent != run.percent or run.progress_ms is None:
        run.progress_ms = state.now_ms
    run.percent = percent


def stop_stalled_runs(state: SchedulerState) -> list[StopRun]:
    """Stops stalled runs, so that their tasks start on other hosts."""
    orders: list[StopRun] = []
    avoided = sum(host.avoid_until_ms > state.now_ms for host in state.hosts.values())
    for host in state.hosts.values():
        before_ms = host.seen_ms - STALL_MS
        stalled = [
            placed
            for placed in host.placed_runs()
            if placed.run.progress_ms is not None
            and placed.run.progress_ms < before_ms
            and _may_stall(placed)
        ]
        if not stalled:
            continue
        if host.avoid_until_ms <= state.now_ms:
            avoided += 1
            if avoided > max(1, MAX_AVOIDED_SHARE * len(state.hosts)):
                return orders
        host.avoid_until_ms = state.now_ms + STALL_PAUSE_MS
        for placed in stalled:
            placed.run.phase, placed.run.confirmed_ms = RunPhase.STOPPING, None
            orders.append(StopRun(host.info.id, placed.name, placed.run.number))
    return orders


def _may_stall(placed: PlacedRun) -> bool:
    """Returns whether a run without progress has stalled."""
    run, step = placed.run, placed.step
    if run.phase is not RunPhase.RUNNING or step.is_lasting or step.is_gang:
        return False
    return not step.fills and run.pace >= 100
