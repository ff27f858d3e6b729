"""Follows the operator's configuration and the age of the entry's view of it."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..store.contract import Compacted, Versioned
from ..store.cursor import WatchCursor
from .clock import steady_ms
from .steps import run_step

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.jobs.catalog import Catalog
    from ..store.contract import TransactionalStore
    from .event_log import EventLog
    from .ports import Platform

WATCH_MS = 1_000
"""Each reply confirms the view; requests with a key rely on one a few seconds old."""

RETRY_PAUSE_MS = 100


class ConfigFollower:
    """Keeps the newest configuration and never applies an older one.

    Args:
        store: The platform's store.
        platform: Decodes the configuration document.
        log: Log of the entry.
    """

    def __init__(
        self, store: TransactionalStore, platform: Platform, log: EventLog
    ) -> None:
        self._store = store
        self._platform = platform
        self._log = log
        self._lock = threading.Lock()
        self._catalog: Catalog | None = None
        self._confirmed_ms: int | None = None
        self._cursor: WatchCursor | None = None
        self._listeners: list[Callable[[Catalog], None]] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def catalog(self) -> Catalog | None:
        """Returns the configuration in force; None if none is known."""
        return self._catalog

    @property
    def confirmed_ms(self) -> int | None:
        """Returns the steady time at which the view was last certainly the newest."""
        return self._confirmed_ms

    def age_ms(self) -> int | None:
        """Returns the time since the view was certainly the newest; None if never."""
        confirmed_ms = self._confirmed_ms
        return None if confirmed_ms is None else steady_ms() - confirmed_ms

    def subscribe(self, listener: Callable[[Catalog], None]) -> None:
        """Calls ``listener`` with each newer configuration."""
        self._listeners.append(listener)

    def refresh(self) -> bool:
        """Reads the configuration now; returns whether the store replied."""
        sent_ms = steady_ms()
        read = self._store.get(self._platform.configuration_key)
        if not isinstance(read, Success):
            self._log.event("configuration-not-read", why=repr(read.failure()))
            return False
        stored = read.unwrap()
        if stored is not None:
            self._apply(stored)
            self._confirmed_ms = max(sent_ms, self._confirmed_ms or 0)
        return True

    def _run(self) -> None:
        while True:
            if not run_step(self._log, "configuration", self.step, otherwise=False):
                threading.Event().wait(RETRY_PAUSE_MS / 1_000)

    def step(self) -> bool:
        """Lists or watches once; returns False if the call failed and needs a pause."""
        cursor = self._cursor
        return self._list() if cursor is None else self._follow(cursor)

    def _list(self) -> bool:
        """Reads the document and the store version from which the watch continues."""
        sent_ms, key = steady_ms(), self._platform.configuration_key
        listed = self._store.list(key)
        if not isinstance(listed, Success):
            self._log.event("configuration-not-read", why=repr(listed.failure()))
            return False
        listing = listed.unwrap()
        for item in listing.items:
            if item.key == key:
                self._apply(item)
                self._confirmed_ms = max(sent_ms, self._confirmed_ms or 0)
        self._cursor = WatchCursor(listing.at_version)
        return True

    def _follow(self, cursor: WatchCursor) -> bool:
        sent_ms = steady_ms()
        key = self._platform.configuration_key
        watched = self._store.watch(
            key, after_version=cursor.version, timeout_ms=WATCH_MS
        )
        if not isinstance(watched, Success):
            if isinstance(watched.failure(), Compacted):
                self._log.event("watch-compacted", prefix=key)
                self._cursor = None
                return True
            return False
        batch = watched.unwrap()
        for event in batch.events:
            if event.key == key and event.value is not None:
                self._apply(Versioned(key, event.value, event.version))
        cursor.advance(batch, steady_ms())
        self._confirmed_ms = max(sent_ms, self._confirmed_ms or 0)
        return True

    def _apply(self, stored: Versioned) -> None:
        with self._lock:
            current = self._catalog
            if current is not None and stored.version <= current.store_version:
                return
            try:
                catalog = self._platform.decode_configuration(
                    stored.value, stored.version
                )
            except msgspec.MsgspecError as exc:
                self._log.event("configuration-unreadable", why=str(exc))
                return
            self._catalog = catalog
        self._log.event(
            "configuration",
            version=catalog.version,
            store_version=catalog.store_version,
            queues=len(catalog.queues),
        )
        for listener in self._listeners:
            listener(catalog)
