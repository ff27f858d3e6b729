"""Clocks of an entry that accepts jobs."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


def steady_ms() -> int:
    """Returns milliseconds since the machine booted, including time suspended.

    Leases expire while a machine is suspended, so that time has to count.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def wall_ms() -> int:
    """Returns milliseconds since the Unix epoch; may jump in either direction."""
    return time.time_ns() // NS_PER_MS
