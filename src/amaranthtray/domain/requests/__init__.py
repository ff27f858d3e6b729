"""Requests of callers: admission, queueing, attempts, outcomes and idempotency."""
