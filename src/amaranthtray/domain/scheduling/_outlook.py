"""Computes the forecast of a pool from the work that waits and runs in it.

Load: teams submit five times their usual load for some seconds. The planner serves
jobs by priority, then jobs within their team's share, then the others; among equals the
more urgent go first and those that can't count any more go last. What precedes
a new job is therefore

- runs, lasting tasks, and work of higher priorities, even if it can't count any more;
- before a job beyond its team's share, the jobs within theirs, while they can count.

Equals don't precede it: the planner drops those that can't be in time, so that a new
job is first among them at the end of its slack. They only take the room in which a job
beyond its share could end late. Work beyond the share of other teams doesn't precede a
job within its team's share, whatever its priority.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources, StepKey
from ._arrivals import WINDOW_MS
from ._job_facts import facts_of, terms_of
from .forecast import (
    DECLARED_SPREAD,
    Claim,
    ClassOutlook,
    Forecast,
    PriorityOutlook,
    busy_with_arrivals,
    taken_until,
)
from .ranking import LATE_FACTOR, Rank, Timeliness, rank
from .run_times import declared_left_ms

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..ids import TeamName
    from ..jobs.job import Job
    from ..jobs.model import StepSpec
    from ._arrivals import ArrivalRates
    from ._state import SchedulerState
    from .host import Host

MAX_PRIORITIES = 4
"""Priorities in a forecast, the highest first; more would exceed its size."""

MAX_TEAMS = 16
"""Teams in a forecast, those with the most excess first; the others count as within
their share."""


@dataclass(slots=True)
class _Work:
    """Work of one job: expected amounts of resources times ms."""

    amounts: tuple[float, float, float]
    is_excess: bool
    timeliness: Timeliness
    limit_ms: float


@dataclass(slots=True)
class _Pool:
    """Amounts by which a pool is measured.

    Attributes:
        room: Largest free amount of each resource on any host.
        rates: Resources of the hosts without those of lasting tasks.
        running: Work left of the runs that end, in amounts times ms.
        spread: Largest spread of the run times behind the work.
        by_priority: Work that has not begun.
        waits: Whether a task waits that may start.
    """

    room: Resources
    rates: Resources = NO_RESOURCES
    running: tuple[float, float, float] = (0.0, 0.0, 0.0)
    spread: float = 1.0
    by_priority: dict[int, list[_Work]] = field(
        default_factory=lambda: defaultdict(list)
    )
    waits: bool = False


def make_forecast(
    state: SchedulerState, entitled: dict[TeamName, float]
) -> Forecast | None:
    """Returns the forecast of a pool; None if no job waits or no host is there.

    Args:
        state: State of the pool's scheduler.
        entitled: Teams beyond their share, with the part of their submissions to
            which the share entitles them.
    """
    pool = _measure(state)
    amounts = [pool.running, *(w.amounts for w in _all_work(pool))]
    busy = [
        sum(each[index] for each in amounts) / rate if rate > 0 else 0.0
        for index, rate in enumerate(pool.rates)
    ]
    scarce = max(range(len(busy)), key=busy.__getitem__)
    rate = pool.rates[scarce]
    if not pool.waits or rate <= 0:
        return None
    return Forecast(
        made_ms=state.wall_ms,
        scarce=scarce,
        rate=rate,
        room=pool.room,
        outlooks=tuple(_outlooks(pool, scarce, state.forecaster.arrivals)),
        lengths=state.run_times.length_models(),
        entitled=dict(sorted(entitled.items(), key=lambda row: row[1])[:MAX_TEAMS]),
    )


def _all_work(pool: _Pool) -> Iterable[_Work]:
    for works in pool.by_priority.values():
        yield from works


def _largest_room(hosts: list[Host]) -> Resources:
    if not hosts:
        return NO_RESOURCES
    return Resources(*map(max, zip(*(host.free for host in hosts), strict=True)))


def _measure(state: SchedulerState) -> _Pool:
    """Adds up the pool's hosts and the work of its jobs.

    Hosts that are listed and have not reported yet count as if they were there.
    """
    accepting = [h for h in state.hosts.values() if h.accepts_runs(state.now_ms)]
    pool = _Pool(_largest_room(accepting))
    for host in state.hosts.values():
        is_usable = host.is_listed and not host.is_evacuated
        if is_usable and not host.info.is_draining:
            rate = host.info.capacity.minus(host.used_by_lasting)
            pool.rates = pool.rates.plus(rate)
    running = [pool.running]
    for job in state.active.values():
        running += _running_work(state, job)
        if not job.state.is_final:
            _measure_waiting(state, pool, job)
    pool.running = _sum(running)
    return pool


def _running_work(
    state: SchedulerState, job: Job
) -> Iterable[tuple[float, float, float]]:
    run_times, now_ms = state.run_times, state.now_ms
    for number, run in job.step_runs():
        step = job.spec.steps[number]
        if step.is_lasting:
            continue
        if run_times.is_learning:
            left = run_times.remaining(job.spec, number, run, now_ms)
            yield _times(step, left.expected_ms / left.spread)
        else:
            yield _times(step, declared_left_ms(step, run, now_ms) / DECLARED_SPREAD)


def _measure_waiting(state: SchedulerState, pool: _Pool, job: Job) -> None:
    """Adds a job's waiting tasks; lasting ones reduce what others can get."""
    rows: list[tuple[float, float, float]] = []
    if job.spec.id in state.settled and len(job.spec.steps) == 1:
        return
    for key, waiting in _waiting_counts(state, job, pool.room):
        step = job.spec.steps[key.step]
        if step.is_lasting:
            pool.rates = pool.rates.minus(step.reserved.times(waiting))
        else:
            run_time = state.run_times.of_step(job.spec, key.step)
            pool.spread = max(pool.spread, run_time.spread)
            rows.append(_times(step, waiting * run_time.expected_ms))
    if rows:
        queue = state.queue_of(job)
        job_rank = _declared_rank(state, job)
        limit_ms = _late_limit_ms(state, job, job_rank)
        is_excess = job.spec.id in state.shares.excess
        pool.waits = pool.waits or _has_waiting_task(state, job)
        work = _Work(_sum(rows), is_excess, job_rank.timeliness, limit_ms)
        pool.by_priority[queue.priority].append(work)


def _declared_rank(state: SchedulerState, job: Job) -> Rank:
    """Returns the rank of a job by what its caller declared."""
    if state.run_times.is_learning:
        return rank(job, state.queue_of(job), state.wall_ms)
    return terms_of(state, job, facts_of(state, job)).rank_at(state.wall_ms)


def _waiting_counts(
    state: SchedulerState, job: Job, room: Resources
) -> Iterator[tuple[StepKey, int]]:
    """Yields the steps of due occurrences with the tasks that have not begun.

    A step that has found no host for long doesn't keep other tasks from one.
    """
    open_steps = set(job.open_steps(state.wall_ms))
    for occurrence in range(job.occurrences):
        if occurrence in job.past or job.due_ms(occurrence) > state.wall_ms:
            continue
        for number, step in enumerate(job.spec.steps):
            key = StepKey(job.spec.id, occurrence, number)
            if job.is_step_done(occurrence, number) or _is_stuck(
                state, key, step, room
            ):
                continue
            count = step.count
            if (occurrence, number) in open_steps:
                tasks = job.tasks(occurrence, number)
                count = sum(task.is_waiting for task in tasks)
            if count:
                yield key, count


def _is_stuck(
    state: SchedulerState, key: StepKey, step: StepSpec, room: Resources
) -> bool:
    """Returns whether a step has waited for long although a host has enough CPU."""
    has_cpu = step.reserved.cpu <= room.cpu
    return has_cpu and state.unplaced.is_overdue(key, step, state.now_ms)


def _has_waiting_task(state: SchedulerState, job: Job) -> bool:
    return any(
        task.is_waiting
        for occurrence, number in job.open_steps(state.wall_ms)
        for task in job.tasks(occurrence, number)
    )


def _late_limit_ms(state: SchedulerState, job: Job, job_rank: Rank) -> float:
    """Returns the time until which a job must go on to end early enough to count."""
    if job_rank.timeliness is not Timeliness.IN_TIME:
        return job_rank.urgency
    queue, length_ms = state.queue_of(job), job.estimate.critical_path_ms
    objective_ms = queue.slowdown_factor * length_ms + queue.target_ms
    return (job_rank.urgency + LATE_FACTOR - 1) * objective_ms


def _outlooks(
    pool: _Pool, scarce: int, arrivals: ArrivalRates
) -> Iterable[PriorityOutlook]:
    """Yields what new jobs of each priority meet.

    Work counts with the time that it takes at least: nine of ten runs take longer than
    the expected time divided by the spread.
    """
    rate = pool.rates[scarce]
    shared: list[float] = []
    excess: list[float] = []
    for priority in sorted(pool.by_priority)[:MAX_PRIORITIES]:
        works = pool.by_priority[priority]
        live = [each for each in works if each.timeliness is not Timeliness.TOO_LATE]
        within = [each for each in live if not each.is_excess]
        beyond = [each for each in live if each.is_excess]
        arrived = [
            arrivals.work_before(scarce, priority, is_excess=each)
            for each in (False, True)
        ]
        loads = [_least(pool, each) / WINDOW_MS / rate for each in arrived]
        yield PriorityOutlook(
            priority,
            _class_outlook(pool, scarce, (shared, [], within), loads[0])._replace(
                late_ms=_certain_ms(pool, scarce, shared)
            ),
            _class_outlook(pool, scarce, (shared + excess, within, beyond), loads[1]),
        )
        shared += [each.amounts[scarce] for each in works if not each.is_excess]
        excess += [each.amounts[scarce] for each in works if each.is_excess]


def _class_outlook(
    pool: _Pool,
    scarce: int,
    works: tuple[list[float], list[_Work], list[_Work]],
    load: float,
) -> ClassOutlook:
    """Returns what new jobs of one class meet.

    Args:
        pool: Amounts of the pool.
        scarce: Index of the resource that limits it.
        works: Work of higher priorities, of jobs that precede the class while they can
            count, and of the class itself.
        load: Work that arrives and precedes the class, as a multiple of the rate.
    """
    higher, before, equal = works
    rate = pool.rates[scarce]
    amounts = [each.amounts[scarce] for each in (*before, *equal)]
    scale = 1 / rate / _joint_spread(pool, amounts)
    running_ms = pool.running[scarce] / rate
    certain_ms = _certain_ms(pool, scarce, higher)
    before_ms = taken_until(certain_ms, _claims(before, scarce, scale))
    in_time_ms = busy_with_arrivals(before_ms, load)
    late_ms = taken_until(before_ms, _claims(equal, scarce, scale))
    drain_ms = running_ms + (sum(higher) + sum(amounts)) / rate
    return ClassOutlook(int(in_time_ms), int(late_ms), int(drain_ms))


def _certain_ms(pool: _Pool, scarce: int, higher: list[float]) -> int:
    """Returns the least time for which runs and work of higher priorities last."""
    running = pool.running[scarce] / pool.spread
    return int((running + _least(pool, higher)) / pool.rates[scarce])


def _least(pool: _Pool, amounts: list[float]) -> float:
    """Returns the least sum of amounts that are expected."""
    return sum(amounts) / _joint_spread(pool, amounts)


def _claims(works: list[_Work], scarce: int, scale: float) -> list[Claim]:
    return [Claim(work.limit_ms, work.amounts[scarce] * scale) for work in works]


def _joint_spread(pool: _Pool, amounts: list[float]) -> float:
    """Returns the spread of a sum of work, whose errors cancel out in part."""
    total = sum(amounts)
    if not total:
        return pool.spread
    share = math.sqrt(sum(amount * amount for amount in amounts)) / total
    return 1 + (pool.spread - 1) * share


def _times(step: StepSpec, ms: float) -> tuple[float, float, float]:
    cpu, memory_mb, gpu = step.reserved
    return cpu * ms, memory_mb * ms, gpu * ms


def _sum(rows: list[tuple[float, float, float]]) -> tuple[float, float, float]:
    cpu, memory_mb, gpu = map(sum, zip(*rows, strict=True))
    return cpu, memory_mb, gpu
