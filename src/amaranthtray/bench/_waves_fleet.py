"""The true state of hosts, ledgers and configuration, with an observer on it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..domain.budgets import OutageLedger, OutageStage
from ..domain.ids import HostId, PoolName, Revision, WaveName
from ..domain.invariants import BudgetSet, HostBack, HostPlaced, OutCause, Watchdog
from ..domain.placement import PoolView, pool_views
from ..domain.waves import (
    CommitMoves,
    DrainHost,
    MovesCommitted,
    RebootHost,
    ReturnHost,
)
from ._waves_hosts import HostStandIn
from ._waves_store import LedgerStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..domain.configuration import Configuration
    from ..domain.ids import OperationId
    from ..domain.inventory import Host
    from ..domain.waves import Fence
    from ._waves_clock import VirtualClock
    from ._waves_hosts import HostReport

    Report = HostReport | MovesCommitted

Order = DrainHost | RebootHost | ReturnHost | CommitMoves


@dataclass(frozen=True, slots=True)
class Durations:
    """How long a host takes to drain and to reboot; none never comes back."""

    drain_ms: int
    reboot_ms: int | None


class Fleet:
    """Hosts, ledgers and the configuration as they really are.

    Attributes:
        cfg: The configuration.
        listed: Hosts in the platform's list.
        hosts: All hosts.
        ledgers: The latest ledger of each pool.
        failed: Hosts that are out by themselves, and why.
        invalid_orders: Broken promises that the checkers of the package do not cover.
        moves: Hosts moved by the conductors.
        out_ms: Host-milliseconds that ended entries of the ledgers lasted.
        on_report: Takes what hosts and the configuration log report.
        on_views: Called after each change of the configuration or of the list.
        on_health: Takes hosts that fail or recover.
    """

    def __init__(
        self,
        clock: VirtualClock,
        cfg: Configuration,
        hosts: Iterable[Host],
        durations: dict[HostId, Durations],
    ) -> None:
        self.clock = clock
        self.cfg = cfg
        self.listed = {host.host_id: host for host in hosts}
        self.watchdog = Watchdog()
        self.store = LedgerStore(self.watchdog, self._ledger_changed)
        self.ledgers: dict[PoolName, OutageLedger] = {}
        self.failed: dict[HostId, OutCause] = {}
        self.invalid_orders: list[str] = []
        self.moves = 0
        self.out_ms = 0
        self.reboots: Counter[tuple[WaveName, HostId]] = Counter()
        self.on_report: Callable[[Report], None] = lambda _report: None
        self.on_views: Callable[[], None] = lambda: None
        self.on_health: Callable[[HostId, OutCause | None], None] = lambda *_: None
        self._records: dict[OperationId, Revision] = {}
        self._served: set[tuple[HostId, OperationId]] = set()
        self.hosts = {
            host: HostStandIn(
                host, took.drain_ms, took.reboot_ms, clock.after, self._report
            )
            for host, took in durations.items()
        }
        for pool in cfg.pools.values():
            self.bind_budget(pool.name, pool.budget.max_out)
        self.views = self._look()

    def change(self, cfg: Configuration) -> None:
        """Commits a configuration; a larger budget binds at once."""
        before = self.cfg
        self.cfg = replace(cfg, revision=Revision(before.revision + 1))
        for pool in self.cfg.pools.values():
            old = before.pools.get(pool.name)
            if old is None or pool.budget.max_out > old.budget.max_out:
                self.bind_budget(pool.name, pool.budget.max_out)
        self.list_again()

    def list_again(self) -> None:
        """Shows the configuration and the platform's list as they are now."""
        self.views = self._look()
        for host in self.listed:
            pools = tuple(
                pool for pool, view in self.views.items() if host in view.members
            )
            self.watchdog.observe(HostPlaced(self.clock.now_ms, host, pools))
        self.on_views()

    def bind_budget(self, pool: PoolName, max_out: int) -> None:
        """Tells the observer which budget binds from now on."""
        self.watchdog.observe(BudgetSet(self.clock.now_ms, pool, max_out))

    def _look(self) -> dict[PoolName, PoolView]:
        done = {
            pool: {name: log.done for name, log in ledger.waves.items()}
            for pool, ledger in self.ledgers.items()
        }
        return pool_views(self.cfg, self.listed.values(), done=done)

    def fail(self, host: HostId, cause: OutCause, length_ms: int) -> None:
        """Takes a host out by itself for a while."""
        if host in self.failed:
            return
        self.failed[host] = cause
        if cause is OutCause.FAILED:
            self.hosts[host].is_up = False
        self.on_health(host, cause)
        self.clock.after(length_ms, lambda: self._recover(host))

    def _recover(self, host: HostId) -> None:
        del self.failed[host]
        self.hosts[host].is_up = not self.hosts[host].is_rebooting
        self.on_health(host, None)

    def obey(self, order: Order) -> None:
        """Carries an order out, however late it comes."""
        match order:
            case DrainHost(host, fence):
                self._drain(host, fence)
            case RebootHost(host, fence):
                self._reboot(host, fence)
            case ReturnHost(host, fence):
                self.hosts[host].return_to_service(fence)
                self._check_back(host)
            case CommitMoves():
                self._commit(order)

    def _drain(self, host: HostId, fence: Fence) -> None:
        stand_in = self.hosts[host]
        was_serving = stand_in.is_serving
        stand_in.drain(fence)
        out = self.ledgers[fence.pool].out.get(host)
        is_listed = out is not None and out.op_id == fence.op_id
        if was_serving and not stand_in.is_serving and not is_listed:
            self.invalid_orders.append(f"{host} drained while no ledger lists it")

    def _reboot(self, host: HostId, fence: Fence) -> None:
        stand_in = self.hosts[host]
        before = len(stand_in.rebooted)
        stand_in.reboot(fence)
        if len(stand_in.rebooted) == before:
            return
        out = self.ledgers[fence.pool].out.get(host)
        if out is None or out.wave is None or out.stage is not OutageStage.REBOOTING:
            self.invalid_orders.append(
                f"{host} rebooted while the ledger does not say so"
            )
            return
        self.reboots[out.wave, host] += 1
        if self.reboots[out.wave, host] > 1:
            self.invalid_orders.append(f"{host} rebooted again by {out.wave}")

    def _commit(self, order: CommitMoves) -> None:
        if order.fence.op_id in self._records:
            self._tell_committed(order)
            return
        if any(self.cfg.pool_of(host) != order.source for host in order.moves):
            return
        for host in order.moves:
            self._check_move(host, order.source)
        self.change(replace(self.cfg, placement={**self.cfg.placement, **order.moves}))
        self._records[order.fence.op_id] = self.cfg.revision
        self._tell_committed(order)
        for host in order.moves:
            self.watchdog.observe(HostBack(self.clock.now_ms, host))

    def _tell_committed(self, order: CommitMoves) -> None:
        op_id = order.fence.op_id
        self.on_report(MovesCommitted(op_id, self._records[op_id]))

    def _check_move(self, host: HostId, source: PoolName) -> None:
        out = self.ledgers[source].out.get(host)
        if out is None or out.stage is not OutageStage.PLACING:
            self.invalid_orders.append(f"{host} moved while the ledger does not say so")
        elif out.cause is OutCause.MOVING:
            self.moves += 1
            if not self.hosts[host].is_empty and self.hosts[host].is_up:
                self.invalid_orders.append(f"{host} moved undrained")

    def _report(self, report: HostReport) -> None:
        stand_in = self.hosts[report.host]
        self.invalid_orders.extend(stand_in.invalid_orders)
        stand_in.invalid_orders.clear()
        if stand_in.is_serving:
            self._served.add((report.host, report.op_id))
        self._check_back(report.host)
        self.on_report(report)

    def _ledger_changed(self, old: OutageLedger, new: OutageLedger) -> None:
        self.ledgers[new.pool] = new
        for host, out in old.out.items():
            if host in new.out:
                continue
            self.out_ms += self.clock.now_ms - out.since_ms
            if (host, out.op_id) in self._served:
                self.watchdog.observe(HostBack(self.clock.now_ms, host))
            self._check_back(host)

    def _is_out(self, host: HostId) -> bool:
        pool = self.cfg.pool_of(host)
        return pool in self.ledgers and host in self.ledgers[pool].out

    def _check_back(self, host: HostId) -> None:
        is_gone = host not in self.listed
        if (is_gone or self.hosts[host].is_serving) and not self._is_out(host):
            self.watchdog.observe(HostBack(self.clock.now_ms, host))

    def done(self, wave: WaveName) -> set[HostId]:
        """Returns the hosts that a wave has maintained."""
        logs = (ledger.wave_record(wave) for ledger in self.ledgers.values())
        return {host for log in logs for host in log.done}

    def violations(self) -> list[str]:
        """Returns every promise that was broken so far."""
        seen = [f"{item.promise}: {item.detail}" for item in self.watchdog.violations]
        return seen + self.invalid_orders + self.store.faults
