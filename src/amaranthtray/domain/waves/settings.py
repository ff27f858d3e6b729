"""Settings of conductors."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConductorSettings:
    """Times and limits of a conductor.

    Attributes:
        lease_margin_ms: How long before the lease of the duty expires it stops acting.
        store_timeout_ms: How long it waits for a store reply before it treats the
            reply as lost.
        retry_ms: Delay after the first failed store call; doubles with each failure.
        max_retry_ms: Longest delay after a failed store call.
        reissue_ms: Interval at which orders to hosts that are out are issued again.
        max_starts: Most hosts that one planning step of moves, or of one wave, takes
            out.
        defer_drain_ms: A drain longer than this, and than ``defer_factor`` times the
            mean time of the wave's hosts so far, is cancelled once if others wait.
        defer_factor: See ``defer_drain_ms``.
        overdue_ms: A host out for maintenance longer than this is reported overdue.
        remove_missing_after_ms: A host that the platform's list lacks for longer leaves
            its pool.
    """

    lease_margin_ms: int = 1_000
    store_timeout_ms: int = 5_000
    retry_ms: int = 500
    max_retry_ms: int = 15_000
    reissue_ms: int = 30_000
    max_starts: int = 64
    defer_drain_ms: int = 60 * 60_000
    defer_factor: int = 3
    overdue_ms: int = 30 * 60_000
    remove_missing_after_ms: int = 60 * 60_000
