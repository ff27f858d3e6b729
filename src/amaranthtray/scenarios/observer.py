"""Turns what happens in the world into observations for the checkers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.configuration import PlaceHosts, PutPool, PutTeam, WithdrawKey
from ..domain.ids import EntryId
from ..domain.invariants import (
    BudgetSet,
    ConfigCommitted,
    HostBack,
    HostOut,
    HostPlaced,
    KeyWithdrawn,
    LimitSet,
    ReachChanged,
)
from ..store.config_keys import LOG_PREFIX, decode_record
from .history import IN_FORCE_MS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..domain.configuration import Record
    from ..domain.ids import HostId, PoolName
    from ..domain.invariants import ConfigApplied
    from ..domain.inventory import Host
    from ..domain.waves import HealthChanged
    from .world import World


class Observer:
    """Sees the log, who reaches whom, and what entries put in force."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._reachable_since: dict[str, int | None] = {}
        self._committed: dict[int, int] = {}

    def note_commits(self) -> None:
        """Observes each record that has come into the log."""
        for item in self._world.platform.read_all(LOG_PREFIX).items:
            record = decode_record(item.value)
            if record is not None and record.revision not in self._committed:
                self._committed[record.revision] = self._world.now_ms
                self._observe_record(record)
                self._world.clock.after(IN_FORCE_MS + 1, self._check_in_force)

    def _observe_record(self, record: Record) -> None:
        now_ms, observe = self._world.now_ms, self._world.history.observe
        observe(ConfigCommitted(now_ms, record.revision))
        for change in record.changes:
            match change:
                case PutTeam(team=team):
                    observe(LimitSet(now_ms, team.name, team.limit))
                case PutPool(pool=pool):
                    observe(BudgetSet(now_ms, pool.name, pool.budget.max_out))
                case WithdrawKey(key_id=key_id):
                    observe(KeyWithdrawn(now_ms, key_id))
                case PlaceHosts(moves=moves):
                    for host in moves:
                        observe(HostBack(now_ms, host))

    def update_reach(self) -> None:
        """Observes which entries must hear news: from the platform or a fresh peer."""
        awake = {
            name: entry
            for name, entry in self._world.entries.items()
            if entry.is_alive and not entry.is_paused
        }
        fresh = {
            name for name, entry in awake.items() if self._world.reads_platform(entry)
        }
        grows = True
        while grows:
            more = {
                name
                for name in awake.keys() - fresh
                if any(self._world.network.joins(name, other) for other in fresh)
            }
            fresh |= more
            grows = bool(more)
        for name in self._world.entries:
            self._note_reach(name, name in fresh)

    def _note_reach(self, name: str, is_reachable: bool) -> None:
        was_reachable = self._reachable_since.get(name) is not None
        if was_reachable == is_reachable:
            return
        self._reachable_since[name] = self._world.now_ms if is_reachable else None
        self._world.history.observe(
            ReachChanged(self._world.now_ms, EntryId(name), is_reachable)
        )
        self._world.clock.after(IN_FORCE_MS + 1, self._check_in_force)

    def _check_in_force(self) -> None:
        """A revision that an entry never hears of is late as well."""
        due_ms = self._world.now_ms - IN_FORCE_MS
        due = [rev for rev, at_ms in self._committed.items() if at_ms < due_ms]
        for name, entry in self._world.entries.items():
            since_ms = self._reachable_since.get(name)
            if since_ms is None or since_ms >= due_ms or not due:
                continue
            revision = entry.control.cfg.revision
            if revision < max(due):
                detail = f"{name} has revision {revision}, not {max(due)}"
                self._world.history.faults.append(("InForceInTime", detail))

    def know_out(self, pool: PoolName, news: HealthChanged) -> None:
        """Observes that whoever conducts knows a host to be out by itself."""
        if news.cause is not None:
            out = HostOut(self._world.now_ms, pool, news.host, news.cause)
            self._world.history.observe(out)

    def applied(self, seen: ConfigApplied) -> None:
        """Observes a revision put in force."""
        self._world.history.observe(seen)
        kept = self._world.history.in_force.setdefault(seen.entry, [])
        kept.append((seen.at_ms, seen.revision))

    def placed(self, pools: Mapping[PoolName, tuple[Host, ...]]) -> None:
        """Observes the pools that an entry has each host in."""
        found: dict[HostId, list[PoolName]] = {}
        for pool, hosts in pools.items():
            for host in hosts:
                found.setdefault(host.host_id, []).append(pool)
        for host_id, names in found.items():
            self._world.history.observe(
                HostPlaced(self._world.now_ms, host_id, tuple(names))
            )
