"""A pool under load with all rules of placement, and with faults of its hosts."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import HostId, QueueName, RackId, ZoneId
from amaranthtray.domain.jobs.catalog import JobTeam
from amaranthtray.domain.jobs.model import Recurrence, Resources, StepSpec
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.advice import AdviceReceived, RequestAdvice
from amaranthtray.domain.scheduling.caps import ClaimPortion, PortionsRead, claim
from amaranthtray.domain.scheduling.evacuation import ZonesEvacuated
from amaranthtray.domain.scheduling.losses import LossCause
from amaranthtray.domain.scheduling.messages import (
    CatalogChanged,
    EndReport,
    HostInfo,
    HostReport,
    HostRunsEnded,
    HostSilent,
    HostsListed,
    RunReport,
    StartOutcome,
    StartReplied,
    StopReplied,
    StoreJobs,
    VacateRequested,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from amaranthtray.domain.scheduling.pool import PoolScheduler
from amaranthtray.domain.scheduling.reservations import ReservationDropped, Reserved
from scheduling.load import TICK_MS, Burst, LoadedPool, Submitted, Timeline
from scheduling.mixed_load import a_mixed_job
from scheduling.parts import POOL, QUEUE, TEAM, a_catalog

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthtray.domain.scheduling.messages import Effect
    from amaranthtray.domain.scheduling.policy import SchedulingPolicy

HOSTS, RACKS = 16, 4
DRAIN_MS = 2_000
FAULT_EVERY_MS = 100
SLOWNESS = 4
"""Multiple of the usual run times that one in ten hosts takes."""
QUEUES = (QUEUE, QUEUE, QUEUE, QueueName("urgent"), QueueName("advised"))
TEAMS = (TEAM, TEAM, "capped")


def a_varied_job(rng: random.Random, at_ms: int, error: float) -> Submitted:
    """Returns a job whose steps may have any of the rules of placement."""
    job = a_mixed_job(rng, at_ms, error)
    steps = tuple(_a_varied_step(rng, step) for step in job.spec.steps)
    due = Recurrence(2, at_ms, 700) if rng.random() < 0.1 else None
    queue, team = rng.choice(QUEUES), rng.choice(TEAMS)
    spec = replace(job.spec, queue=queue, team=team, recurrence=due, max_attempts=2)
    return replace(job, spec=replace(spec, steps=steps))


def _a_varied_step(rng: random.Random, step: StepSpec) -> StepSpec:
    rule = rng.randrange(16)
    fields: dict[str, object] = {
        0: {"is_gang": True, "count": rng.randint(2, 5)},
        1: {"is_gang": True, "is_same_rack": True, "count": rng.randint(2, 4)},
        2: {"required_label": "fast"},
        3: {"max_per_host": 1},
        4: {"data_rack": RackId(f"r{rng.randrange(RACKS)}")},
        5: {"allows_copies": True},
        6: {"fills": True},
        7: {"need": Resources(2_000, 9_000, 1)},
        8: {"is_checkpointing": True},
        9: {"is_lasting": rng.random() < 0.2, "may_miss": 1, "count": 1},
    }.get(rule, {})
    return replace(step, **fields)


@dataclass
class VariedPool(LoadedPool):
    """A pool of unequal hosts that fail, drain, refuse and lose runs at random.

    Attributes:
        decisions: What the scheduler decided, in order.
    """

    decisions: list[tuple[object, ...]] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        catalog = a_catalog(weights={TEAM: 6, "capped": 6}, slowdown_factor=1.6)
        usual = replace(catalog.queues[0], target_ms=600)
        urgent = replace(usual, name=QUEUES[3], priority=-1)
        advised = replace(usual, name=QUEUES[4], needs_advice=True)
        team = JobTeam(name="capped", weight=6, cap=Resources(60_000, 0, 0))
        catalog = replace(
            catalog,
            queues=(usual, urgent, advised),
            teams={**catalog.teams, "capped": team},
        )
        self.scheduler = PoolScheduler(POOL, catalog, 0, policy=self.policy)
        slower = replace(usual, slowdown_factor=3.0, priority=-1)
        self._slower = replace(catalog, queues=(slower, urgent, advised))
        self._faults = random.Random(self.seed + 1)
        self._draining: HostId | None = None
        self._lives: Counter[HostId] = Counter()

    def _list_hosts(self) -> None:
        infos = []
        for number, host in enumerate(self.hosts):
            size = 1 + number % 3
            infos.append(
                HostInfo(
                    id=host,
                    address="",
                    zone=ZoneId(f"z{number % 3}"),
                    rack=RackId(f"r{number % RACKS}"),
                    labels=frozenset(() if number % 4 else ("fast",)),
                    capacity=Resources(24_000 * size, 96_000 * size, number % 2),
                    is_draining=host == self._draining,
                )
            )
        self._send(HostsListed(tuple(infos)))

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartRun(host, _, name, number):
                    self.decisions.append(("start", host, name, number))
                case StopRun(host, name, number):
                    self.decisions.append(("stop", host, name, number))
                    self.time.after(3, lambda each=effect: self._stop(each))
                case Reserved() | ReservationDropped():
                    self.decisions.append(effect)
                case StoreJobs():
                    counts = tuple(sorted(effect.pending.items()))
                    vacant = tuple(sorted(effect.vacant))
                    report = (effect.load, counts, vacant, effect.forecast)
                    self.decisions.append(("stored", len(effect.records), report))
                case RequestAdvice(step, hosts):
                    tickets = {host: "t" for host in hosts if host[-1] in "02468"}
                    until_ms = self.time.now_ms + 900
                    advice = AdviceReceived(step, hosts, tickets, until_ms)
                    self.time.after(20, lambda each=advice: self._send(each))
                case ClaimPortion():
                    self.decisions.append(("claim", effect))
                    row = self.scheduler.state.caps.rows.get(effect.team, {})
                    claimed = claim(dict(row), POOL, effect)
                    read = PortionsRead(effect.team, claimed, effect.number)
                    self.time.after(20, lambda each=read: self._send(each))
        super()._apply(effects)

    def _start(self, order: StartRun) -> None:
        refuses = self._faults.random()
        if refuses < 0.03:
            outcome = StartOutcome.NO_ROOM if refuses < 0.01 else StartOutcome.REFUSED
            at_ms = self.time.now_ms
            self._send(
                StartReplied(order.host, order.name, order.number, outcome, at_ms)
            )
            return
        super()._start(order)

    def length_ms(self, order: StartRun) -> int:
        return super().length_ms(order) * (SLOWNESS if order.host[-1] == "7" else 1)

    def _finish(self, order: StartRun) -> None:
        step = self.scheduler.state.step_of(order.name)
        if not step.is_lasting:
            fails = self._faults.random() < 0.04
            self._end(order, RunOutcome.FAILED if fails else RunOutcome.DONE)

    def _stop(self, order: StopRun) -> None:
        now_ms = self.time.now_ms
        self._send(StopReplied(order.host, order.name, order.number, now_ms))
        self.time.after(40, lambda: self._end(order, RunOutcome.STOPPED))

    def _end(self, order: StartRun | StopRun, outcome: RunOutcome) -> None:
        if self.hosts[order.host].get(order.name) != order.number:
            return
        del self.hosts[order.host][order.name]
        self._sequences[order.host] += 1
        sequence = self._sequences[order.host]
        end = EndReport(sequence, order.name, order.number, outcome, "")
        self._report(order.host, (end,))

    def _report(self, host: HostId, ends: tuple[EndReport, ...]) -> None:
        now_ms, born = self.time.now_ms, 1 + self._lives[host]
        rows = tuple(
            RunReport(name, number, "", 100, 0)
            for name, number in self.hosts[host].items()
        )
        self._send(HostReport(host, born, now_ms, now_ms, rows, ends))

    def fail(self) -> None:
        """Lets a random fault happen, or end."""
        host = self._faults.choice(list(self.hosts))
        match self._faults.randrange(12):
            case 0 | 1:
                self.hosts[host].clear()
                self._lives[host] += 1
                self._send(HostRunsEnded(host, LossCause.LEASE_EXPIRED))
                self.time.after(300, lambda: self._report(host, ()))
            case 2 | 3:
                self._send(HostSilent(host))
                self.time.after(300, lambda: self._report(host, ()))
            case 4 | 5:
                self._draining = None if self._draining else host
                self._list_hosts()
            case 6:
                self._send(VacateRequested(frozenset({host})))
            case 7:
                self._send(VacateRequested(frozenset()))
            case 8:
                self._send(ZonesEvacuated(frozenset({ZoneId("z1")})))
            case 9 | 10:
                self._send(ZonesEvacuated(frozenset()))
            case 11:
                self._send(CatalogChanged(self._slower))


def play_varied(
    seed: int,
    policy: SchedulingPolicy,
    load_ms: int,
    before_plan: Callable[[PoolScheduler], None],
) -> list[tuple[object, ...]]:
    """Plays a load of about one and a half times a pool; returns all decisions.

    Args:
        seed: Seed of the load and of the faults.
        policy: Optional decisions of the scheduler.
        load_ms: Time in which jobs arrive.
        before_plan: Called with the scheduler before each plan.
    """
    pool = VariedPool(Timeline(), seed, policy=policy, make_job=a_varied_job)
    pool.add_hosts(*(HostId(f"h{number:02}") for number in range(HOSTS)))
    pool.submit_bursts(Burst(0, load_ms, 30))
    while pool.time.now_ms < load_ms + DRAIN_MS:
        pool.time.advance(pool.time.now_ms + TICK_MS)
        before_plan(pool.scheduler)
        pool.plan()
        if pool.time.now_ms % FAULT_EVERY_MS == 0:
            pool.fail()
    return pool.decisions
