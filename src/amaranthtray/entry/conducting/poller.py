"""Calls to the followed hosts, on bounded threads."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from ...backend.connections import ConnectionPools
from ...backend.maintenance import MaintenanceClient
from .tracker import HostTracker

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ...backend.maintenance import MaintenanceOrder
    from ...domain.ids import HostId, OperationId, PoolName
    from ...domain.inventory import Host
    from .ports import HostNews
    from .tracker import Poll

THREADS = 8
CONNECTIONS = 1


class HostPoller:
    """Asks hosts; those that missed a call have threads of their own.

    Args:
        clock: Monotonic clock in milliseconds.
        on_news: Called after each answer, from any thread.
    """

    def __init__(
        self, clock: Callable[[], int], on_news: Callable[[], None] = lambda: None
    ) -> None:
        self.on_news = on_news
        self._clock = clock
        self._tracker = HostTracker()
        self._lock = threading.Lock()
        self._pools = ConnectionPools(connections=CONNECTIONS)
        self._client = MaintenanceClient(self._pools)
        self._quick = ThreadPoolExecutor(THREADS, thread_name_prefix="hosts")
        self._slow = ThreadPoolExecutor(THREADS, thread_name_prefix="silent-hosts")

    def step(self) -> None:
        """Begins the calls that are due."""
        with self._lock:
            polls = self._tracker.due(self._clock())
        for poll in polls:
            executor = self._slow if poll.is_silent else self._quick
            executor.submit(self._call, poll)

    def stop(self) -> None:
        """Drops the calls that have not begun."""
        for executor in (self._quick, self._slow):
            executor.shutdown(wait=False, cancel_futures=True)
        self._pools.close()

    def follow(self, hosts: Mapping[HostId, Host]) -> None:
        """Asks these hosts from now on, and no others."""
        with self._lock:
            self._tracker.follow(hosts)

    def order(self, order: MaintenanceOrder) -> None:
        """Gives an order until the host reports its end or its time has passed."""
        with self._lock:
            self._tracker.order(order)

    def settle(self, pool: PoolName, open_ops: Iterable[OperationId]) -> None:
        """Forgets orders of the pool that belong to none of these operations."""
        with self._lock:
            self._tracker.settle(pool, open_ops)

    def is_known(self, host: HostId) -> bool:
        """Returns whether the host has answered or missed enough calls."""
        with self._lock:
            return self._tracker.is_known(host)

    def is_well(self, host: HostId) -> bool:
        """Returns whether the host answers."""
        with self._lock:
            return self._tracker.is_well(host)

    def news(self) -> list[HostNews]:
        """Returns what happened since the last call, in order."""
        with self._lock:
            return self._tracker.news()

    def _call(self, poll: Poll) -> None:
        order = poll.order
        if order is not None and self._clock() > order.fence.not_after_ms:
            order = None
        health = self._client.query_health(poll.host, order)
        with self._lock:
            self._tracker.take(poll.host.host_id, health, self._clock())
        self.on_news()
