"""Selects the runs to start now."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import partial
from operator import itemgetter
from typing import TYPE_CHECKING

from ..ids import HostId
from ..jobs.job import OPEN_STATES
from ..jobs.model import StepKey, StepSpec, TaskName
from ._advice_requests import allowed_hosts, want_advice
from ._job_facts import terms_of, waiting_of
from ._kept_hosts import hosts_to_keep, suitable_hosts
from ._late_runs import place_copies, split_copies
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
from .host import Host
from .host_index import HostIndex
from .look_ahead import LookAhead, look_ahead
from .orders import StartRun
from .placement import fill_hosts, fill_hosts_or_none
from .rack_choice import RackChoice, choose_racks
from .ranking import Timeliness, mean_core_ms

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..jobs.job import Job
    from ._state import SchedulerState
    from ._waiting import WaitingStep
    from .placement import Placement
    from .reservations import RankClass

FIRST_CLASS: RankClass = (-1, False, 0)
"""Class of the rank of all jobs while none of them is bound by a reservation."""


@dataclass(slots=True)
class _PlanHosts:
    """Hosts of one plan.

    Attributes:
        every: Hosts that accept runs.
        shared: Those that may run tasks of several jobs.
        unisolated: Number of tasks that found no host of their own so far.
        suitable: Hosts on which some of these tasks can certainly run.
        crashed_machines: Machines that crashed under these tasks.
        ahead: Reservations for tasks that wait; None if the policy has none.
        racks: Choice between near and remote hosts; None if no task has a rack.
        unfit: Demands that no host meets.
        index: The shared hosts by their free resources.
    """

    every: list[Host]
    shared: list[Host]
    unisolated: int = 0
    suitable: set[HostId] = field(default_factory=set)
    crashed_machines: set[str] = field(default_factory=set)
    ahead: LookAhead | None = None
    racks: RackChoice | None = None
    unfit: UnfitDemands = field(default_factory=UnfitDemands)
    index: HostIndex = field(init=False)

    def __post_init__(self) -> None:
        self.shared = [host for host in self.shared if not host.quarantined_runs]
        self.index = HostIndex(self.shared)

    def exclude(self, excluded: Collection[str]) -> None:
        """Excludes hosts, and those with a quarantined run, from further sharing."""
        kept = [
            host
            for host in self.shared
            if host.info.id not in excluded and not host.quarantined_runs
        ]
        if len(kept) < len(self.shared):
            self.shared = kept
            self.index.retain(host.info.id for host in kept)


def plan_starts(state: SchedulerState) -> None:
    """Places waiting tasks in order of rank while hosts have free resources."""
    state.advice_queue.begin_plan()
    every = [
        host
        for host in state.hosts.values()
        if host.accepts_runs(state.now_ms)
        and host.info.id not in state.to_vacate
        and (state.enforces_capacity or not host.has_unknown_runs)
    ]
    state.caps.apply_room([host.free for host in every])
    if not every:
        return
    slow = SlowHosts.split(state, every)
    hosts = _PlanHosts(every, slow.usual)
    hosts.exclude(state.crashes.reserved_hosts)
    hosts.ahead = look_ahead(state, hosts.shared)
    waiting_keys = _place_by_rank(state, hosts, slow)
    state.unplaced.retain(waiting_keys)
    state.gang_hosts.retain(waiting_keys, state.now_ms)
    if hosts.ahead is not None:
        hosts.ahead.finish(waiting_keys)
    suitable = [host for host in every if host.info.id in hosts.suitable]
    select_reserved_hosts(
        state, suitable, hosts.unisolated, hosts.crashed_machines, len(every)
    )


def _place_by_rank(
    state: SchedulerState, hosts: _PlanHosts, slow: SlowHosts
) -> set[StepKey]:
    """Places waiting tasks; returns the keys of the steps that had any."""
    room = hosts.index.largest_free()
    waiting_keys: set[StepKey] = set()
    ranked = _jobs_by_rank(state)
    hosts.racks = choose_racks(state, hosts.shared, ranked)
    for rank_class, job, steps in ranked:
        for key, step, waiting in steps:
            waiting_keys.add(key)
            startable = waiting
            placed = 0
            is_tried = step.reserved.fits(room) or has_suspects(job, key, waiting)
            if is_tried:
                waiting = _within_cap(state, job, step, waiting)
                placed = _place_if_fit(state, job, key, rank_class, waiting, hosts)
            waiting = waiting[: len(waiting) - state.rack_waits.held(key)]
            if slow.hosts and placed < len(waiting):
                placed += _place_on_slow(state, job, key, startable, slow, hosts.index)
            state.unplaced.record(key, len(waiting) - placed, state.now_ms)
            kept_hosts: set[HostId] = set()
            if hosts.ahead is not None:
                if hosts.ahead.account_for_runs(key, step):
                    if not is_tried:
                        waiting = _within_cap(state, job, step, waiting)
                    may_wait = not has_suspects(job, key, waiting)
                    unplaced = len(waiting) - placed if may_wait else 0
                    find = partial(allowed_hosts, state, job, key, hosts.shared)
                    hosts.ahead.end_step(job, key, rank_class, unplaced, placed, find)
            elif step.is_gang and placed:
                state.gang_hosts.record_start(key, state.now_ms)
            elif step.is_gang:
                kept_hosts = hosts_to_keep(state, job, key, hosts.shared)
                hosts.exclude(kept_hosts)
            if placed or kept_hosts:
                room = hosts.index.largest_free()
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
    is_usual = not (state.needs_advice(job) or has_suspects(job, key, waiting))
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
        state.catalog,
        job.spec.team,
        step.need,
        len(waiting),
        is_gang=step.is_gang,
        max_per_host=step.max_per_host,
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
    copied = split_copies(job, key, unsuspected)
    if copied:
        unsuspected = [number for number in unsuspected if number not in copied]
        allowed = allowed_hosts(state, job, key, hosts.shared)
        placements = place_copies(state, job, key, copied, allowed)
        placed += _reserve_runs(state, job, key, placements, hosts.index)
    if unsuspected:
        shapes = hosts.ahead.shapes if hosts.ahead is not None else ()
        if hosts.racks is not None and len(unsuspected) == len(waiting):
            allowed = allowed_hosts(state, job, key, hosts.shared)
            placements = hosts.racks.place(job, key, unsuspected, allowed, shapes)
        else:
            ordered = allowed_hosts(state, job, key, hosts.index.in_order(step))
            place = fill_hosts_or_none if step.is_gang else fill_hosts
            placements = place(step, key, unsuspected, ordered, shapes)
        placed += _reserve_runs(state, job, key, placements, hosts.index)
    if suspects:
        allowed = list(allowed_hosts(state, job, key, hosts.shared))
        placements = place_suspects(job, key, suspects, allowed)
        placed += _reserve_runs(state, job, key, placements, hosts.index)
    if isolated:
        placed += _place_isolated(state, job, key, isolated, hosts)
    if placed < len(waiting):
        want_advice(state, job, key, hosts.every)
    return placed


def _place_on_slow(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    startable: list[int],
    slow: SlowHosts,
    index: HostIndex,
) -> int:
    """Places tasks on slow hosts that end sooner there; returns how many."""
    tasks = job.tasks(key.occurrence, key.step)
    waiting = [
        number
        for number in startable
        if tasks[number].is_waiting and not tasks[number].crashes
    ]
    waiting = _within_cap(state, job, job.spec.steps[key.step], waiting)
    allowed = list(allowed_hosts(state, job, key, slow.hosts))
    placements = slow.place(state, job, key, waiting, allowed)
    return _reserve_runs(state, job, key, placements, index)


def _place_isolated(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    waiting: list[int],
    hosts: _PlanHosts,
) -> int:
    """Places tasks that need a host of their own; overdue ones share a host."""
    allowed = list(allowed_hosts(state, job, key, hosts.every))
    placements = place_isolated(job, key, waiting, allowed)
    placed = _reserve_runs(state, job, key, placements, hosts.index)
    overdue = overdue_for_isolation(job, key, waiting, state.now_ms)
    if overdue:
        placements = place_overdue(job, key, overdue, allowed)
        placed += _reserve_runs(state, job, key, placements, hosts.index)
    hosts.exclude(())
    suitable = suitable_hosts(state, job, key, hosts.every)
    if placed < len(waiting) and suitable:
        hosts.unisolated += len(waiting) - placed
        hosts.suitable |= suitable
        for machines in crashed_machines(job, key, waiting).values():
            hosts.crashed_machines |= machines
    return placed


def _jobs_by_rank(
    state: SchedulerState,
) -> list[tuple[RankClass, Job, list[WaitingStep]]]:
    """Returns jobs with waiting tasks by rank, in each priority entitled ones first.

    Jobs beyond their team's share, and jobs that can't count any more, go last.
    """
    jobs = [job for job in state.active.values() if job.state in OPEN_STATES]
    size_ms = mean_core_ms(jobs, state.run_times)
    wall_ms, excess, too_late = state.wall_ms, state.shares.excess, Timeliness.TOO_LATE
    ranked: list[
        tuple[tuple[object, ...], tuple[RankClass, Job, list[WaitingStep]]]
    ] = []
    for job in jobs:
        job_id = job.spec.id
        if job_id in state.settled:
            continue
        steps, _, is_settled = waiting_of(state, job)
        if steps:
            facts = state.facts[job_id]
            found = terms_of(state, job, facts).rank_at(wall_ms, size_ms)
            priority, timeliness, has_not_begun, urgency = found
            goes_last = job_id in excess or timeliness is too_late
            rank_class = priority, goes_last, timeliness
            order = (*rank_class, has_not_begun, urgency, job_id)
            ranked.append((order, (rank_class, job, steps)))
        elif is_settled:
            state.settled.add(job_id)
    ranked.sort(key=itemgetter(0))
    return [row for _, row in ranked]


def _reserve_runs(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    placements: list[Placement],
    index: HostIndex,
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
    for host in {host.info.id: host for _, host in placements}.values():
        index.update(host)
    return len(placements)
