"""Measures the scheduler of one pool as the pool and its load grow."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..domain.ids import HostId, PoolName, QueueName, RackId, TeamName, ZoneId
from ..domain.jobs.catalog import Catalog, JobPool, JobQueue, JobTeam
from ..domain.jobs.model import JobId, JobSpec, Resources, StepSpec
from ..domain.jobs.task import RunOutcome
from ..domain.scheduling.messages import (
    BatchStored,
    Effect,
    EndReport,
    HostInfo,
    HostReport,
    HostsListed,
    JobFound,
    StartOutcome,
    StartReplied,
    StoreJobs,
)
from ..domain.scheduling.orders import StartRun
from ..domain.scheduling.pool import PoolScheduler
from .slope import Resource, Role, Sample, Slope

if TYPE_CHECKING:
    from collections.abc import Iterator

POOL, QUEUE, TEAM = PoolName("pool"), QueueName("queue"), TeamName("team")
HOSTS_PER_POOL = 110
"""4,300 hosts in 39 pools."""

STARTS_PER_S_PER_POOL = 160.0
"""1.5 starts per second and host, the rate of the grown site."""

DURATION_S = 4
RATES = (40, 80, 160)
POOL_SIZES = (25, 50, 110)
TASKS_PER_JOB = 8
MS_PER_S = 1_000
ROUND_MS = 10


def slopes() -> Iterator[Slope]:
    """Yields the slopes of a pool's scheduler."""
    yield Slope(
        Role.CONDUCTOR,
        Resource.PROCESSOR,
        "starts/s",
        "decisions of one pool's scheduler, 110 hosts",
        tuple(Sample(rate, _processor_ms(HOSTS_PER_POOL, rate)) for rate in RATES),
        STARTS_PER_S_PER_POOL,
    )
    yield Slope(
        Role.CONDUCTOR,
        Resource.PROCESSOR,
        "hosts of a pool",
        "decisions of one pool's scheduler, 40 starts/s",
        tuple(Sample(hosts, _processor_ms(hosts, RATES[0])) for hosts in POOL_SIZES),
        HOSTS_PER_POOL,
    )


def _processor_ms(hosts: int, starts_per_s: int) -> float:
    """Returns the processor time of a busy pool, in milliseconds per second."""
    pool = _BusyPool(hosts)
    start_s = time.process_time()
    for now_ms in range(0, DURATION_S * MS_PER_S, ROUND_MS):
        pool.run_round(now_ms, starts_per_s)
    return (time.process_time() - start_s) * MS_PER_S / DURATION_S


class _BusyPool:
    """A scheduler with hosts that end each run 500 ms after its start."""

    RUN_MS = 500

    def __init__(self, hosts: int) -> None:
        self._scheduler = PoolScheduler(POOL, _catalog(), 0)
        self._running: list[tuple[int, StartRun]] = []
        self._sequence = 0
        self._jobs_due = 0.0
        self._job_count = 0
        hosts_listed = tuple(_host(number) for number in range(hosts))
        self._scheduler.handle(HostsListed(hosts_listed), 0, 0)
        for info in hosts_listed:
            report = HostReport(info.id, 1, 0, 0, (), ())
            self._scheduler.handle(report, 0, 0)

    def run_round(self, now_ms: int, starts_per_s: int) -> None:
        """Submits the jobs that are due, ends runs and lets the scheduler plan."""
        self._jobs_due += starts_per_s * ROUND_MS / MS_PER_S / TASKS_PER_JOB
        while self._jobs_due >= 1:
            self._jobs_due -= 1
            self._job_count += 1
            found = JobFound(_job(self._job_count, now_ms))
            self._scheduler.handle(found, now_ms, now_ms)
        self._end_runs(now_ms)
        for effect in self._scheduler.plan(now_ms, now_ms):
            if isinstance(effect, StoreJobs):
                stored = BatchStored(effect.batch)
                self._start(self._scheduler.handle(stored, now_ms, now_ms), now_ms)

    def _start(self, effects: list[Effect], now_ms: int) -> None:
        for effect in effects:
            if isinstance(effect, StartRun):
                self._running.append((now_ms + self.RUN_MS, effect))
                reply = StartReplied(
                    effect.host,
                    effect.name,
                    effect.number,
                    StartOutcome.STARTED,
                    now_ms,
                )
                self._scheduler.handle(reply, now_ms, now_ms)

    def _end_runs(self, now_ms: int) -> None:
        due = [run for ends_ms, run in self._running if ends_ms <= now_ms]
        self._running = [item for item in self._running if item[0] > now_ms]
        for run in due:
            self._sequence += 1
            end = EndReport(self._sequence, run.name, run.number, RunOutcome.DONE, "")
            report = HostReport(run.host, 1, 0, now_ms, (), (end,))
            self._scheduler.handle(report, now_ms, now_ms)


def _catalog() -> Catalog:
    queue = JobQueue(name=QUEUE, host_header="h", path_prefix="/", pool=POOL)
    return Catalog(
        version=1,
        store_version=1,
        queues=(queue,),
        pools={POOL: JobPool(name=POOL)},
        teams={TEAM: JobTeam(name=TEAM)},
        team_by_digest={},
    )


def _host(number: int) -> HostInfo:
    return HostInfo(
        id=HostId(f"h{number}"),
        address="",
        zone=ZoneId("z"),
        rack=RackId(f"r{number // 8}"),
        capacity=Resources(16_000, 32_000, 0),
    )


def _job(number: int, now_ms: int) -> JobSpec:
    step = StepSpec(
        count=TASKS_PER_JOB, need=Resources(1_000, 1_000, 0), estimated_ms=500
    )
    return JobSpec(
        id=JobId(f"{number:016x}"),
        queue=QUEUE,
        team=TEAM,
        payload="",
        steps=(step,),
        accepted_ms=now_ms,
    )
