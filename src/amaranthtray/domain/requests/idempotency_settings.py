"""Bounds of the idempotency table."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IdempotencySettings:
    """Bounds of the idempotency table.

    Attributes:
        issued_id_ttl_ms: Time within which an issued id must be used.
        outcome_ttl_ms: Time for which an outcome is kept for later copies.
        max_kept_records: Most issued and finished ids that are kept.
        retention_ms: Time for which the platform's store keeps a claim.
        max_deadline_ms: Longest time to the deadline of an unrepeatable request with
            a chosen id.
        claim_timeout_ms: Longest time from the decision to claim to its settled result;
            a later one is not used, since its entry may have been paused.
        claim_margin_ms: Slack for the rates of the store's clock and this one.
        max_claim_reads: Times that a claim is read back after a lost reply.
        store_retry_ms: Advice to come back when the store is away.
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
        """Age of a claim up to which work may be taken up under it."""
        return self.retention_ms - self.max_deadline_ms - self.claim_margin_ms
