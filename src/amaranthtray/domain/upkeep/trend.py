"""Recent needs of a pool: growth over the time of a move, sliding extremes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..jobs.model import NO_RESOURCES, Resources

WINDOW_MS = 800
"""Time over which growth is measured; reports come up to 400 ms apart."""

MAX_GROWTH_FACTOR = 2
"""Largest forecast as a multiple of the present need: the tasks of one large job come
at once, which is no growth that goes on."""


@dataclass(slots=True)
class NeedTrend:
    """Recent needs of a pool."""

    _samples: deque[tuple[int, Resources]] = field(default_factory=deque)

    def record(self, need: Resources, now_ms: int) -> None:
        """Adds the present need."""
        self._samples.append((now_ms, need))
        while len(self._samples) > 1 and self._samples[0][0] < now_ms - WINDOW_MS:
            self._samples.popleft()

    def forecast(self, ahead_ms: int) -> Resources:
        """Returns the need in ``ahead_ms``; a falling need is taken as it is now."""
        if not self._samples:
            return NO_RESOURCES
        (first_ms, first), (last_ms, last) = self._samples[0], self._samples[-1]
        if last_ms <= first_ms:
            return last
        factor = ahead_ms / (last_ms - first_ms)
        return Resources(
            *(
                now
                + min(
                    max(0, int(factor * (now - before))), (MAX_GROWTH_FACTOR - 1) * now
                )
                for before, now in zip(first, last, strict=True)
            )
        )


class SlidingMaximum:
    """Largest of the values of a time window, in amortized constant time."""

    def __init__(self) -> None:
        self._candidates: deque[tuple[int, float]] = deque()

    def record(self, value: float, now_ms: int, window_ms: int) -> float:
        """Adds a value; returns the largest one of the last ``window_ms``."""
        while self._candidates and self._candidates[-1][1] <= value:
            self._candidates.pop()
        self._candidates.append((now_ms, value))
        while self._candidates[0][0] < now_ms - window_ms:
            self._candidates.popleft()
        return self._candidates[0][1]
