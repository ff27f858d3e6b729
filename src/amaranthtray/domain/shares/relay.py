"""Sums of many sources relayed as one, so that frames grow with zones, not entries."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import Millis, PoolName, TeamName
from .frames import UsageFrame

if TYPE_CHECKING:
    from ..ids import Incarnation


@dataclass(slots=True)
class _Total:
    """Slot time of one team in one pool over all sources."""

    total_ms: int = 0
    changed_ms: int = 0


@dataclass(slots=True)
class _Known:
    """What one source has said."""

    at_ms: Millis
    heard_ms: Millis
    pools_ms: dict[PoolName, Millis] = field(default_factory=dict)
    sums: dict[tuple[PoolName, TeamName], int] = field(default_factory=dict)
    waiting: dict[PoolName, tuple[TeamName, ...]] = field(default_factory=dict)


class UsageRelay:
    """Adds up the growth of several sources into sums of its own.

    A zone steward has one for the entries of its zone, whose frames go to the other
    zones, and one for the other zones, whose frames go to its entries. A source
    counts from the second frame that names the pool, so neither a source that is new
    here nor a pool that was quiet for long adds a lump.

    Args:
        source: This run of the relay.
        repeat_ms: How long a changed sum is repeated in frames.
        fresh_ms: Silence after which a source no longer counts as waiting.
    """

    def __init__(
        self, source: Incarnation, *, repeat_ms: int = 4_000, fresh_ms: int = 3_000
    ) -> None:
        self._source = source
        self._repeat_ms = repeat_ms
        self._fresh_ms = fresh_ms
        self._known: dict[Incarnation, _Known] = {}
        self._totals: dict[tuple[PoolName, TeamName], _Total] = {}

    def take(self, frame: UsageFrame, now_ms: Millis) -> None:
        """Records a frame; late and repeated ones change nothing."""
        known = self._known.get(frame.source)
        if known is None:
            known = self._known[frame.source] = _Known(frame.at_ms, now_ms)
        elif frame.at_ms <= known.at_ms:
            return
        known.at_ms = frame.at_ms
        known.heard_ms = now_ms
        known.waiting = dict(frame.waiting)
        for pool, sums in frame.sums.items():
            is_lump = self._is_lump(known, pool, frame.at_ms)
            for team, total in sums.items():
                growth = total - known.sums.get((pool, team), 0)
                if growth <= 0:
                    continue
                known.sums[pool, team] = total
                if not is_lump:
                    self._add(pool, team, growth, now_ms)

    def drop(self, source: Incarnation) -> None:
        """Forgets a source that has ended; what it used stays counted."""
        self._known.pop(source, None)

    def frame(self, now_ms: Millis) -> UsageFrame:
        """Returns the next frame of the relayed sums."""
        sums: dict[PoolName, dict[TeamName, int]] = {}
        oldest_ms = now_ms - self._repeat_ms
        for (pool, team), total in self._totals.items():
            if total.changed_ms >= oldest_ms:
                sums.setdefault(pool, {})[team] = total.total_ms
        return UsageFrame(self._source, now_ms, sums, self._waiting(now_ms))

    def _is_lump(self, known: _Known, pool: PoolName, at_ms: Millis) -> bool:
        """Returns whether the source has not named the pool for too long."""
        before_ms = known.pools_ms.get(pool)
        known.pools_ms[pool] = at_ms
        return before_ms is None or at_ms > before_ms + self._fresh_ms

    def _add(self, pool: PoolName, team: TeamName, growth: int, now_ms: Millis) -> None:
        total = self._totals.setdefault((pool, team), _Total())
        total.total_ms += growth
        total.changed_ms = now_ms

    def _waiting(self, now_ms: Millis) -> dict[PoolName, tuple[TeamName, ...]]:
        waiting: dict[PoolName, set[TeamName]] = {}
        for known in self._known.values():
            if now_ms >= known.heard_ms + self._fresh_ms:
                continue
            for pool, teams in known.waiting.items():
                waiting.setdefault(pool, set()).update(teams)
        return {pool: tuple(sorted(teams)) for pool, teams in waiting.items()}
