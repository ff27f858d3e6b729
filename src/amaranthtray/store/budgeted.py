"""Counts calls to a store and limits them: rate, concurrency, circuit breaker."""

from __future__ import annotations

import random
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias, TypeVar

from returns.result import Failure, Result

from .contract import (
    CallsSpent,
    EffectUnknown,
    LeaseId,
    Listing,
    Unavailable,
    Versioned,
    WatchBatch,
)

if TYPE_CHECKING:
    from .contract import Store, StoreFailure

T = TypeVar("T")
Clock: TypeAlias = Callable[[], int]
"""Returns a monotonic time in milliseconds."""

PEER = "call-budget"
MS_PER_S = 1_000
WATCH = "watch"


@dataclass(frozen=True, slots=True)
class CallBudget:
    """Limits of one entry's calls to the platform.

    Attributes:
        calls_per_s: Sustained rate, at which the token bucket refills.
        burst: Size of the token bucket: calls that can be made at once after an
            idle time.
        lease_reserve: Tokens that only lease renewals may use, so that other calls
            cannot make the entry lose its leases.
        max_in_flight: Maximum number of concurrent calls, so that a slow store
            cannot block every thread of the entry.
        failures_to_back_off: Consecutive failures after which calls are refused for
            a time.
        backoff_min_ms: Upper bound of the first pause; each pause is drawn between
            half its bound and the bound.
        backoff_max_ms: Maximum to which the bound of the pauses doubles.
    """

    calls_per_s: float = 40.0
    burst: int = 80
    lease_reserve: int = 20
    max_in_flight: int = 8
    failures_to_back_off: int = 3
    backoff_min_ms: int = 200
    backoff_max_ms: int = 5_000


class BudgetedStore:
    """Refuses calls over the limits at once instead of blocking the caller.

    Args:
        store: The underlying store.
        clock: Monotonic clock.
        budget: Limits of the calls.
        rng: Random source of the jitter.
    """

    def __init__(
        self,
        store: Store,
        *,
        clock: Clock,
        budget: CallBudget | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.calls: Counter[str] = Counter()
        self._in_flight: Counter[str] = Counter()
        self._store = store
        self._clock = clock
        self._budget = budget or CallBudget()
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._tokens = float(self._budget.burst)
        self._refilled_ms = clock()
        self._failures = 0
        self._backoff_until_ms = clock()

    @property
    def allows_calls(self) -> bool:
        """Returns whether no backoff after failures is in force."""
        return self._clock() >= self._backoff_until_ms

    def get(self, key: str) -> Result[Versioned | None, StoreFailure]:
        """Reads one key."""
        return self._call("get", lambda: self._store.get(key))

    def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix at one version."""
        return self._call("list", lambda: self._store.list(prefix))

    def create(
        self, key: str, value: bytes, *, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be absent and returns its version."""
        return self._call("create", lambda: self._store.create(key, value, lease=lease))

    def compare_and_swap(
        self, key: str, value: bytes, *, version: int, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version`` and returns the new version."""
        return self._call(
            "compare_and_swap",
            lambda: self._store.compare_and_swap(
                key, value, version=version, lease=lease
            ),
        )

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""
        return self._call("delete", lambda: self._store.delete(key, version=version))

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Grants a lease."""
        return self._call("grant_lease", lambda: self._store.grant_lease(ttl_ms))

    def renew_lease(self, lease: LeaseId) -> Result[int, StoreFailure]:
        """Renews a lease; uses the reserve if needed and ignores backoff."""
        return self._call(
            "renew_lease", lambda: self._store.renew_lease(lease), is_renewal=True
        )

    def revoke_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Revokes a lease and deletes its keys."""
        return self._call("revoke_lease", lambda: self._store.revoke_lease(lease))

    def watch(
        self, prefix: str, *, after_version: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreFailure]:
        """Waits for changes after ``after_version``."""
        return self._call(
            WATCH,
            lambda: self._store.watch(
                prefix, after_version=after_version, timeout_ms=timeout_ms
            ),
        )

    def _call(
        self,
        step: str,
        call: Callable[[], Result[T, StoreFailure]],
        *,
        is_renewal: bool = False,
    ) -> Result[T, StoreFailure]:
        with self._lock:
            wait_ms = self._take_token(is_renewal=is_renewal)
            if wait_ms == 0:
                self.calls[step] += 1
                self._in_flight[step] += 1
        if wait_ms > 0:
            return Failure(CallsSpent(step, PEER, wait_ms))
        try:
            result = call()
        finally:
            with self._lock:
                self._in_flight[step] -= 1
        with self._lock:
            self._record_result(result)
        return result

    def _take_token(self, *, is_renewal: bool) -> int:
        """Takes a token; returns 0, or the milliseconds after which to try again."""
        now_ms = self._clock()
        self._refill(now_ms)
        if not is_renewal and now_ms < self._backoff_until_ms:
            return self._backoff_until_ms - now_ms
        if not is_renewal and self._calls_in_flight() >= self._budget.max_in_flight:
            return self._budget.backoff_min_ms
        floor = 0 if is_renewal else self._budget.lease_reserve
        if self._tokens < floor + 1:
            missing = floor + 1 - self._tokens
            return max(1, round(missing * MS_PER_S / self._budget.calls_per_s))
        self._tokens -= 1
        return 0

    def _calls_in_flight(self) -> int:
        """Returns the number of calls in flight without watches, which always wait."""
        return self._in_flight.total() - self._in_flight[WATCH]

    def _refill(self, now_ms: int) -> None:
        passed_ms = max(0, now_ms - self._refilled_ms)
        filled = self._tokens + passed_ms * self._budget.calls_per_s / MS_PER_S
        self._tokens = min(float(self._budget.burst), filled)
        self._refilled_ms = max(now_ms, self._refilled_ms)

    def _record_result(self, result: Result[T, StoreFailure]) -> None:
        """Resets the failures after a reply; backs off after several of them."""
        if not _is_outage(result):
            self._failures = 0
            return
        self._failures += 1
        excess = self._failures - self._budget.failures_to_back_off
        if excess < 0:
            return
        bound_ms = min(
            self._budget.backoff_max_ms,
            self._budget.backoff_min_ms * 2 ** min(excess, 16),
        )
        pause_ms = self._rng.randint(bound_ms // 2, bound_ms)
        self._backoff_until_ms = self._clock() + pause_ms


def _is_outage(result: Result[T, StoreFailure]) -> bool:
    return isinstance(result, Failure) and isinstance(
        result.failure(), Unavailable | EffectUnknown
    )
