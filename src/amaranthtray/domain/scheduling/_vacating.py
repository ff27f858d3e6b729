"""Empties hosts before maintenance, a move to another pool, or their departure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import StepKey
from ..jobs.task import RunPhase
from .messages import StopRun
from .placement import place_each

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ..jobs.task import Run
    from ._state import SchedulerState
    from .host import Host, PlacedRun

VACATE_GRACE_MS = 4_000
"""Time in which runs without checkpoints may end by themselves."""

TAKEOVER_PAUSE_MS = 2_500
"""A new conductor moves no lasting task for this time: hosts report a run as working
until a stop that the last conductor ordered is complete, which takes a second."""

WORKING_PERCENT = 100

FRESH_REPORT_MS = 3_000
"""Maximum age of a report that shows a task as working; hosts hold a request for
two seconds while no run ends."""


def vacate_hosts(state: SchedulerState) -> list[StopRun]:
    """Returns orders to stop the runs that may leave hosts to be emptied."""
    orders: list[StopRun] = []
    for host in state.hosts.values():
        if host.info.id in state.to_vacate and host.vacate_since_ms is None:
            host.vacate_since_ms = state.now_ms
        elif host.info.id not in state.to_vacate:
            host.vacate_since_ms = None
        if host.vacate_since_ms is None and not host.info.is_draining:
            continue
        for placed in host.placed_runs():
            if placed.run.phase is RunPhase.RUNNING and _may_stop(state, host, placed):
                placed.run.phase, placed.run.confirmed_ms = RunPhase.STOPPING, None
                orders.append(StopRun(host.info.id, placed.name, placed.run.number))
    return orders


def vacant_hosts(state: SchedulerState) -> frozenset[str]:
    """Returns the hosts to be emptied that are empty."""
    return frozenset(
        host.info.id
        for host in state.hosts.values()
        if host.vacate_since_ms is not None
        and host.born is not None
        and not host.placed_runs()
        and not host.has_unknown_runs
    )


def _may_stop(state: SchedulerState, host: Host, placed: PlacedRun) -> bool:
    """Returns whether a run on a host to be emptied may be stopped now."""
    step, job = placed.step, state.jobs[placed.name.job]
    if step.is_lasting:
        return _may_move_lasting(state, host, job, placed)
    if host.info.is_draining:
        return step.is_checkpointing
    waited_ms = state.now_ms - (host.vacate_since_ms or state.now_ms)
    return step.is_checkpointing or waited_ms > VACATE_GRACE_MS


def _may_move_lasting(
    state: SchedulerState, host: Host, job: Job, placed: PlacedRun
) -> bool:
    """Returns whether a lasting task may stop now to move to another host."""
    step, name = placed.step, placed.name
    if host.info.is_draining:
        return True
    if (
        state.first_planned_ms is None
        or state.now_ms < state.first_planned_ms + TAKEOVER_PAUSE_MS
    ):
        return False
    if step.may_miss and unavailable_count(state, job, placed) >= step.may_miss:
        return False
    hosts = [each for each in state.hosts.values() if each.accepts_runs(state.now_ms)]
    return bool(place_each(step, StepKey(*name[:3]), [name.number], hosts))


def unavailable_count(state: SchedulerState, job: Job, placed: PlacedRun) -> int:
    """Returns how many other tasks of the step are not known to be working."""
    name = placed.name
    tasks = job.tasks(name.occurrence, name.step)
    others = [task for number, task in enumerate(tasks) if number != name.number]
    return sum(not any(_is_working(state, run) for run in task.runs) for task in others)


def _is_working(state: SchedulerState, run: Run) -> bool:
    host = state.hosts.get(run.host)
    is_fresh = host is not None and state.now_ms - host.seen_ms < FRESH_REPORT_MS
    is_working = run.phase is RunPhase.RUNNING and run.percent >= WORKING_PERCENT
    return is_fresh and is_working and host is not None and not host.is_silent
