"""Use of slots that other entries and zones have reported."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import Millis, PoolName, TeamName

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import Incarnation
    from .frames import UsageFrame


@dataclass(slots=True)
class _Source:
    """Latest frame of one source and the slots derived from it."""

    at_ms: Millis
    received_ms: Millis
    pool_updated_ms: dict[PoolName, Millis] = field(default_factory=dict)
    sums: dict[PoolName, dict[TeamName, int]] = field(default_factory=dict)
    slots: dict[PoolName, dict[TeamName, float]] = field(default_factory=dict)
    waiting: dict[PoolName, tuple[TeamName, ...]] = field(default_factory=dict)

    def apply_sums(
        self, pool: PoolName, sums: dict[TeamName, int], at_ms: Millis
    ) -> dict[TeamName, float]:
        """Applies a pool's sums and returns the slots in use since the last ones."""
        latest = self.sums.setdefault(pool, {})
        before_ms = self.pool_updated_ms.get(pool)
        self.pool_updated_ms[pool] = at_ms
        slots: dict[TeamName, float] = {}
        for team, total in sums.items():
            growth = total - latest.get(team, 0)
            if growth > 0:
                latest[team] = total
            if growth > 0 and before_ms is not None:
                slots[team] = growth / (at_ms - before_ms)
        return slots


class RemoteUsage:
    """Derives the slots in use elsewhere, per pool and team, from usage frames.

    The slots of a source are the growth of its sums divided by the time between the
    two latest frames that contain the pool, or the slots that a frame without sums
    gives. A source that stays silent counts as idle.
    """

    def __init__(self, fresh_ms: int) -> None:
        self._fresh_ms = fresh_ms
        self._sources: dict[Incarnation, _Source] = {}
        self._slots: dict[PoolName, dict[TeamName, float]] = {}
        self._totals: dict[PoolName, float] = {}
        self._waiting: dict[PoolName, frozenset[TeamName]] = {}
        self._oldest_ms: Millis | None = None

    def slots(self, pool: PoolName, team: TeamName) -> float:
        """Returns the slots of the pool that the team uses elsewhere."""
        return self._slots.get(pool, {}).get(team, 0.0)

    def total(self, pool: PoolName) -> float:
        """Returns all slots of the pool in use elsewhere."""
        return self._totals.get(pool, 0.0)

    def count_competitors(self, pool: PoolName, team: TeamName) -> int:
        """Returns how many sources have work of the team waiting for the pool."""
        return sum(
            team in source.waiting.get(pool, ()) for source in self._sources.values()
        )

    def waiting(self, pool: PoolName) -> frozenset[TeamName]:
        """Returns the teams that wait for the pool elsewhere."""
        return self._waiting.get(pool, frozenset())

    def merge(
        self, frame: UsageFrame, now_ms: Millis
    ) -> set[tuple[PoolName, TeamName]]:
        """Applies a frame and returns the pools and teams whose slots changed."""
        source = self._sources.get(frame.source)
        if source is None:
            source = self._sources[frame.source] = _Source(frame.at_ms, now_ms)
        elif frame.at_ms <= source.at_ms:
            return set()
        slots = {
            pool: source.apply_sums(pool, sums, frame.at_ms)
            for pool, sums in frame.sums.items()
        }
        for pool, counts in frame.slots.items():
            if pool not in frame.sums:
                slots[pool] = {team: float(count) for team, count in counts.items()}
        source.at_ms = frame.at_ms
        source.received_ms = now_ms
        self._set_waiting(source, frame.waiting)
        return set(self._replace_slots(source, slots))

    def expire_silent(self, now_ms: Millis) -> set[tuple[PoolName, TeamName]]:
        """Counts silent sources as idle and returns whose slots changed."""
        if self._oldest_ms is not None and now_ms < self._oldest_ms + self._fresh_ms:
            return set()
        changed: set[tuple[PoolName, TeamName]] = set()
        received: list[Millis] = []
        for source in self._sources.values():
            if now_ms < source.received_ms + self._fresh_ms:
                received.append(source.received_ms)
            elif source.slots or source.waiting:
                changed.update(self._replace_slots(source, {}))
                self._set_waiting(source, {})
        self._oldest_ms = min(received, default=now_ms)
        return changed

    def remove(self, source: Incarnation) -> set[tuple[PoolName, TeamName]]:
        """Removes a source that has ended and returns whose slots changed."""
        ended = self._sources.get(source)
        if ended is None:
            return set()
        changed = set(self._replace_slots(ended, {}))
        self._set_waiting(ended, {})
        del self._sources[source]
        return changed

    def _replace_slots(
        self, source: _Source, slots: dict[PoolName, dict[TeamName, float]]
    ) -> Iterator[tuple[PoolName, TeamName]]:
        before, source.slots = source.slots, slots
        for pool in dict.fromkeys((*before, *slots)):
            old, new = before.get(pool, {}), slots.get(pool, {})
            totals = self._slots.setdefault(pool, {})
            for team in dict.fromkeys((*old, *new)):
                change = new.get(team, 0.0) - old.get(team, 0.0)
                if change:
                    totals[team] = max(0.0, totals.get(team, 0.0) + change)
                    yield pool, team
            self._totals[pool] = sum(totals.values())

    def _set_waiting(
        self, source: _Source, waiting: dict[PoolName, tuple[TeamName, ...]]
    ) -> None:
        before, source.waiting = source.waiting, dict(waiting)
        for pool in {*before, *waiting}:
            self._waiting[pool] = frozenset(
                team
                for item in self._sources.values()
                for team in item.waiting.get(pool, ())
            )
