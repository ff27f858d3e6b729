"""Aggregates usage of many sources, so that frames grow with zones, not entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .frames import UsageFrame

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import Incarnation, Millis, PoolName, TeamName


class _ReceivedFrame(NamedTuple):
    """The latest frame of a source and the time of its arrival."""

    frame: UsageFrame
    received_ms: Millis


class UsageAggregator:
    """Combines the slots that several sources use into frames of one source.

    A zone steward has two: one aggregates the entries of its zone for the other
    zones, the other aggregates the other zones for its entries. Only the latest
    frame of a source counts, so late and repeated ones change nothing.

    Args:
        source: This incarnation of the aggregator.
        fresh_ms: Silence after which a source no longer counts.
    """

    def __init__(self, source: Incarnation, *, fresh_ms: int = 3_000) -> None:
        self._source = source
        self._fresh_ms = fresh_ms
        self._frames: dict[Incarnation, _ReceivedFrame] = {}

    def merge(self, frame: UsageFrame, now_ms: Millis) -> None:
        """Records a frame unless it is late or repeated."""
        latest = self._frames.get(frame.source)
        if latest is None or frame.at_ms > latest.frame.at_ms:
            self._frames[frame.source] = _ReceivedFrame(frame, now_ms)

    def remove_source(self, source: Incarnation) -> None:
        """Removes a source that has ended."""
        self._frames.pop(source, None)

    def frame(self, now_ms: Millis) -> UsageFrame:
        """Returns the frame that combines all sources that are not silent."""
        slots: dict[PoolName, dict[TeamName, int]] = {}
        waiting: dict[PoolName, set[TeamName]] = {}
        for frame in self._fresh(now_ms):
            for pool, counts in frame.slots.items():
                totals = slots.setdefault(pool, {})
                for team, count in counts.items():
                    totals[team] = totals.get(team, 0) + count
            for pool, teams in frame.waiting.items():
                waiting.setdefault(pool, set()).update(teams)
        return UsageFrame(
            self._source,
            now_ms,
            slots=slots,
            waiting={pool: tuple(sorted(teams)) for pool, teams in waiting.items()},
        )

    def _fresh(self, now_ms: Millis) -> Iterator[UsageFrame]:
        for received in self._frames.values():
            if now_ms < received.received_ms + self._fresh_ms:
                yield received.frame
