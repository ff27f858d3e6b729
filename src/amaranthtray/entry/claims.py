"""Claims in the platform's store on request ids that callers chose.

A claim names the entry incarnation that may run the work of the id.
"""

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
LEASE_REUSE_MS = 3_600_000
"""Time for which new claims are attached to the same lease.

A lease is granted for the retention time plus twice this time, so that also the last
claim attached to it is kept for longer than the retention time, by at least this time.
"""


class ClaimStore:
    """Creates and reads claims; many are attached to one lease, which is not renewed.

    Args:
        store: Store that reports lost replies; the idempotency table resolves them.
        retention_ms: Minimum time for which the store must keep a claim.
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
        self._reuse_lease_until_ms = 0

    def create(self, key: RequestKey, claim: Claim) -> ClaimResult:
        """Creates a claim unless the store already holds one under the key."""
        lease = self._current_lease()
        if isinstance(lease, Failure):
            return _unavailable(lease.failure())
        value = msgspec.json.encode(claim)
        created = self._store.create(_store_key(key), value, lease=lease.unwrap())
        if isinstance(created, Success):
            return ClaimCreated()
        return self._to_result(created.failure())

    def read(self, key: RequestKey) -> ClaimResult:
        """Reads back a claim."""
        read = self._store.get(_store_key(key))
        if isinstance(read, Failure):
            return ClaimOutcomeUnknown()
        stored = read.unwrap()
        return ClaimAbsent() if stored is None else _to_found(stored)

    def _current_lease(self) -> Result[LeaseId, StoreFailure]:
        with self._lock:
            if self._lease is not None and self._clock() < self._reuse_lease_until_ms:
                return Success(self._lease)
            requested_ms = self._clock()
            granted = self._store.grant_lease(self._retention_ms + 2 * LEASE_REUSE_MS)
            if isinstance(granted, Success):
                self._lease = granted.unwrap()
                self._reuse_lease_until_ms = requested_ms + LEASE_REUSE_MS
            return granted

    def _to_result(self, failure: StoreFailure) -> ClaimResult:
        match failure:
            case Conflict(found=Versioned() as stored):
                return _to_found(stored)
            case EffectUnknown():
                return ClaimOutcomeUnknown()
            case LeaseGone():
                self._discard_lease()
        return _unavailable(failure)

    def _discard_lease(self) -> None:
        with self._lock:
            self._lease = None


def _store_key(key: RequestKey) -> str:
    name = f"{key.team}/{key.request_id}".encode()
    return CLAIM_PREFIX + hashlib.sha256(name).hexdigest()


def _to_found(stored: Versioned) -> ClaimResult:
    try:
        return ClaimFound(msgspec.json.decode(stored.value, type=Claim))
    except msgspec.DecodeError:
        return ClaimOutcomeUnknown()


def _unavailable(failure: StoreFailure) -> ClaimUnavailable:
    if isinstance(failure, CallsSpent):
        return ClaimUnavailable(failure.retry_after_ms)
    return ClaimUnavailable()
