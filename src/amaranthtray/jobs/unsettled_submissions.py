"""Submissions of this entry that may be stored, or may still be written."""

from __future__ import annotations

import threading
from collections import Counter, OrderedDict
from dataclasses import dataclass

MAX_UNKNOWN = 10_000
"""Most jobs with an unknown outcome that are kept, about 1 MB; the oldest are dropped,
and while any is dropped no job counts as certainly settled."""

UNKNOWN_KEPT_MS = 600_000
"""Time for which an unknown outcome is kept: a write without a reply may take effect
long after it, and a caller returns within minutes."""

DISTURBED_MS = 5_000
"""Time after an unknown outcome in which other entries may have them, too."""


@dataclass(slots=True, eq=False)
class AbsenceCheck:
    """A check that a job is not stored, while which a write of it may begin.

    Attributes:
        key: Key of the job.
        may_be_written: Whether a write of it was or came in flight.
    """

    key: str
    may_be_written: bool


class UnsettledSubmissions:
    """Keys of jobs that are being written or whose outcome is unknown; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._unknown_ms: OrderedDict[str, int] = OrderedDict()
        self._last_unknown_ms: int | None = None
        self._full_until_ms = 0
        self._checks: dict[str, list[AbsenceCheck]] = {}

    def begin(self, key: str) -> None:
        """Records that a write of a key begins."""
        with self._lock:
            self._in_flight[key] += 1
            for check in self._checks.get(key, ()):
                check.may_be_written = True

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

    def begin_check(self, key: str, now_ms: int) -> AbsenceCheck:
        """Begins a check; the key has to be read from the store after this."""
        with self._lock:
            check = AbsenceCheck(key, self._may_be_written(key, now_ms))
            self._checks.setdefault(key, []).append(check)
            return check

    def end_check(self, check: AbsenceCheck, now_ms: int) -> bool:
        """Returns whether a write was or came in flight here during the check."""
        with self._lock:
            checks = self._checks[check.key]
            checks.remove(check)
            if not checks:
                del self._checks[check.key]
            return check.may_be_written or self._may_be_written(check.key, now_ms)

    def _may_be_written(self, key: str, now_ms: int) -> bool:
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
