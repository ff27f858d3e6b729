"""Interface of the platform's key-value service: compare-and-swap, leases, watches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType, Protocol, TypeAlias

if TYPE_CHECKING:
    from returns.result import Result

LeaseId = NewType("LeaseId", int)

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Versioned:
    """A stored key with its value and version.

    Attributes:
        key: The key.
        value: The value.
        version: Increases with each write to the key; 0 means absent.
        lease: Lease whose end deletes the key, if any.
    """

    key: str
    value: bytes
    version: int
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix and the store version at which they were read."""

    items: tuple[Versioned, ...]
    at_version: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change under a watched prefix; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Events in order and the version after which the next watch starts."""

    events: tuple[WatchEvent, ...]
    at_version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key was not at the expected version; nothing was written."""

    step: str
    peer: str
    found: Versioned | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed and certainly had no effect."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class EffectUnknown:
    """The reply was lost, so the write may or may not have taken effect."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The store doesn't take such a call, however often; it had no effect."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class CallsSpent:
    """The entry's own limit on calls refused this one; nothing was sent."""

    step: str
    peer: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease has expired or was revoked."""

    step: str
    peer: str


@dataclass(frozen=True, slots=True)
class Compacted:
    """The store has dropped the events that the watch needs; list again."""

    step: str
    peer: str


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write in a transaction."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Writes that take effect together or not at all.

    Attributes:
        expect: Keys and the versions they must be at; 0 means absent.
        puts: Values to write.
        removes: Keys to delete.
    """

    expect: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Conflicts:
    """Some keys were not at the expected versions; nothing was written.

    Attributes:
        step: The operation.
        peer: The store.
        found: The expected keys that exist, as they are now.
    """

    step: str
    peer: str
    found: tuple[Versioned, ...]

    def version_of(self, key: str) -> int:
        """Returns the version at which a key was found; 0 means absent."""
        return next((item.version for item in self.found if item.key == key), 0)


StoreFailure: TypeAlias = (
    Conflict
    | Conflicts
    | Unavailable
    | Rejected
    | EffectUnknown
    | CallsSpent
    | LeaseGone
    | Compacted
)


class Store(Protocol):
    """Client of the key-value service; each call may block up to its timeout."""

    def get(self, key: str) -> Result[Versioned | None, StoreFailure]:
        """Reads one key."""

    def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix at one version."""

    def create(
        self, key: str, value: bytes, *, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be absent and returns its version."""

    def compare_and_swap(
        self, key: str, value: bytes, *, version: int, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version`` and returns the new version."""

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Grants a lease."""

    def renew_lease(self, lease: LeaseId) -> Result[int, StoreFailure]:
        """Renews a lease and returns its time to live in milliseconds."""

    def revoke_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Revokes a lease and deletes its keys."""

    def watch(
        self, prefix: str, *, after_version: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreFailure]:
        """Waits for changes after ``after_version``; returns none after the timeout."""


class TransactionalStore(Store, Protocol):
    """A store that also writes several keys atomically and serves stale reads."""

    def list_stale(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix, perhaps as they were some time ago.

        Such a read is cheaper for the store. Its keys may be of different versions, so
        no watch continues from it.
        """

    def commit(self, transaction: Transaction) -> Result[int, StoreFailure]:
        """Executes a transaction and returns the version of its writes."""
