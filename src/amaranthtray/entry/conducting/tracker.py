"""Health and open orders of the hosts that an entry's conductors monitor."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ...backend.maintenance import MaintenanceOrder
from ...domain.invariants import OutCause
from ...domain.inventory import Host
from ...domain.waves import (
    DrainHost,
    HealthChanged,
    HostDrained,
    HostRebooted,
    HostReturned,
    RebootHost,
    ReturnHost,
)
from .ports import OrderExpired

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...backend import wire
    from ...domain.ids import HostId, OperationId, PoolName
    from .ports import HostEvent

POLL_INTERVAL_MS = 1_000
ORDER_POLL_INTERVAL_MS = 200
"""Interval of the calls to a host with an open order."""

MAX_MISSED_POLLS = 3
"""Consecutive calls without an answer after which a host counts as failed."""

LIVE_STATE = "live"


@dataclass(frozen=True, slots=True)
class Poll:
    """A call to make now.

    The caller checks the order's deadline again right before it sends the call.

    Attributes:
        order: The order to send along, if there is one.
        is_unresponsive: Whether the host missed the last call.
    """

    host: Host
    order: MaintenanceOrder | None
    is_unresponsive: bool


@dataclass(frozen=True, slots=True)
class _HostHealth:
    """Results of the calls to one host.

    Attributes:
        missed: Consecutive calls without an answer.
        is_healthy: Whether the host answers; None while that is unknown.
        due_ms: When the next call is due.
        is_call_open: Whether a call is under way.
    """

    missed: int = 0
    is_healthy: bool | None = None
    due_ms: int = 0
    is_call_open: bool = False


class HostTracker:
    """State of the monitored hosts; not safe for threads.

    An order is repeated with each call until the host shows that it is done, so that a
    lost call costs one interval. At most one call to a host is open at a time, so that
    orders reach it in the order in which they were sent.
    """

    def __init__(self) -> None:
        self._hosts: Mapping[HostId, Host] = {}
        self._health: dict[HostId, _HostHealth] = {}
        self._orders: dict[HostId, MaintenanceOrder] = {}
        self._events: deque[HostEvent] = deque()

    def set_hosts(self, hosts: Mapping[HostId, Host]) -> None:
        """Polls these hosts from now on, and no others.

        The health of new ones is unknown until they have answered or missed calls.
        """
        for name in hosts:
            if name not in self._health:
                self._events.append(HealthChanged(name, OutCause.UNKNOWN))
        self._hosts = hosts
        self._health = {name: self._health.get(name, _HostHealth()) for name in hosts}

    def send_order(self, order: MaintenanceOrder) -> None:
        """Sends an order with the next call to its host, which becomes due at once."""
        self._orders[order.host] = order
        health = self._health.get(order.host)
        if health is not None:
            self._health[order.host] = replace(health, due_ms=0)

    def retain_orders(self, pool: PoolName, open_ops: Iterable[OperationId]) -> None:
        """Withdraws the pool's orders, except those of these operations."""
        wanted = set(open_ops)
        self._orders = {
            host: order
            for host, order in self._orders.items()
            if order.fence.pool != pool or order.fence.op_id in wanted
        }

    def is_health_known(self, host: HostId) -> bool:
        """Returns whether the host has answered, or missed enough calls to fail."""
        health = self._health.get(host)
        return health is not None and health.is_healthy is not None

    def is_healthy(self, host: HostId) -> bool:
        """Returns whether the host is known to answer."""
        health = self._health.get(host)
        return health is not None and health.is_healthy is True

    def pop_events(self) -> list[HostEvent]:
        """Returns the events since the last call, in order."""
        events = list(self._events)
        self._events.clear()
        return events

    def start_due_polls(self, now_ms: int) -> list[Poll]:
        """Returns the calls to make now; ``record_reply`` must follow each of them."""
        polls = []
        for name, health in self._health.items():
            if health.is_call_open or now_ms < health.due_ms:
                continue
            self._health[name] = replace(health, is_call_open=True)
            order = self._current_order(name, now_ms)
            polls.append(Poll(self._hosts[name], order, health.missed > 0))
        return polls

    def record_reply(
        self, host: HostId, reply: wire.Health | None, now_ms: int
    ) -> None:
        """Records the reply to a call, None if there was no reply."""
        health = self._health.get(host)
        if health is None:
            return
        order = self._orders.get(host)
        wait_ms = POLL_INTERVAL_MS if order is None else ORDER_POLL_INTERVAL_MS
        health = replace(health, is_call_open=False, due_ms=now_ms + wait_ms)
        if reply is None:
            self._health[host] = self._record_missed(host, health, order)
            return
        if health.is_healthy is not True:
            self._events.append(HealthChanged(host, None))
        self._health[host] = replace(health, missed=0, is_healthy=True)
        if order is not None:
            self._events.extend(_completion_events(order, reply))

    def _current_order(self, host: HostId, now_ms: int) -> MaintenanceOrder | None:
        order = self._orders.get(host)
        if order is None or now_ms <= order.fence.not_after_ms:
            return order
        del self._orders[host]
        self._events.append(OrderExpired(order.fence.pool))
        return None

    def _record_missed(
        self, host: HostId, health: _HostHealth, order: MaintenanceOrder | None
    ) -> _HostHealth:
        """Counts a missed call; a host that reboots by order is not a failed one."""
        missed = health.missed + 1
        is_expected = isinstance(order, RebootHost) and health.is_healthy
        if missed < MAX_MISSED_POLLS or health.is_healthy is False or is_expected:
            return replace(health, missed=missed)
        self._events.append(HealthChanged(host, OutCause.FAILED))
        return replace(health, missed=missed, is_healthy=False)


def _completion_events(order: MaintenanceOrder, reply: wire.Health) -> list[HostEvent]:
    """Returns the event for the end of an order, if the reply shows it."""
    host, op_id = order.host, order.fence.op_id
    is_live = reply.state == LIVE_STATE
    match order:
        case DrainHost() if reply.draining == op_id and not reply.running:
            return [HostDrained(host, op_id)]
        case RebootHost() if op_id in reply.rebooted and op_id in reply.ended:
            return [HostRebooted(host, op_id)]
        case ReturnHost() if op_id in reply.ended:
            return [HostReturned(host, op_id, takes_work=is_live)]
    return []
