"""The interface through which conductors monitor and order hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

from ...domain.ids import HostId, OperationId, PoolName
from ...domain.waves import HealthChanged, HostDrained, HostRebooted, HostReturned

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...backend.maintenance import MaintenanceOrder
    from ...domain.inventory import Host


@dataclass(frozen=True, slots=True)
class OrderExpired:
    """An order's deadline passed before its host reported the end."""

    pool: PoolName


HostEvent: TypeAlias = (
    HealthChanged | HostDrained | HostRebooted | HostReturned | OrderExpired
)


class HostMonitor(Protocol):
    """Polls the health of hosts and sends them orders; no method blocks."""

    def set_hosts(self, hosts: Mapping[HostId, Host]) -> None:
        """Polls these hosts from now on, and no others."""

    def send_order(self, order: MaintenanceOrder) -> None:
        """Sends an order until the host reports its end or the order expires."""

    def retain_orders(self, pool: PoolName, open_ops: Iterable[OperationId]) -> None:
        """Withdraws the pool's orders, except those of these operations."""

    def is_health_known(self, host: HostId) -> bool:
        """Returns whether the host has answered, or missed enough calls to fail."""

    def is_healthy(self, host: HostId) -> bool:
        """Returns whether the host is known to answer."""

    def pop_events(self) -> list[HostEvent]:
        """Returns the events since the last call, in order."""
