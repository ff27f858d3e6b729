"""The task that requests placement advice: which hosts the policy allows."""

from __future__ import annotations

import queue
import threading
from functools import partial
from typing import TYPE_CHECKING

from ..domain.scheduling.advice import AdviceFailed, AdviceReceived, RequestAdvice
from .clock import steady_ms
from .ports import Advice, NoAdvice
from .steps import run_step

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.scheduling.messages import Message
    from .call_turns import CallTurns
    from .conductor_log import ConductorLog
    from .ports import Adviser


class AdviceRequester:
    """Sends requests to the adviser; each has exactly one outcome.

    The scheduler gives it the next request after the outcome of the last one, so that
    its queue holds one request at most. The pools that an entry conducts take turns.

    Args:
        adviser: Client of the advice service; None if none is configured.
        post: Queues a message for the conductor.
        log: Log and counters of the conductor.
        turns: Turns of the entry's pools at the service.
    """

    def __init__(
        self,
        adviser: Adviser | None,
        post: Callable[[Message], None],
        log: ConductorLog,
        turns: CallTurns,
    ) -> None:
        self._adviser = adviser
        self._post = post
        self._log = log
        self._turns = turns
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
            if request is None:
                continue
            with self._turns.turn():
                outcome = self._carry_out_unless_stopping(request)
            self._post(outcome)

    def _carry_out_unless_stopping(
        self, request: RequestAdvice
    ) -> AdviceReceived | AdviceFailed:
        if self._stopping.is_set():
            return AdviceFailed(request.step)
        return self.carry_out(request)

    def carry_out(self, request: RequestAdvice) -> AdviceReceived | AdviceFailed:
        """Sends a request once; returns its outcome."""
        sent_ms = steady_ms()
        fault = NoAdvice("fault")
        ask = partial(self._ask, request)
        advice = run_step(self._log.log, "advice", ask, otherwise=fault)
        self._record(request, advice, steady_ms() - sent_ms)
        if isinstance(advice, NoAdvice):
            return AdviceFailed(request.step)
        until_ms = sent_ms + advice.valid_ms
        return AdviceReceived(request.step, request.hosts, advice.tickets, until_ms)

    def _ask(self, request: RequestAdvice) -> Advice | NoAdvice:
        if self._adviser is None:
            return NoAdvice("no advice service is configured")
        return self._adviser.request(request)

    def _record(
        self, request: RequestAdvice, advice: Advice | NoAdvice, took_ms: int
    ) -> None:
        kind = "failed" if isinstance(advice, NoAdvice) else "answered"
        self._log.metrics.record_latency("advice", kind, took_ms)
        step, asked = ".".join(map(str, request.step)), len(request.hosts)
        common: dict[str, object] = {"step": step, "hosts": asked, "took_ms": took_ms}
        match advice:
            case NoAdvice(why):
                self._log.event("no-advice", why=why, **common)
            case Advice():
                allowed = len(advice.tickets)
                self._log.event("advice", allowed=allowed, **common)
