"""Claims of ids that callers chose, in the platform's store."""

from __future__ import annotations

import hashlib
import threading
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from ..domain.requests.idempotency_messages import (
    Claim,
    ClaimAbsent,
    ClaimCreated,
    ClaimFound,
    ClaimOutcomeUnknown,
    ClaimResult,
    ClaimUnavailable,
)
from ..store.contract import CallsSpent, Conflict, EffectUnknown, LeaseGone, Versioned

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.requests.tracked_request import RequestKey
    from ..store.contract import LeaseId, Store, StoreFailure

CLAIM_PREFIX = "claims/"
LEASE_SPAN_MS = 3_600_000
"""Time for which new claims hang on one lease; it outlives them by as much."""


class ClaimStore:
    """Creates and reads claims; many hang on one lease that is never renewed.

    Args:
        store: A store that does not settle lost replies; the table does.
        retention_ms: Time for which a claim must be kept.
        clock: Monotonic clock in milliseconds.
    """

    def __init__(
        self, store: Store, *, retention_ms: int, clock: Callable[[], int]
    ) -> None:
        self._store = store
        self._retention_ms = retention_ms
        self._clock = clock
        self._lock = threading.Lock()
        self._lease: LeaseId | None = None
        self._lease_until_ms = 0

    def create(self, key: RequestKey, claim: Claim) -> ClaimResult:
        """Creates a claim if there is none."""
        lease = self._current_lease()
        if isinstance(lease, Failure):
            return _unavailable(lease.failure())
        value = msgspec.json.encode(claim)
        created = self._store.create(_key(key), value, lease=lease.unwrap())
        if isinstance(created, Success):
            return ClaimCreated()
        return self._refused(created.failure())

    def read(self, key: RequestKey) -> ClaimResult:
        """Reads a claim back."""
        found = self._store.get(_key(key))
        if isinstance(found, Failure):
            return ClaimOutcomeUnknown()
        item = found.unwrap()
        return ClaimAbsent() if item is None else _held(item)

    def _current_lease(self) -> Result[LeaseId, StoreFailure]:
        with self._lock:
            if self._lease is not None and self._clock() < self._lease_until_ms:
                return Success(self._lease)
            asked_ms = self._clock()
            granted = self._store.grant_lease(self._retention_ms + 2 * LEASE_SPAN_MS)
            if isinstance(granted, Success):
                self._lease = granted.unwrap()
                self._lease_until_ms = asked_ms + LEASE_SPAN_MS
            return granted

    def _refused(self, failure: StoreFailure) -> ClaimResult:
        match failure:
            case Conflict(found=Versioned() as found):
                return _held(found)
            case EffectUnknown():
                return ClaimOutcomeUnknown()
            case LeaseGone():
                self._forget_lease()
        return _unavailable(failure)

    def _forget_lease(self) -> None:
        with self._lock:
            self._lease = None


def _key(key: RequestKey) -> str:
    name = f"{key.team}/{key.request_id}".encode()
    return CLAIM_PREFIX + hashlib.sha256(name).hexdigest()


def _held(found: Versioned) -> ClaimResult:
    try:
        return ClaimFound(msgspec.json.decode(found.value, type=Claim))
    except msgspec.DecodeError:
        return ClaimOutcomeUnknown()


def _unavailable(failure: StoreFailure) -> ClaimUnavailable:
    if isinstance(failure, CallsSpent):
        return ClaimUnavailable(failure.retry_after_ms)
    return ClaimUnavailable()
