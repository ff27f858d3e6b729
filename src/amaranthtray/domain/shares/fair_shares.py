"""Weighted fair order among teams, by measured slot time over the whole fleet."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

from ..ids import Millis
from ._level import PoolLevels
from ._own_use import OwnUse
from ._peak import RecentPeak
from ._sources import UsageSources
from ._water import Claim, water_level
from .frames import UsageFrame
from .settings import ShareSettings

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ..ids import Incarnation, PoolName, TeamName

DEFAULT_WEIGHT = 1

ROUNDING = 0.5
"""Part of a slot by which a team may pass its share."""


RIVAL = 0.25
"""Part of a slot left to each other entry that may fill the same gap meanwhile."""


CATCH_UP = 0.5
"""Most of its share that a team can be behind and still make up for."""


class _FullLevel(NamedTuple):
    """Slots per weight that waiting teams are due, and until when that is used."""

    level: float
    until_ms: int


class FairShares:
    """Implements ``ports.Shares`` for one entry.

    The team whose smoothed use per weight is lowest goes first. Use counts slots
    that are held, here and elsewhere, so long tasks and wrong declared sizes gain
    nothing. In a full pool, while other teams wait elsewhere, a team does not pass
    its share; ``pick`` then returns none if no team fits, and is to be asked again
    after some milliseconds.
    """

    def __init__(self, source: Incarnation, cfg: ShareSettings | None = None) -> None:
        self._source = source
        self._cfg = cfg or ShareSettings()
        self._weights: dict[TeamName, int] = {}
        self._pool_slots: dict[PoolName, int] = {}
        self._levels: dict[PoolName, PoolLevels] = {}
        self._own: dict[PoolName, dict[TeamName, OwnUse]] = {}
        self._running: dict[PoolName, int] = {}
        self._elsewhere = UsageSources(self._cfg.fresh_ms)
        self._full: dict[PoolName, _FullLevel] = {}
        self._peaks: dict[PoolName, RecentPeak] = {}
        self._now_ms = 0

    def set_weights(self, weights: Mapping[TeamName, int]) -> None:
        """Puts the teams' shares in force."""
        for team in dict.fromkeys((*self._weights, *weights)):
            before = self._weight(team)
            after = max(1, weights.get(team, DEFAULT_WEIGHT))
            if before != after:
                for levels in self._levels.values():
                    levels.rescale(team, before, after)
        self._weights = {team: max(1, weight) for team, weight in weights.items()}

    def set_pool_slots(self, pool: PoolName, slots: int) -> None:
        """Records how many slots the pool has over the fleet.

        Without it entries do not hold back for each other.
        """
        self._pool_slots[pool] = slots

    def pick(
        self, pool: PoolName, waiting: Collection[TeamName], now_ms: Millis
    ) -> TeamName | None:
        """Returns the team furthest below its share, or none to hold back."""
        if not waiting:
            return None
        self._advance(now_ms)
        levels = self._levels_of(pool)
        best = levels.lowest(waiting, self._now_ms)
        if best is None or not self._is_contended(pool, waiting):
            return best
        full = self._full_level(pool, waiting)
        if self._fits(pool, best, full):
            return best
        fitting = [team for team in waiting if self._fits(pool, team, full)]
        return levels.lowest(fitting, self._now_ms)

    def started(self, pool: PoolName, team: TeamName, now_ms: Millis) -> None:
        """Records that a slot of the pool began to work for the team."""
        self._advance(now_ms)
        self._own_use(pool, team).start(self._now_ms)
        self._running[pool] = self._running.get(pool, 0) + 1
        self._update(pool, team)

    def ended(self, pool: PoolName, team: TeamName, slot_ms: int) -> None:
        """Records a slot's measured time when the task is over."""
        use = self._own_use(pool, team)
        if use.running:
            self._running[pool] -= 1
        use.end(slot_ms, self._now_ms)
        self._update(pool, team)

    def merge(self, frame: UsageFrame, now_ms: Millis) -> None:
        """Records a frame of another entry or zone; never one of this entry."""
        if frame.source == self._source:
            return
        self._advance(now_ms)
        self._update_all(self._elsewhere.merge(frame, now_ms))

    def remove_source(self, source: Incarnation, now_ms: Millis) -> None:
        """Forgets an entry that has ended."""
        self._advance(now_ms)
        self._update_all(self._elsewhere.drop(source))

    def frame(
        self, waiting: Mapping[PoolName, Collection[TeamName]], now_ms: Millis
    ) -> UsageFrame:
        """Returns the next frame for the other entries.

        Only pools for which work waits somewhere are in it.

        Args:
            waiting: Teams of each pool that wait for a slot here and are not held
                up by their limit.
            now_ms: Now.
        """
        self._advance(now_ms)
        sums = {
            pool: self._recent_sums(pool)
            for pool in self._own
            if waiting.get(pool) or self._elsewhere.waiting(pool)
        }
        return UsageFrame(
            source=self._source,
            at_ms=now_ms,
            sums={pool: totals for pool, totals in sums.items() if totals},
            slots={pool: self._slots_in_use(pool) for pool in sums},
            waiting={pool: tuple(teams) for pool, teams in waiting.items()},
        )

    def _slots_in_use(self, pool: PoolName) -> dict[TeamName, int]:
        uses = self._own[pool].items()
        return {team: use.running for team, use in uses if use.running}

    def _recent_sums(self, pool: PoolName) -> dict[TeamName, int]:
        oldest_ms = self._now_ms - self._cfg.repeat_ms
        totals: dict[TeamName, int] = {}
        for team, use in self._own[pool].items():
            total = use.total_ms(self._now_ms)
            if total and use.changed_ms >= oldest_ms:
                totals[team] = total
        return totals

    def _is_contended(self, pool: PoolName, waiting: Collection[TeamName]) -> bool:
        """Returns whether the pool is full while others wait elsewhere."""
        slots = self._pool_slots.get(pool)
        if not slots or self._elsewhere.waiting(pool).issubset(waiting):
            return False
        busy = self._recent_running(pool) + self._elsewhere.total(pool)
        return busy >= slots * self._cfg.full_part

    def _recent_running(self, pool: PoolName) -> int:
        """Returns the most tasks of late; others may have taken what they left."""
        peak = self._peaks.setdefault(pool, RecentPeak(self._cfg.news_lag_ms))
        return peak.put(self._running.get(pool, 0), self._now_ms)

    def _full_level(self, pool: PoolName, waiting: Collection[TeamName]) -> float:
        """Returns the slots per weight that each waiting team is due."""
        cached = self._full.get(pool)
        if cached is not None and self._now_ms < cached.until_ms:
            return cached.level
        levels = self._levels_of(pool)
        hungry = self._elsewhere.waiting(pool).union(waiting)
        claims = [Claim(self._weight(team), inf) for team in hungry]
        for team in levels.teams():
            weight = self._weight(team)
            if team not in hungry and levels.goal(team):
                claims.append(Claim(weight, levels.goal(team) * weight))
        level = water_level(self._pool_slots[pool], claims)
        self._full[pool] = _FullLevel(level, self._now_ms + self._cfg.refresh_ms)
        return level

    def _fits(self, pool: PoolName, team: TeamName, full: float) -> bool:
        """Returns whether one more slot keeps the team at its share.

        Use of the recent past that was over or under the share is made up for.
        """
        levels = self._levels_of(pool)
        rivals = self._elsewhere.rivals(pool, team)
        after = levels.goal(team) + (ROUNDING + RIVAL * rivals) / self._weight(team)
        surplus = levels.level(team, self._now_ms) - full
        surplus = max(surplus, -CATCH_UP * full)
        return after + surplus * self._cfg.correction <= full

    def _advance(self, now_ms: int) -> None:
        self._now_ms = max(self._now_ms, now_ms)
        changed = self._elsewhere.forget_silent(Millis(self._now_ms))
        if changed:
            self._update_all(changed)

    def _update_all(self, changed: Iterable[tuple[PoolName, TeamName]]) -> None:
        for pool, team in changed:
            self._update(pool, team)

    def _update(self, pool: PoolName, team: TeamName) -> None:
        own = self._own.get(pool, {}).get(team)
        slots = self._elsewhere.slots(pool, team) + (own.running if own else 0)
        levels = self._levels_of(pool)
        levels.set_slots(team, slots, self._weight(team), self._now_ms)

    def _weight(self, team: TeamName) -> int:
        return self._weights.get(team, DEFAULT_WEIGHT)

    def _levels_of(self, pool: PoolName) -> PoolLevels:
        levels = self._levels.get(pool)
        if levels is None:
            levels = self._levels[pool] = PoolLevels(
                horizon_ms=self._cfg.horizon_ms,
                lookahead_ms=self._cfg.lookahead_ms,
                now_ms=self._now_ms,
            )
        return levels

    def _own_use(self, pool: PoolName, team: TeamName) -> OwnUse:
        return self._own.setdefault(pool, {}).setdefault(team, OwnUse())
