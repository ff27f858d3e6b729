"""Follows operators' requests to evacuate zones while the entry holds a role."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.scheduling.evacuation import ZonesEvacuated
from ..store.contract import Compacted
from ..store.cursor import WatchCursor
from .clock import steady_ms
from .steps import run_step
from .times import WATCH_MS, WATCHES_PER_LIMIT

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import ZoneId
    from ..domain.scheduling.messages import Message
    from ..store.contract import Listing, TransactionalStore, WatchEvent
    from .event_log import EventLog
    from .ports import Platform

RETRY_PAUSE_MS = 200


class NoEvacuations:
    """Stands for the follower where the settings enable no evacuations."""

    zones: frozenset[ZoneId] = frozenset()

    def start(self) -> None:
        """Does nothing."""

    def age_ms(self) -> int | None:
        """Returns 0, as there are no requests to know of."""
        return 0

    def subscribe(self, role: str, post: Callable[[Message], None]) -> bool:
        """Posts nothing; returns True, as there are no requests to read."""
        return True

    def unsubscribe(self, role: str, post: Callable[[Message], None]) -> None:
        """Does nothing."""


class EvacuationFollower:
    """Publishes the evacuated zones to the roles that the entry holds.

    Args:
        store: The platform's store.
        platform: Decodes the requests.
        log: Log of the entry.
        start_limit_ms: Time after a request within which starts in the zone must end.
        known_zones: Returns the zones that have hosts; None if they are not known.
    """

    def __init__(
        self,
        store: TransactionalStore,
        platform: Platform,
        log: EventLog,
        *,
        start_limit_ms: int,
        known_zones: Callable[[], frozenset[ZoneId] | None],
    ) -> None:
        self._store = store
        self._platform = platform
        self._log = log
        self._watch_ms = min(WATCH_MS, start_limit_ms // WATCHES_PER_LIMIT)
        self._known_zones = known_zones
        self._lock = threading.Lock()
        self._requests: dict[str, ZoneId] = {}
        self._unreadable: dict[str, bytes] = {}
        self._unchecked: set[ZoneId] = set()
        self._zones: frozenset[ZoneId] = frozenset()
        self._read_ms: int | None = None
        self._confirmed_ms: int | None = None
        self._cursor: WatchCursor | None = None
        self._subscribers: dict[str, Callable[[Message], None]] = {}
        self._has_subscribers = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread; it reads nothing while the entry holds no role."""
        self._thread.start()

    @property
    def zones(self) -> frozenset[ZoneId]:
        """Returns the zones that are evacuated, as last read."""
        return self._zones

    def age_ms(self) -> int | None:
        """Returns the time since the zones were certainly the present ones.

        None if they were not read, or if no role is held.
        """
        confirmed_ms = self._confirmed_ms
        return None if confirmed_ms is None else steady_ms() - confirmed_ms

    def subscribe(self, role: str, post: Callable[[Message], None]) -> bool:
        """Reads the requests, and posts the zones to a role's task now and on changes.

        Returns:
            Whether the requests were read; the role must not act before that.
        """
        with self._lock:
            self._subscribers[role] = post
        self._has_subscribers.set()
        if not self._list():
            return False
        with self._lock:
            post(ZonesEvacuated(self._zones))
        return True

    def unsubscribe(self, role: str, post: Callable[[Message], None]) -> None:
        """Ends a subscription unless a later task of the role has replaced it."""
        with self._lock:
            if self._subscribers.get(role) == post:
                del self._subscribers[role]
            if not self._subscribers:
                self._has_subscribers.clear()
                self._cursor = self._read_ms = self._confirmed_ms = None
                self._requests, self._zones = {}, frozenset()

    def step(self) -> bool:
        """Lists the requests or waits for changes once; returns whether it read."""
        cursor = self._cursor
        is_read = self._list() if cursor is None else self._follow(cursor)
        self._log_unknown_zones()
        return is_read

    def _run(self) -> None:
        while True:
            self._has_subscribers.wait()
            if not run_step(self._log, "evacuations", self.step, otherwise=False):
                threading.Event().wait(RETRY_PAUSE_MS / 1_000)

    def _list(self) -> bool:
        sent_ms = steady_ms()
        listed = self._store.list(self._platform.evacuations_prefix)
        if not isinstance(listed, Success):
            self._log.event("evacuations-not-read", why=repr(listed.failure()))
            return False
        with self._lock:
            if self._subscribers:
                self._apply_listing(listed.unwrap())
                self._confirmed_ms = max(sent_ms, self._confirmed_ms or 0)
        return True

    def _apply_listing(self, listing: Listing) -> None:
        """Applies a list unless a watch or another list has shown later changes."""
        if self._cursor is not None and listing.at_version < self._cursor.version:
            return
        listed_keys = {item.key for item in listing.items}
        for key in [key for key in self._requests if key not in listed_keys]:
            self._set(key, None)
        for item in listing.items:
            self._set(item.key, item.value)
        self._cursor = WatchCursor(listing.at_version)
        self._publish()

    def _follow(self, cursor: WatchCursor) -> bool:
        prefix, sent_ms = self._platform.evacuations_prefix, steady_ms()
        watched = self._store.watch(
            prefix, after_version=cursor.version, timeout_ms=self._watch_ms
        )
        if not isinstance(watched, Success):
            with self._lock:
                if self._cursor is cursor:
                    self._cursor = None
            if isinstance(watched.failure(), Compacted):
                self._log.event("watch-compacted", prefix=prefix)
                return True
            return False
        batch = watched.unwrap()
        with self._lock:
            # A list that was read meanwhile is newer than the start of this watch.
            if self._cursor is cursor:
                self._apply_events(batch.events)
                cursor.advance(batch, steady_ms())
                self._confirmed_ms = max(sent_ms, self._confirmed_ms or 0)
        return True

    def _apply_events(self, events: tuple[WatchEvent, ...]) -> None:
        for event in events:
            self._set(event.key, event.value)
        self._publish()

    def _set(self, key: str, value: bytes | None) -> None:
        """Applies a request or its removal; an unreadable one changes nothing."""
        if value is None:
            self._unreadable.pop(key, None)
            zone = self._requests.pop(key, None)
            if zone is not None:
                self._log.event("evacuation-ended", zone=zone, age_ms=self._age_ms())
            return
        try:
            zone = self._platform.decode_evacuation(key, value)
        except ValueError as exc:
            if self._unreadable.get(key) != value:
                self._unreadable[key] = value
                self._log.event("evacuation-unreadable", key=key, why=str(exc))
            return
        if key not in self._requests:
            self._requests[key] = zone
            self._unchecked.add(zone)
            self._log.event("evacuation", zone=zone, age_ms=self._age_ms())

    def _age_ms(self) -> int | None:
        """Returns the longest time since the change; None before the first read."""
        return None if self._read_ms is None else steady_ms() - self._read_ms

    def _publish(self) -> None:
        self._read_ms = steady_ms()
        zones = frozenset(self._requests.values())
        if zones != self._zones:
            self._zones = zones
            for post in self._subscribers.values():
                post(ZonesEvacuated(zones))

    def _log_unknown_zones(self) -> None:
        """Logs new requests for zones that have no host, once the hosts are known."""
        known = self._known_zones()
        if known is None:
            return
        with self._lock:
            unchecked, self._unchecked = self._unchecked, set()
        for zone in sorted(unchecked - known):
            self._log.event("evacuation-unknown-zone", zone=zone)
