"""Finds runs that make no progress according to their hosts' reports.

Hosts report the completed part of a run in whole percent, so a run of an hour shows
nothing new for 36 s. How long a run may show nothing follows from its own pace, before
its first change from the expected run time. A task that shows nothing on any host gets
longer each time, so that it ends also if its hosts never report its progress.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunPhase
from .orders import StopRun
from .run_time_events import RunStalled

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import Host, PlacedRun

STALL_MS = 2_500
"""Time without a change in reported progress that no run is stopped for."""

PACE_FACTOR = 4
"""Multiple of the time that a run takes for a percent; it may slow down meanwhile, and
a declared run time may be too short."""

UNSUSPECTED_STALLS = 2
"""Stalls of a task that may be the fault of its hosts. Each further one doubles the
time that it gets, and leaves its host in use."""

MAX_DOUBLINGS = 20
"""Bounds the time that a task gets; it is then about a month."""

STALL_PAUSE_MS = 3_000
"""Time for which a host on which a run stalled gets no new runs."""

MAX_AVOIDED_SHARE = 0.3
"""Maximum part of the pool to avoid; if more hosts stall, the jobs are at fault."""


def record_progress(state: SchedulerState, placed: PlacedRun, percent: int) -> None:
    """Records the reported progress of a run."""
    run = placed.run
    if run.progress_ms is None:
        run.progress_ms = state.now_ms
    elif percent != run.percent:
        if percent > run.percent:
            took_ms = state.now_ms - run.progress_ms
            run.percent_ms = took_ms / (percent - run.percent)
        run.progress_ms = state.now_ms
    run.percent = percent


def stop_stalled_runs(state: SchedulerState) -> list[StopRun | RunStalled]:
    """Stops stalled runs, so that their tasks start on other hosts."""
    effects: list[StopRun | RunStalled] = []
    avoided = sum(host.avoid_until_ms > state.now_ms for host in state.hosts.values())
    for host in state.hosts.values():
        stalled = [
            each for each in host.placed_runs() if _has_stalled(state, host, each)
        ]
        if any(_is_host_suspected(state, each) for each in stalled):
            if host.avoid_until_ms <= state.now_ms:
                avoided += 1
                if avoided > max(1, MAX_AVOIDED_SHARE * len(state.hosts)):
                    return effects
            host.avoid_until_ms = state.now_ms + STALL_PAUSE_MS
        for placed in stalled:
            effects += _stop(state, host, placed)
    return effects


def _has_stalled(state: SchedulerState, host: Host, placed: PlacedRun) -> bool:
    """Returns whether a run has shown no progress for too long."""
    progress_ms = placed.run.progress_ms
    # Most runs are younger than the shortest limit, which is checked first.
    if progress_ms is None or host.seen_ms - progress_ms <= STALL_MS:
        return False
    if not _may_stall(placed):
        return False
    return host.seen_ms - progress_ms > stall_limit_ms(state, placed)


def stall_limit_ms(state: SchedulerState, placed: PlacedRun) -> float:
    """Returns how long a run may show no progress."""
    name, _, run = placed
    percent_ms = run.percent_ms
    if percent_ms is None:
        spec = state.jobs[name.job].spec
        percent_ms = state.run_times.of_step(spec, name.step).expected_ms / 100
    doublings = max(_count_stalls(state, placed) - UNSUSPECTED_STALLS + 1, 0)
    longer = 1 << min(doublings, MAX_DOUBLINGS)
    return max(STALL_MS, PACE_FACTOR * percent_ms) * longer


def _count_stalls(state: SchedulerState, placed: PlacedRun) -> int:
    task = state.jobs[placed.name.job].task(placed.name)
    return task.stalls if task is not None else 0


def _is_host_suspected(state: SchedulerState, placed: PlacedRun) -> bool:
    """Returns whether a stall may be the host's fault, and not its task's."""
    return _count_stalls(state, placed) < UNSUSPECTED_STALLS


def _stop(
    state: SchedulerState, host: Host, placed: PlacedRun
) -> list[StopRun | RunStalled]:
    name, _, run = placed
    limit_ms, job = stall_limit_ms(state, placed), state.jobs[name.job]
    task = job.task(name)
    if task is not None:
        task.stalls += 1
        state.mark_dirty(job)
    still_ms = host.seen_ms - (run.progress_ms or 0)
    run.phase, run.confirmed_ms = RunPhase.STOPPING, None
    stalls = _count_stalls(state, placed)
    times_ms = (still_ms, round(limit_ms))
    return [
        StopRun(host.info.id, name, run.number),
        RunStalled(name, run.number, run.host, run.percent, *times_ms, stalls),
    ]


def _may_stall(placed: PlacedRun) -> bool:
    """Returns whether a run without progress has stalled."""
    run, step = placed.run, placed.step
    if run.phase is not RunPhase.RUNNING or step.is_lasting or step.is_gang:
        return False
    return not step.fills and run.pace >= 100
