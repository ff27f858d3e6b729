"""A full pool with waiting tasks of many shapes, for measurements of its plans."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ..domain.ids import HostId, PoolName, QueueName, RackId, TeamName, ZoneId
from ..domain.jobs.catalog import Catalog, JobPool, JobQueue, JobTeam
from ..domain.jobs.model import NO_RACK, JobId, JobSpec, Resources, StepSpec, TaskName
from ..domain.jobs.task import RunOutcome
from ..domain.scheduling.messages import (
    BatchStored,
    EndReport,
    HostInfo,
    HostReport,
    HostsListed,
    JobFound,
    RunReport,
    StartOutcome,
    StartReplied,
    StoreJobs,
)
from ..domain.scheduling.orders import StartRun
from ..domain.scheduling.policy import SchedulingPolicy
from ..domain.scheduling.pool import PoolScheduler

if TYPE_CHECKING:
    from ..domain.scheduling.messages import Effect, Message

POOL, QUEUE, TEAM = PoolName("pool"), QueueName("queue"), TeamName("team")
CAPACITY = Resources(64_000, 256_000, 0)
TASKS_PER_JOB = 4
LARGE_EVERY = 10
"""One of so many jobs has large tasks."""
HOSTS_PER_RACK = 20
TICK_MS = 20
ENDS_PER_HOST_AND_S = 8
"""Runs that end on a full host in a second, of tasks of about a second."""


class FullPool:
    """A pool whose hosts are full, while tasks wait and runs end.

    Args:
        hosts: Number of hosts.
        waiting: Number of tasks that wait.
        look_ahead: Whether the policy has reservations.
        weigh_remote_hosts: Whether tasks may wait for the rack of their data.
        has_data: Whether half of the jobs have their data in a rack, and half of these
            in the same one.
    """

    def __init__(
        self,
        hosts: int,
        waiting: int,
        *,
        look_ahead: bool,
        weigh_remote_hosts: bool = False,
        has_data: bool = False,
    ) -> None:
        self._rng = random.Random(1)
        self._hosts, self._waiting = hosts, waiting
        self._now_ms, self._jobs = 0, 0
        self._running: list[StartRun] = []
        self._sequences: dict[HostId, int] = {}
        self._has_data = has_data
        policy = SchedulingPolicy(
            look_ahead=look_ahead, weigh_remote_hosts=weigh_remote_hosts
        )
        self.scheduler = PoolScheduler(POOL, _catalog(), 0, policy=policy)
        ids = [HostId(f"h{number:04}") for number in range(hosts)]
        self._send(HostsListed(tuple(map(_host, ids))))
        for host in ids:
            self._send(HostReport(host, 1, 0, 0, (), ()))

    def fill(self) -> None:
        """Submits jobs and plans until the hosts are full and enough tasks wait."""
        while self.scheduler.activity().waiting < self._waiting:
            for _ in range(max(self._waiting // TASKS_PER_JOB // 4, 1)):
                self._submit()
            self.plan()

    def advance(self) -> None:
        """Lets some runs end and as many tasks arrive."""
        self._now_ms += TICK_MS
        ending = max(1, self._hosts * ENDS_PER_HOST_AND_S * TICK_MS // 1_000)
        for _ in range(min(ending, len(self._running))):
            index = self._rng.randrange(len(self._running))
            self._end(self._running.pop(index))
        for _ in range(max(1, ending // TASKS_PER_JOB)):
            self._submit()

    def plan(self) -> None:
        """Plans once."""
        self._apply(self.scheduler.plan(self._now_ms, self._now_ms))

    def _submit(self) -> None:
        self._jobs += 1
        is_large = self._jobs % LARGE_EVERY == 0
        median = Resources(22_000, 46_000) if is_large else Resources(6_200, 23_000)
        sizes = [int(each * self._rng.lognormvariate(-0.1, 0.4)) for each in median]
        need = Resources(min(sizes[0], 40_000), min(sizes[1], 82_000), 0)
        length_ms = int(1_000 * self._rng.lognormvariate(-0.1, 0.5))
        count = 1 if is_large else TASKS_PER_JOB
        step = StepSpec(
            count=count, need=need, estimated_ms=length_ms, data_rack=self._data_rack()
        )
        spec = JobSpec(
            id=JobId(f"{self._jobs:016x}"),
            queue=QUEUE,
            team=TEAM,
            payload="",
            steps=(step,),
            accepted_ms=self._now_ms,
        )
        self._send(JobFound(spec))

    def _data_rack(self) -> RackId:
        """Returns the rack of the next job's data; every second job has none."""
        number = self._jobs // 2
        if not self._has_data or self._jobs % 2:
            return NO_RACK
        return _rack(0 if number % 2 else number * HOSTS_PER_RACK % self._hosts)

    def _end(self, order: StartRun) -> None:
        sequence = self._sequences.get(order.host, 0) + 1
        self._sequences[order.host] = sequence
        end = EndReport(sequence, order.name, order.number, RunOutcome.DONE, "")
        now_ms, running = self._now_ms, self._reported(order.host, order.name)
        self._send(HostReport(order.host, 1, now_ms, now_ms, running, (end,)))

    def _reported(self, host: HostId, ended: TaskName) -> tuple[RunReport, ...]:
        placed = self.scheduler.state.hosts[host].placed_runs()
        return tuple(
            RunReport(name, run.number, "", 50, 0)
            for name, _, run in placed
            if name != ended
        )

    def _send(self, message: Message) -> None:
        self._apply(self.scheduler.handle(message, self._now_ms, self._now_ms))

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StoreJobs():
                    self._send(BatchStored(effect.batch))
                case StartRun(host, _, name, number):
                    self._running.append(effect)
                    outcome = StartOutcome.STARTED
                    self._send(StartReplied(host, name, number, outcome, self._now_ms))


def _catalog() -> Catalog:
    queue = JobQueue(name=QUEUE, host_header="h", path_prefix="/", pool=POOL)
    return Catalog(
        version=1,
        store_version=1,
        queues=(queue,),
        pools={POOL: JobPool(name=POOL)},
        teams={TEAM: JobTeam(name=TEAM, weight=100_000)},
        team_by_digest={},
    )


def _rack(number: int) -> RackId:
    """Returns the rack of the host with a number."""
    return RackId(f"r{number // HOSTS_PER_RACK}")


def _host(host: HostId) -> HostInfo:
    rack = _rack(int(host[1:]))
    return HostInfo(id=host, address="", zone=ZoneId("z"), rack=rack, capacity=CAPACITY)
