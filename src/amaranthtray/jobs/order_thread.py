"""A thread that sends orders to one host, one after the other."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from ..domain.scheduling.order_queue import OrderQueue
from .clock import steady_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.scheduling.orders import HostOrder
    from .event_log import EventLog


class OrderThread:
    """Sends orders one after the other, in turns of their jobs.

    Its thread starts with the first order.

    Args:
        carry_out: Sends one order, given also the steady-clock time of its queueing.
        log: Log of the entry.
    """

    def __init__(
        self,
        carry_out: Callable[[HostOrder, int], None],
        log: EventLog,
    ) -> None:
        self._carry_out = carry_out
        self._log = log
        self._queue: OrderQueue[tuple[HostOrder, int]] = OrderQueue()
        self._changed = threading.Condition()
        self._is_closed = False
        self._thread: threading.Thread | None = None

    def put(self, order: HostOrder) -> None:
        """Queues an order."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
        with self._changed:
            self._queue.put(order.name.job, (order, steady_ms()))
            self._changed.notify()

    def close(self) -> None:
        """Ends the thread after the orders queued so far."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()

    def _take(self) -> tuple[HostOrder, int] | None:
        """Waits for the next order; returns None once there is none any more."""
        with self._changed:
            while (queued := self._queue.take()) is None and not self._is_closed:
                self._changed.wait()
            return queued

    def _run(self) -> None:
        while (queued := self._take()) is not None:
            order, queued_ms = queued
            try:
                self._carry_out(order, queued_ms)
            except Exception as exc:
                # The known state of the run stays until the next poll updates it.
                self._log.event("order-fault", host=order.host, why=repr(exc))
