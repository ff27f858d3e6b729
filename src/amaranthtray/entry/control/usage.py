"""Usage sums of a whole zone, as its steward passes them on to other zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...domain.shares import UsageFrame

if TYPE_CHECKING:
    from ...domain.ids import Incarnation, Millis, PoolName, TeamName


class ZoneUsage:
    """Adds up the frames of a zone's entries.

    The sums of an entry that has ended are kept, so that the zone's sums only grow.

    Args:
        source: Names this steward's sums.
        fresh_ms: Age after which an entry's waiting teams no longer count.
    """

    def __init__(self, source: Incarnation, *, fresh_ms: int) -> None:
        self._source = source
        self._fresh_ms = fresh_ms
        self._sums: dict[Incarnation, dict[PoolName, dict[TeamName, int]]] = {}
        self._waiting: dict[Incarnation, dict[PoolName, tuple[TeamName, ...]]] = {}
        self._heard_ms: dict[Incarnation, int] = {}

    def take(self, frame: UsageFrame, now_ms: int) -> None:
        """Records an entry's frame; sums that it leaves out stay as they were."""
        held = self._sums.setdefault(frame.source, {})
        for pool, sums in frame.sums.items():
            pool_sums = held.setdefault(pool, {})
            for team, total in sums.items():
                pool_sums[team] = max(total, pool_sums.get(team, 0))
        self._waiting[frame.source] = dict(frame.waiting)
        self._heard_ms[frame.source] = now_ms

    def frame(self, now_ms: Millis) -> UsageFrame:
        """Returns the zone's sums and the teams that wait in it."""
        return UsageFrame(self._source, now_ms, self._totals(), self._waits(now_ms))

    def _totals(self) -> dict[PoolName, dict[TeamName, int]]:
        totals: dict[PoolName, dict[TeamName, int]] = {}
        for held in self._sums.values():
            for pool, sums in held.items():
                into = totals.setdefault(pool, {})
                for team, total in sums.items():
                    into[team] = into.get(team, 0) + total
        return totals

    def _waits(self, now_ms: int) -> dict[PoolName, tuple[TeamName, ...]]:
        waits: dict[PoolName, set[TeamName]] = {}
        for source, waiting in self._waiting.items():
            if now_ms - self._heard_ms[source] > self._fresh_ms:
                continue
            for pool, teams in waiting.items():
                waits.setdefault(pool, set()).update(teams)
        return {pool: tuple(sorted(teams)) for pool, teams in waits.items()}
