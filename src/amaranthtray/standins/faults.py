"""Faults that tests and the demo inject into the stand-ins."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field, replace

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults in force.

    Attributes:
        delay_ms: Wait before each call.
        fail: Answer 500 before any effect.
        lose_reply: Let the effect happen, then break the connection.
        cut: Break the connection before any effect.
    """

    delay_ms: int = 0
    fail: bool = False
    lose_reply: bool = False
    cut: bool = False


@dataclass(slots=True)
class FaultPlan:
    """Faults of one stand-in listener; changed by tests, read by its threads."""

    current: Faults = field(default_factory=Faults)
    losses_left: int = 0
    _running: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self._running.set()

    def set(self, faults: Faults) -> None:
        """Puts other faults in force."""
        self.current = faults

    def clear_faults(self) -> None:
        """Ends all faults and any pause."""
        self.current = Faults()
        self.losses_left = 0
        self._running.set()

    def pause(self) -> None:
        """Holds every call until ``resume``."""
        self._running.clear()

    def resume(self) -> None:
        """Lets held calls go on."""
        self._running.set()

    def lose_next_replies(self, count: int) -> None:
        """Breaks the connection after the effect of the next ``count`` calls."""
        self.losses_left = count

    def before_effect(self) -> Faults:
        """Waits as told and returns the faults that this call must show."""
        self._running.wait()
        faults = self.current
        if faults.delay_ms:
            time.sleep(faults.delay_ms / MS_PER_S)
        with self._lock:
            if self.losses_left > 0:
                self.losses_left -= 1
                return replace(faults, lose_reply=True)
        return faults
