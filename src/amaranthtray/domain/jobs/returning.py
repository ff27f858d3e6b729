"""Callers that were told to return, whose jobs count in the time to return."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field


@dataclass(slots=True)
class ReturningCallers:
    """Jobs of one pool whose callers this entry has told to return."""

    _due: list[tuple[int, int]] = field(default_factory=list)
    _work_ms: int = 0

    def add(self, due_ms: int, work_ms: int) -> None:
        """Adds a caller.

        Args:
            due_ms: Steady-clock time at which it may return.
            work_ms: Time for which its job takes the whole pool.
        """
        heapq.heappush(self._due, (due_ms, work_ms))
        self._work_ms += work_ms

    def work_ms(self, now_ms: int) -> int:
        """Returns the time for which jobs that are still to return take the pool."""
        while self._due and self._due[0][0] <= now_ms:
            self._work_ms -= heapq.heappop(self._due)[1]
        return self._work_ms
