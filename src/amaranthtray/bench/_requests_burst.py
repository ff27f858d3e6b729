"""Bursts of urgent work over patient work at both sites, in virtual time."""

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
from ._requests_entry import SimEntry
from ._requests_faults import sim_host
from ._requests_simulation import RequestsSimulation

if TYPE_CHECKING:
    from ..domain.inventory import Host
    from ..domain.workers.selection import HostSelectionPolicy

TEAMS = tuple(TeamName(f"team{number}") for number in range(6))
SAMPLE_MS = 50
URGENT_DEADLINE_MS = 10_000
PATIENT_DEADLINE_MS = 3_600_000
FIXED_SHARE = 0.2
"""Part of the patient work that cannot be repeated, so it makes no room."""


@dataclass(frozen=True, slots=True)
class Site:
    """A user's site.

    Attributes:
        zones: Availability zones.
        entries: Entry hosts.
        workers: Workers of each pool.
        pools: Pools with a queue, the spare pool left out.
        delay_ms: Longest one-way delay between entry and worker.
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
class Load:
    """Work offered to each pool.

    Attributes:
        urgent_ms: Mean slot time of urgent work, lognormal.
        patient_ms: Mean slot time of patient work, lognormal.
        peak: Urgent work at the peak of a burst over what the pool holds.
        burst_ms: Length of a burst.
        quiet: Urgent work between bursts over that at the peak.
        patient: Patient work offered over what the pool holds; 0 for none.
        sigma: Spread of the logarithm of slot times.
    """

    urgent_ms: int = 250
    patient_ms: int = 8_000
    peak: float = 1.3
    burst_ms: int = 5_000
    quiet: float = 0.05
    patient: float = 1.2
    sigma: float = 1.0


@dataclass(slots=True)
class Measured:
    """What one run showed.

    Attributes:
        waits_ms: Time from acceptance to the first start of urgent requests.
        urgent: Urgent requests submitted.
        refused: Urgent requests refused as not run.
        starts: Attempts sent.
        collisions: Attempts that a host refused because its slots were taken.
        checkpoints: Patient tasks that made room.
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

    def wait_s(self, part: float) -> float:
        """Returns a quantile of the start wait in seconds."""
        ordered = sorted(self.waits_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * part))] / 1_000


class BurstRun:
    """Each queue bursts in its turn while patient work fills the pools.

    Args:
        site: Sizes.
        load: Work offered.
        seed: Decides everything.
        cfg: Bounds of the desks.
        choice: How the entries share the hosts.
    """

    def __init__(
        self,
        site: Site,
        load: Load,
        seed: int,
        *,
        cfg: DispatcherSettings | None = None,
        choice: HostSelectionPolicy | None = None,
    ) -> None:
        self._site = site
        self._load = load
        self._rng = random.Random(seed)
        self._pools = [PoolName(f"pool{number}") for number in range(site.pools)]
        self._hosts = {pool: self._make_hosts(pool) for pool in self._pools}
        every = tuple(host for hosts in self._hosts.values() for host in hosts)
        self._world = RequestsSimulation(
            self._rng, every, self._service_ms, delay_ms=site.delay_ms
        )
        self._world.on_start = self._note_start
        self._accepted: dict[RequestId, int] = {}
        self._count = 0
        self.measured = Measured()
        self._entries = [
            self._make_entry(n, cfg or DispatcherSettings(), choice)
            for n in range(site.entries)
        ]
        self._targets = self._entries

    def run(self) -> Measured:
        """Plays the warm-up, one burst of each queue, and what they leave."""
        load, simulation = self._load, self._world
        warm_ms = 3 * load.burst_ms
        end_ms = warm_ms + len(self._pools) * 2 * load.burst_ms
        for place, pool in enumerate(self._pools):
            begin_ms = warm_ms + place * 2 * load.burst_ms
            self._offer_urgent(pool, 0, begin_ms, end_ms)
            if load.patient:
                self._offer_patient(pool, end_ms)
        for when_ms in range(warm_ms, end_ms, SAMPLE_MS):
            simulation.at(when_ms, self._sample)
        simulation.run_until(end_ms + URGENT_DEADLINE_MS)
        self._collect(end_ms - warm_ms)
        return self.measured

    def send_all_to(self, number: int) -> None:
        """Makes one entry take all submissions; the others stay idle."""
        self._targets = [self._entries[number]]

    def _make_hosts(self, pool: PoolName) -> tuple[Host, ...]:
        site = self._site
        return tuple(
            sim_host(n, f"z{n % site.zones}", pool=pool, slots=site.slots)
            for n in range(site.workers)
        )

    def _make_entry(
        self, number: int, cfg: DispatcherSettings, choice: HostSelectionPolicy | None
    ) -> SimEntry:
        rng = random.Random(self._rng.random())
        zone = ZoneId(f"z{number % self._site.zones}")
        book = WorkerRegistry(zone, rng, policy=choice)
        desk = RequestDispatcher(
            limits=Unlimited(),
            shares=FirstComeShares(),
            rng=rng,
            workers=book,
            cfg=cfg,
            attempt_prefix=f"e{number}",
        )
        entry = SimEntry(self._world, desk)
        hosts = {pool: list(hosts) for pool, hosts in self._hosts.items()}
        desk.update_hosts(hosts, Millis(0))
        book.set_stripe(self._stripe(number, choice), 0)
        return entry

    def _stripe(self, number: int, choice: HostSelectionPolicy | None) -> Stripe:
        site = self._site
        if choice is not None:
            return Stripe(number, site.entries)
        mates = range(number % site.zones, site.entries, site.zones)
        return Stripe(mates.index(number), len(mates))

    def _offer_urgent(
        self, pool: PoolName, start_ms: int, begin_ms: int, end_ms: int
    ) -> None:
        load = self._load
        held = self._site.workers * self._site.slots
        peak_per_ms = load.peak * held / load.urgent_ms
        when = float(start_ms)
        while when < end_ms:
            is_burst = begin_ms <= when < begin_ms + load.burst_ms
            rate = peak_per_ms if is_burst else peak_per_ms * load.quiet
            when += self._rng.expovariate(rate)
            self._world.at(int(when), lambda: self._submit(pool, WorkClass.URGENT))

    def _offer_patient(self, pool: PoolName, end_ms: int) -> None:
        load = self._load
        held = self._site.workers * self._site.slots
        for _ in range(held):
            self._world.at(0, lambda: self._submit(pool, WorkClass.PATIENT))
        when = 0.0
        while when < end_ms:
            when += self._rng.expovariate(load.patient * held / load.patient_ms)
            self._world.at(int(when), lambda: self._submit(pool, WorkClass.PATIENT))

    def _submit(self, pool: PoolName, work_class: WorkClass) -> None:
        self._count += 1
        is_urgent = work_class is WorkClass.URGENT
        timeout_ms = URGENT_DEADLINE_MS if is_urgent else PATIENT_DEADLINE_MS
        now = self._world.now
        req = Request(
            RequestId(f"q{self._count}"),
            self._rng.choice(TEAMS),
            QueueName(pool),
            pool,
            work_class,
            is_urgent or self._rng.random() >= FIXED_SHARE,
            now,
            Millis(now + timeout_ms),
        )
        if is_urgent and now >= 3 * self._load.burst_ms:
            self._accepted[req.request_id] = now
            self.measured.urgent += 1
        self._rng.choice(self._targets).give(Submit(req))

    def _note_start(self, req: Request, now_ms: int) -> None:
        accepted_ms = self._accepted.pop(req.request_id, None)
        if accepted_ms is not None:
            self.measured.waits_ms.append(now_ms - accepted_ms)

    def _service_ms(self, req: Request) -> int:
        load = self._load
        is_urgent = req.work_class is WorkClass.URGENT
        mean_ms = load.urgent_ms if is_urgent else load.patient_ms
        scale = mean_ms * 2.718281828 ** (-(load.sigma**2) / 2)
        return max(1, int(scale * self._rng.lognormvariate(0.0, load.sigma)))

    def _sample(self) -> None:
        for pool, hosts in self._hosts.items():
            waiting = sum(
                entry.desk.waiting(pool, WorkClass.PATIENT) for entry in self._entries
            )
            free = sum(self._world.hosts[host.host_id].free_slots for host in hosts)
            self.measured.idle_slot_s += min(free, waiting) * SAMPLE_MS / 1_000

    def _collect(self, measured_ms: int) -> None:
        measured, site = self.measured, self._site
        slots = site.pools * site.workers * site.slots
        measured.slot_s = slots * measured_ms / 1_000
        measured.lost_slot_s = self._world.lost_slot_ms / 1_000
        measured.collisions = self._world.refusals
        for entry in self._entries:
            counters = entry.desk.counters
            measured.starts += counters.started
            measured.checkpoints += counters.checkpoints
            for finish in entry.finished:
                is_urgent = finish.request.work_class is WorkClass.URGENT
                is_refused = isinstance(finish.outcome, NotRun)
                measured.refused += is_urgent and is_refused
