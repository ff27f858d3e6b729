"""One full pool shared by teams through several entries, on a virtual clock."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from ..domain.ids import Incarnation, Millis, PoolName, TeamName
from ..domain.shares import FairShares, ShareSettings, UsageAggregator, UsageFrame

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

POOL = PoolName("pool")
POLL_MS = 20
"""Time between two checks of an entry for slots that other entries have freed."""

FRAME_DELAY_MS = 3
AGGREGATION_PERIOD_MS = 1_000
TASK_SIGMA = 1.0
"""Standard deviation of the logarithm of task times."""


@dataclass(frozen=True, slots=True)
class Site:
    """Size of a pool and of the entries that send tasks to it.

    Attributes:
        name: Name of the site in the names of figures.
        entries: Zone number of each entry.
        slots: Slots of the pool.
    """

    name: str
    entries: tuple[int, ...]
    slots: int


KOMINAR = Site("kominar", (0, 0, 0, 1, 1, 2, 2), 48)
CRANNOG = Site("crannog", (0, 0, 0, 1, 1, 2, 2, 3, 3), 64)


@dataclass(frozen=True, slots=True)
class Demand:
    """Unlimited work of a team, which waits at some entries.

    Attributes:
        team: The team.
        weight: Its share, relative to those of the other teams.
        entries: Numbers of the entries where its work waits.
        task_ms: Mean time of its tasks.
    """

    team: TeamName
    weight: int
    entries: frozenset[int]
    task_ms: float


class FairSharesEntry:
    """An entry that chooses the next team with ``FairShares``."""

    def __init__(self, number: int, site: Site, *, exchanges: bool) -> None:
        self.shares = FairShares(Incarnation(f"e{number}"), ShareSettings())
        if exchanges:
            self.shares.set_pool_slots(POOL, site.slots)

    def may_acquire_slot(self) -> bool:
        """Returns whether the entry may acquire one more slot of the pool."""
        return True


class FixedQuotaEntry(FairSharesEntry):
    """An entry with a fixed, equal part of the slots that sees only its own use."""

    def __init__(self, number: int, site: Site) -> None:
        super().__init__(number, site, exchanges=False)
        size = len(site.entries)
        self.quota = site.slots // size + (number < site.slots % size)
        self.running = 0

    def may_acquire_slot(self) -> bool:
        """Returns whether the entry uses less than its part of the slots."""
        return self.running < self.quota


class SharesSimulation:
    """Simulates entries that share the slots of one pool among teams.

    Args:
        site: Sizes of the pool and of the fleet.
        rng: Source of task times and of the times of polls and frames.
        mode: How entries learn of use elsewhere: ``"exchange"`` sends frames between
            all entries, ``"relay"`` sends frames inside zones and sums between them,
            ``"alone"`` sends nothing, and ``"split"`` sends nothing and gives each
            entry a fixed part of the slots.
    """

    def __init__(self, site: Site, rng: random.Random, mode: str = "exchange") -> None:
        self.site = site
        self.now_ms = 0.0
        self.used_ms: dict[TeamName, float] = {}
        self._rng = rng
        self._uses_aggregators = mode == "relay"
        self._exchanges = mode in ("exchange", "relay")
        self._entries: list[FairSharesEntry] = [
            FixedQuotaEntry(number, site)
            if mode == "split"
            else FairSharesEntry(number, site, exchanges=self._exchanges)
            for number in range(len(site.entries))
        ]
        self._demands: dict[TeamName, Demand] = {}
        self._running: dict[TeamName, int] = {}
        self._waiting: list[list[TeamName]] = [[] for _ in site.entries]
        self._free = site.slots
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        for number in range(len(site.entries)):
            self._schedule(rng.uniform(0, POLL_MS), self._slot_poller(number))
            if self._exchanges:
                period_ms = ShareSettings().period_ms
                self._schedule(rng.uniform(0, period_ms), self._frame_sender(number))
        zones = range(max(site.entries) + 1)
        self._zone_aggregators = [
            UsageAggregator(Incarnation(f"zone{zone}")) for zone in zones
        ]
        self._fleet_aggregators = [
            UsageAggregator(Incarnation(f"rest{zone}")) for zone in zones
        ]
        for zone in zones if self._uses_aggregators else ():
            self._schedule(
                rng.uniform(0, AGGREGATION_PERIOD_MS), self._aggregate_sender(zone)
            )

    def set_demands(self, demands: list[Demand]) -> None:
        """Replaces the demands: which teams have work waiting, and at which entries."""
        self._demands = {item.team: item for item in demands}
        weights = {item.team: item.weight for item in demands}
        for number, entry in enumerate(self._entries):
            entry.shares.set_weights(weights)
            self._waiting[number] = [
                item.team for item in demands if number in item.entries
            ]

    def run(self, duration_ms: float) -> dict[TeamName, float]:
        """Advances time and returns the slot time that each team used meanwhile."""
        self.used_ms = {}
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._advance_to(at_ms)
            action()
        self._advance_to(until_ms)
        return self.used_ms

    def _advance_to(self, at_ms: float) -> None:
        elapsed_ms = at_ms - self.now_ms
        if elapsed_ms > 0:
            for team, running in self._running.items():
                used_ms = self.used_ms.get(team, 0.0)
                self.used_ms[team] = used_ms + running * elapsed_ms
        self.now_ms = at_ms

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, action))

    def _slot_poller(self, number: int) -> Callable[[], None]:
        def poll() -> None:
            self._acquire_slots(number)
            self._schedule(POLL_MS, poll)

        return poll

    def _frame_sender(self, number: int) -> Callable[[], None]:
        def send() -> None:
            waiting = {POOL: self._waiting[number]}
            now_ms = Millis(int(self.now_ms))
            frame = self._entries[number].shares.frame(waiting, now_ms)
            zones = self.site.entries
            if self._uses_aggregators:
                aggregator = self._zone_aggregators[zones[number]]
                self._schedule(
                    FRAME_DELAY_MS, partial(self._aggregate, aggregator, frame)
                )
            for other, entry in enumerate(self._entries):
                is_near = not self._uses_aggregators or zones[other] == zones[number]
                if other != number and is_near:
                    self._schedule(FRAME_DELAY_MS, partial(self._merge, entry, frame))
            self._schedule(ShareSettings().period_ms, send)

        return send

    def _aggregate_sender(self, zone: int) -> Callable[[], None]:
        def send() -> None:
            now_ms = Millis(int(self.now_ms))
            frame = self._zone_aggregators[zone].frame(now_ms)
            for other, aggregator in enumerate(self._fleet_aggregators):
                if other != zone:
                    self._schedule(
                        FRAME_DELAY_MS, partial(self._aggregate, aggregator, frame)
                    )
            rest = self._fleet_aggregators[zone].frame(now_ms)
            for number, entry in enumerate(self._entries):
                if self.site.entries[number] == zone:
                    self._schedule(FRAME_DELAY_MS, partial(self._merge, entry, rest))
            self._schedule(AGGREGATION_PERIOD_MS, send)

        return send

    def _aggregate(self, aggregator: UsageAggregator, frame: UsageFrame) -> None:
        aggregator.merge(frame, Millis(int(self.now_ms)))

    def _merge(self, entry: FairSharesEntry, frame: UsageFrame) -> None:
        entry.shares.merge(frame, Millis(int(self.now_ms)))

    def _acquire_slots(self, number: int) -> None:
        entry = self._entries[number]
        now_ms = Millis(int(self.now_ms))
        while self._free and entry.may_acquire_slot():
            team = entry.shares.pick(POOL, self._waiting[number], now_ms)
            if team is None:
                return
            self._start(number, entry, team)

    def _start(self, number: int, entry: FairSharesEntry, team: TeamName) -> None:
        self._free -= 1
        self._running[team] = self._running.get(team, 0) + 1
        entry.shares.record_start(POOL, team, Millis(int(self.now_ms)))
        if isinstance(entry, FixedQuotaEntry):
            entry.running += 1
        mean_ms = self._demands[team].task_ms
        mu = math.log(mean_ms) - TASK_SIGMA**2 / 2
        slot_ms = self._rng.lognormvariate(mu, TASK_SIGMA)

        def end() -> None:
            self._free += 1
            self._running[team] -= 1
            if isinstance(entry, FixedQuotaEntry):
                entry.running -= 1
            entry.shares.record_end(POOL, team, round(slot_ms))
            self._acquire_slots(number)

        self._schedule(slot_ms, end)
