"""The load of a pool, for the duty that moves machines between pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources, StepKey
from ..upkeep.moves import PoolLoad
from ._evacuation import stays_in_zone
from .ranking import Timeliness, rank

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ._state import SchedulerState


def pool_load(state: SchedulerState) -> PoolLoad:
    """Returns the need of running and waiting tasks, and the idle hosts.

    Evacuated hosts count only for the size of a host, where the pool has no other.
    """
    listed = [host for host in state.hosts.values() if host.is_listed]
    hosts = [host for host in listed if not host.is_evacuated]
    size = max((host.info.capacity for host in hosts or listed), default=NO_RESOURCES)
    need, late, unplaced = NO_RESOURCES, NO_RESOURCES, 0
    for job in state.active.values():
        wanted = _running_need(state, job)
        if not job.state.is_final:
            wanted = wanted.plus(_waiting_need(state, job))
            unplaced = max(unplaced, _hosts_for_unplaced(state, job, size))
        timeliness = rank(
            job, state.queue_of(job), state.wall_ms, run_times=state.run_times
        ).timeliness
        if timeliness is Timeliness.IN_TIME:
            need = need.plus(wanted)
        else:
            late = late.plus(wanted)
    idle = tuple(
        host.info.id
        for host in hosts
        if host.accepts_runs(state.now_ms) and not host.placed_runs()
    )
    wanted_hosts = len(hosts) + unplaced if unplaced else 0
    return PoolLoad(need, size, idle, wanted_hosts, late)


def _hosts_for_unplaced(state: SchedulerState, job: Job, size: Resources) -> int:
    """Returns how many hosts the job's overdue unplaced steps need at most."""
    lacking = 0
    for occurrence, number in job.open_steps(state.wall_ms):
        key, step = StepKey(job.spec.id, occurrence, number), job.spec.steps[number]
        if state.unplaced.is_overdue(key, step, state.now_ms):
            lacking = max(lacking, state.unplaced.hosts_needed(key, step, size))
    return lacking


def _running_need(state: SchedulerState, job: Job) -> Resources:
    """Returns the total need of a job's runs that may be on a host."""
    need = NO_RESOURCES
    for name, _ in job.runs():
        if not stays_in_zone(state, job, name):
            need = need.plus(job.spec.steps[name.step].reserved)
    return need


def _waiting_need(state: SchedulerState, job: Job) -> Resources:
    """Returns the total need of a job's tasks that may start now."""
    need = NO_RESOURCES
    for occurrence, number in job.open_steps(state.wall_ms):
        tasks = job.tasks(occurrence, number)
        waiting = sum(task.is_waiting for task in tasks)
        need = need.plus(job.spec.steps[number].reserved.times(waiting))
    return need
