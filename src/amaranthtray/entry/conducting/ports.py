"""What the conductors of an entry need of the backend servers."""

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
class OrderLate:
    """An order's time passed before it was seen to have an effect."""

    pool: PoolName


HostNews: TypeAlias = (
    HealthChanged | HostDrained | HostRebooted | HostReturned | OrderLate
)


class HostPort(Protocol):
    """Asks hosts for their health and gives them orders; no call blocks."""

    def follow(self, hosts: Mapping[HostId, Host]) -> None:
        """Asks these hosts from now on, and no others."""

    def order(self, order: MaintenanceOrder) -> None:
        """Gives an order until the host reports its end or its time has passed."""

    def settle(self, pool: PoolName, open_ops: Iterable[OperationId]) -> None:
        """Forgets orders of the pool that belong to none of these operations."""

    def is_known(self, host: HostId) -> bool:
        """Returns whether the host has answered or missed enough calls."""

    def is_well(self, host: HostId) -> bool:
        """Returns whether the host answers."""

    def news(self) -> list[HostNews]:
        """Returns what happened since the last call, in order."""
