"""A virtual clock that runs functions in the order of their times."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Milliseconds that pass only from event to event.

    Attributes:
        now_ms: The time of the event that runs.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, delay_ms: int, act: Callable[[], None]) -> None:
        """Runs ``act`` after a delay; equal times run in the order of the calls."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._order), act))

    def run(self, until_ms: int) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        self.now_ms = max(self.now_ms, until_ms)

    def run_until(
        self, is_done: Callable[[], bool], *, end_ms: int, step_ms: int
    ) -> bool:
        """Runs until the check, made every ``step_ms``, holds; false at the end."""
        while self.now_ms < end_ms:
            if is_done():
                return True
            self.run(min(self.now_ms + step_ms, end_ms))
        return is_done()
