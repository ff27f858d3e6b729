"""What a pool needs, for the duty that moves machines between pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources, StepKey
from ..upkeep.moves import PoolLoad
from .ranking import Outlook, rank

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ._state import SchedulerState

LATE_SHARE = 2
"""Of work that can't be in time any more, one part in so many counts."""


def pool_load(state: SchedulerState) -> PoolLoad:
    """Returns the need of running and of waiting tasks, and the hosts without any."""
    hosts = [host for host in state.hosts.values() if host.is_listed]
    size = max((host.info.capacity for host in hosts), default=NO_RESOURCES)
    need, late, unplaced = NO_RESOURCES, NO_RESOURCES, 0
    for host in hosts:
        need = need.plus(host.used)
    for job in state.active.values():
        if job.state.is_final:
            continue
        waiting = _waiting(state, job)
        unplaced = max(unplaced, _hosts_lacking(state, job, size))
        outlook = rank(job, state.queue_of(job), state.wall_ms).outlook
        if outlook is not Outlook.IN_TIME:
            late = late.plus(waiting)
        else:
            need = need.plus(waiting)
    need = need.plus(Resources(*(amount // LATE_SHARE for amount in late)))
    idle = tuple(
        host.info.id
        for host in hosts
        if host.is_open(state.now_ms) and not host.placed()
    )
    wanted = len(hosts) + unplaced if unplaced else 0
    return PoolLoad(need, size, idle, wanted)


def _hosts_lacking(state: SchedulerState, job: Job, size: Resources) -> int:
    """Returns the hosts for a step of the job that has waited in vain for too long."""
    lacking = 0
    for occurrence, number in job.open_steps(state.wall_ms):
        key, step = StepKey(job.spec.id, occurrence, number), job.spec.steps[number]
        if state.unplaced.is_due(key, step, state.now_ms):
            lacking = max(lacking, state.unplaced.hosts(key, step, size))
    return lacking


def _waiting(state: SchedulerState, job: Job) -> Resources:
    """Returns the need of a job's tasks that may start now."""
    need = NO_RESOURCES
    for occurrence, number in job.open_steps(state.wall_ms):
        tasks = job.tasks(occurrence, number)
        waiting = sum(task.is_waiting for task in tasks)
        need = need.plus(job.spec.steps[number].reserved.times(waiting))
    return need
