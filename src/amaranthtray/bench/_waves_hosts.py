"""Stand-in hosts that drain, reboot and return, and judge each order they get."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from ..domain.ids import HostId, OperationId, PoolName, Term
from ..domain.waves import HostDrained, HostRebooted, HostReturned

if TYPE_CHECKING:
    from ..domain.waves import Fence

HostReport: TypeAlias = HostDrained | HostRebooted | HostReturned


@dataclass(slots=True)
class HostStandIn:
    """A host with the platform's side of draining and rebooting.

    Attributes:
        host: Its name.
        drain_ms: How long its tasks need to end.
        reboot_ms: How long a reboot takes; none if it never comes back.
        schedule: Runs a function after a delay.
        report: Takes what the host reports.
        drain_op: The drain in force; while there is one, new work is refused.
        is_empty: Whether the drain in force has ended.
        is_up: Whether it runs at all.
    """

    host: HostId
    drain_ms: int
    reboot_ms: int | None
    schedule: Callable[[int, Callable[[], None]], None]
    report: Callable[[HostReport], None]
    drain_op: OperationId | None = None
    is_empty: bool = False
    is_up: bool = True
    is_rebooting: bool = False
    terms: dict[PoolName, Term] = field(default_factory=dict)
    ended: set[OperationId] = field(default_factory=set)
    rebooted: set[OperationId] = field(default_factory=set)
    invalid_orders: list[str] = field(default_factory=list)

    @property
    def is_serving(self) -> bool:
        """Returns whether it takes new work."""
        return self.is_up and self.drain_op is None

    def drain(self, fence: Fence) -> None:
        """Refuses new work from now on, and reports when nothing runs."""
        if self._is_stale(fence) or not self.is_up or fence.op_id in self.ended:
            return
        if self.drain_op == fence.op_id:
            if self.is_empty:
                self.report(HostDrained(self.host, fence.op_id))
            return
        self.drain_op, self.is_empty = fence.op_id, False
        self.schedule(self.drain_ms, lambda: self._drained(fence.op_id))

    def _drained(self, op_id: OperationId) -> None:
        if self.drain_op == op_id:
            self.is_empty = True
            self.report(HostDrained(self.host, op_id))

    def reboot(self, fence: Fence) -> None:
        """Reboots once for each operation; a repeated order is only answered."""
        if self._is_stale(fence):
            return
        if fence.op_id in self.rebooted:
            if self.is_up:
                self.report(HostRebooted(self.host, fence.op_id))
            return
        if self.drain_op != fence.op_id or not self.is_empty:
            self.invalid_orders.append(
                f"{self.host} rebooted by {fence.op_id} undrained"
            )
        self.rebooted.add(fence.op_id)
        self.is_rebooting, self.is_up = True, False
        if self.reboot_ms is not None:
            self.schedule(self.reboot_ms, lambda: self._rebooted(fence.op_id))

    def _rebooted(self, op_id: OperationId) -> None:
        self.is_rebooting, self.is_up = False, True
        self._end(op_id)
        self.report(HostRebooted(self.host, op_id))

    def return_to_service(self, fence: Fence) -> None:
        """Ends the drain of this operation, now or before it ever arrives."""
        if self._is_stale(fence) or not self.is_up:
            return
        self._end(fence.op_id)
        self.report(HostReturned(self.host, fence.op_id, self.is_serving))

    def _end(self, op_id: OperationId) -> None:
        self.ended.add(op_id)
        if self.drain_op == op_id:
            self.drain_op = None
            self.is_empty = False

    def _is_stale(self, fence: Fence) -> bool:
        if fence.term < self.terms.get(fence.pool, fence.term):
            return True
        self.terms[fence.pool] = fence.term
        return False
