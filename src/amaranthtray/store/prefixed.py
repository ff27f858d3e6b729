"""A store that keeps all its keys under one prefix of the platform's store."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .contract import Conflict, Listing, WatchBatch

if TYPE_CHECKING:
    from returns.result import Result

    from .contract import LeaseId, Store, StoreFailure, Versioned, WatchEvent


class PrefixedStore:
    """Implements ``Store``; callers see keys without the prefix.

    Args:
        store: The platform's store.
        prefix: Prefix of all keys.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    def get(self, key: str) -> Result[Versioned | None, StoreFailure]:
        """Reads one key."""
        read = self._store.get(self._prefix + key)
        return read.map(lambda item: item and self._strip_prefix(item))

    def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix at one version."""
        return self._store.list(self._prefix + prefix).map(self._strip_listing)

    def create(
        self, key: str, value: bytes, *, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be absent and returns its version."""
        done = self._store.create(self._prefix + key, value, lease=lease)
        return done.alt(self._strip_failure)

    def compare_and_swap(
        self, key: str, value: bytes, *, version: int, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version`` and returns the new version."""
        done = self._store.compare_and_swap(
            self._prefix + key, value, version=version, lease=lease
        )
        return done.alt(self._strip_failure)

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""
        done = self._store.delete(self._prefix + key, version=version)
        return done.alt(self._strip_failure)

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Grants a lease."""
        return self._store.grant_lease(ttl_ms)

    def renew_lease(self, lease: LeaseId) -> Result[int, StoreFailure]:
        """Renews a lease and returns its time to live in milliseconds."""
        return self._store.renew_lease(lease)

    def revoke_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Revokes a lease and deletes its keys."""
        return self._store.revoke_lease(lease)

    def watch(
        self, prefix: str, *, after_version: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreFailure]:
        """Waits for changes after ``after_version``; returns none after the timeout."""
        batch = self._store.watch(
            self._prefix + prefix, after_version=after_version, timeout_ms=timeout_ms
        )
        return batch.map(self._strip_batch)

    def _strip_prefix(self, item: Versioned) -> Versioned:
        return replace(item, key=item.key.removeprefix(self._prefix))

    def _strip_listing(self, listing: Listing) -> Listing:
        items = tuple(self._strip_prefix(item) for item in listing.items)
        return Listing(items, listing.at_version)

    def _strip_batch(self, batch: WatchBatch) -> WatchBatch:
        events = tuple(self._strip_event(item) for item in batch.events)
        return WatchBatch(events, batch.at_version)

    def _strip_event(self, event: WatchEvent) -> WatchEvent:
        return replace(event, key=event.key.removeprefix(self._prefix))

    def _strip_failure(self, failure: StoreFailure) -> StoreFailure:
        if isinstance(failure, Conflict) and failure.found is not None:
            return replace(failure, found=self._strip_prefix(failure.found))
        return failure
