"""Entries' conductors on one manual clock, one store and fake hosts."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import builders
from amaranthtray.backend import wire
from amaranthtray.domain.budgets import OutageLedger, decode
from amaranthtray.domain.budgets.codec import LEDGER_PREFIX
from amaranthtray.domain.configuration import PutPool, PutWave
from amaranthtray.domain.ids import (
    EntryId,
    HostId,
    Incarnation,
    OperationId,
    PoolName,
    WaveName,
)
from amaranthtray.domain.invariants import (
    BudgetSet,
    HostBack,
    HostOut,
    OutCause,
    Watchdog,
)
from amaranthtray.domain.inventory import Host
from amaranthtray.domain.waves import DrainHost, RebootHost
from amaranthtray.entry.conducting import Conducting, ConductingParts
from amaranthtray.entry.conducting.tracker import HostTracker
from amaranthtray.entry.config_view import ConfigView
from amaranthtray.standins.maintenance import Maintenance
from amaranthtray.store.config_log import ConfigLog
from amaranthtray.store.memory import MemoryPlatform
from amaranthtray.store.settled import SettledStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthtray.backend.maintenance import Order
    from amaranthtray.domain.configuration import Change

WEB = PoolName("web")
PATCH = WaveName("patch")
STEP_MS = 100
REBOOT_MS = 2_000
MAX_OUT = 2


@dataclass
class FakeHost:
    """A host without tasks."""

    host: Host
    work: Maintenance
    is_up: bool = True

    def ask(self, order: Order | None) -> wire.Health | None:
        if not self.is_up or self.work.is_down:
            return None
        if order is not None:
            fence = order.fence
            body = wire.HostOrder(fence.op_id, fence.pool, int(fence.term))
            self.work.execute_order(_verb(order), body, is_empty=True)
        state = "live" if self.work.draining is None else "leaving"
        ended, rebooted = tuple(self.work.ended), tuple(self.work.rebooted)
        return wire.Health(state, 8, (), self.work.draining, ended, rebooted)


class FakeLink(HostTracker):
    """The host port of one entry; calls are answered at once."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet

    def call_all(self) -> None:
        for poll in self.due(self._fleet.now_ms):
            name = poll.host.host_id
            health = self._fleet.hosts[name].ask(poll.order)
            self.take(name, health, self._fleet.now_ms)


class FakeEntry:
    """One entry's conductors and its own view of the configuration."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        raw = fleet.platform.client(name)
        self.log = ConfigLog(
            SettledStore(raw), entry=EntryId(name), rules=builders.rules()
        )
        clock = fleet.clock
        self.view = ConfigView(lambda cfg: None, clock=clock)
        self.link = FakeLink(fleet)
        self.is_paused = False
        self.parts = ConductingParts(
            entry=EntryId(name),
            incarnation=Incarnation(f"{name}-1"),
            view=self.view,
            log=self.log,
            raw_store=raw,
            hosts=self.link,
            listed=fleet.listed,
            entries=lambda: [EntryId(one) for one in fleet.entries],
            clock=clock,
            rng=random.Random(name),
            wall_clock=clock,
        )
        self.conducting = Conducting(self.parts)

    def step(self) -> None:
        if self.is_paused:
            return
        loaded = self.log.load().value_or(None)
        if loaded is not None:
            self.view.offer_snapshot(loaded.cfg)
        self.conducting.step()
        self.link.call_all()

    def holds(self, pool: PoolName = WEB) -> bool:
        found = self.conducting.pools.get(pool)
        return found is not None and found.is_held


@dataclass
class Fleet:
    """Everything on one clock."""

    now_ms: int = 0
    hosts: dict[HostId, FakeHost] = field(default_factory=dict)
    entries: dict[str, FakeEntry] = field(default_factory=dict)
    watchdog: Watchdog = field(default_factory=Watchdog)
    out: set[HostId] = field(default_factory=set)
    served: set[HostId] = field(default_factory=set)
    ops: int = 0

    def __post_init__(self) -> None:
        self.platform = MemoryPlatform(self.clock)

    def clock(self) -> int:
        return self.now_ms

    def listed(self) -> list[Host]:
        return [one.host for one in self.hosts.values()]

    def add_host(self, number: int) -> FakeHost:
        host = builders.host(
            number, zone=f"z{number % 2}", rack=f"r{number}", labels={"pool": "web"}
        )
        work = Maintenance(REBOOT_MS, clock=lambda: self.now_ms / 1_000)
        self.hosts[host.host_id] = FakeHost(host, work)
        return self.hosts[host.host_id]

    def commit(self, *changes: Change) -> None:
        log = ConfigLog(
            SettledStore(self.platform.client("operator")),
            entry=EntryId("operator"),
            rules=builders.rules(),
        )
        self.ops += 1
        cfg = log.load().unwrap().cfg
        op_id = OperationId(f"o{self.ops}")
        log.commit(cfg, changes, op_id=op_id, operator="ana").unwrap()

    def run_until(self, holds: Callable[[], bool], *, limit_s: int = 120) -> None:
        for _ in range(limit_s * 1_000 // STEP_MS):
            if holds():
                return
            self.step()
        raise AssertionError("not in time")

    def run(self, millis: int) -> None:
        for _ in range(millis // STEP_MS):
            self.step()

    def step(self) -> None:
        self.now_ms += STEP_MS
        for entry in self.entries.values():
            entry.step()
            self._observe()
        assert self.watchdog.violations == []
        assert [f for one in self.hosts.values() for f in one.work.invalid_orders] == []
        assert self._drains() <= self._ledgered()

    def _drains(self) -> set[str]:
        drains = {one.work.draining for one in self.hosts.values()}
        return {op_id for op_id in drains if op_id is not None}

    def _ledgered(self) -> set[str]:
        """Returns the operations in ledgers: a drain begins after the write only."""
        found = self.ledgers().values()
        return {out.op_id for ledger in found for out in ledger.out.values()}

    def ledgers(self) -> dict[PoolName, OutageLedger]:
        """Returns the ledgers in the store, which the observer always reaches."""
        listing = self.platform.read_all(LEDGER_PREFIX)
        names = [
            PoolName(item.key.removeprefix(LEDGER_PREFIX)) for item in listing.items
        ]
        return {
            name: decode(item.value, pool=name).unwrap()
            for name, item in zip(names, listing.items, strict=True)
        }

    def _observe(self) -> None:
        """Watches hosts that have served in the pool; others are no capacity yet."""
        for name, one in self.hosts.items():
            is_out = one.work.draining is not None or one.work.is_down
            is_out = is_out or self._is_known_lost(name)
            if self.is_placed(name) and not is_out:
                self.served.add(name)
            if is_out and name not in self.out and name in self.served:
                cause = OutCause.MAINTENANCE if one.is_up else OutCause.FAILED
                self.watchdog.observe(HostOut(self.now_ms, WEB, name, cause))
                self.out.add(name)
            elif not is_out and name in self.out:
                self.watchdog.observe(HostBack(self.now_ms, name))
                self.out.discard(name)

    def _is_known_lost(self, host: HostId) -> bool:
        """A loss counts from when a holder can know of it, as in the scenarios."""
        links = [one.link for one in self.entries.values() if one.holds()]
        return any(link.is_known(host) and not link.is_well(host) for link in links)

    def is_placed(self, host: HostId) -> bool:
        return any(e.view.current.pool_of(host) == WEB for e in self.entries.values())

    def all_placed(self) -> bool:
        return all(self.is_placed(host) for host in self.hosts)

    def holder(self) -> FakeEntry:
        return next(one for one in self.entries.values() if one.holds())

    def reboots(self) -> list[int]:
        return [len(one.work.rebooted) for one in self.hosts.values()]

    def done(self) -> frozenset[HostId]:
        found = self.ledgers()
        return found[WEB].wave_record(PATCH).done if WEB in found else frozenset()


def fleet(*, hosts: int = 4, entries: int = 2) -> Fleet:
    """Returns a fleet whose hosts the conductors have placed in one pool."""
    made = Fleet()
    for number in range(hosts):
        made.add_host(number)
    for number in range(entries):
        made.entries[f"e{number}"] = FakeEntry(made, f"e{number}")
    pool = builders.pool("web", max_out=MAX_OUT, max_out_per_zone=MAX_OUT)
    made.commit(PutPool(pool))
    made.watchdog.observe(BudgetSet(0, WEB, MAX_OUT))
    made.run_until(made.all_placed)
    made.run_until(lambda: all(h.work.draining is None for h in made.hosts.values()))
    return made


def begin_wave(made: Fleet) -> None:
    """Asks for a reboot of every host of the pool."""
    made.commit(PutWave(builders.wave("patch", selector="pool=web")))


def _verb(order: Order) -> str:
    match order:
        case DrainHost():
            return wire.DRAIN
        case RebootHost():
            return wire.REBOOT
    return wire.RETURN
