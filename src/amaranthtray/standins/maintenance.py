"""Drains and reboots of a stand-in backend server, with orders fenced by terms."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..backend import wire

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_KEPT_OPERATIONS = 64
MS_PER_S = 1_000


@dataclass(slots=True)
class Outage:
    """A period in which a drain kept the server out of service.

    Attributes:
        op_id: Operation of the drain.
        pool: Pool whose conductor sent the order.
        ended_s: End of the outage; None while it lasts.
    """

    op_id: str
    pool: str
    began_s: float
    ended_s: float | None = None


class Maintenance:
    """Maintenance state of a server; callers must hold the server's lock.

    Args:
        reboot_ms: Duration of a reboot; None if the server never comes back.
        clock: Monotonic clock in seconds.

    Attributes:
        draining: Operation of the current drain, or None.
        ended: Operations that have ended, in order.
        rebooted: Operations that rebooted the server, in order.
        outages: All outages, for checks in tests.
        invalid_orders: Descriptions of orders that a correct conductor never sends.
    """

    def __init__(
        self,
        reboot_ms: int | None,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.reboot_ms = reboot_ms
        self.draining: str | None = None
        self.ended: list[str] = []
        self.rebooted: list[str] = []
        self.outages: list[Outage] = []
        self.invalid_orders: list[str] = []
        self._clock = clock
        self._rebooting: str | None = None
        self._up_at_s = 0.0
        self._terms: dict[str, int] = {}

    @property
    def is_down(self) -> bool:
        """Returns whether a reboot is under way."""
        if self._rebooting is None:
            return False
        if self.reboot_ms is None or self._clock() < self._up_at_s:
            return True
        self._end_operation(self._rebooting)
        self._rebooting = None
        return False

    def execute_order(
        self, verb: str, order: wire.HostOrder, *, is_empty: bool
    ) -> bool:
        """Carries out an order, once per operation; False if its term is too low.

        Args:
            verb: Drain, reboot or return.
            order: The operation, and the term that fences it.
            is_empty: Whether no task is running.
        """
        if order.term < self._terms.get(order.pool, order.term):
            return False
        self._terms[order.pool] = order.term
        match verb:
            case wire.DRAIN if order.op_id not in self.ended:
                self._drain(order)
            case wire.REBOOT if order.op_id not in self.rebooted:
                self._reboot(order.op_id, is_empty=is_empty)
            case wire.RETURN:
                self._end_operation(order.op_id)
        return True

    def _drain(self, order: wire.HostOrder) -> None:
        if self.draining == order.op_id:
            return
        self._end_outage()
        self.draining = order.op_id
        self.outages.append(Outage(order.op_id, order.pool, self._clock()))

    def _end_outage(self) -> None:
        if self.outages and self.outages[-1].ended_s is None:
            self.outages[-1].ended_s = self._clock()

    def _reboot(self, op_id: str, *, is_empty: bool) -> None:
        if self.draining != op_id or not is_empty:
            self.invalid_orders.append(f"rebooted by {op_id} undrained")
            return
        self.rebooted = [*self.rebooted, op_id][-MAX_KEPT_OPERATIONS:]
        self._rebooting = op_id
        self._up_at_s = self._clock() + (self.reboot_ms or 0) / MS_PER_S

    def _end_operation(self, op_id: str) -> None:
        if op_id not in self.ended:
            self.ended = [*self.ended, op_id][-MAX_KEPT_OPERATIONS:]
        if self.draining == op_id:
            self._end_outage()
            self.draining = None
