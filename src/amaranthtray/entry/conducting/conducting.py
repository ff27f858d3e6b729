"""All conductors of one entry; one thread owns and steps them."""

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
from .duties import DutyBoard
from .ledgers import list_ledgers
from .pool import PoolConducting, wall_clock_ms
from .ports import HostPort, OrderLate

if TYPE_CHECKING:
    from ...domain.configuration import Configuration
    from ...domain.ids import HostId, PoolName, WaveName
    from ...domain.placement import PoolView
    from .ports import HostNews

    Done = dict[PoolName, dict[WaveName, frozenset[HostId]]]

RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class ConductingParts:
    """What the conductors work with.

    Attributes:
        raw_store: A store that does not settle lost replies.
        log: The configuration log.
        listed: Returns the platform's host list.
        entries: Returns the entries that run now.
        clock: Monotonic clock in milliseconds.
        rng: Source of jitter.
        wall_clock: Wall clock in milliseconds.
    """

    entry: EntryId
    incarnation: Incarnation
    view: ConfigView
    log: ConfigLog
    raw_store: Store
    hosts: HostPort
    listed: Callable[[], list[Host]]
    entries: Callable[[], Iterable[EntryId]]
    clock: Callable[[], int]
    rng: random.Random
    wall_clock: Callable[[], int] = wall_clock_ms


class Conducting:
    """Holds duties, shows conductors the fleet and passes on what hosts report."""

    def __init__(self, parts: ConductingParts) -> None:
        self.pools: dict[PoolName, PoolConducting] = {}
        self._parts = parts
        self._board = DutyBoard(parts.raw_store, parts.entry)
        self._views: dict[PoolName, PoolView] = {}
        self._seen: tuple[Configuration, list[Host], set[PoolName]] | None = None
        self._retry_at_ms = 0

    def step(self) -> None:
        """Does what is due."""
        parts = self._parts
        cfg, now_ms = parts.view.current, parts.clock()
        self._board.look(now_ms)
        entries = set(parts.entries()) | {parts.entry}
        for pool in sorted({*cfg.pools, SPARE_POOL, *self.pools}):
            self._hold(pool, entries, is_wanted=pool in {*cfg.pools, SPARE_POOL})
        self._look_at_fleet(parts.view.current)
        for conducting in self._held():
            self._list_health(conducting)
            conducting.tick()

    def stop(self) -> None:
        """Gives all duties up."""
        for conducting in self._held():
            conducting.release()

    def _held(self) -> list[PoolConducting]:
        return [one for one in self.pools.values() if one.is_held]

    def _hold(self, pool: PoolName, entries: set[EntryId], *, is_wanted: bool) -> None:
        conducting = self.pools.get(pool)
        if conducting is None:
            wall_clock = self._parts.wall_clock
            conducting = PoolConducting(pool, self._parts, wall_clock=wall_clock)
            self.pools[pool] = conducting
        now_ms = self._parts.clock()
        may_try = conducting.is_held or self._board.is_turn(pool, entries, now_ms)
        conducting.hold(is_wanted=is_wanted and may_try)

    def _look_at_fleet(self, cfg: Configuration) -> None:
        """Makes new views after a change; the ledgers are read after the revision."""
        hosts = self._parts.listed()
        held = {one.pool for one in self._held()}
        if not self._is_seen(cfg, hosts, held):
            done = self._done(cfg)
            if done is None:
                self._hear_news()
                return
            self._views = pool_views(cfg, hosts, done=done, only=frozenset(held))
            self._seen = (cfg, hosts, held)
        self._follow(hosts)
        self._hear_news()
        for conducting in self._held():
            if conducting.pool in self._views:
                conducting.show(self._views[conducting.pool])

    def _is_seen(
        self, cfg: Configuration, hosts: list[Host], held: set[PoolName]
    ) -> bool:
        if self._seen is None or self._seen[0] is not cfg:
            return False
        return self._seen[1:] == (hosts, held)

    def _done(self, cfg: Configuration) -> Done | None:
        """Returns what waves have done by all ledgers; none if it can't be read."""
        if not cfg.waves:
            return {}
        now_ms = self._parts.clock()
        if now_ms < self._retry_at_ms:
            return None
        listed = list_ledgers(self._parts.raw_store)
        if isinstance(listed, Failure):
            self._retry_at_ms = now_ms + RETRY_MS
            return None
        return {
            pool: {wave: log.done for wave, log in ledger.waves.items()}
            for pool, ledger in listed.unwrap().items()
        }

    def _follow(self, hosts: list[Host]) -> None:
        """Follows the members of the pools held, and hosts with open operations."""
        names: set[HostId] = set()
        for conducting in self._held():
            view, ledger = self._views.get(conducting.pool), conducting.conductor.ledger
            names.update(view.members if view is not None else ())
            names.update(ledger.out if ledger is not None else ())
        listed = {host.host_id: host for host in hosts}
        self._parts.hosts.follow({n: listed[n] for n in names if n in listed})

    def _list_health(self, conducting: PoolConducting) -> None:
        """Tells a new holder the health once all members have been asked."""
        view, hosts = conducting.conductor.view, self._parts.hosts
        if conducting.is_listed or view is None:
            return
        members = [name for name, one in view.members.items() if not one.is_missing]
        if not all(hosts.is_known(name) for name in members):
            return
        conducting.is_listed = True
        causes = {
            host.host_id: _cause(hosts, host.host_id)
            for host in self._parts.listed()
            if not hosts.is_well(host.host_id)
        }
        conducting.deliver(HealthListed(causes))

    def _hear_news(self) -> None:
        for news in self._parts.hosts.news():
            self._hear(news)

    def _hear(self, news: HostNews) -> None:
        for conducting in self._held():
            match news:
                case OrderLate(pool):
                    if pool == conducting.pool:
                        conducting.deliver(OrderDropped())
                case _:
                    conducting.deliver(news)


def _cause(hosts: HostPort, host: HostId) -> OutCause:
    return OutCause.FAILED if hosts.is_known(host) else OutCause.UNKNOWN
