"""Simulated hosts that drain, reboot and fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..bench._waves_hosts import HostStandIn
from ..domain.budgets import decode
from ..domain.budgets.codec import LEDGER_PREFIX
from ..domain.ids import HostId, PoolName
from ..domain.invariants import HostBack, HostOut, OutCause
from ..domain.waves import (
    DrainHost,
    HealthChanged,
    OrderDropped,
    RebootHost,
    ReturnHost,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..bench._waves_hosts import HostReport
    from ..domain.budgets import OutageLedger
    from .backend import VirtualBackend
    from .entry import VirtualEntry
    from .world import World

DRAIN_MS = -1
"""Marks a drain, which ends when the host is empty, not after a fixed time."""
REBOOT_MS = 1_000
HEALTH_DELAY_MS = 500
"""Time until conductors learn that a host has failed or recovered."""


class Maintenance:
    """Drains, reboots and failures of all hosts, and the ledgers of hosts out.

    Attributes:
        failed: Hosts that are out involuntarily, with the cause.
        ledgers: The latest observed ledger of each pool.
        done: Time at which a wave had maintained a host, by wave and host.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.failed: dict[HostId, OutCause] = {}
        self.ledgers: dict[PoolName, OutageLedger] = {}
        self.done: dict[tuple[str, HostId], int] = {}
        self._hosts = {
            name: self._stand_in(backend) for name, backend in world.hosts.items()
        }

    def _stand_in(self, backend: VirtualBackend) -> HostStandIn:
        def schedule(delay_ms: int, act: Callable[[], None]) -> None:
            if delay_ms == DRAIN_MS:
                backend.when_empty(act)
            else:
                backend.clock.after(delay_ms, act)

        name = backend.host.host_id
        return HostStandIn(name, DRAIN_MS, REBOOT_MS, schedule, self._report)

    def execute_order(
        self, entry: VirtualEntry, order: DrainHost | RebootHost | ReturnHost
    ) -> None:
        """Executes a conductor's order if its deadline has not passed."""
        world = self._world
        if world.now_ms > order.fence.not_after_ms:
            entry.run(lambda: entry.conductors.handle(OrderDropped()))
            return
        if not world.network.delivers(entry.name, order.host):
            return
        stand_in = self._hosts[order.host]
        match order:
            case DrainHost():
                stand_in.drain(order.fence)
            case RebootHost():
                stand_in.reboot(order.fence)
            case ReturnHost():
                stand_in.return_to_service(order.fence)
        self._update_backend(order.host)

    def fail_host(self, host: HostId) -> None:
        """Takes a host down; conductors learn of it after a delay."""
        self._hosts[host].is_up = False
        self._schedule_health_change(host, OutCause.FAILED)

    def recover_host(self, host: HostId) -> None:
        """Brings a host up again; conductors learn of it after a delay."""
        self._hosts[host].is_up = True
        self._schedule_health_change(host, None)

    def _schedule_health_change(self, host: HostId, cause: OutCause | None) -> None:
        def report() -> None:
            self.failed.pop(host, None)
            if cause is not None:
                self.failed[host] = cause
            self._broadcast(HealthChanged(host, cause))

        self._world.clock.after(HEALTH_DELAY_MS, report)

    def _report(self, report: HostReport) -> None:
        for fault in self._hosts[report.host].invalid_orders:
            self._world.history.extra_violations.append(("BudgetsHold", fault))
        self._hosts[report.host].invalid_orders.clear()
        self._update_backend(report.host)
        self._broadcast(report)

    def _broadcast(self, message: HostReport | HealthChanged) -> None:
        for entry in self._world.entries.values():
            if self._world.network.delivers(message.host, entry.name):
                delay_ms = self._world.site.delay_ms
                self._world.clock.after(delay_ms, self._delivery_to(entry, message))

    def _delivery_to(
        self, entry: VirtualEntry, message: HostReport | HealthChanged
    ) -> Callable[[], None]:
        return lambda: entry.run(lambda: entry.conductors.handle(message))

    def _update_backend(self, host: HostId) -> None:
        stand_in, backend = self._hosts[host], self._world.hosts[host]
        backend.is_up = stand_in.is_up
        backend.refuses = backend.is_leaving or stand_in.drain_op is not None

    def observe_ledgers(self) -> None:
        """Observes hosts that entered or left a ledger in the store."""
        now_ms, observe = self._world.now_ms, self._world.history.observe
        for item in self._world.platform.read_all(LEDGER_PREFIX).items:
            pool = PoolName(item.key.removeprefix(LEDGER_PREFIX))
            ledger = decode(item.value, pool=pool).unwrap()
            old = self.ledgers.get(pool)
            before = old.out if old is not None else {}
            self.ledgers[pool] = ledger
            for host in sorted(before.keys() - ledger.out.keys()):
                if self._hosts[host].is_serving:
                    observe(HostBack(now_ms, host))
            for host, outage in ledger.out.items():
                if host not in before:
                    observe(HostOut(now_ms, pool, host, outage.cause))
            for wave, record in ledger.waves.items():
                for host in sorted(record.done):
                    self.done.setdefault((wave, host), now_ms)
