"""A pool under jobs of many shapes: many small tasks, and a few large ones."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources, StepSpec
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from scheduling.load import (
    LATE_FACTOR,
    TICK_MS,
    Burst,
    LoadedPool,
    Submitted,
    Timeline,
)
from scheduling.parts import QUEUE, TEAM

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.orders import StartRun

BIG_HOST = Resources(64_000, 256_000, 0)
HOSTS = 14
LOAD_MS, DRAIN_MS = 20_000, 10_000
LARGE_SHARE = 0.1
"""Part of the jobs whose tasks need 13 to 40 cores and 27 to 82 GB."""

AHEAD = SchedulingPolicy(look_ahead=True)


def a_mixed_job(rng: random.Random, at_ms: int, estimate_error: float) -> Submitted:
    """Returns a job of one or two steps of small tasks, or one of large tasks.

    Estimates are off by up to a factor of one plus ``estimate_error``, either way.
    """
    is_large = rng.random() < LARGE_SHARE
    factor = (1 + estimate_error) ** rng.uniform(-1, 1)
    steps: list[StepSpec] = []
    lengths: list[int] = []
    for number in range(1 if is_large else rng.choice((1, 1, 2))):
        length_ms = int(max(200, min(1_000 * rng.lognormvariate(-0.11, 0.47), 3_000)))
        if is_large:
            cpu = int(max(13_000, min(22_000 * rng.lognormvariate(0, 0.35), 40_000)))
            memory = int(max(27_000, min(46_000 * rng.lognormvariate(0, 0.35), 82_000)))
        else:
            cpu = int(max(1_000, min(6_200 * rng.lognormvariate(-0.1, 0.43), 12_000)))
            memory = int(max(4_000, min(23_000 * rng.lognormvariate(-0.1, 0.43), 26e3)))
        count = rng.choice((1, 1, 2)) if is_large else rng.randint(1, 8)
        steps.append(
            StepSpec(
                count=count,
                need=Resources(cpu, memory, 0),
                estimated_ms=int(length_ms * factor),
                after=(number - 1,) if number else (),
            )
        )
        lengths.append(length_ms)
    spec = JobSpec(
        id=JobId(f"{rng.getrandbits(64):016x}"),
        queue=QUEUE,
        team=TEAM,
        payload="",
        steps=tuple(steps),
        accepted_ms=at_ms,
    )
    return Submitted(spec, at_ms, tuple(lengths))


@dataclass
class MixedPool(LoadedPool):
    """A pool that records which resources its hosts use.

    Attributes:
        load_ms: Time in which jobs arrive.
        used_core_ms: Work of all runs in that time.
    """

    load_ms: int = LOAD_MS
    used_core_ms: float = 0.0

    def _start(self, order: StartRun) -> None:
        job = self.jobs[order.name.job]
        cpu = job.spec.steps[order.name.step].need.cpu
        left_ms = max(self.load_ms - self.time.now_ms, 0)
        length_ms = job.lengths_ms[order.name.step]
        self.used_core_ms += cpu * min(length_ms, left_ms) / 1_000
        super()._start(order)


def mean_job_core_s() -> float:
    """Returns the mean work of a job."""
    rng = random.Random(1)
    return sum(a_mixed_job(rng, 0, 0.0).core_s for _ in range(2_000)) / 2_000


@dataclass(frozen=True)
class Waits:
    """What callers got of a pool.

    Attributes:
        large: Median and 99th percentile of the waits of the largest tenth in s.
        small: The same of the smallest half.
        in_time: Shares of jobs in time: all, the smallest half, the largest tenth.
        used: Share of the pool in use while jobs arrived.
        wasted: Share of the work that was done for jobs that ended worthless.
        worth: Work of jobs in time, as a share of all work.
    """

    large: tuple[float, float]
    small: tuple[float, float]
    in_time: tuple[float, float, float]
    used: float
    wasted: float
    worth: float


def a_mixed_pool(
    seed: int,
    load: float,
    policy: SchedulingPolicy,
    *,
    estimate_error: float = 0.5,
    hosts: int = HOSTS,
    load_ms: int = LOAD_MS,
) -> MixedPool:
    """Returns a pool to which jobs arrive at a multiple of its capacity."""
    pool = MixedPool(
        Timeline(),
        seed,
        estimate_error=estimate_error,
        policy=policy,
        capacity=BIG_HOST,
        make_job=a_mixed_job,
        load_ms=load_ms,
    )
    pool.add_hosts(*(HostId(f"h{number:02}") for number in range(hosts)))
    per_s = load * hosts * BIG_HOST.cpu / 1_000 / mean_job_core_s()
    pool.submit_bursts(Burst(0, load_ms, per_s))
    return pool


def play(pool: MixedPool) -> Waits:
    """Plays the arrivals and the time in which the last jobs end."""
    while pool.time.now_ms < pool.load_ms + DRAIN_MS:
        pool.time.advance(pool.time.now_ms + TICK_MS)
        pool.plan()
    return waits_of(pool)


def waits_of(pool: MixedPool) -> Waits:
    """Returns what callers got."""
    jobs = sorted(pool.jobs.values(), key=lambda job: job.spec.steps[0].need.cpu)
    small, large = jobs[: len(jobs) // 2], jobs[len(jobs) * 9 // 10 :]
    done = sum(job.core_s for job in jobs if job.ended_ms is not None)
    worthless = sum(
        job.core_s
        for job in jobs
        if job.ended_ms is not None and job.lateness > LATE_FACTOR
    )
    in_time = sum(job.core_s for job in jobs if job.lateness <= 1)
    return Waits(
        _percentiles(large, pool.time.now_ms),
        _percentiles(small, pool.time.now_ms),
        (_in_time(jobs), _in_time(small), _in_time(large)),
        pool.used_core_ms / (len(pool.hosts) * BIG_HOST.cpu * pool.load_ms / 1_000),
        worthless / max(done, 1),
        in_time / sum(job.core_s for job in jobs),
    )


def _percentiles(jobs: list[Submitted], now_ms: int) -> tuple[float, float]:
    waits = sorted(_wait_s(job, now_ms) for job in jobs)
    return waits[len(waits) // 2], waits[len(waits) * 99 // 100]


def _wait_s(job: Submitted, now_ms: int) -> float:
    """Returns the time that a job took beyond its run time, so far."""
    ended_ms = now_ms if job.ended_ms is None else job.ended_ms
    return (ended_ms - job.submitted_ms - sum(job.lengths_ms)) / 1_000


def _in_time(jobs: list[Submitted]) -> float:
    return sum(job.lateness <= 1 for job in jobs) / len(jobs)
