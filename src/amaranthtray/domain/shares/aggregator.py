"""Slots of many sources relayed as one, so that frames grow with zones, not entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .frames import UsageFrame

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import Incarnation, Millis, PoolName, TeamName


class _Heard(NamedTuple):
    """The latest frame of a source and when it arrived."""

    frame: UsageFrame
    heard_ms: Millis


class UsageAggregator:
    """Adds up the slots that several sources use.

    A zone steward has one for the entries of its zone, whose frames go to the other
    zones, and one for the other zones, whose frames go to its entries. Only the
    latest frame of a source counts, so late and repeated ones change nothing.

    Args:
        source: This run of the relay.
        fresh_ms: Silence after which a source no longer counts.
    """

    def __init__(self, source: Incarnation, *, fresh_ms: int = 3_000) -> None:
        self._source = source
        self._fresh_ms = fresh_ms
        self._heard: dict[Incarnation, _Heard] = {}

    def merge(self, frame: UsageFrame, now_ms: Millis) -> None:
        """Records a frame; late and repeated ones change nothing."""
        known = self._heard.get(frame.source)
        if known is None or frame.at_ms > known.frame.at_ms:
            self._heard[frame.source] = _Heard(frame, now_ms)

    def remove_source(self, source: Incarnation) -> None:
        """Forgets a source that has ended."""
        self._heard.pop(source, None)

    def frame(self, now_ms: Millis) -> UsageFrame:
        """Returns the next frame of the relay."""
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
        for heard in self._heard.values():
            if now_ms < heard.heard_ms + self._fresh_ms:
                yield heard.frame
