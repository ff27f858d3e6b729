"""The true state of hosts, ledgers and configuration, with checks of each order."""

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
class HostDurations:
    """Times that a host takes to drain and to reboot; None: it never comes back."""

    drain_ms: int
    reboot_ms: int | None


class SimulatedFleet:
    """The true state of hosts, ledgers and configuration.

    Attributes:
        cfg: The committed configuration.
        listed_hosts: Hosts in the platform's list.
        hosts: All hosts.
        ledgers: The latest ledger of each pool.
        failed_hosts: Hosts that are out involuntarily, and the cause.
        invalid_orders: Orders that break a promise which the watchdog does not check.
        moves: Hosts moved by the conductors.
        outage_host_ms: Sum of the durations of all ended ledger entries.
        reboots: Reboots of each host by each wave.
        views: The view of each pool.
        on_report: Receives reports of hosts and of committed moves.
        on_views: Called after each change of the configuration or of the host list.
        on_health: Receives each host that fails or recovers.
    """

    def __init__(
        self,
        clock: VirtualClock,
        cfg: Configuration,
        hosts: Iterable[Host],
        durations: dict[HostId, HostDurations],
    ) -> None:
        self.clock = clock
        self.cfg = cfg
        self.listed_hosts = {host.host_id: host for host in hosts}
        self.watchdog = Watchdog()
        self.store = LedgerStore(self.watchdog, self._handle_ledger_change)
        self.ledgers: dict[PoolName, OutageLedger] = {}
        self.failed_hosts: dict[HostId, OutCause] = {}
        self.invalid_orders: list[str] = []
        self.moves = 0
        self.outage_host_ms = 0
        self.reboots: Counter[tuple[WaveName, HostId]] = Counter()
        self.on_report: Callable[[Report], None] = lambda _report: None
        self.on_views: Callable[[], None] = lambda: None
        self.on_health: Callable[[HostId, OutCause | None], None] = lambda *_: None
        self._committed_revisions: dict[OperationId, Revision] = {}
        self._serving_after: set[tuple[HostId, OperationId]] = set()
        self.hosts = {
            host: HostStandIn(
                host, times.drain_ms, times.reboot_ms, clock.after, self._report
            )
            for host, times in durations.items()
        }
        for pool in cfg.pools.values():
            self.apply_budget(pool.name, pool.budget.max_out)
        self.views = self._compute_views()

    def commit(self, cfg: Configuration) -> None:
        """Commits a configuration; a larger budget applies at once."""
        before = self.cfg
        self.cfg = replace(cfg, revision=Revision(before.revision + 1))
        for pool in self.cfg.pools.values():
            old = before.pools.get(pool.name)
            if old is None or pool.budget.max_out > old.budget.max_out:
                self.apply_budget(pool.name, pool.budget.max_out)
        self.publish_views()

    def publish_views(self) -> None:
        """Recomputes and publishes the views of all pools."""
        self.views = self._compute_views()
        for host in self.listed_hosts:
            pools = tuple(
                pool for pool, view in self.views.items() if host in view.members
            )
            self.watchdog.observe(HostPlaced(self.clock.now_ms, host, pools))
        self.on_views()

    def apply_budget(self, pool: PoolName, max_out: int) -> None:
        """Sets the budget that the watchdog checks from now on."""
        self.watchdog.observe(BudgetSet(self.clock.now_ms, pool, max_out))

    def _compute_views(self) -> dict[PoolName, PoolView]:
        done = {
            pool: {name: record.done for name, record in ledger.waves.items()}
            for pool, ledger in self.ledgers.items()
        }
        return pool_views(self.cfg, self.listed_hosts.values(), done=done)

    def fail(self, host: HostId, cause: OutCause, length_ms: int) -> None:
        """Takes a host out involuntarily; it recovers after ``length_ms``."""
        if host in self.failed_hosts:
            return
        self.failed_hosts[host] = cause
        if cause is OutCause.FAILED:
            self.hosts[host].is_up = False
        self.on_health(host, cause)
        self.clock.after(length_ms, lambda: self._recover(host))

    def _recover(self, host: HostId) -> None:
        del self.failed_hosts[host]
        self.hosts[host].is_up = not self.hosts[host].is_rebooting
        self.on_health(host, None)

    def execute_order(self, order: Order) -> None:
        """Executes an order, however late it arrives."""
        match order:
            case DrainHost(host, fence):
                self._drain(host, fence)
            case RebootHost(host, fence):
                self._reboot(host, fence)
            case ReturnHost(host, fence):
                self.hosts[host].return_to_service(fence)
                self._observe_if_back(host)
            case CommitMoves():
                self._commit_moves(order)

    def _drain(self, host: HostId, fence: Fence) -> None:
        stand_in = self.hosts[host]
        was_serving = stand_in.is_serving
        stand_in.drain(fence)
        out = self.ledgers[fence.pool].out.get(host)
        is_in_ledger = out is not None and out.op_id == fence.op_id
        if was_serving and not stand_in.is_serving and not is_in_ledger:
            self.invalid_orders.append(f"{host} drained while no ledger lists it")

    def _reboot(self, host: HostId, fence: Fence) -> None:
        stand_in = self.hosts[host]
        before = len(stand_in.rebooted_operations)
        stand_in.reboot(fence)
        if len(stand_in.rebooted_operations) == before:
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

    def _commit_moves(self, order: CommitMoves) -> None:
        if order.fence.op_id in self._committed_revisions:
            self._report_committed(order)
            return
        if any(self.cfg.pool_of(host) != order.source for host in order.moves):
            return
        for host in order.moves:
            self._check_move(host, order.source)
        self.commit(replace(self.cfg, placement={**self.cfg.placement, **order.moves}))
        self._committed_revisions[order.fence.op_id] = self.cfg.revision
        self._report_committed(order)
        for host in order.moves:
            self.watchdog.observe(HostBack(self.clock.now_ms, host))

    def _report_committed(self, order: CommitMoves) -> None:
        op_id = order.fence.op_id
        self.on_report(MovesCommitted(op_id, self._committed_revisions[op_id]))

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
            self._serving_after.add((report.host, report.op_id))
        self._observe_if_back(report.host)
        self.on_report(report)

    def _handle_ledger_change(self, old: OutageLedger, new: OutageLedger) -> None:
        self.ledgers[new.pool] = new
        for host, out in old.out.items():
            if host in new.out:
                continue
            self.outage_host_ms += self.clock.now_ms - out.since_ms
            if (host, out.op_id) in self._serving_after:
                self.watchdog.observe(HostBack(self.clock.now_ms, host))
            self._observe_if_back(host)

    def _is_out(self, host: HostId) -> bool:
        pool = self.cfg.pool_of(host)
        return pool in self.ledgers and host in self.ledgers[pool].out

    def _observe_if_back(self, host: HostId) -> None:
        is_unlisted = host not in self.listed_hosts
        if (is_unlisted or self.hosts[host].is_serving) and not self._is_out(host):
            self.watchdog.observe(HostBack(self.clock.now_ms, host))

    def done(self, wave: WaveName) -> set[HostId]:
        """Returns the hosts that a wave has finished."""
        records = (ledger.wave_record(wave) for ledger in self.ledgers.values())
        return {host for record in records for host in record.done}

    def violations(self) -> list[str]:
        """Returns a description of each violation so far."""
        watchdog_violations = [
            f"{item.promise}: {item.detail}" for item in self.watchdog.violations
        ]
        return watchdog_violations + self.invalid_orders + self.store.budget_violations
