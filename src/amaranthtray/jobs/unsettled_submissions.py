"""Submissions of this entry that may be stored, or may still be written."""

from __future__ import annotations

import threading
from collections import Counter, OrderedDict

MAX_UNKNOWN = 10_000
"""Most jobs with an unknown outcome that are kept, about 1 MB; the oldest are dropped,
and while any is dropped no job counts as certainly settled."""

UNKNOWN_KEPT_MS = 600_000
"""Time for which an unknown outcome is kept: a write without a reply may take effect
long after it, and a caller returns within minutes."""

DISTURBED_MS = 5_000
"""Time after an unknown outcome in which other entries may have them, too."""


class UnsettledSubmissions:
    """Keys of jobs that are being written or whose outcome is unknown; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._unknown_ms: OrderedDict[str, int] = OrderedDict()
        self._last_unknown_ms: int | None = None
        self._full_until_ms = 0

    def begin(self, key: str) -> None:
        """Records that a write of a key begins."""
        with self._lock:
            self._in_flight[key] += 1

    def end(self, key: str, now_ms: int, *, is_unknown: bool) -> None:
        """Records that a write of a key ended, perhaps with an unknown outcome."""
        with self._lock:
            self._in_flight[key] -= 1
            if not self._in_flight[key]:
                del self._in_flight[key]
            if is_unknown:
                self._last_unknown_ms = now_ms
                self._unknown_ms[key] = now_ms
                self._unknown_ms.move_to_end(key)
            self._forget_old(now_ms)

    def may_be_written(self, key: str, now_ms: int) -> bool:
        """Returns whether a write of a key may take effect, as far as is known here."""
        with self._lock:
            self._forget_old(now_ms)
            last_ms = self._last_unknown_ms
            is_disturbed = last_ms is not None and now_ms - last_ms < DISTURBED_MS
            is_known = key in self._in_flight or key in self._unknown_ms
            return is_known or is_disturbed or now_ms < self._full_until_ms

    def _forget_old(self, now_ms: int) -> None:
        while self._unknown_ms:
            key, unknown_ms = next(iter(self._unknown_ms.items()))
            if now_ms - unknown_ms >= UNKNOWN_KEPT_MS:
                del self._unknown_ms[key]
            elif len(self._unknown_ms) > MAX_UNKNOWN:
                del self._unknown_ms[key]
                self._full_until_ms = unknown_ms + UNKNOWN_KEPT_MS
            else:
                return
