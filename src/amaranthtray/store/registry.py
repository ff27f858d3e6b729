"""Registration of entries in the platform's store, under leases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from ..peers.messages import Member, MemberList
from .contract import Conflict, LeaseGone, LeaseId, StoreFailure, Versioned

if TYPE_CHECKING:
    from collections.abc import Callable

    from .contract import Listing, Store

PREFIX = "entries/"
STEP = "register"


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """Timing of a registration.

    Attributes:
        ttl_ms: Time to live of the lease; peers notice long before its expiry when
            an entry stops.
        renew_every_ms: Time between renewals.
    """

    ttl_ms: int = 30_000
    renew_every_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another incarnation of this entry has registered; this one must stop."""

    step: str
    peer: str
    by: Member


RegistryFailure: TypeAlias = Superseded | StoreFailure


class EntryRegistry:
    """Maintains this entry's key ``entries/<id>`` and lists all entries.

    Args:
        own: This entry.
        store: A store that resolves lost replies by reading back.
        clock: Monotonic clock in milliseconds.
        settings: Timing of the registration.
    """

    def __init__(
        self,
        own: Member,
        *,
        store: Store,
        clock: Callable[[], int],
        settings: RegistrySettings | None = None,
    ) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._settings = settings or RegistrySettings()
        self._key = f"{PREFIX}{own.entry}"
        self._lease: LeaseId | None = None
        self._renew_at_ms = clock()
        self._was_registered = False

    def run(self) -> Result[bool, RegistryFailure]:
        """Registers or renews when due; returns whether it called the platform."""
        now_ms = self._clock()
        if now_ms < self._renew_at_ms:
            return Success(False)
        result = self._register() if self._lease is None else self._renew(self._lease)
        if isinstance(result, Success):
            self._renew_at_ms = now_ms + self._settings.renew_every_ms
        return result

    def members(self) -> Result[MemberList, StoreFailure]:
        """Lists the registered entries."""
        return self._store.list(PREFIX).map(_decode_listing)

    def leave(self) -> None:
        """Ends the registration, as an entry does when it shuts down."""
        if self._lease is not None:
            self._store.revoke_lease(self._lease)
            self._lease = None

    def _renew(self, lease: LeaseId) -> Result[bool, RegistryFailure]:
        renewed = self._store.renew_lease(lease)
        if isinstance(renewed, Success):
            return Success(True)
        if not isinstance(renewed.failure(), LeaseGone):
            return Failure(renewed.failure())
        self._lease = None
        return self._register()

    def _register(self) -> Result[bool, RegistryFailure]:
        granted = self._store.grant_lease(self._settings.ttl_ms)
        if isinstance(granted, Failure):
            return Failure(granted.failure())
        lease = granted.unwrap()
        value = msgspec.json.encode(self._own)
        written = self._write(value, lease)
        if isinstance(written, Failure):
            self._store.revoke_lease(lease)
            return Failure(written.failure())
        self._lease = lease
        self._was_registered = True
        return Success(True)

    def _write(self, value: bytes, lease: LeaseId) -> Result[int, RegistryFailure]:
        created = self._store.create(self._key, value, lease=lease)
        if isinstance(created, Success):
            return Success(created.unwrap())
        failure = created.failure()
        if isinstance(failure, Conflict):
            return self._replace(failure.found, value, lease)
        return Failure(failure)

    def _replace(
        self, stored: Versioned | None, value: bytes, lease: LeaseId
    ) -> Result[int, RegistryFailure]:
        """Replaces the key of an earlier incarnation, but never of a later one."""
        holder = _decode_member(stored) if stored else None
        is_other = holder is not None and holder.incarnation != self._own.incarnation
        if holder is not None and is_other and self._was_registered:
            return Failure(Superseded(STEP, self._own.entry, holder))
        version = stored.version if stored else 0
        swapped = self._store.compare_and_swap(
            self._key, value, version=version, lease=lease
        )
        if isinstance(swapped, Failure):
            return Failure(swapped.failure())
        return Success(swapped.unwrap())


def _decode_listing(listing: Listing) -> MemberList:
    members = (_decode_member(item) for item in listing.items)
    decoded = tuple(member for member in members if member is not None)
    return MemberList(listing.at_version, decoded)


def _decode_member(item: Versioned) -> Member | None:
    try:
        return msgspec.json.decode(item.value, type=Member)
    except msgspec.DecodeError:
        return None
