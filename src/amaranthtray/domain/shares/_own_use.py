"""Slot time that one entry's tasks have used."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field


@dataclass(slots=True)
class OwnUse:
    """One team's use of one pool from this entry.

    A running task counts by its time so far, a task that is over by its measured
    time.

    Attributes:
        finished_ms: Measured slot time of the tasks that are over.
        reported_ms: Highest sum reported so far.
        changed_ms: When the reported sum last grew.
    """

    finished_ms: int = 0
    reported_ms: int = 0
    changed_ms: int = 0
    _starts_ms: list[int] = field(default_factory=list)
    _starts_sum_ms: int = 0

    @property
    def running(self) -> int:
        """Returns how many tasks run now."""
        return len(self._starts_ms)

    def start(self, now_ms: int) -> None:
        """Records the start of a task; ``now_ms`` never falls."""
        self._starts_ms.append(now_ms)
        self._starts_sum_ms += now_ms

    def end(self, slot_ms: int, now_ms: int) -> None:
        """Records the end of a task that held its slot for ``slot_ms``.

        The task is not named; the one that began nearest to ``slot_ms`` ago ends.
        """
        if self._starts_ms:
            began_ms = self._starts_ms.pop(self._nearest(now_ms - slot_ms))
            self._starts_sum_ms -= began_ms
        self.finished_ms += max(0, slot_ms)

    def total_ms(self, now_ms: int) -> int:
        """Returns the sum to report at ``now_ms``; it never falls."""
        total = self.finished_ms + self.running * now_ms - self._starts_sum_ms
        if total > self.reported_ms:
            self.reported_ms = total
            self.changed_ms = now_ms
        return self.reported_ms

    def _nearest(self, began_ms: int) -> int:
        starts = self._starts_ms
        after = bisect_left(starts, began_ms)
        if after == len(starts):
            return after - 1
        if after and began_ms - starts[after - 1] <= starts[after] - began_ms:
            return after - 1
        return after
