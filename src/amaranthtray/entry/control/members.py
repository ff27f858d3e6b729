"""Which entries there are, by their registrations with the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Success

from ...peers.handshake import Admission
from ...peers.messages import Member
from ...platform.store import Compacted, LeaseGone

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...domain.ids import EntryId, Incarnation, ZoneId
    from ...platform.store import LeaseId, Store, WatchEvent

MEMBER_PREFIX = "entries/"
REGISTRATION_TTL_MS = 12_000
RENEW_EVERY_MS = 4_000
RETRY_MS = 1_000


class Registration:
    """This entry's own registration, which lapses when the entry is gone.

    Args:
        member: What is registered.
        store: The platform's store.
        clock: Monotonic clock in milliseconds.
    """

    def __init__(self, member: Member, store: Store, clock: Callable[[], int]) -> None:
        self._member = member
        self._store = store
        self._clock = clock
        self._lease: LeaseId | None = None
        self._due_ms = clock()

    def step(self) -> None:
        """Registers or renews when it is due."""
        if self._clock() < self._due_ms:
            return
        done = self._register() if self._lease is None else self._renew(self._lease)
        self._due_ms = self._clock() + (RENEW_EVERY_MS if done else RETRY_MS)

    def end(self) -> None:
        """Takes the registration back."""
        if self._lease is not None:
            self._store.revoke_lease(self._lease)
            self._lease = None

    def _register(self) -> bool:
        granted = self._store.grant_lease(REGISTRATION_TTL_MS)
        if isinstance(granted, Failure):
            return False
        lease = granted.unwrap()
        if not self._write(lease):
            self._store.revoke_lease(lease)
            return False
        self._lease = lease
        return True

    def _write(self, lease: LeaseId) -> bool:
        """Writes over whatever an earlier run of this entry has left."""
        key = MEMBER_PREFIX + self._member.entry
        value = msgspec.json.encode(self._member)
        found = self._store.get(key)
        if isinstance(found, Failure):
            return False
        older = found.unwrap()
        version = older.version if older else 0
        if version == 0:
            written = self._store.create(key, value, lease=lease)
        else:
            written = self._store.compare_and_swap(
                key, value, version=version, lease=lease
            )
        return isinstance(written, Success)

    def _renew(self, lease: LeaseId) -> bool:
        renewed = self._store.renew_lease(lease)
        if isinstance(renewed, Failure) and isinstance(renewed.failure(), LeaseGone):
            self._lease = None
            return self._register()
        return isinstance(renewed, Success)


class MemberList:
    """The registered entries, read once and then kept by watch events.

    Args:
        store: The platform's store.
        own: This entry.
    """

    def __init__(self, store: Store, own: EntryId) -> None:
        self._store = store
        self._own = own
        self._members: dict[EntryId, Member] = {}
        self._superseded: dict[EntryId, frozenset[Incarnation]] = {}
        self.at_version: int | None = None

    def others(self) -> tuple[Member, ...]:
        """Returns all registered entries but this one."""
        return tuple(item for key, item in self._members.items() if key != self._own)

    def get(self, entry: EntryId) -> Member | None:
        """Returns an entry's registration."""
        return self._members.get(entry)

    def in_zone(self, zone: ZoneId) -> tuple[Member, ...]:
        """Returns the registered entries of a zone, this one included."""
        return tuple(item for item in self._members.values() if item.zone == zone)

    def zones(self) -> set[ZoneId]:
        """Returns the zones that have a registered entry."""
        return {item.zone for item in self._members.values()}

    def read(self) -> bool:
        """Reads the whole list; false if the store is away."""
        listed = self._store.list(MEMBER_PREFIX)
        if isinstance(listed, Failure):
            return False
        listing = listed.unwrap()
        members = [_decode(item.value) for item in listing.items]
        self._members = {item.entry: item for item in members if item is not None}
        self.at_version = listing.at_version
        return True

    def watched(self, events: Iterable[WatchEvent]) -> None:
        """Takes changes; an entry whose registration lapsed stays until replaced.

        A lapse may mean that the entry is cut off from the platform and still
        serves, so links to it are kept as long as they live.
        """
        for event in events:
            if event.value is None:
                self._members.pop(_entry_of(event.key), None)
                continue
            member = _decode(event.value)
            if member is not None:
                self._put(member)

    def admission(self) -> Admission:
        """Returns what new links are checked against."""
        zones = {item.entry: item.zone for item in self._members.values()}
        return Admission(zones, dict(self._superseded))

    def _put(self, member: Member) -> None:
        older = self._members.get(member.entry)
        if older is not None and older.incarnation != member.incarnation:
            gone = self._superseded.get(member.entry, frozenset())
            self._superseded[member.entry] = gone | {older.incarnation}
        self._members[member.entry] = member


def is_compacted(failure: object) -> bool:
    """Returns whether a watch must begin again with a read."""
    return isinstance(failure, Compacted)


def _entry_of(key: str) -> EntryId:
    name: EntryId = key.removeprefix(MEMBER_PREFIX)  # type: ignore[assignment]
    return name


def _decode(value: bytes) -> Member | None:
    try:
        return msgspec.json.decode(value, type=Member)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
