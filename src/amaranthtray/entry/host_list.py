"""The hosts that the platform lists, kept up to date by a watch."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.inventory import Host
from ..store.contract import Compacted

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..domain.configuration import Configuration
    from ..domain.ids import HostId, PoolName
    from ..store.contract import Listing, Store, StoreFailure, WatchBatch


class HostList:
    """The platform's host list under a key prefix.

    Args:
        store: The platform's store.
        prefix: Key prefix of the list.
        on_change: Called after each change.

    Attributes:
        unreadable: Number of host records that could not be decoded.
    """

    def __init__(
        self, store: Store, prefix: str, on_change: Callable[[], None]
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._lock = threading.Lock()
        self._hosts: dict[HostId, Host] = {}
        self._at_version: int | None = None
        self.unreadable = 0

    def hosts(self) -> list[Host]:
        """Returns all hosts listed."""
        with self._lock:
            return list(self._hosts.values())

    def poll(self, timeout_ms: int) -> StoreFailure | None:
        """Reads the list, or waits for its changes; returns the failure, if any."""
        if self._at_version is None:
            return self._read_all()
        watched = self._store.watch(
            self._prefix, after_version=self._at_version, timeout_ms=timeout_ms
        )
        if isinstance(watched, Success):
            self._apply(watched.unwrap())
            return None
        failure: StoreFailure = watched.failure()
        if isinstance(failure, Compacted):
            self._at_version = None
            return None
        return failure

    def _read_all(self) -> StoreFailure | None:
        listed = self._store.list(self._prefix)
        if isinstance(listed, Success):
            self._replace(listed.unwrap())
            return None
        failure: StoreFailure = listed.failure()
        return failure

    def _replace(self, listing: Listing) -> None:
        hosts = {}
        for item in listing.items:
            host = self._decode(item.value)
            if host is not None:
                hosts[host.host_id] = host
        with self._lock:
            self._hosts = hosts
            self._at_version = listing.at_version
        self._on_change()

    def _apply(self, batch: WatchBatch) -> None:
        with self._lock:
            self._at_version = batch.at_version
            for event in batch.events:
                self._apply_event(event.key, event.value)
        if batch.events:
            self._on_change()

    def _apply_event(self, key: str, value: bytes | None) -> None:
        if value is None:
            name = key.removeprefix(self._prefix)
            self._hosts = {k: v for k, v in self._hosts.items() if k != name}
            return
        host = self._decode(value)
        if host is not None:
            self._hosts[host.host_id] = host

    def _decode(self, value: bytes) -> Host | None:
        try:
            return msgspec.json.decode(value, type=Host)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.unreadable += 1
            return None


def by_pool(
    cfg: Configuration, hosts: list[Host]
) -> Mapping[PoolName, tuple[Host, ...]]:
    """Returns the hosts grouped by pool; each host is in exactly one."""
    pools: dict[PoolName, list[Host]] = {}
    for host in hosts:
        pools.setdefault(cfg.pool_of(host.host_id), []).append(host)
    return {pool: tuple(members) for pool, members in pools.items()}
