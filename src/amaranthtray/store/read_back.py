"""A store that resolves lost replies of writes by reading back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .contract import Conflict, EffectUnknown, LeaseId, Listing, Versioned, WatchBatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from .contract import Store, StoreFailure

MAX_RESOLVE_ATTEMPTS = 3


class ReadBackStore:
    """Resolves ``EffectUnknown`` of writes where reading the key back shows the effect.

    A value must be unique to its write, for example by an operation id inside it:
    reading it back then proves that the write took effect. If another value has been
    written, the outcome stays unknown: ours may have been stored before it.

    Args:
        store: The underlying store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    def get(self, key: str) -> Result[Versioned | None, StoreFailure]:
        """Reads one key."""
        return self._store.get(key)

    def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix at one version."""
        return self._store.list(prefix)

    def create(
        self, key: str, value: bytes, *, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be absent and returns its version."""
        return self._resolve_write(
            lambda: self._store.create(key, value, lease=lease), key, value, 0
        )

    def compare_and_swap(
        self, key: str, value: bytes, *, version: int, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version`` and returns the new version."""
        return self._resolve_write(
            lambda: self._store.compare_and_swap(
                key, value, version=version, lease=lease
            ),
            key,
            value,
            version,
        )

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""
        deleted = self._store.delete(key, version=version)
        for _ in range(MAX_RESOLVE_ATTEMPTS):
            if not _is_unknown(deleted):
                return deleted
            read = self._store.get(key)
            if isinstance(read, Failure):
                return deleted
            stored = read.unwrap()
            if stored is None or stored.version > version:
                return Success(None)
            deleted = self._store.delete(key, version=version)
        return deleted

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Grants a lease; if the reply is lost, the lease expires unused."""
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
        """Waits for changes after ``after_version``."""
        return self._store.watch(
            prefix, after_version=after_version, timeout_ms=timeout_ms
        )

    def _resolve_write(
        self,
        write: Callable[[], Result[int, StoreFailure]],
        key: str,
        value: bytes,
        version: int,
    ) -> Result[int, StoreFailure]:
        """Reads back after a lost reply; writes again while the key is unchanged."""
        written = write()
        unresolved = written if _is_unknown(written) else None
        for _ in range(MAX_RESOLVE_ATTEMPTS):
            if unresolved is None:
                return written
            read = self._store.get(key)
            if isinstance(read, Failure):
                return unresolved
            stored = read.unwrap()
            if stored is not None and stored.value == value:
                return Success(stored.version)
            if (stored.version if stored else 0) != version:
                return unresolved
            written = write()
            if isinstance(written, Success):
                return written
            if not isinstance(written.failure(), Conflict | EffectUnknown):
                return unresolved
        return unresolved if unresolved is not None else written


def _is_unknown(result: Result[int, StoreFailure] | Result[None, StoreFailure]) -> bool:
    return isinstance(result, Failure) and isinstance(result.failure(), EffectUnknown)
