"""Measures what the scheduler of one pool costs as its pool and its load grow."""

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
    StartRun,
    StoreJobs,
)
from ..domain.scheduling.pool import PoolScheduler
from .slope import Resource, Role, Sample, Slope

if TYPE_CHECKING:
    from collections.abc import Iterator

POOL, QUEUE, TEAM = PoolName("pool"), QueueName("queue"), TeamName("team")
HOSTS_A_POOL = 110
"""4,300 hosts in 39 pools."""

STARTS_PER_S_A_POOL = 160.0
"""1.5 starts a second and host, as the grown site has."""

SECONDS = 4
RATES = (40, 80, 160)
POOL_SIZES = (25, 50, 110)
TASKS_A_JOB = 8
MS_PER_S = 1_000
ROUND_MS = 10


def slopes() -> Iterator[Slope]:
    """Yields the slopes of this mechanism."""
    yield Slope(
        Role.CONDUCTOR,
        Resource.PROCESSOR,
        "starts/s",
        "decisions of one pool's scheduler, 110 hosts",
        tuple(Sample(rate, _processor_ms(HOSTS_A_POOL, rate)) for rate in RATES),
        STARTS_PER_S_A_POOL,
    )
    yield Slope(
        Role.CONDUCTOR,
        Resource.PROCESSOR,
        "hosts of a pool",
        "decisions of one pool's scheduler, 40 starts/s",
        tuple(Sample(hosts, _processor_ms(hosts, RATES[0])) for hosts in POOL_SIZES),
        HOSTS_A_POOL,
    )


def _processor_ms(hosts: int, starts_per_s: int) -> float:
    """Returns milliseconds of processor time a second of a busy pool."""
    pool = _BusyPool(hosts)
    begun = time.process_time()
    for now_ms in range(0, SECONDS * MS_PER_S, ROUND_MS):
        pool.play_round(now_ms, starts_per_s)
    return (time.process_time() - begun) * MS_PER_S / SECONDS


class _BusyPool:
    """A scheduler whose hosts end each run 500 ms after its start."""

    RUN_MS = 500

    def __init__(self, hosts: int) -> None:
        self._scheduler = PoolScheduler(POOL, _catalog(), 0)
        self._running: list[tuple[int, StartRun]] = []
        self._sequence = 0
        self._owed = 0.0
        self._jobs = 0
        infos = tuple(_host(number) for number in range(hosts))
        self._scheduler.handle(HostsListed(infos), 0, 0)
        for info in infos:
            report = HostReport(info.id, 1, 0, 0, (), ())
            self._scheduler.handle(report, 0, 0)

    def play_round(self, now_ms: int, starts_per_s: int) -> None:
        """Hands in jobs, ends runs and decides."""
        self._owed += starts_per_s * ROUND_MS / MS_PER_S / TASKS_A_JOB
        while self._owed >= 1:
            self._owed -= 1
            self._jobs += 1
            found = JobFound(_job(self._jobs, now_ms))
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
        self._running = [each for each in self._running if each[0] > now_ms]
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
        count=TASKS_A_JOB, need=Resources(1_000, 1_000, 0), estimated_ms=500
    )
    return JobSpec(
        id=JobId(f"{number:016x}"),
        queue=QUEUE,
        team=TEAM,
        payload="",
        steps=(step,),
        accepted_ms=now_ms,
    )
