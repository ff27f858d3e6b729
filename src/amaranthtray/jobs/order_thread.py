"""A thread that sends orders to one host, one after the other."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.scheduling.order_queue import OrderQueue
from ..domain.scheduling.orders import HostOrder, StopRun
from .clock import steady_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from .event_log import EventLog


@dataclass(slots=True)
class _Waiting:
    """An order that waits, and the steady-clock time at which it was last queued."""

    order: HostOrder
    queued_ms: int


class OrderThread:
    """Sends orders one after the other, in turns of their jobs.

    Its thread starts with the first order. A stop that is ordered again while it waits
    keeps its place.

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
        self._queue: OrderQueue[_Waiting] = OrderQueue()
        self._stops: dict[StopRun, _Waiting] = {}
        self._changed = threading.Condition()
        self._is_closed = False
        self._thread: threading.Thread | None = None

    def put(self, order: HostOrder) -> None:
        """Queues an order."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
        with self._changed:
            if isinstance(order, StopRun) and order in self._stops:
                self._stops[order].queued_ms = steady_ms()
                return
            waiting = _Waiting(order, steady_ms())
            if isinstance(order, StopRun):
                self._stops[order] = waiting
            self._queue.put(order.name.job, waiting)
            self._changed.notify()

    def close(self) -> None:
        """Ends the thread after the orders queued so far."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()

    def _take(self) -> _Waiting | None:
        """Waits for the next order; returns None once there is none any more."""
        with self._changed:
            while (waiting := self._queue.take()) is None and not self._is_closed:
                self._changed.wait()
            if waiting is not None and isinstance(waiting.order, StopRun):
                del self._stops[waiting.order]
            return waiting

    def _run(self) -> None:
        while (waiting := self._take()) is not None:
            try:
                self._carry_out(waiting.order, waiting.queued_ms)
            except Exception as exc:
                # The known state of the run stays until the next poll updates it.
                host = waiting.order.host
                self._log.event("order-fault", host=host, why=repr(exc))
