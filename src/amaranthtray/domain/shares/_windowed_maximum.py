"""Maximum of a count over a sliding time window."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WindowedMaximum:
    """Maximum over a time between one and two windows.

    Attributes:
        window_ms: Length of a window.
    """

    window_ms: int
    _began_ms: int = 0
    _current: int = 0
    _previous: int = 0

    def record(self, value: int, now_ms: int) -> int:
        """Records the value at ``now_ms`` and returns the maximum."""
        age_ms = now_ms - self._began_ms
        if age_ms >= self.window_ms:
            is_next = age_ms < 2 * self.window_ms
            self._previous = self._current if is_next else value
            self._current = value
            self._began_ms = now_ms
        self._current = max(self._current, value)
        return max(self._current, self._previous)
