"""Virtual time and processes that are paused in it."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ._limits_parts import EntryProcess


class Timeline:
    """Runs what is due in order of time.

    Attributes:
        now_ms: True time, which no process sees.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0

    def number(self) -> int:
        """Returns the next number of a sequence."""
        self._count += 1
        return self._count

    def after(self, delay_ms: float, act: Callable[[], object]) -> None:
        """Runs ``act`` after ``delay_ms``."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, self.number(), act))

    def run(self, duration_ms: float) -> None:
        """Lets time pass."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        self.now_ms = until_ms

    def is_awake(self, process: EntryProcess) -> bool:
        """Returns whether the process runs now."""
        return process.is_alive and process.paused_until_ms <= self.now_ms

    def when_awake(self, process: EntryProcess, act: Callable[[], object]) -> None:
        """Runs ``act`` once the process is not paused; never if it has ended."""
        if self.is_awake(process):
            act()
        elif process.is_alive:
            wait_ms = process.paused_until_ms - self.now_ms
            self.after(wait_ms, lambda: self.when_awake(process, act))

    def pause(self, process: EntryProcess, duration_ms: float) -> None:
        """Stops a process for a while; its clock runs on."""
        until_ms = self.now_ms + duration_ms
        process.paused_until_ms = max(process.paused_until_ms, until_ms)

    def pause_left_ms(self, process: EntryProcess) -> float:
        """Returns how long the process is paused from now."""
        return max(0.0, process.paused_until_ms - self.now_ms)
