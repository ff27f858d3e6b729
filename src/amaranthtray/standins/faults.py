"""Faults that tests and the demo inject into the stand-ins."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field, replace

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of one call.

    Attributes:
        delay_ms: Delay before the effect of each call.
        fail: Reply with status 500 and have no effect.
        lose_reply: Have the effect, then break the connection.
        cut: Break the connection and have no effect.
    """

    delay_ms: int = 0
    fail: bool = False
    lose_reply: bool = False
    cut: bool = False


@dataclass(slots=True)
class FaultPlan:
    """Faults of one stand-in; set by tests and read by the threads that serve calls."""

    current: Faults = field(default_factory=Faults)
    replies_to_lose: int = 0
    _running: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self._running.set()

    def set(self, faults: Faults) -> None:
        """Replaces the faults of the following calls."""
        self.current = faults

    def clear_faults(self) -> None:
        """Removes all faults and ends a pause."""
        self.current = Faults()
        self.replies_to_lose = 0
        self._running.set()

    def pause(self) -> None:
        """Blocks every new call until ``resume``."""
        self._running.clear()

    def resume(self) -> None:
        """Continues blocked calls."""
        self._running.set()

    def lose_next_replies(self, count: int) -> None:
        """Breaks the connection after the effect of the next ``count`` calls."""
        self.replies_to_lose = count

    def next_faults(self) -> Faults:
        """Waits out a pause and the delay; returns the faults to apply to a call."""
        self._running.wait()
        faults = self.current
        if faults.delay_ms:
            time.sleep(faults.delay_ms / MS_PER_S)
        with self._lock:
            if self.replies_to_lose > 0:
                self.replies_to_lose -= 1
                return replace(faults, lose_reply=True)
        return faults
