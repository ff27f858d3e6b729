"""Clocks of an entry that takes jobs."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


def steady_ms() -> int:
    """Returns milliseconds since the machine's start, with time asleep.

    A suspended machine's leases run out meanwhile, so its sleep has to count.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def wall_ms() -> int:
    """Returns milliseconds since 1970; may jump."""
    return time.time_ns() // NS_PER_MS
