"""Finds the tasks of a lasting step that are away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunPhase
from .absence import AbsenceCause, AbsentTask, LastingRunStopped, StopReason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..jobs.model import TaskName
    from ..jobs.task import Run, Task
    from ._state import SchedulerState
    from .orders import StopRun

WORKING_PERCENT = 100

FRESH_REPORT_MS = 3_000
"""Maximum age of a report that shows a task as working; hosts hold a request for
two seconds while no run ends."""

MAX_STOP_MS = 1_000
"""Longest time that a stop takes; meanwhile its host reports the run as working."""

_CAUSES = {
    RunPhase.RESERVED: AbsenceCause.ORDERED,
    RunPhase.STARTING: AbsenceCause.ORDERED,
    RunPhase.STOPPING: AbsenceCause.STOPPING,
    RunPhase.UNCONFIRMED: AbsenceCause.UNCONFIRMED,
    RunPhase.UNANSWERED: AbsenceCause.ORDERED,
}


def absent_tasks(
    state: SchedulerState, name: TaskName, *, with_leaving: bool = True
) -> tuple[AbsentTask, ...]:
    """Returns the other tasks of a task's step that are not known to be working.

    Args:
        state: State of the scheduler.
        name: The task.
        with_leaving: Whether tasks that work on hosts about to leave count as away.
    """
    found = (_absence(state, number, task) for number, task in _others(state, name))
    return tuple(
        each
        for each in found
        if each is not None
        and (with_leaving or each.cause is not AbsenceCause.HOST_LEAVING)
    )


def has_stop_under_way(state: SchedulerState, name: TaskName) -> bool:
    """Returns whether another task of the step is being stopped on a host that stays.

    A stop that its host has accepted is complete after a second.
    """
    runs = (run for _, task in _others(state, name) for run in task.runs)
    for run in runs:
        host = state.hosts.get(run.host)
        if run.phase is not RunPhase.STOPPING or host is None:
            continue
        if host.info.is_draining or host.is_silent:
            continue
        accepted_ms = run.confirmed_ms
        if accepted_ms is None or state.now_ms - accepted_ms < MAX_STOP_MS:
            return True
    return False


def stop_report(
    state: SchedulerState, stop: StopRun, reason: StopReason
) -> list[LastingRunStopped]:
    """Returns a report of a stop if it takes a lasting task of an open job away."""
    job, name = state.jobs.get(stop.name.job), stop.name
    if job is None or job.task(name) is None or job.state.is_final:
        return []
    step = state.step_of(name)
    if not step.is_lasting:
        return []
    ages = [
        state.now_ms - host.seen_ms
        for _, task in _others(state, name)
        for run in task.runs
        if (host := state.hosts.get(run.host)) is not None
        and _run_absence(state, run) is None
    ]
    return [
        LastingRunStopped(
            stop.host,
            name,
            stop.number,
            reason,
            step.may_miss,
            absent_tasks(state, name),
            max(ages, default=0),
        )
    ]


def _others(state: SchedulerState, name: TaskName) -> Iterator[tuple[int, Task]]:
    tasks = state.jobs[name.job].tasks(name.occurrence, name.step)
    return ((n, task) for n, task in enumerate(tasks) if n != name.number)


def _absence(state: SchedulerState, number: int, task: Task) -> AbsentTask | None:
    """Returns why no run of a task is known to be working; None if one is."""
    absent = AbsentTask(number, AbsenceCause.NO_RUN)
    for run in task.runs:
        cause = _run_absence(state, run)
        if cause is None:
            return None
        host = state.hosts.get(run.host)
        age_ms = None if host is None else state.now_ms - host.seen_ms
        absent = AbsentTask(number, cause, run.host, age_ms)
    return absent


def _run_absence(state: SchedulerState, run: Run) -> AbsenceCause | None:
    """Returns why a run is not known to be working; None if it is."""
    if run.phase is not RunPhase.RUNNING:
        return _CAUSES[run.phase]
    if run.stop_tried_ms is not None:
        return AbsenceCause.STOPPING
    host = state.hosts.get(run.host)
    if host is None or state.now_ms - host.seen_ms >= FRESH_REPORT_MS:
        return AbsenceCause.REPORT_OUTDATED
    if host.first_seen_ms is None or state.now_ms - host.first_seen_ms < MAX_STOP_MS:
        # The last conductor may have ordered a stop that is not complete.
        return AbsenceCause.UNCONFIRMED
    if host.is_silent:
        return AbsenceCause.HOST_SILENT
    if run.percent < WORKING_PERCENT:
        return AbsenceCause.NOT_WORKING
    return AbsenceCause.HOST_LEAVING if host.info.is_draining else None
