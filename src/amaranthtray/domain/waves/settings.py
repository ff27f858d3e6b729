"""Settings of conductors."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConductorSettings:
    """How a conductor acts.

    Attributes:
        lease_margin_ms: Acts stop this long before the lease of the duty ends.
        store_timeout_ms: A store call without any reply counts as lost after this.
        retry_ms: First delay after a failed store call; it doubles each time.
        max_retry_ms: Longest delay between store calls.
        reissue_ms: Orders to hosts that are out are given again after this.
        max_starts: Most hosts that one write of the ledger takes out.
        defer_drain_ms: A drain longer than this, and than ``defer_factor`` times the
            wave's mean so far, is given up once if others wait.
        defer_factor: See ``defer_drain_ms``.
        overdue_ms: A host out for maintenance longer than this is reported.
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
