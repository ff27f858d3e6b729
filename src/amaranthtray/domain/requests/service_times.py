"""Measured slot times and the wait that a line implies."""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of one measurement in the running mean."""

WON_SLOTS = 0.25
"""Slots that a line without any is assumed to win from others, on average."""

WARM_UP = 20
"""Measurements over which a plain mean is taken first."""


class ServiceTimes:
    """Running mean of the slot time of one pool and class.

    Declared times are never used.

    Attributes:
        mean_ms: The mean, or the assumed time before any measurement.
    """

    __slots__ = ("_count", "mean_ms")

    def __init__(self, assumed_ms: int) -> None:
        self.mean_ms = float(assumed_ms)
        self._count = 0

    def record(self, slot_ms: int) -> None:
        """Records the slot time of a task that is over."""
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count) if self._count < WARM_UP else SMOOTHING
        self.mean_ms += weight * (slot_ms - self.mean_ms)

    def implied_wait_ms(self, ahead: int, slots: int) -> float:
        """Returns the time until ``ahead`` of the tasks in ``slots`` have ended.

        Without a slot in hand, one is assumed to be won rarely.
        """
        return max(ahead, 0) * self.mean_ms / max(slots, WON_SLOTS)
