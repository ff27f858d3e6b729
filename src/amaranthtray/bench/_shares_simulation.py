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
"""Time between two looks of an entry for slots that others left free."""

FRAME_DELAY_MS = 3
RELAY_PERIOD_MS = 1_000
TASK_SIGMA = 1.0


@dataclass(frozen=True, slots=True)
class Site:
    """Size of a pool and of the fleet of entries in front of it.

    Attributes:
        name: Short name.
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
    """A team that has work waiting at some entries without end.

    Attributes:
        team: The team.
        weight: Its share.
        entries: Numbers of the entries where its work waits.
        task_ms: Mean time of its tasks.
    """

    team: TeamName
    weight: int
    entries: frozenset[int]
    task_ms: float


class FairEntry:
    """An entry that orders teams with ``FairShares``."""

    def __init__(self, number: int, site: Site, *, exchanges: bool) -> None:
        self.shares = FairShares(Incarnation(f"e{number}"), ShareSettings())
        if exchanges:
            self.shares.set_pool_slots(POOL, site.slots)

    def may_take(self) -> bool:
        """Returns whether the entry may use one more slot of the pool."""
        return True


class SplitEntry(FairEntry):
    """An entry with an equal, fixed part of the slots; it knows its own use only."""

    def __init__(self, number: int, site: Site) -> None:
        super().__init__(number, site, exchanges=False)
        size = len(site.entries)
        self.quota = site.slots // size + (number < site.slots % size)
        self.running = 0

    def may_take(self) -> bool:
        """Returns whether the entry's part has a free slot."""
        return self.running < self.quota


class SharesWorld:
    """Entries that take slots of one pool for teams whose work never ends.

    Args:
        site: Sizes.
        rng: Source of task times and of who looks first.
        mode: ``"exchange"`` between all entries, ``"relay"`` by zone, ``"alone"``
            or ``"split"``.
    """

    def __init__(self, site: Site, rng: random.Random, mode: str = "exchange") -> None:
        self.site = site
        self.now_ms = 0.0
        self.used_ms: dict[TeamName, float] = {}
        self._rng = rng
        self._relays = mode == "relay"
        self._exchanges = mode in ("exchange", "relay")
        self._entries: list[FairEntry] = [
            SplitEntry(number, site)
            if mode == "split"
            else FairEntry(number, site, exchanges=self._exchanges)
            for number in range(len(site.entries))
        ]
        self._demands: dict[TeamName, Demand] = {}
        self._running: dict[TeamName, int] = {}
        self._waiting: list[list[TeamName]] = [[] for _ in site.entries]
        self._free = site.slots
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        for number in range(len(site.entries)):
            self._after(rng.uniform(0, POLL_MS), self._poll_of(number))
            if self._exchanges:
                period_ms = ShareSettings().period_ms
                self._after(rng.uniform(0, period_ms), self._frame_of(number))
        zones = range(max(site.entries) + 1)
        self._zone_relays = [
            UsageAggregator(Incarnation(f"zone{zone}")) for zone in zones
        ]
        self._fleet_relays = [
            UsageAggregator(Incarnation(f"rest{zone}")) for zone in zones
        ]
        for zone in zones if self._relays else ():
            self._after(rng.uniform(0, RELAY_PERIOD_MS), self._relay_of(zone))

    def set_demands(self, demands: list[Demand]) -> None:
        """Changes who has work waiting, and where."""
        self._demands = {item.team: item for item in demands}
        weights = {item.team: item.weight for item in demands}
        for number, entry in enumerate(self._entries):
            entry.shares.set_weights(weights)
            self._waiting[number] = [
                item.team for item in demands if number in item.entries
            ]

    def run(self, duration_ms: float) -> dict[TeamName, float]:
        """Lets time pass and returns the slot time that each team used in it."""
        self.used_ms = {}
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, act = heapq.heappop(self._events)
            self._account(at_ms)
            act()
        self._account(until_ms)
        return self.used_ms

    def _account(self, at_ms: float) -> None:
        elapsed_ms = at_ms - self.now_ms
        if elapsed_ms > 0:
            for team, running in self._running.items():
                used_ms = self.used_ms.get(team, 0.0)
                self.used_ms[team] = used_ms + running * elapsed_ms
        self.now_ms = at_ms

    def _after(self, delay_ms: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, act))

    def _poll_of(self, number: int) -> Callable[[], None]:
        def poll() -> None:
            self._take_slots(number)
            self._after(POLL_MS, poll)

        return poll

    def _frame_of(self, number: int) -> Callable[[], None]:
        def send() -> None:
            waiting = {POOL: self._waiting[number]}
            now_ms = Millis(int(self.now_ms))
            frame = self._entries[number].shares.frame(waiting, now_ms)
            zones = self.site.entries
            if self._relays:
                relay = self._zone_relays[zones[number]]
                self._after(FRAME_DELAY_MS, partial(self._take, relay, frame))
            for other, entry in enumerate(self._entries):
                is_near = not self._relays or zones[other] == zones[number]
                if other != number and is_near:
                    self._after(FRAME_DELAY_MS, partial(self._merge, entry, frame))
            self._after(ShareSettings().period_ms, send)

        return send

    def _relay_of(self, zone: int) -> Callable[[], None]:
        def send() -> None:
            now_ms = Millis(int(self.now_ms))
            frame = self._zone_relays[zone].frame(now_ms)
            for other, relay in enumerate(self._fleet_relays):
                if other != zone:
                    self._after(FRAME_DELAY_MS, partial(self._take, relay, frame))
            rest = self._fleet_relays[zone].frame(now_ms)
            for number, entry in enumerate(self._entries):
                if self.site.entries[number] == zone:
                    self._after(FRAME_DELAY_MS, partial(self._merge, entry, rest))
            self._after(RELAY_PERIOD_MS, send)

        return send

    def _take(self, relay: UsageAggregator, frame: UsageFrame) -> None:
        relay.merge(frame, Millis(int(self.now_ms)))

    def _merge(self, entry: FairEntry, frame: UsageFrame) -> None:
        entry.shares.merge(frame, Millis(int(self.now_ms)))

    def _take_slots(self, number: int) -> None:
        entry = self._entries[number]
        now_ms = Millis(int(self.now_ms))
        while self._free and entry.may_take():
            team = entry.shares.pick(POOL, self._waiting[number], now_ms)
            if team is None:
                return
            self._start(number, entry, team)

    def _start(self, number: int, entry: FairEntry, team: TeamName) -> None:
        self._free -= 1
        self._running[team] = self._running.get(team, 0) + 1
        entry.shares.record_start(POOL, team, Millis(int(self.now_ms)))
        if isinstance(entry, SplitEntry):
            entry.running += 1
        mean_ms = self._demands[team].task_ms
        mu = math.log(mean_ms) - TASK_SIGMA**2 / 2
        slot_ms = self._rng.lognormvariate(mu, TASK_SIGMA)

        def end() -> None:
            self._free += 1
            self._running[team] -= 1
            if isinstance(entry, SplitEntry):
                entry.running -= 1
            entry.shares.record_end(POOL, team, round(slot_ms))
            self._take_slots(number)

        self._after(slot_ms, end)
