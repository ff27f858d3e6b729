"""The pool conductors of one entry; one thread owns and steps them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure

from ...domain.configuration import SPARE_POOL
from ...domain.ids import EntryId, Incarnation
from ...domain.invariants import OutCause
from ...domain.inventory import Host
from ...domain.placement import pool_views
from ...domain.waves import HealthListed, OrderDropped
from ...store.config_log import ConfigLog
from ...store.contract import Store
from ..config_view import ConfigView
from .conductor_runner import ConductorRunner, wall_clock_ms
from .duties import AcquisitionTurns
from .ledgers import list_ledgers
from .ports import HostMonitor, OrderExpired

if TYPE_CHECKING:
    from ...domain.configuration import Configuration
    from ...domain.ids import HostId, PoolName, WaveName
    from ...domain.placement import PoolView
    from .ports import HostEvent

    FinishedHosts = dict[PoolName, dict[WaveName, frozenset[HostId]]]

LEDGER_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class ConductorContext:
    """The environment of the conductors: store, configuration, hosts and clocks.

    Attributes:
        raw_store: A store that reports lost replies as unknown outcomes.
        log: The configuration log.
        list_hosts: Returns the hosts that the platform lists.
        list_entries: Returns the entries that are registered now.
        clock: Monotonic clock in milliseconds.
        rng: Random source of the jitter between duty calls.
        wall_clock: Wall clock in milliseconds.
    """

    entry: EntryId
    incarnation: Incarnation
    view: ConfigView
    log: ConfigLog
    raw_store: Store
    hosts: HostMonitor
    list_hosts: Callable[[], list[Host]]
    list_entries: Callable[[], Iterable[EntryId]]
    clock: Callable[[], int]
    rng: random.Random
    wall_clock: Callable[[], int] = wall_clock_ms


class EntryConductors:
    """Holds conductor duties and feeds the conductors pool views and host events."""

    def __init__(self, context: ConductorContext) -> None:
        self.runners: dict[PoolName, ConductorRunner] = {}
        self._context = context
        self._turns = AcquisitionTurns(context.raw_store, context.entry)
        self._views: dict[PoolName, PoolView] = {}
        self._viewed: tuple[Configuration, list[Host], set[PoolName]] | None = None
        self._ledger_retry_at_ms = 0

    def step(self) -> None:
        """Renews and acquires duties, then steps the conductors of the held pools."""
        context = self._context
        cfg, now_ms = context.view.current, context.clock()
        self._turns.refresh_holders(now_ms)
        entries = set(context.list_entries()) | {context.entry}
        for pool in sorted({*cfg.pools, SPARE_POOL, *self.runners}):
            self._run_duty(pool, entries, is_wanted=pool in {*cfg.pools, SPARE_POOL})
        self._update_views(context.view.current)
        for runner in self._active_runners():
            self._report_initial_health(runner)
            runner.tick()

    def stop(self) -> None:
        """Releases all duties."""
        for runner in self._active_runners():
            runner.release()

    def _active_runners(self) -> list[ConductorRunner]:
        return [runner for runner in self.runners.values() if runner.is_held]

    def _run_duty(
        self, pool: PoolName, entries: set[EntryId], *, is_wanted: bool
    ) -> None:
        runner = self.runners.get(pool)
        if runner is None:
            wall_clock = self._context.wall_clock
            runner = ConductorRunner(pool, self._context, wall_clock=wall_clock)
            self.runners[pool] = runner
        now_ms = self._context.clock()
        may_try = runner.is_held or self._turns.is_turn(pool, entries, now_ms)
        runner.run_duty(is_wanted=is_wanted and may_try)

    def _update_views(self, cfg: Configuration) -> None:
        """Rebuilds the pool views after a change.

        The configuration comes first, then the ledgers, which are thus never older.
        """
        hosts = self._context.list_hosts()
        held = {runner.pool for runner in self._active_runners()}
        if not self._is_view_current(cfg, hosts, held):
            done = self._finished_hosts(cfg)
            if done is None:
                self._deliver_host_events()
                return
            self._views = pool_views(cfg, hosts, done=done, only=frozenset(held))
            self._viewed = (cfg, hosts, held)
        self._watch_hosts(hosts)
        self._deliver_host_events()
        for runner in self._active_runners():
            if runner.pool in self._views:
                runner.update_view(self._views[runner.pool])

    def _is_view_current(
        self, cfg: Configuration, hosts: list[Host], held: set[PoolName]
    ) -> bool:
        if self._viewed is None or self._viewed[0] is not cfg:
            return False
        return self._viewed[1:] == (hosts, held)

    def _finished_hosts(self, cfg: Configuration) -> FinishedHosts | None:
        """Returns the hosts that each wave has finished, from the ledgers of all pools.

        None if the ledgers cannot be read now.
        """
        if not cfg.waves:
            return {}
        now_ms = self._context.clock()
        if now_ms < self._ledger_retry_at_ms:
            return None
        listed = list_ledgers(self._context.raw_store)
        if isinstance(listed, Failure):
            self._ledger_retry_at_ms = now_ms + LEDGER_RETRY_MS
            return None
        return {
            pool: {wave: log.done for wave, log in ledger.waves.items()}
            for pool, ledger in listed.unwrap().items()
        }

    def _watch_hosts(self, hosts: list[Host]) -> None:
        """Monitors the members of the held pools, and hosts that are out of service."""
        names: set[HostId] = set()
        for runner in self._active_runners():
            view, ledger = self._views.get(runner.pool), runner.conductor.ledger
            names.update(view.members if view is not None else ())
            names.update(ledger.out if ledger is not None else ())
        listed = {host.host_id: host for host in hosts}
        self._context.hosts.set_hosts({n: listed[n] for n in names if n in listed})

    def _report_initial_health(self, runner: ConductorRunner) -> None:
        """Lists the health of the hosts once that of every member is known."""
        view, hosts = runner.conductor.view, self._context.hosts
        if runner.has_initial_health or view is None:
            return
        members = [name for name, host in view.members.items() if not host.is_missing]
        if not all(hosts.is_health_known(name) for name in members):
            return
        runner.has_initial_health = True
        causes = {
            host.host_id: _outage_cause(hosts, host.host_id)
            for host in self._context.list_hosts()
            if not hosts.is_healthy(host.host_id)
        }
        runner.deliver(HealthListed(causes))

    def _deliver_host_events(self) -> None:
        for event in self._context.hosts.pop_events():
            self._deliver(event)

    def _deliver(self, event: HostEvent) -> None:
        for runner in self._active_runners():
            match event:
                case OrderExpired(pool):
                    if pool == runner.pool:
                        runner.deliver(OrderDropped())
                case _:
                    runner.deliver(event)


def _outage_cause(hosts: HostMonitor, host: HostId) -> OutCause:
    return OutCause.FAILED if hosts.is_health_known(host) else OutCause.UNKNOWN
