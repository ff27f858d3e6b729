"""What a host's lists mean for the runs that may be there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunOutcome, RunPhase
from ._progress import note_progress
from .messages import Effect, HostReport, RunReport, StopRun

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import Host, Placed

FAILURE_PAUSE_MS = 200
"""A task that failed waits so long, so that a bad host can be told from a bad job."""


def take_report(state: SchedulerState, host: Host, report: HostReport) -> list[Effect]:
    """Brings the board up to a host's answer; returns orders to stop strays."""
    effects: list[Effect] = []
    if host.born != report.born:
        _reborn(host)
    host.born = report.born
    host.is_silent = False
    host.seen_ms = state.now_ms
    _take_ends(state, host, report)
    running = {(run.name, run.number): run for run in report.running}
    for placed in host.placed():
        listed = running.pop((placed.name, placed.run.number), None)
        if listed is not None:
            _running(state, placed, listed, report)
            if _is_needless(state, placed):
                placed.run.phase, placed.run.settled_ms = RunPhase.STOPPING, None
                effects.append(StopRun(host.info.id, placed.name, placed.run.number))
        elif _is_surely_gone(placed, report):
            state.drop(placed.name, placed.run)
    host.has_strays = bool(running)
    effects += [StopRun(host.info.id, name, number) for name, number in running]
    return effects


def _reborn(host: Host) -> None:
    """Doubts all runs: orders to the former life are fenced off from this one."""
    host.acknowledged = 0
    for placed in host.placed():
        if placed.run.phase is not RunPhase.RESERVED:
            placed.run.phase, placed.run.settled_ms = RunPhase.UNSURE, None


def _take_ends(state: SchedulerState, host: Host, report: HostReport) -> None:
    for end in report.ends:
        placed = host.find(end.name, end.number)
        if placed is None:
            continue
        if placed.run.phase is RunPhase.RESERVED:
            continue
        task = state.jobs[end.name.job].task(end.name)
        if task is not None and end.how is RunOutcome.FAILED:
            task.not_before_ms = state.now_ms + FAILURE_PAUSE_MS
        state.end(end.name, placed.run, end.how, end.saved or placed.run.saved)
    if report.ends:
        state.acknowledge(host, max(end.sequence for end in report.ends))


def _running(
    state: SchedulerState, placed: Placed, listed: RunReport, report: HostReport
) -> None:
    run = placed.run
    run.saved, run.load = listed.saved, listed.load
    note_progress(state, placed, listed.percent)
    if run.phase in (RunPhase.STARTING, RunPhase.UNSURE):
        run.phase = RunPhase.RUNNING
        run.settled_ms = report.received_ms


def _is_needless(state: SchedulerState, placed: Placed) -> bool:
    """Returns whether a run goes on though its task or its job is over."""
    is_running = placed.run.phase is RunPhase.RUNNING
    return is_running and state.jobs[placed.name.job].is_over(placed.name)


def _is_surely_gone(placed: Placed, report: HostReport) -> bool:
    """Returns whether lists without the run prove that it is not there."""
    run = placed.run
    match run.phase:
        case RunPhase.UNSURE:
            return True
        case RunPhase.RUNNING | RunPhase.STOPPING:
            return run.settled_ms is not None and run.settled_ms < report.sent_ms
    return False
