"""Weighted fair queueing among teams, by measured slot use over the whole fleet."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

from ..ids import Millis
from ._local_usage import LocalUsage
from ._remote_usage import RemoteUsage
from ._smoothed_usage import SmoothedUsage
from ._water_filling import Demand, water_level
from ._windowed_maximum import WindowedMaximum
from .frames import UsageFrame
from .settings import ShareSettings

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ..ids import Incarnation, PoolName, TeamName

DEFAULT_WEIGHT = 1

SHARE_TOLERANCE_SLOTS = 0.5
"""Part of a slot by which a team may exceed its share."""


COMPETITOR_RESERVE_SLOTS = 0.25
"""Part of a slot left to each other source that may start such work meanwhile."""


MAX_CATCH_UP_FRACTION = 0.5
"""Largest deficit that a team makes up for, as a fraction of its share."""


class _CachedLevel(NamedTuple):
    """Fair level of a full pool and the time until which it is used."""

    level: float
    until_ms: int


class FairShares:
    """Implements ``ports.Shares`` for one entry.

    The team with the lowest smoothed use per weight goes first. Use is the number of
    slots held, at this entry and elsewhere, so long tasks and wrong declared sizes
    gain nothing. In a full pool, while other teams wait elsewhere, no team exceeds
    its share; ``pick`` then returns None if every waiting team would, and is to be
    called again some milliseconds later.
    """

    def __init__(self, source: Incarnation, cfg: ShareSettings | None = None) -> None:
        self._source = source
        self._cfg = cfg or ShareSettings()
        self._weights: dict[TeamName, int] = {}
        self._pool_slots: dict[PoolName, int] = {}
        self._usage: dict[PoolName, SmoothedUsage] = {}
        self._local: dict[PoolName, dict[TeamName, LocalUsage]] = {}
        self._running: dict[PoolName, int] = {}
        self._remote = RemoteUsage(self._cfg.fresh_ms)
        self._fair_levels: dict[PoolName, _CachedLevel] = {}
        self._peaks: dict[PoolName, WindowedMaximum] = {}
        self._now_ms = 0

    def set_weights(self, weights: Mapping[TeamName, int]) -> None:
        """Applies the weights of the teams."""
        for team in dict.fromkeys((*self._weights, *weights)):
            before = self._weight(team)
            after = max(1, weights.get(team, DEFAULT_WEIGHT))
            if before != after:
                for usage in self._usage.values():
                    usage.rescale(team, before, after)
        self._weights = {team: max(1, weight) for team, weight in weights.items()}

    def set_pool_slots(self, pool: PoolName, slots: int) -> None:
        """Records how many slots the pool has over the whole fleet.

        As long as it is unknown, entries do not hold back for each other.
        """
        self._pool_slots[pool] = slots

    def pick(
        self, pool: PoolName, waiting: Collection[TeamName], now_ms: Millis
    ) -> TeamName | None:
        """Returns the team with the lowest use per weight, or None to hold back."""
        if not waiting:
            return None
        self._advance(now_ms)
        usage = self._pool_usage(pool)
        lowest = usage.lowest_projected(waiting, self._now_ms)
        if lowest is None or not self._is_contended(pool, waiting):
            return lowest
        fair_level = self._fair_level(pool, waiting)
        if self._stays_within_share(pool, lowest, fair_level):
            return lowest
        fitting = [
            team for team in waiting if self._stays_within_share(pool, team, fair_level)
        ]
        return usage.lowest_projected(fitting, self._now_ms)

    def record_start(self, pool: PoolName, team: TeamName, now_ms: Millis) -> None:
        """Records that a task of the team took a slot of the pool."""
        self._advance(now_ms)
        self._local_usage(pool, team).start(self._now_ms)
        self._running[pool] = self._running.get(pool, 0) + 1
        self._update_usage(pool, team)

    def record_end(self, pool: PoolName, team: TeamName, slot_ms: int) -> None:
        """Records that a task has ended and for how long it held its slot."""
        use = self._local_usage(pool, team)
        if use.running:
            self._running[pool] -= 1
        use.end(slot_ms, self._now_ms)
        self._update_usage(pool, team)

    def merge(self, frame: UsageFrame, now_ms: Millis) -> None:
        """Applies a frame of another entry or zone; ignores those of this entry."""
        if frame.source == self._source:
            return
        self._advance(now_ms)
        self._update_all_usage(self._remote.merge(frame, now_ms))

    def remove_source(self, source: Incarnation, now_ms: Millis) -> None:
        """Removes the use of an entry that has ended."""
        self._advance(now_ms)
        self._update_all_usage(self._remote.remove(source))

    def frame(
        self, waiting: Mapping[PoolName, Collection[TeamName]], now_ms: Millis
    ) -> UsageFrame:
        """Returns the next frame for the other entries.

        It contains only pools for which work waits at some entry.

        Args:
            waiting: Teams of each pool that wait for a slot at this entry and are not
                at their limit.
            now_ms: Current time.
        """
        self._advance(now_ms)
        sums = {
            pool: self._recent_sums(pool)
            for pool in self._local
            if waiting.get(pool) or self._remote.waiting(pool)
        }
        return UsageFrame(
            source=self._source,
            at_ms=now_ms,
            sums={pool: totals for pool, totals in sums.items() if totals},
            slots={pool: self._slots_in_use(pool) for pool in sums},
            waiting={pool: tuple(teams) for pool, teams in waiting.items()},
        )

    def _slots_in_use(self, pool: PoolName) -> dict[TeamName, int]:
        uses = self._local[pool].items()
        return {team: use.running for team, use in uses if use.running}

    def _recent_sums(self, pool: PoolName) -> dict[TeamName, int]:
        oldest_ms = self._now_ms - self._cfg.repeat_ms
        totals: dict[TeamName, int] = {}
        for team, use in self._local[pool].items():
            total = use.total_ms(self._now_ms)
            if total and use.changed_ms >= oldest_ms:
                totals[team] = total
        return totals

    def _is_contended(self, pool: PoolName, waiting: Collection[TeamName]) -> bool:
        """Returns whether the pool is full while other teams wait elsewhere."""
        slots = self._pool_slots.get(pool)
        if not slots or self._remote.waiting(pool).issubset(waiting):
            return False
        used = self._peak_running(pool) + self._remote.total(pool)
        return used >= slots * self._cfg.full_part

    def _peak_running(self, pool: PoolName) -> int:
        """Returns the maximum number of tasks that ran here recently.

        This covers one to two times ``news_lag_ms``, as other entries may already use
        slots that were freed in it.
        """
        peak = self._peaks.setdefault(pool, WindowedMaximum(self._cfg.news_lag_ms))
        return peak.record(self._running.get(pool, 0), self._now_ms)

    def _fair_level(self, pool: PoolName, waiting: Collection[TeamName]) -> float:
        """Returns the slots per weight that each waiting team is entitled to."""
        cached = self._fair_levels.get(pool)
        if cached is not None and self._now_ms < cached.until_ms:
            return cached.level
        usage = self._pool_usage(pool)
        backlogged = self._remote.waiting(pool).union(waiting)
        demands = [Demand(self._weight(team), inf) for team in backlogged]
        for team in usage.teams():
            weight = self._weight(team)
            if team not in backlogged and usage.current(team):
                demands.append(Demand(weight, usage.current(team) * weight))
        level = water_level(self._pool_slots[pool], demands)
        self._fair_levels[pool] = _CachedLevel(
            level, self._now_ms + self._cfg.refresh_ms
        )
        return level

    def _stays_within_share(
        self, pool: PoolName, team: TeamName, fair_level: float
    ) -> bool:
        """Returns whether the team does not exceed its share with one more slot.

        Recent use above or below the share is compensated for.
        """
        usage = self._pool_usage(pool)
        competitors = self._remote.count_competitors(pool, team)
        with_one_more = usage.current(team) + (
            SHARE_TOLERANCE_SLOTS + COMPETITOR_RESERVE_SLOTS * competitors
        ) / self._weight(team)
        surplus = usage.smoothed(team, self._now_ms) - fair_level
        surplus = max(surplus, -MAX_CATCH_UP_FRACTION * fair_level)
        return with_one_more + surplus * self._cfg.correction <= fair_level

    def _advance(self, now_ms: int) -> None:
        self._now_ms = max(self._now_ms, now_ms)
        changed = self._remote.expire_silent(Millis(self._now_ms))
        if changed:
            self._update_all_usage(changed)

    def _update_all_usage(self, changed: Iterable[tuple[PoolName, TeamName]]) -> None:
        for pool, team in changed:
            self._update_usage(pool, team)

    def _update_usage(self, pool: PoolName, team: TeamName) -> None:
        local = self._local.get(pool, {}).get(team)
        slots = self._remote.slots(pool, team) + (local.running if local else 0)
        usage = self._pool_usage(pool)
        usage.set_slots(team, slots, self._weight(team), self._now_ms)

    def _weight(self, team: TeamName) -> int:
        return self._weights.get(team, DEFAULT_WEIGHT)

    def _pool_usage(self, pool: PoolName) -> SmoothedUsage:
        usage = self._usage.get(pool)
        if usage is None:
            usage = self._usage[pool] = SmoothedUsage(
                horizon_ms=self._cfg.horizon_ms,
                lookahead_ms=self._cfg.lookahead_ms,
                now_ms=self._now_ms,
            )
        return usage

    def _local_usage(self, pool: PoolName, team: TeamName) -> LocalUsage:
        return self._local.setdefault(pool, {}).setdefault(team, LocalUsage())
