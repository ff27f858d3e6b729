"""A virtual clock that runs scheduled actions in the order of their times."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """A clock that advances from one scheduled action to the next.

    Attributes:
        now_ms: Time of the action that runs, or of the end of the last run.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedules an action; equal times run in the order of the calls."""
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, next(self._order), action)
        )

    def run(self, until_ms: int) -> None:
        """Runs all actions up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = max(self.now_ms, until_ms)

    def run_until(
        self, is_done: Callable[[], bool], *, end_ms: int, step_ms: int
    ) -> bool:
        """Runs until ``is_done`` holds or ``end_ms``; returns whether it holds.

        It is checked every ``step_ms``.
        """
        while self.now_ms < end_ms:
            if is_done():
                return True
            self.run(min(self.now_ms + step_ms, end_ms))
        return is_done()
