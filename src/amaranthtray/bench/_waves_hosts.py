"""Stand-in hosts that drain, reboot and return, and check each order."""

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
    """A host as the platform drains and reboots it.

    Attributes:
        host: Name of the host.
        drain_ms: Time until all its tasks have ended.
        reboot_ms: Duration of a reboot; None if the host never comes back.
        schedule: Runs a function after a delay.
        report: Receives the reports of the host.
        drain_op: Operation whose drain is in force; the host then refuses new work.
        is_empty: Whether the drain in force has ended.
        is_up: Whether the host runs.
        is_rebooting: Whether a reboot is in progress.
        terms: Highest term of an order for each pool; lower ones are ignored.
        ended_operations: Operations that have ended; later drain orders are ignored.
        rebooted_operations: Operations that have rebooted the host.
        invalid_orders: Orders that a correct conductor never gives.
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
    ended_operations: set[OperationId] = field(default_factory=set)
    rebooted_operations: set[OperationId] = field(default_factory=set)
    invalid_orders: list[str] = field(default_factory=list)

    @property
    def is_serving(self) -> bool:
        """Returns whether the host accepts new work."""
        return self.is_up and self.drain_op is None

    def drain(self, fence: Fence) -> None:
        """Refuses new work from now on, and reports when all tasks have ended."""
        if (
            self._is_stale(fence)
            or not self.is_up
            or fence.op_id in self.ended_operations
        ):
            return
        if self.drain_op == fence.op_id:
            if self.is_empty:
                self.report(HostDrained(self.host, fence.op_id))
            return
        self.drain_op, self.is_empty = fence.op_id, False
        self.schedule(self.drain_ms, lambda: self._finish_drain(fence.op_id))

    def _finish_drain(self, op_id: OperationId) -> None:
        if self.drain_op == op_id:
            self.is_empty = True
            self.report(HostDrained(self.host, op_id))

    def reboot(self, fence: Fence) -> None:
        """Reboots once for each operation; a repeated order only repeats the report."""
        if self._is_stale(fence):
            return
        if fence.op_id in self.rebooted_operations:
            if self.is_up:
                self.report(HostRebooted(self.host, fence.op_id))
            return
        if self.drain_op != fence.op_id or not self.is_empty:
            self.invalid_orders.append(
                f"{self.host} rebooted by {fence.op_id} undrained"
            )
        self.rebooted_operations.add(fence.op_id)
        self.is_rebooting, self.is_up = True, False
        if self.reboot_ms is not None:
            self.schedule(self.reboot_ms, lambda: self._finish_reboot(fence.op_id))

    def _finish_reboot(self, op_id: OperationId) -> None:
        self.is_rebooting, self.is_up = False, True
        self._end_operation(op_id)
        self.report(HostRebooted(self.host, op_id))

    def return_to_service(self, fence: Fence) -> None:
        """Ends the drain of an operation, also if its order arrives later."""
        if self._is_stale(fence) or not self.is_up:
            return
        self._end_operation(fence.op_id)
        self.report(HostReturned(self.host, fence.op_id, self.is_serving))

    def _end_operation(self, op_id: OperationId) -> None:
        self.ended_operations.add(op_id)
        if self.drain_op == op_id:
            self.drain_op = None
            self.is_empty = False

    def _is_stale(self, fence: Fence) -> bool:
        if fence.term < self.terms.get(fence.pool, fence.term):
            return True
        self.terms[fence.pool] = fence.term
        return False
