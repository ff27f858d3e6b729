"""What is known of the hosts that an entry's conductors follow."""

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
from .ports import OrderLate

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...backend import wire
    from ...domain.ids import HostId, OperationId, PoolName
    from .ports import HostNews

POLL_MS = 1_000
ORDER_POLL_MS = 200
MISSED_POLLS = 3
LIVE = "live"


@dataclass(frozen=True, slots=True)
class Poll:
    """One call to make now; check the order's time right before it is sent."""

    host: Host
    order: MaintenanceOrder | None
    is_silent: bool


@dataclass(frozen=True, slots=True)
class _Known:
    """One host.

    Attributes:
        missed: Calls in a row without an answer.
        is_well: Whether it answers; none before that is known.
        due_ms: When the next call is due.
        is_asked: Whether a call is under way.
    """

    missed: int = 0
    is_well: bool | None = None
    due_ms: int = 0
    is_asked: bool = False


class HostTracker:
    """State of the followed hosts; not safe for threads.

    An order is repeated with each call until the host shows that it is done, so a
    lost call costs one interval. There is one call to a host at a time, which keeps
    the order of acts for each host.
    """

    def __init__(self) -> None:
        self._hosts: Mapping[HostId, Host] = {}
        self._known: dict[HostId, _Known] = {}
        self._orders: dict[HostId, MaintenanceOrder] = {}
        self._news: deque[HostNews] = deque()

    def follow(self, hosts: Mapping[HostId, Host]) -> None:
        """Asks these hosts from now on, and no others; new ones are unknown."""
        for name in hosts:
            if name not in self._known:
                self._news.append(HealthChanged(name, OutCause.UNKNOWN))
        self._hosts = hosts
        self._known = {name: self._known.get(name, _Known()) for name in hosts}

    def order(self, order: MaintenanceOrder) -> None:
        """Gives an order with the next call to its host, which is due at once."""
        self._orders[order.host] = order
        known = self._known.get(order.host)
        if known is not None:
            self._known[order.host] = replace(known, due_ms=0)

    def settle(self, pool: PoolName, open_ops: Iterable[OperationId]) -> None:
        """Forgets orders of the pool that belong to none of these operations."""
        wanted = set(open_ops)
        self._orders = {
            host: order
            for host, order in self._orders.items()
            if order.fence.pool != pool or order.fence.op_id in wanted
        }

    def is_known(self, host: HostId) -> bool:
        """Returns whether the host has answered or missed enough calls."""
        known = self._known.get(host)
        return known is not None and known.is_well is not None

    def is_well(self, host: HostId) -> bool:
        """Returns whether the host answers."""
        known = self._known.get(host)
        return known is not None and known.is_well is True

    def news(self) -> list[HostNews]:
        """Returns what happened since the last call, in order."""
        found = list(self._news)
        self._news.clear()
        return found

    def due(self, now_ms: int) -> list[Poll]:
        """Returns the calls to make now; each must be answered for."""
        found = []
        for name, known in self._known.items():
            if known.is_asked or now_ms < known.due_ms:
                continue
            self._known[name] = replace(known, is_asked=True)
            order = self._order_in_time(name, now_ms)
            found.append(Poll(self._hosts[name], order, known.missed > 0))
        return found

    def take(self, host: HostId, health: wire.Health | None, now_ms: int) -> None:
        """Takes the answer of a call, none if there was none."""
        known = self._known.get(host)
        if known is None:
            return
        order = self._orders.get(host)
        wait_ms = POLL_MS if order is None else ORDER_POLL_MS
        known = replace(known, is_asked=False, due_ms=now_ms + wait_ms)
        if health is None:
            self._known[host] = self._missed(host, known, order)
            return
        if known.is_well is not True:
            self._news.append(HealthChanged(host, None))
        self._known[host] = replace(known, missed=0, is_well=True)
        if order is not None:
            self._news.extend(_reports(order, health))

    def _order_in_time(self, host: HostId, now_ms: int) -> MaintenanceOrder | None:
        order = self._orders.get(host)
        if order is None or now_ms <= order.fence.not_after_ms:
            return order
        del self._orders[host]
        self._news.append(OrderLate(order.fence.pool))
        return None

    def _missed(
        self, host: HostId, known: _Known, order: MaintenanceOrder | None
    ) -> _Known:
        """A host that reboots by our own order is not a failed one."""
        missed = known.missed + 1
        is_expected = isinstance(order, RebootHost) and known.is_well
        if missed < MISSED_POLLS or known.is_well is False or is_expected:
            return replace(known, missed=missed)
        self._news.append(HealthChanged(host, OutCause.FAILED))
        return replace(known, missed=missed, is_well=False)


def _reports(order: MaintenanceOrder, health: wire.Health) -> list[HostNews]:
    """Returns the end of an order, if the health shows it."""
    host, op_id = order.host, order.fence.op_id
    is_live = health.state == LIVE
    match order:
        case DrainHost() if health.draining == op_id and not health.running:
            return [HostDrained(host, op_id)]
        case RebootHost() if op_id in health.rebooted and op_id in health.ended:
            return [HostRebooted(host, op_id)]
        case ReturnHost() if op_id in health.ended:
            return [HostReturned(host, op_id, takes_work=is_live)]
    return []
