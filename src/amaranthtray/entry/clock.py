"""The entry's monotonic clock."""

from __future__ import annotations

import time

from ..domain.ids import Millis

NS_PER_MS = 1_000_000


def now_ms() -> Millis:
    """Returns milliseconds on the monotonic clock."""
    return Millis(time.monotonic_ns() // NS_PER_MS)
