"""The task that requests placement advice: which hosts the policy allows."""

from __future__ import annotations

import queue
import threading
from functools import partial
from typing import TYPE_CHECKING

from ..domain.scheduling.advice import AdviceReceived, RequestAdvice
from .clock import steady_ms
from .steps import run_step

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.scheduling.messages import Message
    from .event_log import EventLog
    from .ports import Adviser

RETRY_PAUSE_MS = 200
"""Pause after the service was busy or did not answer."""


class AdviceRequester:
    """Sends requests to the adviser, one at a time.

    Args:
        adviser: Client of the advice service; None if none is configured.
        post: Queues a message for the conductor.
        log: Log of the entry.
    """

    def __init__(
        self,
        adviser: Adviser | None,
        post: Callable[[Message], None],
        log: EventLog,
    ) -> None:
        self._adviser = adviser
        self._post = post
        self._log = log
        self._queue: queue.SimpleQueue[RequestAdvice | None] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the request in progress."""
        self._stopping.set()
        self._queue.put(None)

    def request(self, request: RequestAdvice) -> None:
        """Queues a request."""
        self._queue.put(request)

    def _run(self) -> None:
        while not self._stopping.is_set():
            request = self._queue.get()
            if request is None or self._adviser is None:
                continue
            sent_ms = steady_ms()
            ask = partial(self._adviser.request, request)
            advice = run_step(self._log, "advice", ask, otherwise=None)
            if advice is None:
                self._log.event("no-advice", step=str(request.step))
                self._stopping.wait(RETRY_PAUSE_MS / 1_000)
                continue
            until_ms = sent_ms + advice.valid_ms
            received = AdviceReceived(
                request.step, request.hosts, advice.tickets, until_ms
            )
            self._post(received)
