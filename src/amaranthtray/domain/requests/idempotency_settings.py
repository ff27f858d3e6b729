"""Settings of the idempotency table."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IdempotencySettings:
    """Limits and timeouts that the idempotency table applies.

    Attributes:
        issued_id_ttl_ms: Time within which an issued id must be used.
        outcome_ttl_ms: Time for which an outcome is kept for later copies.
        max_kept_records: Maximum number of records of issued and finished ids.
        retention_ms: Time for which the store keeps a claim.
        max_deadline_ms: Longest time to the deadline of an unrepeatable request with
            a chosen id.
        claim_timeout_ms: Longest time from the decision to claim until the result is
            known; a later result is not used, since the entry may have been paused.
        claim_margin_ms: Margin for different rates of the store's clock and this one.
        max_claim_reads: Maximum number of claim reads after lost replies.
        store_retry_ms: Retry delay suggested while the store is unavailable.
    """

    issued_id_ttl_ms: int = 600_000
    outcome_ttl_ms: int = 600_000
    max_kept_records: int = 20_000
    retention_ms: int = 86_400_000
    max_deadline_ms: int = 43_200_000
    claim_timeout_ms: int = 60_000
    claim_margin_ms: int = 600_000
    max_claim_reads: int = 3
    store_retry_ms: int = 2_000

    @property
    def max_claim_age_ms(self) -> int:
        """Maximum age of a claim at which work may start under it.

        The claim then outlives the work, whose deadline is at most
        ``max_deadline_ms`` away.
        """
        return self.retention_ms - self.max_deadline_ms - self.claim_margin_ms
