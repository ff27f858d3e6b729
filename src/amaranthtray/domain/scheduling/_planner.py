"""Selects the runs to start now."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources, StepKey, StepSpec, TaskName
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
from ._unfit import Demand, UnfitDemands
from ._unplaced import hosts_to_reserve
from ._waiting import is_settled, waiting_steps
from .host import Host
from .look_ahead import LookAhead, look_ahead
from .messages import StartRun
from .placement import place_each, place_gang
from .rack_choice import RackChoice, choose_racks
from .ranking import Rank, Timeliness, expected_core_ms, rank

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..jobs.job import Job
    from ._state import SchedulerState
    from ._waiting import WaitingStep
    from .placement import Placement
    from .reservations import RankClass

FIRST_CLASS: RankClass = (-1, False, 0)
"""Class of the rank of all jobs while none of them is bound by a reservation."""

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
        ahead: Reservations for tasks that wait; None if the policy has none.
        racks: Choice between near and remote hosts; None if no task has a rack.
        unfit: Demands that no host meets.
        open: Shared hosts that fit at least the smallest waiting task.
        least: Smallest amount of each resource that a waiting task needs.
    """

    every: list[Host]
    shared: list[Host]
    unisolated: int = 0
    crashed_machines: set[str] = field(default_factory=set)
    ahead: LookAhead | None = None
    racks: RackChoice | None = None
    unfit: UnfitDemands = field(default_factory=UnfitDemands)
    open: list[Host] = field(default_factory=list)
    least: Resources = NO_RESOURCES

    def narrow(self) -> None:
        """Leaves out the hosts that fit no waiting task any more."""
        self.open = [host for host in self.open if self.least.fits(host.free)]

    def exclude(self, excluded: Collection[str]) -> None:
        """Excludes hosts, and those with a quarantined run, from further sharing."""
        self.shared = [
            host
            for host in self.shared
            if host.info.id not in excluded and not host.quarantined_runs
        ]
        self.open = self.shared
        self.narrow()


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
    hosts.ahead = look_ahead(state, hosts.shared)
    waiting_keys = _place_by_rank(state, hosts, slow)
    state.unplaced.retain(waiting_keys)
    if hosts.ahead is not None:
        hosts.ahead.finish(waiting_keys)
    select_reserved_hosts(state, every, hosts.unisolated, hosts.crashed_machines)


def _place_by_rank(
    state: SchedulerState, hosts: _PlanHosts, slow: SlowHosts
) -> set[StepKey]:
    """Places waiting tasks; returns the keys of the steps that had any."""
    room = _largest_free(hosts.shared)
    waiting_keys: set[StepKey] = set()
    ranked = _jobs_by_rank(state)
    hosts.racks = choose_racks(state, hosts.shared, ranked)
    hosts.least = _smallest_need(ranked)
    hosts.narrow()
    for rank_class, job, steps in ranked:
        for key, step, waiting in steps:
            waiting_keys.add(key)
            placed = 0
            is_tried = step.reserved.fits(room) or has_suspects(job, key, waiting)
            if is_tried:
                waiting = _within_cap(state, job, step, waiting)
                placed = _place_if_fit(state, job, key, rank_class, waiting, hosts)
            waiting = waiting[: len(waiting) - state.rack_waits.held(key)]
            if slow.hosts and placed < len(waiting):
                placed += _place_on_slow(state, job, key, slow)
            state.unplaced.record(key, len(waiting) - placed, state.now_ms)
            reserved_hosts: set[str] = set()
            if hosts.ahead is not None:
                if not is_tried and hosts.ahead.may_reserve(key, step):
                    waiting = _within_cap(state, job, step, waiting)
                may_wait = not has_suspects(job, key, waiting)
                unplaced = len(waiting) - placed if may_wait else 0
                find_allowed = partial(_allowed_hosts, state, job, key, hosts.shared)
                hosts.ahead.end_step(
                    job, key, rank_class, unplaced, placed, find_allowed
                )
            elif step.is_gang and state.unplaced.is_overdue(key, step, state.now_ms):
                reserved_hosts = hosts_to_reserve(step, hosts.shared)
                hosts.exclude(reserved_hosts)
            if placed or reserved_hosts:
                hosts.narrow()
                room = _largest_free(hosts.shared)
    return waiting_keys


def _place_if_fit(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    rank_class: RankClass,
    waiting: list[int],
    hosts: _PlanHosts,
) -> int:
    """Places tasks of a step unless a smaller one found no host in this plan."""
    demand = _demand(state, job, key, rank_class, hosts.ahead)
    is_usual = not (state.queue_of(job).needs_advice or has_suspects(job, key, waiting))
    if hosts.ahead is not None and hosts.ahead.take_released():
        hosts.unfit.clear()
    has_own = hosts.ahead is not None and hosts.ahead.has_reservation(key)
    if is_usual and not has_own and hosts.unfit.covers(demand):
        return 0
    if hosts.ahead is not None:
        hosts.ahead.begin_step(key, demand)
    placed = _place_tasks(state, job, key, waiting, hosts)
    held = state.rack_waits.held(key)
    if is_usual and placed < len(waiting) - held:
        hosts.unfit.record(job.spec.steps[key.step], demand)
    return placed


def _demand(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    rank_class: RankClass,
    ahead: LookAhead | None,
) -> Demand:
    """Returns what a step asks of a host; run times matter only beside reservations."""
    need = job.spec.steps[key.step].reserved
    if ahead is None or not state.reservations.by_host:
        return Demand(need, FIRST_CLASS, 0.0)
    run_time = state.run_times.of_step(job.spec, key.step)
    safe_ms = run_time.safe_ms if run_time.expected_ms > 0 else math.inf
    return Demand(need, rank_class, safe_ms)


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
        allowed = _allowed_hosts(state, job, key, hosts.open)
        place = place_gang if step.is_gang else place_each
        shapes = hosts.ahead.shapes if hosts.ahead is not None else ()
        if hosts.racks is not None and len(unsuspected) == len(waiting):
            placements = hosts.racks.place(job, key, unsuspected, allowed, shapes)
        else:
            placements = place(step, key, unsuspected, allowed, shapes)
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


def _jobs_by_rank(
    state: SchedulerState,
) -> list[tuple[RankClass, Job, list[WaitingStep]]]:
    """Returns jobs with waiting tasks by rank, in each priority entitled ones first.

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

    ranked: list[tuple[tuple[int, bool, Rank, str], Job, list[WaitingStep]]] = []
    for job in jobs:
        if job.spec.id in state.settled:
            continue
        steps = list(waiting_steps(state, job))
        if steps:
            ranked.append((sort_key(job), job, steps))
        elif is_settled(state, job):
            state.settled.add(job.spec.id)
    ranked.sort()
    return [
        ((key[0], key[1], key[2].timeliness), job, steps) for key, job, steps in ranked
    ]


def _smallest_need(
    ranked: list[tuple[RankClass, Job, list[WaitingStep]]],
) -> Resources:
    """Returns the smallest amount of each resource that a waiting task needs."""
    needs = [step.reserved for _, _, steps in ranked for _, step, _ in steps]
    return Resources(*map(min, zip(*needs, strict=True))) if needs else NO_RESOURCES


def _largest_free(hosts: list[Host]) -> Resources:
    """Returns the largest free amount of each resource on any host."""
    return largest_amounts([host.free for host in hosts])


def largest_amounts(rooms: list[Resources]) -> Resources:
    """Returns the largest amount of each resource; without a room, none fits."""
    if not rooms:
        return FITS_NOTHING
    return Resources(*map(max, zip(*rooms, strict=True)))


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
