"""Selects the runs to start now."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.model import Resources, StepKey, TaskName
from ..jobs.task import RunPhase
from ._quarantine import (
    crashed_machines,
    has_suspects,
    overdue_for_isolation,
    place_isolated,
    place_overdue,
    place_suspects,
    select_reserved_hosts,
    split_suspects,
)
from ._slow_hosts import SlowHosts
from ._unplaced import hosts_to_reserve
from .host import Host
from .messages import StartRun
from .placement import place_each, place_gang
from .ranking import Rank, Timeliness, expected_core_ms, rank

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ..jobs.job import Job
    from ..jobs.model import StepSpec
    from ..jobs.task import Task
    from ._state import SchedulerState
    from .placement import Placement

FITS_NOTHING = Resources(-1, -1, -1)
"""Free resources without any host: not even a task that needs nothing fits."""


@dataclass(slots=True)
class _PlanHosts:
    """Hosts of one plan.

    Attributes:
        every: Hosts that accept runs.
        shared: Those that may run tasks of several jobs.
        unisolated: Number of tasks that found no host of their own so far.
        crashed_machines: Machines that crashed under these tasks.
    """

    every: list[Host]
    shared: list[Host]
    unisolated: int = 0
    crashed_machines: set[str] = field(default_factory=set)

    def exclude(self, excluded: Collection[str]) -> None:
        """Excludes hosts, and those with a quarantined run, from further sharing."""
        self.shared = [
            host
            for host in self.shared
            if host.info.id not in excluded and not host.quarantined_runs
        ]


def plan_starts(state: SchedulerState) -> None:
    """Places waiting tasks in order of rank while hosts have free resources."""
    every = [
        host
        for host in state.hosts.values()
        if host.accepts_runs(state.now_ms)
        and host.info.id not in state.to_vacate
        and (state.enforces_capacity or not host.has_unknown_runs)
    ]
    if not every:
        return
    slow = SlowHosts.split(state, every)
    hosts = _PlanHosts(every, slow.usual)
    hosts.exclude(state.crashes.reserved_hosts)
    room = _largest_free(hosts.shared)
    waiting_keys: set[StepKey] = set()
    for job in _jobs_by_rank(state):
        for key, step, waiting in _waiting_steps(state, job):
            waiting_keys.add(key)
            placed = 0
            if step.reserved.fits(room) or has_suspects(job, key, waiting):
                waiting = _within_cap(state, job, step, waiting)
                placed = _place_tasks(state, job, key, waiting, hosts)
            if slow.hosts and placed < len(waiting):
                placed += _place_on_slow(state, job, key, slow)
            state.unplaced.record(key, len(waiting) - placed, state.now_ms)
            reserved_hosts: set[str] = set()
            if step.is_gang and state.unplaced.is_overdue(key, step, state.now_ms):
                reserved_hosts = hosts_to_reserve(step, hosts.shared)
                hosts.exclude(reserved_hosts)
            if placed or reserved_hosts:
                room = _largest_free(hosts.shared)
    state.unplaced.retain(waiting_keys)
    select_reserved_hosts(state, every, hosts.unisolated, hosts.crashed_machines)


def _within_cap(
    state: SchedulerState, job: Job, step: StepSpec, waiting: list[int]
) -> list[int]:
    """Returns the tasks that the team's cap permits; all or none of a gang."""
    count = state.caps.count_that_fits(
        state.catalog, job.spec.team, step.need, len(waiting), is_gang=step.is_gang
    )
    return waiting[:count]


def _place_tasks(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    waiting: list[int],
    hosts: _PlanHosts,
) -> int:
    """Places tasks of a step; returns how many were placed."""
    if not waiting:
        return 0
    step = job.spec.steps[key.step]
    unsuspected, suspects, isolated = split_suspects(job, key, waiting)
    placed = 0
    if unsuspected:
        allowed = _allowed_hosts(state, job, key, hosts.shared)
        place = place_gang if step.is_gang else place_each
        placements = place(step, key, unsuspected, allowed)
        placed += _reserve_runs(state, job, key, placements)
    if suspects:
        allowed = _allowed_hosts(state, job, key, hosts.shared)
        placements = place_suspects(job, key, suspects, allowed)
        placed += _reserve_runs(state, job, key, placements)
    if isolated:
        placed += _place_isolated(state, job, key, isolated, hosts)
    if placed < len(waiting):
        _request_advice(state, job, key, hosts.every)
    return placed


def _place_on_slow(
    state: SchedulerState, job: Job, key: StepKey, slow: SlowHosts
) -> int:
    """Places tasks on slow hosts that end sooner there; returns how many."""
    tasks = job.tasks(key.occurrence, key.step)
    waiting = [
        number
        for number, task in enumerate(tasks)
        if task.is_waiting and not task.crashes and task.not_before_ms <= state.now_ms
    ]
    waiting = _within_cap(state, job, job.spec.steps[key.step], waiting)
    allowed = _allowed_hosts(state, job, key, slow.hosts)
    placements = slow.place(state, job, key, waiting, allowed)
    return _reserve_runs(state, job, key, placements)


def _place_isolated(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    waiting: list[int],
    hosts: _PlanHosts,
) -> int:
    """Places tasks that need a host of their own; overdue ones share a host."""
    allowed = _allowed_hosts(state, job, key, hosts.every)
    placements = place_isolated(job, key, waiting, allowed)
    placed = _reserve_runs(state, job, key, placements)
    overdue = overdue_for_isolation(job, key, waiting, state.now_ms)
    if overdue:
        allowed = _allowed_hosts(state, job, key, hosts.every)
        placements = place_overdue(job, key, overdue, allowed)
        placed += _reserve_runs(state, job, key, placements)
    hosts.exclude(())
    if placed < len(waiting):
        hosts.unisolated += len(waiting) - placed
        for machines in crashed_machines(job, key, waiting).values():
            hosts.crashed_machines |= machines
    return placed


def _allowed_hosts(
    state: SchedulerState, job: Job, key: StepKey, hosts: list[Host]
) -> list[Host]:
    """Returns the hosts that the placement policy allows, or all without a policy."""
    if not state.queue_of(job).needs_advice:
        return hosts
    return [
        host
        for host in hosts
        if state.advice.ticket(key, host.info.id, state.now_ms) is not None
    ]


def _request_advice(
    state: SchedulerState, job: Job, key: StepKey, hosts: list[Host]
) -> None:
    """Requests advice on more hosts if the queue has a placement policy."""
    if state.queue_of(job).needs_advice:
        request = state.advice.next_request(key, hosts, state.now_ms)
        if request is not None:
            state.advice_requests.append(request)


def _jobs_by_rank(state: SchedulerState) -> list[Job]:
    """Returns unfinished jobs by rank, within their priority by entitlement first.

    Jobs beyond their team's share, and jobs that can't count any more, go last.
    """
    jobs = [job for job in state.active.values() if not job.state.is_final]
    total_core_ms = sum(expected_core_ms(job, state.run_times) for job in jobs)
    mean_core_ms = total_core_ms / max(len(jobs), 1)

    def sort_key(job: Job) -> tuple[int, bool, Rank, str]:
        queue, run_times = state.queue_of(job), state.run_times
        job_rank = rank(job, queue, state.wall_ms, mean_core_ms, run_times)
        goes_last = (
            job.spec.id in state.shares.excess
            or job_rank.timeliness is Timeliness.TOO_LATE
        )
        return job_rank.priority, goes_last, job_rank, job.spec.id

    return sorted(jobs, key=sort_key)


def _largest_free(hosts: list[Host]) -> Resources:
    """Returns the largest free amount of each resource on any host."""
    return largest_amounts([host.free for host in hosts])


def largest_amounts(rooms: list[Resources]) -> Resources:
    """Returns the largest amount of each resource; without a room, none fits."""
    if not rooms:
        return FITS_NOTHING
    return Resources(*(max(amounts) for amounts in zip(*rooms, strict=True)))


def _waiting_steps(
    state: SchedulerState, job: Job
) -> Iterator[tuple[StepKey, StepSpec, list[int]]]:
    """Yields open steps with the indices of their tasks that may start now."""
    for occurrence, number in job.open_steps(state.wall_ms):
        step = job.spec.steps[number]
        tasks = job.tasks(occurrence, number)
        waiting = [
            index
            for index, task in enumerate(tasks)
            if task.not_before_ms <= state.now_ms
            and (task.is_waiting or (step.allows_copies and _wants_copy(state, task)))
        ]
        if not waiting or (step.is_gang and len(waiting) < len(tasks)):
            continue
        yield StepKey(job.spec.id, occurrence, number), step, waiting


def _wants_copy(state: SchedulerState, task: Task) -> bool:
    """Returns whether a task needs a copy, as its only run is silent or ends late.

    A task that may have silenced its host gets no copy, which could crash another one.
    """
    if task.is_done or task.is_given_up or task.crashes or len(task.runs) != 1:
        return False
    run = task.runs[0]
    host = state.hosts.get(run.host)
    is_late = run.is_moved and run.phase is RunPhase.RUNNING
    return host is None or host.is_silent or is_late


def _reserve_runs(
    state: SchedulerState, job: Job, key: StepKey, placements: list[Placement]
) -> int:
    """Reserves the runs and holds their start orders until that is stored.

    Returns the number of runs.
    """
    tasks = job.tasks(key.occurrence, key.step)
    is_gang = job.spec.steps[key.step].is_gang
    gang_run = max((task.last_run for task in tasks), default=0) + 1
    for task_number, host in placements:
        task = tasks[task_number]
        number = gang_run if is_gang else task.last_run + 1
        name = TaskName(*key, task_number)
        run = state.reserve_run(job, name, host, number)
        ticket = state.advice.ticket(key, host.info.id, state.now_ms) or ""
        state.held_effects.append(
            StartRun(
                host.info.id,
                run.host_born,
                name,
                run.number,
                job.spec.payload,
                task.checkpoint,
                ticket,
                run.prior_crashes,
            )
        )
    return len(placements)
