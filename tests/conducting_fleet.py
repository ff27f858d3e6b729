"""Conductors of several entries on a manual clock, with one store and fake hosts."""

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
from amaranthtray.entry.conducting import ConductorContext, EntryConductors
from amaranthtray.entry.conducting.tracker import HostTracker
from amaranthtray.entry.config_view import ConfigView
from amaranthtray.standins.maintenance import Maintenance
from amaranthtray.store.config_log import ConfigLog
from amaranthtray.store.memory import MemoryPlatform
from amaranthtray.store.read_back import ReadBackStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthtray.backend.maintenance import MaintenanceOrder
    from amaranthtray.domain.configuration import Change

WEB = PoolName("web")
PATCH = WaveName("patch")
STEP_MS = 100
REBOOT_MS = 2_000
MAX_OUT = 2


@dataclass
class FakeHost:
    """A host that runs no tasks and carries out maintenance orders."""

    host: Host
    maintenance: Maintenance
    is_up: bool = True

    def query_health(self, order: MaintenanceOrder | None) -> wire.Health | None:
        if not self.is_up or self.maintenance.is_down:
            return None
        if order is not None:
            fence = order.fence
            body = wire.HostOrder(fence.op_id, fence.pool, int(fence.term))
            self.maintenance.execute_order(_order_verb(order), body, is_empty=True)
        state = "live" if self.maintenance.draining is None else "leaving"
        ended, rebooted = (
            tuple(self.maintenance.ended),
            tuple(self.maintenance.rebooted),
        )
        return wire.Health(state, 8, (), self.maintenance.draining, ended, rebooted)


class FakeHostMonitor(HostTracker):
    """The host monitor of one entry; its calls are answered at once."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet

    def make_due_calls(self) -> None:
        for poll in self.start_due_polls(self._fleet.now_ms):
            name = poll.host.host_id
            reply = self._fleet.hosts[name].query_health(poll.order)
            self.record_reply(name, reply, self._fleet.now_ms)


class FakeEntry:
    """One entry's conductors and its own view of the configuration."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        raw = fleet.platform.client(name)
        self.log = ConfigLog(
            ReadBackStore(raw), entry=EntryId(name), rules=builders.rules()
        )
        clock = fleet.clock
        self.view = ConfigView(lambda cfg: None, clock=clock)
        self.hosts = FakeHostMonitor(fleet)
        self.is_paused = False
        self.context = ConductorContext(
            entry=EntryId(name),
            incarnation=Incarnation(f"{name}-1"),
            view=self.view,
            log=self.log,
            raw_store=raw,
            hosts=self.hosts,
            list_hosts=fleet.list_hosts,
            list_entries=lambda: [EntryId(name) for name in fleet.entries],
            clock=clock,
            rng=random.Random(name),
            wall_clock=clock,
        )
        self.conductors = EntryConductors(self.context)

    def step(self) -> None:
        if self.is_paused:
            return
        loaded = self.log.load().value_or(None)
        if loaded is not None:
            self.view.offer_snapshot(loaded.cfg)
        self.conductors.step()
        self.hosts.make_due_calls()

    def holds(self, pool: PoolName = WEB) -> bool:
        runner = self.conductors.runners.get(pool)
        return runner is not None and runner.is_held


@dataclass
class Fleet:
    """Hosts, entries and their store on one clock; each step checks the invariants."""

    now_ms: int = 0
    hosts: dict[HostId, FakeHost] = field(default_factory=dict)
    entries: dict[str, FakeEntry] = field(default_factory=dict)
    watchdog: Watchdog = field(default_factory=Watchdog)
    out: set[HostId] = field(default_factory=set)
    seen_in_service: set[HostId] = field(default_factory=set)
    commits: int = 0

    def __post_init__(self) -> None:
        self.platform = MemoryPlatform(self.clock)

    def clock(self) -> int:
        return self.now_ms

    def list_hosts(self) -> list[Host]:
        return [fake_host.host for fake_host in self.hosts.values()]

    def add_host(self, number: int) -> FakeHost:
        host = builders.host(
            number, zone=f"z{number % 2}", rack=f"r{number}", labels={"pool": "web"}
        )
        maintenance = Maintenance(REBOOT_MS, clock=lambda: self.now_ms / 1_000)
        self.hosts[host.host_id] = FakeHost(host, maintenance)
        return self.hosts[host.host_id]

    def commit(self, *changes: Change) -> None:
        log = ConfigLog(
            ReadBackStore(self.platform.client("operator")),
            entry=EntryId("operator"),
            rules=builders.rules(),
        )
        self.commits += 1
        cfg = log.load().unwrap().cfg
        op_id = OperationId(f"o{self.commits}")
        log.commit(cfg, changes, op_id=op_id, operator="ana").unwrap()

    def run_until(self, condition: Callable[[], bool], *, limit_s: int = 120) -> None:
        for _ in range(limit_s * 1_000 // STEP_MS):
            if condition():
                return
            self.step()
        raise AssertionError(f"the condition did not hold within {limit_s} s")

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.step()

    def step(self) -> None:
        self.now_ms += STEP_MS
        for entry in self.entries.values():
            entry.step()
            self._report_outages()
        assert self.watchdog.violations == []
        assert [
            f
            for fake_host in self.hosts.values()
            for f in fake_host.maintenance.invalid_orders
        ] == []
        assert self._drain_operations() <= self._ledger_operations()

    def _drain_operations(self) -> set[str]:
        op_ids = {fake_host.maintenance.draining for fake_host in self.hosts.values()}
        return {op_id for op_id in op_ids if op_id is not None}

    def _ledger_operations(self) -> set[str]:
        """Returns the operations in the ledgers; a drain begins after its write."""
        ledgers = self.ledgers().values()
        return {out.op_id for ledger in ledgers for out in ledger.out.values()}

    def ledgers(self) -> dict[PoolName, OutageLedger]:
        """Returns the ledgers in the store, read past all planned faults."""
        listing = self.platform.read_all(LEDGER_PREFIX)
        names = [
            PoolName(item.key.removeprefix(LEDGER_PREFIX)) for item in listing.items
        ]
        return {
            name: decode(item.value, pool=name).unwrap()
            for name, item in zip(names, listing.items, strict=True)
        }

    def _report_outages(self) -> None:
        """Reports hosts that go out or return to the invariant checker.

        A host counts once it has been in service; before that it is no capacity.
        """
        for name, fake_host in self.hosts.items():
            is_out = (
                fake_host.maintenance.draining is not None
                or fake_host.maintenance.is_down
            )
            is_out = is_out or self._is_detected_failed(name)
            if self.is_placed(name) and not is_out:
                self.seen_in_service.add(name)
            if is_out and name not in self.out and name in self.seen_in_service:
                cause = OutCause.MAINTENANCE if fake_host.is_up else OutCause.FAILED
                self.watchdog.observe(HostOut(self.now_ms, WEB, name, cause))
                self.out.add(name)
            elif not is_out and name in self.out:
                self.watchdog.observe(HostBack(self.now_ms, name))
                self.out.discard(name)

    def _is_detected_failed(self, host: HostId) -> bool:
        """Returns whether a holder has detected the failure; scenarios count so too."""
        monitors = [entry.hosts for entry in self.entries.values() if entry.holds()]
        return any(m.is_health_known(host) and not m.is_healthy(host) for m in monitors)

    def is_placed(self, host: HostId) -> bool:
        return any(e.view.current.pool_of(host) == WEB for e in self.entries.values())

    def all_placed(self) -> bool:
        return all(self.is_placed(host) for host in self.hosts)

    def holder(self) -> FakeEntry:
        return next(entry for entry in self.entries.values() if entry.holds())

    def reboot_counts(self) -> list[int]:
        return [
            len(fake_host.maintenance.rebooted) for fake_host in self.hosts.values()
        ]

    def finished_hosts(self) -> frozenset[HostId]:
        ledgers = self.ledgers()
        return ledgers[WEB].wave_record(PATCH).done if WEB in ledgers else frozenset()


def make_fleet(*, hosts: int = 4, entries: int = 2) -> Fleet:
    """Returns a fleet whose hosts the conductors have placed in pool ``web``."""
    fleet = Fleet()
    for number in range(hosts):
        fleet.add_host(number)
    for number in range(entries):
        fleet.entries[f"e{number}"] = FakeEntry(fleet, f"e{number}")
    pool = builders.pool("web", max_out=MAX_OUT, max_out_per_zone=MAX_OUT)
    fleet.commit(PutPool(pool))
    fleet.watchdog.observe(BudgetSet(0, WEB, MAX_OUT))
    fleet.run_until(fleet.all_placed)
    fleet.run_until(
        lambda: all(h.maintenance.draining is None for h in fleet.hosts.values())
    )
    return fleet


def begin_wave(fleet: Fleet) -> None:
    """Begins a wave that reboots every host of the pool."""
    fleet.commit(PutWave(builders.wave("patch", selector="pool=web")))


def _order_verb(order: MaintenanceOrder) -> str:
    match order:
        case DrainHost():
            return wire.DRAIN
        case RebootHost():
            return wire.REBOOT
    return wire.RETURN
