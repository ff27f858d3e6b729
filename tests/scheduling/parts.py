"""Builders of schedulers, hosts and jobs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from amaranthtray.domain.ids import (
    HostId,
    PoolName,
    QueueName,
    RackId,
    TeamName,
    ZoneId,
)
from amaranthtray.domain.jobs.catalog import Catalog, JobPool, JobQueue, JobTeam
from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources, StepSpec, TaskName
from amaranthtray.domain.scheduling.messages import (
    BatchStored,
    Effect,
    EndReport,
    HostInfo,
    HostReport,
    HostsListed,
    JobFound,
    Message,
    RunReport,
    StartOutcome,
    StartReplied,
    StoreJobs,
)
from amaranthtray.domain.scheduling.orders import StartRun
from amaranthtray.domain.scheduling.pool import DECLARED_ONLY, PoolScheduler

if TYPE_CHECKING:
    from amaranthtray.domain.jobs.task import RunOutcome
    from amaranthtray.domain.scheduling.policy import SchedulingPolicy

POOL, QUEUE, TEAM = PoolName("pool"), QueueName("queue"), TeamName("team")
BORN = 77
EARLIER_LEASES_UNTIL_MS = 8_000


def a_catalog(
    *,
    enforces_capacity: bool = True,
    weights: dict[str, int] | None = None,
    **queue: Any,
) -> Catalog:
    """Returns a catalog of one queue, one pool and some teams."""
    teams = [
        JobTeam(name=TeamName(name), weight=weight)
        for name, weight in (weights or {TEAM: 1}).items()
    ]
    only = JobQueue(name=QUEUE, host_header="h", path_prefix="/q/", pool=POOL, **queue)
    return Catalog(
        version=1,
        store_version=1,
        queues=(only,),
        pools={POOL: JobPool(name=POOL, enforces_capacity=enforces_capacity)},
        teams={team.name: team for team in teams},
        team_by_digest={},
    )


def a_step(count: int = 1, **fields: Any) -> StepSpec:
    """Returns a step of small tasks."""
    fields.setdefault("need", Resources(1_000, 1_000, 0))
    return StepSpec(count=count, estimated_ms=500, **fields)


def a_job(*steps: StepSpec, name: str = "a", team: str = TEAM) -> JobSpec:
    """Returns a job."""
    return JobSpec(
        id=JobId(name),
        queue=QUEUE,
        team=TeamName(team),
        payload="p",
        steps=steps or (a_step(),),
        max_attempts=2,
    )


def a_host(name: str = "h", *, cores: int = 8, **fields: Any) -> HostInfo:
    """Returns a host as the platform lists it."""
    return HostInfo(
        id=HostId(name),
        address="",
        zone=ZoneId("z"),
        rack=RackId("r"),
        capacity=Resources(1_000 * cores, 64_000, 0),
        **fields,
    )


class SchedulerHarness:
    """A scheduler with a store that answers at once, on a manual clock."""

    def __init__(
        self,
        *hosts: HostInfo,
        catalog: Catalog | None = None,
        policy: SchedulingPolicy = DECLARED_ONLY,
        learn: bool = False,
        **options: Any,
    ) -> None:
        self.now_ms = 0
        self.scheduler = PoolScheduler(
            POOL,
            catalog or a_catalog(),
            EARLIER_LEASES_UNTIL_MS,
            policy=replace(policy, learn_run_times=learn) if learn else policy,
            **options,
        )
        self.learned = b""
        self.records: dict[JobId, bytes] = {}
        self.send(HostsListed(hosts))
        for host in hosts:
            self.report(host.id)

    def send(self, message: Message) -> list[Effect]:
        """Sends one message; returns the effects."""
        return self.scheduler.handle(message, self.now_ms, self.now_ms)

    def plan(self) -> list[Effect]:
        """Plans and stores; returns the effects, those held by the store included."""
        effects: list[Effect] = []
        for effect in self.scheduler.plan(self.now_ms, self.now_ms):
            if isinstance(effect, StoreJobs):
                self.records.update(dict(effect.records))
                self.learned = effect.run_times or self.learned
                effects += self.send(BatchStored(effect.batch))
            else:
                effects.append(effect)
        return effects

    def starts(self) -> list[StartRun]:
        """Plans; returns the orders to start."""
        return [each for each in self.plan() if isinstance(each, StartRun)]

    def reply_to_start(
        self, order: StartRun, outcome: StartOutcome, *, repeated: bool = False
    ) -> list[Effect]:
        """Replies to an order to start."""
        return self.send(
            StartReplied(
                order.host,
                order.name,
                order.number,
                outcome,
                self.now_ms,
                was_repeated=repeated,
            )
        )

    def report(
        self,
        host: str = "h",
        *,
        running: tuple[tuple[TaskName, int], ...] = (),
        ends: tuple[EndReport, ...] = (),
        born: int = BORN,
        sent_ms: int | None = None,
    ) -> list[Effect]:
        """Sends a host's report."""
        rows = tuple(RunReport(name, run, "", 100, 0) for name, run in running)
        sent = self.now_ms if sent_ms is None else sent_ms
        return self.send(HostReport(HostId(host), born, sent, self.now_ms, rows, ends))

    def submit(self, spec: JobSpec, **fields: Any) -> None:
        """Makes the scheduler find a job in the store."""
        self.send(JobFound(spec, **fields))


def an_end(order: StartRun, outcome: RunOutcome, sequence: int = 1) -> EndReport:
    """Returns the end of a run that was ordered."""
    return EndReport(sequence, order.name, order.number, outcome, "")
