"""Pools under load on a virtual clock: bursts of jobs, imprecise estimates, moves."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise

from amaranthtray.domain.ids import HostId, PoolName, RackId, ZoneId
from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources, StepSpec, TaskName
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import (
    BatchStored,
    Effect,
    EndReport,
    HostInfo,
    HostReport,
    HostRunsEnded,
    HostsListed,
    JobFound,
    RunReport,
    StartOutcome,
    StartReplied,
    StoreJobs,
    VacateRequested,
)
from amaranthtray.domain.scheduling.orders import StartRun
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from amaranthtray.domain.scheduling.pool import DECLARED_ONLY, PoolScheduler
from amaranthtray.domain.upkeep.expectations import DemandReport, Expectations
from amaranthtray.domain.upkeep.model import Machine, MachineName, MachineState
from amaranthtray.domain.upkeep.moves import (
    Moves,
    PoolLoad,
    plan_moves,
    record_order,
)
from amaranthtray.domain.upkeep.waves import Fleet
from scheduling.parts import POOL, QUEUE, TEAM, a_catalog

TICK_MS = 20
STORE_MS = 7
ORDER_MS = 3
FLEET_ROUND_MS = 200
MOVE_MS = 1_500
"""Time in which a machine belongs to no pool."""
LISTING_MS = 250
"""Delay until the new host's conductor knows of it."""
SLOWDOWN, TARGET_MS = 1.6, 600
LATE_FACTOR, LATE_WORTH = 3, 0.07
HOST = Resources(16_000, 32_000, 0)
STANDBY = PoolName("standby")


@dataclass(frozen=True)
class Burst:
    """Arrivals for a while: ``per_s`` jobs a second in the mean."""

    from_ms: int
    until_ms: int
    per_s: float


@dataclass
class Submitted:
    """A job with the true duration of the tasks of its steps."""

    spec: JobSpec
    submitted_ms: int
    lengths_ms: tuple[int, ...]
    ended_ms: int | None = None

    @property
    def core_s(self) -> float:
        """Returns the work of all tasks in core-seconds."""
        steps = zip(self.spec.steps, self.lengths_ms, strict=True)
        return sum(each.count * each.need.cpu * ms for each, ms in steps) / 1e6

    @property
    def lateness(self) -> float:
        """Returns the time to its end as a multiple of its objective."""
        if self.ended_ms is None:
            return float("inf")
        objective_ms = SLOWDOWN * sum(self.lengths_ms) + TARGET_MS
        return (self.ended_ms - self.submitted_ms) / objective_ms


@dataclass(frozen=True)
class Outcome:
    """What callers got, as shares of their jobs.

    Attributes:
        in_time: Jobs that ended within their objective.
        too_late: Jobs that ended after three times their objective, or not at all.
        worth: Share of the worth that was earned; it grows with a job's work.
        by_size: In time of the smaller 70 in 100, the next 20 and the largest 10.
    """

    in_time: float
    too_late: float
    worth: float
    by_size: tuple[float, float, float]


def a_job(rng: random.Random, at_ms: int, estimate_error: float) -> Submitted:
    """Returns a job of some steps of about eight tasks of about a second."""
    steps: list[StepSpec] = []
    lengths: list[int] = []
    mean_ms = 1_000 * rng.lognormvariate(-0.11, 0.47)
    bias = 1 + rng.uniform(-estimate_error, estimate_error)
    for number in range(max(1, min(4, round(rng.gauss(1.6, 0.6))))):
        length_ms = int(max(100, min(mean_ms * rng.uniform(0.7, 1.3), 2_500)))
        cpu = int(max(200, min(2_300 * rng.lognormvariate(-0.1, 0.43), 6_800)))
        step = StepSpec(
            count=max(1, min(32, int(8 * rng.lognormvariate(-0.15, 0.55)))),
            need=Resources(cpu, 2_000, 0),
            estimated_ms=int(length_ms * bias),
            after=(number - 1,) if number else (),
        )
        steps.append(step)
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


def mean_core_s(estimate_error: float = 0.5) -> float:
    """Returns the mean work of a job."""
    rng = random.Random(1)
    return sum(a_job(rng, 0, estimate_error).core_s for _ in range(2_000)) / 2_000


def mean_slack_s() -> float:
    """Returns how long a job can wait in the mean and still end in time."""
    rng = random.Random(1)
    lengths = [sum(a_job(rng, 0, 0.0).lengths_ms) for _ in range(2_000)]
    mean_ms = sum(lengths) / len(lengths)
    return ((SLOWDOWN - 1) * mean_ms + TARGET_MS) / 1_000


class Timeline:
    """Events in order of time."""

    def __init__(self) -> None:
        self.now_ms = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_ms: int, event: Callable[[], None]) -> None:
        """Schedules an event."""
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, event))

    def advance(self, until_ms: int) -> None:
        """Carries out the events that are due."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()
        self.now_ms = until_ms


@dataclass
class LoadedPool:
    """A scheduler with hosts that run what it orders, and a store that answers.

    Attributes:
        time: Clock and events; pools of one fleet share them.
        seed: Seed of arrivals and durations.
        estimate_error: Estimates are off by up to this share.
        policy: Optional decisions of the scheduler.
        capacity: Resources of each host.
        make_job: Returns a job that is submitted at a time.
        load: Load that the scheduler last published.
    """

    time: Timeline
    seed: int
    estimate_error: float = 0.5
    policy: SchedulingPolicy = DECLARED_ONLY
    capacity: Resources = HOST
    make_job: Callable[[random.Random, int, float], Submitted] = a_job
    jobs: dict[JobId, Submitted] = field(default_factory=dict)
    load: PoolLoad = field(default_factory=PoolLoad)
    hosts: dict[HostId, dict[TaskName, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        catalog = a_catalog(
            weights={TEAM: 1_000}, slowdown_factor=SLOWDOWN, target_ms=TARGET_MS
        )
        self.scheduler = PoolScheduler(POOL, catalog, 0, policy=self.policy)
        self._sequences: Counter[HostId] = Counter()

    def add_hosts(self, *hosts: HostId) -> None:
        """Adds empty hosts."""
        for host in hosts:
            self.hosts[host] = {}
        self._list_hosts()
        for host in hosts:
            self._report(host, ())

    def remove_host(self, host: HostId) -> None:
        """Removes a host; it must be empty."""
        assert not self.hosts.pop(host)
        self._list_hosts()
        self._send(HostRunsEnded(host))

    def submit_bursts(self, *bursts: Burst) -> None:
        """Schedules the arrivals of bursts."""
        for burst in bursts:
            at_ms = float(burst.from_ms)
            while burst.per_s:
                at_ms += self._rng.expovariate(burst.per_s / 1_000)
                if at_ms >= burst.until_ms:
                    break
                job = self.make_job(self._rng, int(at_ms), self.estimate_error)
                delay_ms = int(at_ms) - self.time.now_ms
                self.time.after(delay_ms, lambda job=job: self._submit(job))

    def plan(self) -> None:
        """Lets the scheduler plan once."""
        self._apply(self.scheduler.plan(self.time.now_ms, self.time.now_ms))

    def vacate(self, hosts: frozenset[HostId]) -> None:
        """Requests that hosts be emptied."""
        self._send(VacateRequested(hosts))

    def rack_of(self, host: HostId) -> RackId:
        """Returns the rack of a host."""
        return RackId("r")

    def length_ms(self, order: StartRun) -> int:
        """Returns the true duration of a run."""
        return self.jobs[order.name.job].lengths_ms[order.name.step]

    def _submit(self, job: Submitted) -> None:
        self.jobs[job.spec.id] = job
        self.time.after(STORE_MS, lambda: self._send(JobFound(job.spec)))

    def _list_hosts(self) -> None:
        infos = [
            HostInfo(
                id=host,
                address="",
                zone=ZoneId(host[0]),
                rack=self.rack_of(host),
                capacity=self.capacity,
            )
            for host in self.hosts
        ]
        self._send(HostsListed(tuple(infos)))

    def _send(self, message: object) -> None:
        now_ms = self.time.now_ms
        self._apply(self.scheduler.handle(message, now_ms, now_ms))

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StoreJobs():
                    self.time.after(STORE_MS, lambda each=effect: self._stored(each))
                case StartRun():
                    self.time.after(ORDER_MS, lambda each=effect: self._start(each))

    def _stored(self, batch: StoreJobs) -> None:
        self.load = batch.load
        self._send(BatchStored(batch.batch))

    def _start(self, order: StartRun) -> None:
        length_ms = self.length_ms(order)
        self.hosts[order.host][order.name] = order.number
        self.time.after(length_ms, lambda: self._finish(order))
        outcome, now_ms = StartOutcome.STARTED, self.time.now_ms
        self._send(StartReplied(order.host, order.name, order.number, outcome, now_ms))

    def _finish(self, order: StartRun) -> None:
        del self.hosts[order.host][order.name]
        self._sequences[order.host] += 1
        sequence = self._sequences[order.host]
        end = EndReport(sequence, order.name, order.number, RunOutcome.DONE, "")
        self._report(order.host, (end,))
        if self.scheduler.state.jobs[order.name.job].state.is_final:
            self.jobs[order.name.job].ended_ms = self.time.now_ms

    def _report(self, host: HostId, ends: tuple[EndReport, ...]) -> None:
        rows = tuple(
            RunReport(name, number, "", 50, 0)
            for name, number in self.hosts[host].items()
        )
        now_ms = self.time.now_ms
        self._send(HostReport(host, 1, now_ms, now_ms, rows, ends))


@dataclass
class LoadedFleet:
    """Pools that share machines, which move between them by need.

    Attributes:
        pools: The pools by name.
        demand: Expected peaks; None without a forecast of demand.
        reports: What the forecast led to.
        machine_s: Seconds that machines have stood in pools.
        moved: Number of moves.
    """

    time: Timeline
    pools: dict[PoolName, LoadedPool]
    demand: Expectations | None = None
    reports: list[DemandReport] = field(default_factory=list)
    machine_s: float = 0.0
    moved: int = 0

    def __post_init__(self) -> None:
        self._machines: dict[MachineName, Machine] = {}
        self._moves = Moves(demand=self.demand)

    def add_machines(self, pool: PoolName, count: int) -> None:
        """Adds machines to a pool, or to the standby pool."""
        names = [MachineName(f"m{len(self._machines) + n:03}") for n in range(count)]
        for name in names:
            self._machines[name] = Machine(
                name=name, pool=pool, state=MachineState.UP, host=HostId(f"{name}-0")
            )
        if pool in self.pools:
            self.pools[pool].add_hosts(*(HostId(f"{name}-0") for name in names))
            self._moves.assigned_counts[pool] = count

    def run(self, until_ms: int) -> None:
        """Plays until a time."""
        begun_ms = self.time.now_ms
        for at_ms in range(begun_ms + TICK_MS, until_ms + 1, TICK_MS):
            self.time.advance(at_ms)
            for pool in self.pools.values():
                pool.plan()
            if at_ms % FLEET_ROUND_MS == 0:
                self._move_machines()
            away = sum(each.pool == STANDBY for each in self._machines.values())
            self.machine_s += (len(self._machines) - away) * TICK_MS / 1_000

    def _move_machines(self) -> None:
        vacant = {
            HostId(host)
            for pool in self.pools.values()
            for host in pool.scheduler.state.vacant
        }
        loads = {name: pool.load for name, pool in self.pools.items()}
        plan = plan_moves(
            self._moves,
            Fleet(dict(self._machines), vacant),
            loads,
            frozenset({STANDBY}),
            frozenset(),
            self.time.now_ms,
        )
        self.reports += plan.demand
        for order in plan.orders:
            record_order(self._moves, order, self.time.now_ms)
            self._order(order.machine, order.pool)
        for name, pool in self.pools.items():
            hosts = frozenset(host for owner, host in plan.vacate if owner == name)
            pool.vacate(hosts & pool.hosts.keys())

    def _order(self, name: MachineName, target: PoolName) -> None:
        machine = self._machines[name]
        if machine.pool in self.pools:
            self.pools[machine.pool].remove_host(machine.host)
        self.moved += 1
        life = HostId(f"{name}-{self.moved}")
        self._machines[name] = Machine(
            name=name, pool=target, state=MachineState.MOVING, host=life
        )
        self.time.after(MOVE_MS, lambda: self._arrive(name, target, life))

    def _arrive(self, name: MachineName, target: PoolName, host: HostId) -> None:
        self._machines[name] = Machine(
            name=name, pool=target, state=MachineState.UP, host=host
        )
        if target in self.pools:
            pool = self.pools[target]
            self.time.after(LISTING_MS, lambda: pool.add_hosts(host))


def run_pool(pool: LoadedPool, until_ms: int) -> Outcome:
    """Plays one pool until a time; returns what its callers got."""
    for at_ms in range(pool.time.now_ms + TICK_MS, until_ms + 1, TICK_MS):
        pool.time.advance(at_ms)
        pool.plan()
    return outcome_of(list(pool.jobs.values()))


def outcome_of(jobs: list[Submitted]) -> Outcome:
    """Returns what callers got."""
    ordered = sorted(jobs, key=lambda job: job.core_s)
    total = len(ordered)
    mean = sum(job.core_s for job in ordered) / total
    worths = [min(4.0, 0.3 + 0.7 * job.core_s / mean) for job in ordered]
    earned = [
        worth if job.lateness <= 1 else LATE_WORTH * worth
        for job, worth in zip(ordered, worths, strict=True)
        if job.lateness <= LATE_FACTOR
    ]
    cuts = (0, total * 7 // 10, total * 9 // 10, total)
    small, large, largest = (
        _share_in_time(ordered[first:last]) for first, last in pairwise(cuts)
    )
    return Outcome(
        _share_in_time(ordered),
        sum(job.lateness > LATE_FACTOR for job in ordered) / total,
        sum(earned) / sum(worths),
        (small, large, largest),
    )


def _share_in_time(jobs: list[Submitted]) -> float:
    return sum(job.lateness <= 1 for job in jobs) / max(len(jobs), 1)
