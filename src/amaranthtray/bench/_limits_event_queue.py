"""Events in virtual time, and pauses of entry processes."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ._limits_parts import EntryProcess


class EventQueue:
    """Runs scheduled actions in order of virtual time.

    Attributes:
        now_ms: True time; processes see only their own clocks.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0

    def next_number(self) -> int:
        """Returns the next number of a sequence."""
        self._count += 1
        return self._count

    def schedule(self, delay_ms: float, act: Callable[[], object]) -> None:
        """Runs ``act`` after ``delay_ms``."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, self.next_number(), act))

    def advance(self, duration_ms: float) -> None:
        """Runs all actions that are due in the given time."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        self.now_ms = until_ms

    def is_awake(self, process: EntryProcess) -> bool:
        """Returns whether the process is alive and not paused."""
        return process.is_alive and process.paused_until_ms <= self.now_ms

    def run_when_awake(self, process: EntryProcess, act: Callable[[], object]) -> None:
        """Runs ``act`` when the process is not paused; never if it has ended."""
        if self.is_awake(process):
            act()
        elif process.is_alive:
            wait_ms = process.paused_until_ms - self.now_ms
            self.schedule(wait_ms, lambda: self.run_when_awake(process, act))

    def pause(self, process: EntryProcess, duration_ms: float) -> None:
        """Pauses a process; its clock continues to run."""
        until_ms = self.now_ms + duration_ms
        process.paused_until_ms = max(process.paused_until_ms, until_ms)

    def remaining_pause_ms(self, process: EntryProcess) -> float:
        """Returns for how much longer the process is paused."""
        return max(0.0, process.paused_until_ms - self.now_ms)
