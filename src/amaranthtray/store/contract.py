"""The platform's key-value service as this package uses it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType, Protocol, TypeAlias

if TYPE_CHECKING:
    from returns.result import Result

LeaseId = NewType("LeaseId", int)

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Versioned:
    """A stored value.

    Attributes:
        key: Its key.
        value: Its bytes.
        version: Grows with each write to the key; 0 means absent.
        lease: Lease that the key vanishes with, if any.
    """

    key: str
    value: bytes
    version: int
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Listing:
    """All values under a prefix and the store version at which they were read."""

    items: tuple[Versioned, ...]
    at_version: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change under a watched prefix; ``value`` is none for a deletion."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Events in order and the version to watch from next."""

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
    """The reply was lost; the write may have taken effect."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class CallsSpent:
    """This entry's own call budget is spent; nothing was sent."""

    step: str
    peer: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease has lapsed or was revoked."""

    step: str
    peer: str


@dataclass(frozen=True, slots=True)
class Compacted:
    """The watch asked for events that the store no longer has; list again."""

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
    """Writes that happen together or not at all.

    Attributes:
        expect: Versions that keys must be at; 0 for absent.
        puts: Values to write.
        removes: Keys to delete.
    """

    expect: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Conflicts:
    """A transaction's expectations did not hold; nothing was written.

    Attributes:
        step: The operation.
        peer: The store.
        found: The keys of its expectations that exist, as they are now.
    """

    step: str
    peer: str
    found: tuple[Versioned, ...]

    def version_of(self, key: str) -> int:
        """Returns the version that a key was found at."""
        return next((item.version for item in self.found if item.key == key), 0)


StoreFailure: TypeAlias = (
    Conflict
    | Conflicts
    | Unavailable
    | EffectUnknown
    | CallsSpent
    | LeaseGone
    | Compacted
)


class Store(Protocol):
    """Compare-and-swap, leases and watches; every call may block up to its timeout."""

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
        """Waits for changes later than ``after_version``; empty after the timeout."""


class TransactionalStore(Store, Protocol):
    """A store that also writes several keys at once."""

    def commit(self, transaction: Transaction) -> Result[int, StoreFailure]:
        """Carries out a transaction and returns the version of its writes."""
