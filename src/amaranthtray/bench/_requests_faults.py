"""Seeded fault schedules of one request dispatcher and its backend servers."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from ..domain.ids import (
    HostId,
    Millis,
    PoolName,
    QueueName,
    RackId,
    RegionId,
    RequestId,
    TeamName,
    ZoneId,
)
from ..domain.invariants import LimitSet, Watchdog
from ..domain.inventory import Host
from ..domain.requests.dispatcher import RequestDispatcher
from ..domain.requests.messages import Cancel, Submit
from ..domain.requests.model import Request, WorkClass
from ..domain.requests.ports import FirstComeShares
from ..domain.workers.registry import WorkerRegistry
from ._requests_entry import SimulatedEntry
from ._requests_simulation import Fault, RequestsSimulation

POOL = PoolName("web")
TEAMS = (TeamName("red"), TeamName("blue"))
QUIESCENCE_MS = 200_000
"""Time after which no lease, deadline or backoff of a schedule is pending."""


class FixedLimit:
    """A fixed number of units for each team; the watchdog checks the limit."""

    def __init__(self, units: int) -> None:
        self._units = dict.fromkeys(TEAMS, units)

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Acquires a unit if one is free."""
        if self._units[team] <= 0:
            return False
        self._units[team] -= 1
        return True

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Releases a unit."""
        self._units[team] += 1

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Ignores the demand."""


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """Failures found by one schedule.

    Attributes:
        violation_counts: Number of violations by name of the promise.
        without_outcome: Requests that did not end with exactly one outcome.
        leaked: Attempts or requests that the dispatcher still holds at the end.
        requests: Requests submitted.
    """

    violation_counts: Counter[str]
    without_outcome: int
    leaked: int
    requests: int


def simulated_host(
    number: int, zone: str = "z1", *, pool: str = "web", slots: int = 2
) -> Host:
    """Returns a host for a simulation."""
    return Host(
        host_id=HostId(f"{zone}-{pool}-h{number}"),
        zone=ZoneId(zone),
        rack=RackId(f"{zone}-r{number // 4}"),
        region=RegionId("r1"),
        slots=slots,
    )


class FaultSchedule:
    """A random sequence of submissions, cancellations and faults.

    Args:
        seed: Seed of every random choice.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.watchdog = Watchdog()
        self.submitted: list[Request] = []
        hosts = tuple(simulated_host(n) for n in range(self.rng.randint(1, 4)))
        self.simulation = RequestsSimulation(
            self.rng, hosts, self._service_ms, observe=self.watchdog.observe
        )
        units = self.rng.randint(1, 6)
        for team in TEAMS:
            self.watchdog.observe(LimitSet(0, team, units))
        dispatcher = RequestDispatcher(
            limits=FixedLimit(units),
            shares=FirstComeShares(),
            rng=self.rng,
            workers=WorkerRegistry(ZoneId("z1"), self.rng),
        )
        self.entry = SimulatedEntry(self.simulation, dispatcher)
        self.entry.execute_effects(
            dispatcher.update_hosts({POOL: hosts}, self.simulation.now)
        )
        self.fault_rate = self.rng.choice((0.05, 0.3, 0.9))
        self.simulation.control_loss = self.rng.choice((0.0, 0.3, 1.0))
        self.simulation.draw_fault = self._draw_fault

    def run(self, steps: int) -> ScheduleResult:
        """Runs the schedule until nothing is pending."""
        for _ in range(steps):
            self._take_random_step()
            self.simulation.run_until(
                self.simulation.now + self.rng.choice((0, 1, 20, 900))
            )
        self.simulation.run_until(self.simulation.now + QUIESCENCE_MS)
        return self.result()

    def result(self) -> ScheduleResult:
        """Returns the failures found; called when nothing is pending."""
        finishes = Counter(id(item.request) for item in self.entry.finished)
        without_one_outcome = sum(finishes[id(req)] != 1 for req in self.submitted)
        violation_counts = Counter(item.promise for item in self.watchdog.violations)
        dispatcher = self.entry.dispatcher
        leaked = dispatcher.in_flight + dispatcher.open_attempts
        return ScheduleResult(
            violation_counts, without_one_outcome, leaked, len(self.submitted)
        )

    def submit(
        self, *, repeatable: bool, work_class: WorkClass, timeout_ms: int
    ) -> None:
        """Submits a request."""
        now = self.simulation.now
        req = Request(
            RequestId(f"q{len(self.submitted)}"),
            self.rng.choice(TEAMS),
            QueueName("bookings"),
            POOL,
            work_class,
            repeatable,
            now,
            Millis(now + timeout_ms),
        )
        self.submitted.append(req)
        self.entry.deliver(Submit(req))

    def cancel(self, index: int) -> None:
        """Cancels a submitted request, which may have ended."""
        if self.submitted:
            req = self.submitted[index % len(self.submitted)]
            self.entry.deliver(Cancel(req.team, req.request_id))

    def inject_fault(self, index: int) -> None:
        """Injects a host fault, a pause of the entry or a change of the host list."""
        hosts = sorted(self.simulation.hosts)
        host = hosts[index % len(hosts)]
        simulated = self.simulation.hosts[host]
        match index % 5:
            case 0:
                self.simulation.kill(host)
            case 1 if not simulated.is_leaving:
                self.simulation.start_leaving(host)
            case 2:
                simulated.is_alive = True
            case 3:
                self.entry.pause(self.rng.choice((100, 3_000, 20_000)))
            case _:
                self._update_host_list()

    def _update_host_list(self) -> None:
        """Updates the host list; a live host is listed with a probability of 0.8."""
        listed_hosts = [
            simulated.host
            for simulated in self.simulation.hosts.values()
            if simulated.is_alive and self.rng.random() < 0.8
        ]
        dispatcher = self.entry.dispatcher
        if self.simulation.now >= self.entry.paused_until_ms:
            self.entry.execute_effects(
                dispatcher.update_hosts({POOL: listed_hosts}, self.simulation.now)
            )

    def _take_random_step(self) -> None:
        draw = self.rng.random()
        if draw < 0.7:
            self.submit(
                repeatable=self.rng.random() < 0.5,
                work_class=self.rng.choice(tuple(WorkClass)),
                timeout_ms=self.rng.choice((1, 300, 5_000, 60_000)),
            )
        elif draw < 0.85:
            self.cancel(self.rng.randrange(1_000))
        else:
            self.inject_fault(self.rng.randrange(1_000))

    def _draw_fault(self) -> Fault:
        if self.rng.random() >= self.fault_rate:
            return Fault.NONE
        return self.rng.choice(tuple(Fault))

    def _service_ms(self, req: Request) -> int:
        median_log = self.rng.choice((5.0, 5.0, 10.0))
        return int(self.rng.lognormvariate(median_log, 1.0))
