"""Serialises messages to one handler without a thread of its own."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

M = TypeVar("M")


class Mailbox(Generic[M]):
    """Hands messages to ``handle`` one at a time, in order.

    The thread that posts runs the handler when no other thread does, so an idle
    task costs no thread switch and a busy one is drained by a single thread.

    Args:
        handle: Called with each message; the only code that touches the state.
        on_error: Called with what ``handle`` raised; the next message follows.
    """

    def __init__(
        self,
        handle: Callable[[M], None],
        *,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._handle = handle
        self._on_error = on_error
        self._messages: deque[M] = deque()
        self._running = threading.Lock()

    def post(self, message: M) -> None:
        """Queues a message and returns once some thread is sure to handle it."""
        self._messages.append(message)
        # A holder that has just seen an empty queue releases the lock and looks
        # again, so a message queued in between is not left behind.
        while self._messages and self._running.acquire(blocking=False):
            try:
                self._drain()
            finally:
                self._running.release()

    def _drain(self) -> None:
        while self._messages:
            message = self._messages.popleft()
            try:
                self._handle(message)
            except Exception as exc:
                self._on_error(exc)
