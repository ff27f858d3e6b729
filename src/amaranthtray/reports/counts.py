"""Counts of good and bad requests over sliding windows, in bounded memory."""

from __future__ import annotations

from array import array
from typing import NamedTuple

import msgspec

from ..domain.ids import EntryId, Incarnation, QueueName, TeamName, ZoneId

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS

MAX_SERIES = 8_192
"""Pairs of queue and team that are counted separately; others share one series."""

OTHER_TEAM = TeamName("-other-")
OTHER_QUEUE = QueueName("-other-")


class Window(NamedTuple):
    """A sliding window of the report and its ring of buckets.

    Attributes:
        name: Name in reports.
        buckets: Number of buckets in the ring.
        bucket_ms: Time that one bucket covers.
    """

    name: str
    buckets: int
    bucket_ms: int

    @property
    def length_ms(self) -> int:
        """Returns the length of the window."""
        return self.buckets * self.bucket_ms


WINDOWS = (
    Window("5m", 10, MINUTE_MS // 2),
    Window("1h", 12, 5 * MINUTE_MS),
    Window("6h", 12, 30 * MINUTE_MS),
    Window("3d", 12, 6 * HOUR_MS),
)

_BUCKET_FIELDS = 3
"""Integers per bucket: position on the clock, good requests, bad requests."""


class Counts(NamedTuple):
    """Numbers of good and bad requests within a window."""

    good: int = 0
    bad: int = 0


class Series(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one queue and team for each of ``WINDOWS``."""

    queue: QueueName
    team: TeamName
    counts: tuple[Counts, ...]


class BurnSnapshot(msgspec.Struct, frozen=True):
    """Counts of one entry; sent as JSON.

    Attributes:
        entry: Entry that counted.
        zone: Availability zone of the entry.
        incarnation: Incarnation of the entry; counts are lost when it ends.
        held_ms: Time for which this incarnation has been counting.
        series: Counts by queue and team.
    """

    entry: EntryId
    zone: ZoneId
    incarnation: Incarnation
    held_ms: int
    series: tuple[Series, ...] = ()


class BurnCounts:
    """Counts the requests of one entry; not thread-safe.

    Args:
        started_ms: Start of this incarnation on the entry's monotonic clock.
        max_series: Pairs of queue and team that are counted separately.
    """

    def __init__(self, started_ms: int, *, max_series: int = MAX_SERIES) -> None:
        self._started_ms = started_ms
        self._max_series = max_series
        self._rings: dict[tuple[QueueName, TeamName], array[int]] = {}

    def record(
        self, queue: QueueName, team: TeamName, *, good: bool, now_ms: int
    ) -> None:
        """Counts one request that ended at ``now_ms``."""
        ring = self._ring(queue, team)
        offset = 0
        for window in WINDOWS:
            # Positions start at 1, because 0 marks a bucket that was never used.
            position = now_ms // window.bucket_ms + 1
            index = offset + position % window.buckets * _BUCKET_FIELDS
            if ring[index] != position:
                ring[index] = position
                ring[index + 1] = ring[index + 2] = 0
            ring[index + 1 if good else index + 2] += 1
            offset += window.buckets * _BUCKET_FIELDS

    def snapshot(
        self, entry: EntryId, zone: ZoneId, incarnation: Incarnation, now_ms: int
    ) -> BurnSnapshot:
        """Returns the counts of the windows that end at ``now_ms``."""
        series = []
        for (queue, team), ring in self._rings.items():
            counts = _sum_windows(ring, now_ms)
            if any(sum(item) for item in counts):
                series.append(Series(queue, team, counts))
        held_ms = now_ms - self._started_ms
        return BurnSnapshot(entry, zone, incarnation, held_ms, tuple(series))

    def _ring(self, queue: QueueName, team: TeamName) -> array[int]:
        ring = self._rings.get((queue, team))
        if ring is None:
            if len(self._rings) >= self._max_series:
                queue, team = OTHER_QUEUE, OTHER_TEAM
            ring = self._rings.setdefault((queue, team), _new_ring())
        return ring


def _new_ring() -> array[int]:
    length = sum(window.buckets for window in WINDOWS) * _BUCKET_FIELDS
    return array("I", bytes(length * array("I").itemsize))


def _sum_windows(ring: array[int], now_ms: int) -> tuple[Counts, ...]:
    """Returns the sum of the buckets within each window."""
    counts = []
    offset = 0
    for window in WINDOWS:
        newest = now_ms // window.bucket_ms + 1
        good = bad = 0
        for index in range(
            offset, offset + window.buckets * _BUCKET_FIELDS, _BUCKET_FIELDS
        ):
            if newest - window.buckets < ring[index] <= newest:
                good += ring[index + 1]
                bad += ring[index + 2]
        counts.append(Counts(good, bad))
        offset += window.buckets * _BUCKET_FIELDS
    return tuple(counts)
