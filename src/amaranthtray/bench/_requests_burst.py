"""Simulates bursts of urgent requests over patient work at both sites."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..domain.ids import Millis, PoolName, QueueName, RequestId, TeamName, ZoneId
from ..domain.requests.dispatcher import RequestDispatcher
from ..domain.requests.messages import Submit
from ..domain.requests.model import NotRun, Request, WorkClass
from ..domain.requests.ports import FirstComeShares, Unlimited
from ..domain.requests.settings import DispatcherSettings
from ..domain.workers.registry import WorkerRegistry
from ..domain.workers.selection import Stripe
from ._requests_entry import SimulatedEntry
from ._requests_faults import simulated_host
from ._requests_simulation import RequestsSimulation

if TYPE_CHECKING:
    from ..domain.inventory import Host
    from ..domain.workers.selection import HostSelectionPolicy

TEAMS = tuple(TeamName(f"team{number}") for number in range(6))
SAMPLE_MS = 50
URGENT_DEADLINE_MS = 10_000
PATIENT_DEADLINE_MS = 3_600_000
UNREPEATABLE_SHARE = 0.2
"""Part of the patient work that can't be repeated and so is never checkpointed."""


@dataclass(frozen=True, slots=True)
class Site:
    """Sizes of a user's site.

    Attributes:
        name: Name of the site, as in the names of figures.
        zones: Availability zones.
        entries: Entries of the site.
        workers: Backend servers of each pool.
        pools: Pools with a queue; the spare pool is left out.
        slots: Slots of each backend server.
        delay_ms: Longest one-way delay between entry and backend server.
    """

    name: str
    zones: int
    entries: int
    workers: int
    pools: int = 4
    slots: int = 8
    delay_ms: int = 1


KOMINAR = Site("kominar", zones=3, entries=9, workers=6)
CRANNOG = Site("crannog", zones=4, entries=8, workers=8)


@dataclass(frozen=True, slots=True)
class BurstLoad:
    """Work offered to each pool.

    Attributes:
        urgent_mean_ms: Mean slot time of urgent work, lognormal.
        patient_mean_ms: Mean slot time of patient work, lognormal.
        peak_ratio: Urgent work during a burst as a ratio of the pool's slots.
        burst_ms: Length of a burst.
        quiet_ratio: Urgent work between bursts as a ratio of that in a burst.
        patient_ratio: Patient work as a ratio of the pool's slots; 0 for no work.
        sigma: Standard deviation of the logarithm of slot times.
    """

    urgent_mean_ms: int = 250
    patient_mean_ms: int = 8_000
    peak_ratio: float = 1.3
    burst_ms: int = 5_000
    quiet_ratio: float = 0.05
    patient_ratio: float = 1.2
    sigma: float = 1.0


@dataclass(slots=True)
class BurstResult:
    """Measurements of one run.

    Attributes:
        waits_ms: Time from acceptance to the first start of urgent requests.
        urgent: Urgent requests submitted.
        refused: Urgent requests refused as not run.
        starts: Attempts sent.
        collisions: Attempts that a host refused because its slots were taken.
        checkpoints: Patient tasks checkpointed to free their slots.
        idle_slot_s: Slot-seconds idle while patient work waited.
        lost_slot_s: Slot-seconds spent on checkpoints and resumptions.
        slot_s: All slot-seconds.
    """

    waits_ms: list[int] = field(default_factory=list)
    urgent: int = 0
    refused: int = 0
    starts: int = 0
    collisions: int = 0
    checkpoints: int = 0
    idle_slot_s: float = 0.0
    lost_slot_s: float = 0.0
    slot_s: float = 0.0

    def start_wait_s(self, quantile: float) -> float:
        """Returns a quantile of the time until the first start, in seconds."""
        ordered = sorted(self.waits_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] / 1_000


class BurstRun:
    """Bursts of each queue in turn while patient work fills the pools.

    Args:
        site: Sizes of the site.
        load: Work offered to each pool.
        seed: Seed of every random choice.
        cfg: Settings of the dispatchers.
        policy: How the entries share the hosts.
    """

    def __init__(
        self,
        site: Site,
        load: BurstLoad,
        seed: int,
        *,
        cfg: DispatcherSettings | None = None,
        policy: HostSelectionPolicy | None = None,
    ) -> None:
        self._site = site
        self._load = load
        self._rng = random.Random(seed)
        self._pools = [PoolName(f"pool{number}") for number in range(site.pools)]
        self._hosts = {pool: self._make_hosts(pool) for pool in self._pools}
        all_hosts = tuple(host for hosts in self._hosts.values() for host in hosts)
        self._simulation = RequestsSimulation(
            self._rng, all_hosts, self._service_ms, delay_ms=site.delay_ms
        )
        self._simulation.on_task_start = self._record_task_start
        self._accepted_ms: dict[RequestId, int] = {}
        self._request_count = 0
        self.result = BurstResult()
        self._entries = [
            self._make_entry(n, cfg or DispatcherSettings(), policy)
            for n in range(site.entries)
        ]
        self._receiving_entries = self._entries

    def run(self) -> BurstResult:
        """Runs the warm-up, one burst of each queue and the work that is left."""
        load, simulation = self._load, self._simulation
        warm_up_ms = 3 * load.burst_ms
        end_ms = warm_up_ms + len(self._pools) * 2 * load.burst_ms
        for index, pool in enumerate(self._pools):
            burst_start_ms = warm_up_ms + index * 2 * load.burst_ms
            self._offer_urgent(pool, 0, burst_start_ms, end_ms)
            if load.patient_ratio:
                self._offer_patient(pool, end_ms)
        for when_ms in range(warm_up_ms, end_ms, SAMPLE_MS):
            simulation.schedule_at(when_ms, self._record_idle_slots)
        simulation.run_until(end_ms + URGENT_DEADLINE_MS)
        self._add_totals(end_ms - warm_up_ms)
        return self.result

    def submit_only_to(self, number: int) -> None:
        """Submits all requests to one entry; the others stay idle."""
        self._receiving_entries = [self._entries[number]]

    def _make_hosts(self, pool: PoolName) -> tuple[Host, ...]:
        site = self._site
        return tuple(
            simulated_host(n, f"z{n % site.zones}", pool=pool, slots=site.slots)
            for n in range(site.workers)
        )

    def _make_entry(
        self, number: int, cfg: DispatcherSettings, policy: HostSelectionPolicy | None
    ) -> SimulatedEntry:
        rng = random.Random(self._rng.random())
        zone = ZoneId(f"z{number % self._site.zones}")
        registry = WorkerRegistry(zone, rng, policy=policy)
        dispatcher = RequestDispatcher(
            limits=Unlimited(),
            shares=FirstComeShares(),
            rng=rng,
            workers=registry,
            cfg=cfg,
            attempt_prefix=f"e{number}",
        )
        entry = SimulatedEntry(self._simulation, dispatcher)
        hosts = {pool: list(hosts) for pool, hosts in self._hosts.items()}
        dispatcher.update_hosts(hosts, Millis(0))
        registry.set_stripe(self._stripe(number, policy), 0)
        return entry

    def _stripe(self, number: int, policy: HostSelectionPolicy | None) -> Stripe:
        site = self._site
        if policy is not None:
            return Stripe(number, site.entries)
        zone_entries = range(number % site.zones, site.entries, site.zones)
        return Stripe(zone_entries.index(number), len(zone_entries))

    def _offer_urgent(
        self, pool: PoolName, start_ms: int, burst_start_ms: int, end_ms: int
    ) -> None:
        load = self._load
        slots = self._site.workers * self._site.slots
        peak_per_ms = load.peak_ratio * slots / load.urgent_mean_ms
        at_ms = float(start_ms)
        while at_ms < end_ms:
            is_burst = burst_start_ms <= at_ms < burst_start_ms + load.burst_ms
            rate = peak_per_ms if is_burst else peak_per_ms * load.quiet_ratio
            at_ms += self._rng.expovariate(rate)
            self._simulation.schedule_at(
                int(at_ms), lambda: self._submit(pool, WorkClass.URGENT)
            )

    def _offer_patient(self, pool: PoolName, end_ms: int) -> None:
        load = self._load
        slots = self._site.workers * self._site.slots
        for _ in range(slots):
            self._simulation.schedule_at(
                0, lambda: self._submit(pool, WorkClass.PATIENT)
            )
        at_ms = 0.0
        while at_ms < end_ms:
            at_ms += self._rng.expovariate(
                load.patient_ratio * slots / load.patient_mean_ms
            )
            self._simulation.schedule_at(
                int(at_ms), lambda: self._submit(pool, WorkClass.PATIENT)
            )

    def _submit(self, pool: PoolName, work_class: WorkClass) -> None:
        self._request_count += 1
        is_urgent = work_class is WorkClass.URGENT
        timeout_ms = URGENT_DEADLINE_MS if is_urgent else PATIENT_DEADLINE_MS
        now = self._simulation.now
        req = Request(
            RequestId(f"q{self._request_count}"),
            self._rng.choice(TEAMS),
            QueueName(pool),
            pool,
            work_class,
            is_urgent or self._rng.random() >= UNREPEATABLE_SHARE,
            now,
            Millis(now + timeout_ms),
        )
        if is_urgent and now >= 3 * self._load.burst_ms:
            self._accepted_ms[req.request_id] = now
            self.result.urgent += 1
        self._rng.choice(self._receiving_entries).deliver(Submit(req))

    def _record_task_start(self, req: Request, now_ms: int) -> None:
        accepted_ms = self._accepted_ms.pop(req.request_id, None)
        if accepted_ms is not None:
            self.result.waits_ms.append(now_ms - accepted_ms)

    def _service_ms(self, req: Request) -> int:
        load = self._load
        is_urgent = req.work_class is WorkClass.URGENT
        mean_ms = load.urgent_mean_ms if is_urgent else load.patient_mean_ms
        median_ms = mean_ms * 2.718281828 ** (-(load.sigma**2) / 2)
        return max(1, int(median_ms * self._rng.lognormvariate(0.0, load.sigma)))

    def _record_idle_slots(self) -> None:
        for pool, hosts in self._hosts.items():
            waiting = sum(
                entry.dispatcher.waiting(pool, WorkClass.PATIENT)
                for entry in self._entries
            )
            free = sum(
                self._simulation.hosts[host.host_id].free_slots for host in hosts
            )
            self.result.idle_slot_s += min(free, waiting) * SAMPLE_MS / 1_000

    def _add_totals(self, measured_ms: int) -> None:
        result, site = self.result, self._site
        slots = site.pools * site.workers * site.slots
        result.slot_s = slots * measured_ms / 1_000
        result.lost_slot_s = self._simulation.checkpoint_slot_ms / 1_000
        result.collisions = self._simulation.refusals
        for entry in self._entries:
            counters = entry.dispatcher.counters
            result.starts += counters.started
            result.checkpoints += counters.checkpoints
            for finish in entry.finished:
                is_urgent = finish.request.work_class is WorkClass.URGENT
                is_refused = isinstance(finish.outcome, NotRun)
                result.refused += is_urgent and is_refused
