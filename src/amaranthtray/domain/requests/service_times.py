"""Mean slot times and the wait that a queue length implies."""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of one measurement in the exponentially weighted mean."""

ASSUMED_SLOTS = 0.25
"""Slots that a queue is assumed to have on average if it holds none now."""

WARM_UP = 20
"""Number of measurements below which the plain mean is taken."""


class ServiceTimes:
    """Mean time for which a task of one pool and work class occupies a slot.

    Only measured times enter the mean, never declared ones.

    Attributes:
        mean_ms: The mean, or the assumed time before any measurement.
    """

    __slots__ = ("_count", "mean_ms")

    def __init__(self, assumed_ms: int) -> None:
        self.mean_ms = float(assumed_ms)
        self._count = 0

    def record(self, slot_ms: int) -> None:
        """Records the slot time of a task that has ended."""
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count) if self._count < WARM_UP else SMOOTHING
        self.mean_ms += weight * (slot_ms - self.mean_ms)

    def implied_wait_ms(self, ahead: int, slots: int) -> float:
        """Returns the expected time until ``slots`` slots have served ``ahead`` tasks.

        With no slots, ``ASSUMED_SLOTS`` is assumed.
        """
        return max(ahead, 0) * self.mean_ms / max(slots, ASSUMED_SLOTS)
