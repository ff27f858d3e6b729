"""The monotonic clock of an entry."""

from __future__ import annotations

import time

from ..domain.ids import Millis

NS_PER_MS = 1_000_000


def now_ms() -> Millis:
    """Returns the monotonic time in milliseconds."""
    return Millis(time.monotonic_ns() // NS_PER_MS)
