"""A thread that sends orders to one host, one after the other."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from ..domain.scheduling.orders import StopRun
from .clock import steady_ms
from .latest_queue import LatestQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.scheduling.orders import HostOrder
    from .event_log import EventLog


class OrderThread:
    """Sends orders one after the other; its thread starts with the first order.

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
        self._queue: LatestQueue[object, tuple[HostOrder, int]] = LatestQueue()
        self._thread: threading.Thread | None = None

    def put(self, order: HostOrder) -> None:
        """Queues an order, but for a stop of which an equal one waits.

        Each report that lists a run which must not go on orders its stop once more.
        """
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
        key = order if isinstance(order, StopRun) else object()
        self._queue.put(key, (order, steady_ms()))

    def close(self) -> None:
        """Ends the thread after the orders queued so far."""
        self._queue.close()

    def _run(self) -> None:
        while (queued := self._queue.get()) is not None:
            order, queued_ms = queued
            try:
                self._carry_out(order, queued_ms)
            except Exception as exc:
                # The known state of the run stays until the next poll updates it.
                self._log.event("order-fault", host=order.host, why=repr(exc))
