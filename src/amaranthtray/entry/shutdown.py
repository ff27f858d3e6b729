"""Readiness and graceful shutdown of an entry."""

from __future__ import annotations

import threading
from enum import Enum, auto


class EntryPhase(Enum):
    """Phase between the start and the end of an entry, in this order."""

    STARTING = auto()
    SERVING = auto()
    DRAINING = auto()
    STOPPED = auto()


class Readiness:
    """The phase of the entry and the number of requests in flight.

    The health check fails as soon as draining begins; requests are still accepted
    until the phase ``STOPPED``, as the load balancer notices only after a while.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._phase = EntryPhase.STARTING
        self._in_flight = 0

    @property
    def is_ready(self) -> bool:
        """Returns whether the load balancer should send callers to this entry."""
        return self._phase is EntryPhase.SERVING

    @property
    def phase(self) -> EntryPhase:
        """Returns the current phase."""
        return self._phase

    @property
    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        return self._in_flight

    def begin_request(self) -> bool:
        """Counts a new request; returns False if the entry no longer accepts any."""
        with self._changed:
            if self._phase is EntryPhase.STOPPED:
                return False
            self._in_flight += 1
            return True

    def end_request(self) -> None:
        """Counts the end of a request."""
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def advance(self, phase: EntryPhase) -> bool:
        """Enters a later phase; returns False if the entry has already reached it."""
        with self._changed:
            if phase.value <= self._phase.value:
                return False
            self._phase = phase
            self._changed.notify_all()
            return True

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until no request is in flight; returns False after the timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._in_flight == 0, timeout_s)
