"""Calls the monitored hosts from bounded thread pools."""

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
    from .ports import HostEvent
    from .tracker import Poll

THREADS = 8
CONNECTIONS_PER_HOST = 1


class HostPoller:
    """Polls hosts; those that missed a call have threads of their own.

    A host that does not answer so delays no call to the others.

    Args:
        clock: Monotonic clock in milliseconds.
        on_event: Called after each call, from any thread.
    """

    def __init__(
        self, clock: Callable[[], int], on_event: Callable[[], None] = lambda: None
    ) -> None:
        self.on_event = on_event
        self._clock = clock
        self._tracker = HostTracker()
        self._lock = threading.Lock()
        self._pools = ConnectionPools(connections=CONNECTIONS_PER_HOST)
        self._client = MaintenanceClient(self._pools)
        self._responsive = ThreadPoolExecutor(THREADS, thread_name_prefix="hosts")
        self._unresponsive = ThreadPoolExecutor(
            THREADS, thread_name_prefix="silent-hosts"
        )

    def step(self) -> None:
        """Submits the calls that are due."""
        with self._lock:
            polls = self._tracker.start_due_polls(self._clock())
        for poll in polls:
            executor = self._unresponsive if poll.is_unresponsive else self._responsive
            executor.submit(self._call, poll)

    def stop(self) -> None:
        """Cancels the calls that have not begun."""
        for executor in (self._responsive, self._unresponsive):
            executor.shutdown(wait=False, cancel_futures=True)
        self._pools.close()

    def set_hosts(self, hosts: Mapping[HostId, Host]) -> None:
        """Polls these hosts from now on, and no others."""
        with self._lock:
            self._tracker.set_hosts(hosts)

    def send_order(self, order: MaintenanceOrder) -> None:
        """Sends an order until the host reports its end or the order expires."""
        with self._lock:
            self._tracker.send_order(order)

    def retain_orders(self, pool: PoolName, open_ops: Iterable[OperationId]) -> None:
        """Withdraws the pool's orders, except those of these operations."""
        with self._lock:
            self._tracker.retain_orders(pool, open_ops)

    def is_health_known(self, host: HostId) -> bool:
        """Returns whether the host has answered, or missed enough calls to fail."""
        with self._lock:
            return self._tracker.is_health_known(host)

    def is_healthy(self, host: HostId) -> bool:
        """Returns whether the host is known to answer."""
        with self._lock:
            return self._tracker.is_healthy(host)

    def pop_events(self) -> list[HostEvent]:
        """Returns the events since the last call, in order."""
        with self._lock:
            return self._tracker.pop_events()

    def _call(self, poll: Poll) -> None:
        order = poll.order
        if order is not None and self._clock() > order.fence.not_after_ms:
            order = None
        health = self._client.query_health(poll.host, order)
        with self._lock:
            self._tracker.record_reply(poll.host.host_id, health, self._clock())
        self.on_event()
