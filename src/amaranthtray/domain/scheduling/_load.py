"""The load of a pool, for the duty that moves machines between pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources
from ..upkeep.moves import PoolLoad
from ._job_facts import facts_of, terms_of, wanted_by
from .ranking import Timeliness

if TYPE_CHECKING:
    from ._state import SchedulerState
    from ._unplaced import UnplacedSteps


def pool_load(state: SchedulerState) -> PoolLoad:
    """Returns the need of running and waiting tasks, and the idle hosts.

    Evacuated hosts count only for the size of a host, where the pool has no other.
    """
    listed = [host for host in state.hosts.values() if host.is_listed]
    hosts = [host for host in listed if not host.is_evacuated]
    size = max((host.info.capacity for host in hosts or listed), default=NO_RESOURCES)
    need, late, in_time = [0, 0, 0], [0, 0, 0], Timeliness.IN_TIME
    for job in state.active.values():
        facts = facts_of(state, job)
        timeliness = terms_of(state, job, facts).rank_at(state.wall_ms).timeliness
        sums = need if timeliness is in_time else late
        cpu, memory_mb, gpu = wanted_by(state, job, facts)
        sums[0] += cpu
        sums[1] += memory_mb
        sums[2] += gpu
    unplaced = _hosts_for_unplaced(state, size)
    idle = tuple(
        host.info.id
        for host in hosts
        if host.accepts_runs(state.now_ms) and not host.placed_runs()
    )
    wanted_hosts = len(hosts) + unplaced if unplaced else 0
    return PoolLoad(Resources(*need), size, idle, wanted_hosts, Resources(*late))


def _hosts_for_unplaced(state: SchedulerState, size: Resources) -> int:
    """Returns how many hosts the overdue steps of a job need at most.

    A wave would wait for a host that tasks can move to, as none of them waits to start.
    """
    return max(
        _lacking_hosts(state, state.unplaced, size),
        _lacking_hosts(state, state.unmovable, size),
    )


def _lacking_hosts(
    state: SchedulerState, unplaced: UnplacedSteps, size: Resources
) -> int:
    lacking = 0
    for key in unplaced.steps():
        job = state.active.get(key.job)
        if job is None:
            continue
        step = job.spec.steps[key.step]
        if unplaced.is_overdue(key, step, state.now_ms):
            is_open = (key.occurrence, key.step) in job.open_steps(state.wall_ms)
            count = unplaced.hosts_needed(key, step, size) if is_open else 0
            lacking = max(lacking, count)
    return lacking
