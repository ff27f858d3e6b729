"""Follows the platform's list of hosts while the entry conducts a pool."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.scheduling.messages import HostsListed
from ..domain.scheduling.start_check import ListedHost
from ..store.contract import Compacted
from ..store.cursor import WatchCursor
from .clock import steady_ms
from .times import WATCH_MS, WATCHES_PER_LIMIT

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import HostId, PoolName, ZoneId
    from ..domain.scheduling.messages import HostInfo, Message
    from ..settings.job_entry import HostsSection
    from ..store.contract import TransactionalStore
    from .event_log import EventLog
    from .ports import Platform

RETRY_PAUSE_MS = 200

BATCHING_PAUSE_MS = 120
"""Pause between watches, to batch changes: each host writes about once in two seconds,
and a call for each of these writes would be most of an entry's store calls."""


class HostListFollower:
    """Publishes the hosts of each pool to its conductor.

    Args:
        store: The platform's store.
        platform: Decodes the entries of the list.
        log: Log of the entry.
        settings: Limits of hosts.
    """

    def __init__(
        self,
        store: TransactionalStore,
        platform: Platform,
        log: EventLog,
        settings: HostsSection,
    ) -> None:
        self._store = store
        self._platform = platform
        self._log = log
        limit_ms = settings.leaving_start_limit_ms
        self._watch_ms = min(WATCH_MS, limit_ms // WATCHES_PER_LIMIT)
        self._lock = threading.Lock()
        self._hosts: dict[str, tuple[PoolName, HostInfo]] = {}
        self._versions: dict[str, int] = {}
        self._subscribers: dict[PoolName, Callable[[Message], None]] = {}
        self._cursor: WatchCursor | None = None
        self._read_ms: int | None = None
        self._is_failing = False
        self._has_subscribers = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread; it reads nothing until a conductor subscribes."""
        self._thread.start()

    def subscribe(self, pool: PoolName, post: Callable[[Message], None]) -> None:
        """Posts a pool's hosts to a conductor, now and at each change."""
        with self._lock:
            self._subscribers[pool] = post
            if self._cursor is not None:
                post(self._hosts_of(pool))
        self._has_subscribers.set()

    def unsubscribe(self, pool: PoolName, post: Callable[[Message], None]) -> None:
        """Ends a subscription unless another conductor of the pool has replaced it."""
        with self._lock:
            if self._subscribers.get(pool) == post:
                del self._subscribers[pool]
            if not self._subscribers:
                self._has_subscribers.clear()
                self._cursor = self._read_ms = None

    def zones(self) -> frozenset[ZoneId] | None:
        """Returns the zones that have hosts; None if the list has not been read."""
        with self._lock:
            if self._cursor is None:
                return None
            return frozenset(info.zone for _, info in self._hosts.values())

    def age_ms(self) -> int | None:
        """Returns the time since the list was last certainly the newest.

        None if no pool needs the list, or if it has not been read.
        """
        with self._lock:
            return None if self._read_ms is None else steady_ms() - self._read_ms

    def listed(self, host: HostId) -> ListedHost:
        """Returns a host as the list has it now."""
        key = f"{self._platform.hosts_prefix}{host}"
        with self._lock:
            _, info = self._hosts.get(key, (None, None))
            read_ms = self._read_ms
        age_ms = None if read_ms is None else steady_ms() - read_ms
        is_leaving = info is not None and info.is_draining
        return ListedHost(info is not None, is_leaving, age_ms)

    def _hosts_of(self, pool: PoolName) -> HostsListed:
        return HostsListed(
            tuple(info for owner, info in self._hosts.values() if owner == pool)
        )

    def _run(self) -> None:
        while True:
            self._has_subscribers.wait()
            if not self._read():
                threading.Event().wait(RETRY_PAUSE_MS / 1_000)

    def _read(self) -> bool:
        """Reads the list or its changes; returns False if a pause is needed."""
        cursor = self._cursor
        try:
            return self._list() if cursor is None else self._follow(cursor)
        except Exception as exc:
            # A fault must not end the thread, as the entry's pools get hosts from it.
            self._log.event("host-list-fault", why=repr(exc))
            self._cursor = None
            return False

    def _list(self) -> bool:
        sent_ms = steady_ms()
        listed = self._store.list(self._platform.hosts_prefix)
        if not isinstance(listed, Success):
            self._log.event(
                "hosts-not-read", why=repr(listed.failure()), age_ms=self.age_ms()
            )
            return False
        listing = listed.unwrap()
        with self._lock:
            if not self._subscribers:
                return True
            self._hosts, self._versions = {}, {}
            for item in listing.items:
                self._set(item.key, item.value, item.version)
            self._cursor = WatchCursor(listing.at_version)
            self._record_read(sent_ms)
            self._publish(set(self._subscribers))
        return True

    def _follow(self, cursor: WatchCursor) -> bool:
        sent_ms = steady_ms()
        watched = self._store.watch(
            self._platform.hosts_prefix,
            after_version=cursor.version,
            timeout_ms=self._watch_ms,
        )
        if not isinstance(watched, Success):
            # A broken watch may have missed changes that the next one doesn't repeat.
            self._cursor = None
            if isinstance(watched.failure(), Compacted):
                self._log.event("watch-compacted", prefix=self._platform.hosts_prefix)
                return True
            self._log_failure(repr(watched.failure()))
            return False
        batch = watched.unwrap()
        with self._lock:
            if self._cursor is not cursor:
                return True
            pools: set[PoolName] = set()
            for event in batch.events:
                if event.version > self._versions.get(event.key, 0):
                    pools |= self._set(event.key, event.value, event.version)
            cursor.advance(batch, steady_ms())
            self._record_read(sent_ms)
            self._publish(pools)
        if batch.events:
            threading.Event().wait(BATCHING_PAUSE_MS / 1_000)
        return True

    def _record_read(self, sent_ms: int) -> None:
        """Records a call that the store answered, and the end of failed ones."""
        if self._is_failing and self._read_ms is not None:
            self._log.event("hosts-read-again", after_ms=sent_ms - self._read_ms)
        self._is_failing, self._read_ms = False, sent_ms

    def _log_failure(self, why: str) -> None:
        """Logs the first of a series of failed watches."""
        if not self._is_failing:
            self._log.event("hosts-not-followed", why=why, age_ms=self.age_ms())
        self._is_failing = True

    def _set(self, key: str, value: bytes | None, version: int) -> set[PoolName]:
        """Applies an entry of the list; returns the pools whose hosts it changes."""
        self._versions[key] = version
        if value is None:
            del self._versions[key]
        previous = self._hosts.pop(key, None)
        pools = {previous[0]} if previous else set()
        decoded = None if value is None else self._platform.decode_host(key, value)
        if decoded is not None:
            self._hosts[key] = decoded
            pools.add(decoded[0])
            self._log_leaving(previous and previous[1], decoded[1])
        elif value is not None:
            self._log.event("host-entry-unreadable", key=key)
        return pools

    def _log_leaving(self, previous: HostInfo | None, info: HostInfo) -> None:
        if info.is_draining and not (previous and previous.is_draining):
            self._log.event(
                "host-leaving", host=info.id, remaining_ms=info.remaining_ms
            )

    def _publish(self, pools: set[PoolName]) -> None:
        for pool in pools:
            post = self._subscribers.get(pool)
            if post is not None:
                post(self._hosts_of(pool))
