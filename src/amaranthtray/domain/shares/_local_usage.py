"""Slot time used by the tasks of this entry."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field


@dataclass(slots=True)
class LocalUsage:
    """One team's use of one pool by this entry.

    A running task counts with its time so far, one that is over with its measured
    time.

    Attributes:
        finished_ms: Sum of the measured slot times of tasks that are over.
        reported_ms: Highest total reported so far.
        changed_ms: When the reported total last grew.
    """

    finished_ms: int = 0
    reported_ms: int = 0
    changed_ms: int = 0
    _start_times_ms: list[int] = field(default_factory=list)
    _start_times_sum_ms: int = 0

    @property
    def running(self) -> int:
        """Returns how many tasks run now."""
        return len(self._start_times_ms)

    def start(self, now_ms: int) -> None:
        """Records the start of a task; ``now_ms`` must not decrease between calls."""
        self._start_times_ms.append(now_ms)
        self._start_times_sum_ms += now_ms

    def end(self, slot_ms: int, now_ms: int) -> None:
        """Records the end of a task that held its slot for ``slot_ms``.

        The caller does not say which task it was. It is taken to be the one whose
        start is nearest to ``slot_ms`` ago.
        """
        if self._start_times_ms:
            began_ms = self._start_times_ms.pop(self._nearest_start(now_ms - slot_ms))
            self._start_times_sum_ms -= began_ms
        self.finished_ms += max(0, slot_ms)

    def total_ms(self, now_ms: int) -> int:
        """Returns the total to report at ``now_ms``; it never decreases."""
        total = self.finished_ms + self.running * now_ms - self._start_times_sum_ms
        if total > self.reported_ms:
            self.reported_ms = total
            self.changed_ms = now_ms
        return self.reported_ms

    def _nearest_start(self, began_ms: int) -> int:
        starts = self._start_times_ms
        after = bisect_left(starts, began_ms)
        if after == len(starts):
            return after - 1
        if after and began_ms - starts[after - 1] <= starts[after] - began_ms:
            return after - 1
        return after
