"""Empties hosts that are to be maintained or moved, or that leave."""

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
    from .host import Host, Placed

PATIENCE_MS = 4_000
"""Runs that can't be resumed may end by themselves for so long."""

TAKEOVER_PAUSE_MS = 2_500
"""A new conductor moves no lasting task for so long: hosts list a run as at work until
a stop that the last conductor ordered is over, which takes a second."""

WORKING_PERCENT = 100

SEEN_MS = 3_000
"""A task counts as at work if its host listed it so lately; a look takes two seconds
while nothing ends."""


def vacate_hosts(state: SchedulerState) -> list[StopRun]:
    """Stops what may be stopped on hosts that are to be emptied."""
    orders: list[StopRun] = []
    for host in state.hosts.values():
        if host.info.id in state.to_vacate and host.vacate_since_ms is None:
            host.vacate_since_ms = state.now_ms
        elif host.info.id not in state.to_vacate:
            host.vacate_since_ms = None
        if host.vacate_since_ms is None and not host.info.is_draining:
            continue
        for placed in host.placed():
            if placed.run.phase is RunPhase.RUNNING and _may_stop(state, host, placed):
                placed.run.phase, placed.run.settled_ms = RunPhase.STOPPING, None
                orders.append(StopRun(host.info.id, placed.name, placed.run.number))
    return orders


def vacant_hosts(state: SchedulerState) -> frozenset[str]:
    """Returns the hosts that were to be emptied and are empty."""
    return frozenset(
        host.info.id
        for host in state.hosts.values()
        if host.vacate_since_ms is not None
        and host.born is not None
        and not host.placed()
        and not host.has_strays
    )


def _may_stop(state: SchedulerState, host: Host, placed: Placed) -> bool:
    step, job = placed.step, state.jobs[placed.name.job]
    if step.is_lasting:
        return _may_be_missed(state, host, job, placed)
    if host.info.is_draining:
        return step.is_checkpointing
    waited_ms = state.now_ms - (host.vacate_since_ms or state.now_ms)
    return step.is_checkpointing or waited_ms > PATIENCE_MS


def _may_be_missed(state: SchedulerState, host: Host, job: Job, placed: Placed) -> bool:
    """Returns whether a lasting task may be away while it goes to another host."""
    step, name = placed.step, placed.name
    if host.info.is_draining:
        return True
    if state.began_ms is None or state.now_ms < state.began_ms + TAKEOVER_PAUSE_MS:
        return False
    if step.may_miss and _away(state, job, placed) >= step.may_miss:
        return False
    hosts = [each for each in state.hosts.values() if each.is_open(state.now_ms)]
    return bool(place_each(step, StepKey(*name[:3]), [name.number], hosts))


def _away(state: SchedulerState, job: Job, placed: Placed) -> int:
    """Returns how many other tasks of the step are not surely at work."""
    name = placed.name
    tasks = job.tasks(name.occurrence, name.step)
    others = [task for number, task in enumerate(tasks) if number != name.number]
    return sum(not any(_is_at_work(state, run) for run in task.runs) for task in others)


def _is_at_work(state: SchedulerState, run: Run) -> bool:
    host = state.hosts.get(run.host)
    is_seen = host is not None and state.now_ms - host.seen_ms < SEEN_MS
    is_working = run.phase is RunPhase.RUNNING and run.percent >= WORKING_PERCENT
    return is_seen and is_working and host is not None and not host.is_silent
