"""Turns events of the simulated fleet into observations for the checkers."""

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
    """Observes commits, which entries can get updates, and what they apply."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._reachable_since: dict[str, int | None] = {}
        self._committed: dict[int, int] = {}

    def observe_commits(self) -> None:
        """Observes each record that was appended to the configuration log."""
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

    def update_reachability(self) -> None:
        """Observes which entries can get updates, directly or through peers."""
        running = {
            name: entry
            for name, entry in self._world.entries.items()
            if entry.is_alive and not entry.is_paused
        }
        reachable = {
            name
            for name, entry in running.items()
            if self._world.can_use_platform(entry)
        }
        has_grown = True
        while has_grown:
            added = {
                name
                for name in running.keys() - reachable
                if any(
                    self._world.network.is_connected(name, other) for other in reachable
                )
            }
            reachable |= added
            has_grown = bool(added)
        for name in self._world.entries:
            self._set_reachable(name, name in reachable)

    def _set_reachable(self, name: str, is_reachable: bool) -> None:
        was_reachable = self._reachable_since.get(name) is not None
        if was_reachable == is_reachable:
            return
        self._reachable_since[name] = self._world.now_ms if is_reachable else None
        self._world.history.observe(
            ReachChanged(self._world.now_ms, EntryId(name), is_reachable)
        )
        self._world.clock.after(IN_FORCE_MS + 1, self._check_in_force)

    def _check_in_force(self) -> None:
        """Records entries that could get a revision but lack it when it is due.

        The watchdog sees only revisions that an entry applies, not missing ones.
        """
        due_ms = self._world.now_ms - IN_FORCE_MS
        due = [rev for rev, at_ms in self._committed.items() if at_ms < due_ms]
        for name, entry in self._world.entries.items():
            since_ms = self._reachable_since.get(name)
            if since_ms is None or since_ms >= due_ms or not due:
                continue
            revision = entry.control.cfg.revision
            if revision < max(due):
                detail = f"{name} has revision {revision}, not {max(due)}"
                self._world.history.extra_violations.append(("InForceInTime", detail))

    def observe_host_out(self, pool: PoolName, change: HealthChanged) -> None:
        """Observes that a conductor knows of a host that is out involuntarily."""
        if change.cause is not None:
            observation = HostOut(self._world.now_ms, pool, change.host, change.cause)
            self._world.history.observe(observation)

    def record_applied(self, applied: ConfigApplied) -> None:
        """Observes that an entry has put a revision in force."""
        self._world.history.observe(applied)
        revisions = self._world.history.in_force.setdefault(applied.entry, [])
        revisions.append((applied.at_ms, applied.revision))

    def observe_placement(self, pools: Mapping[PoolName, tuple[Host, ...]]) -> None:
        """Observes which pools an entry assigns each host to."""
        pools_by_host: dict[HostId, list[PoolName]] = {}
        for pool, hosts in pools.items():
            for host in hosts:
                pools_by_host.setdefault(host.host_id, []).append(pool)
        for host_id, pool_names in pools_by_host.items():
            self._world.history.observe(
                HostPlaced(self._world.now_ms, host_id, tuple(pool_names))
            )
