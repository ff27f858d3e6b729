"""Serialises messages to one handler, without a thread of its own."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

MessageT = TypeVar("MessageT")


class Mailbox(Generic[MessageT]):
    """Calls ``handle`` with one message at a time, in the order of the posts.

    A thread that posts runs the handler itself unless another thread does so already.
    With few messages this saves a thread switch; with many, one thread handles them.

    Args:
        handle: Called with each message; only this code may use the guarded state.
        on_error: Called with an exception that ``handle`` raised; the next message
            is handled nevertheless.
    """

    def __init__(
        self,
        handle: Callable[[MessageT], None],
        *,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._handle = handle
        self._on_error = on_error
        self._messages: deque[MessageT] = deque()
        self._drain_lock = threading.Lock()

    def post(self, message: MessageT) -> None:
        """Queues a message and returns once a thread has handled it or is going to."""
        self._messages.append(message)
        # The holder of the lock checks the queue again after the release, so a message
        # that was queued between its last check and the release is handled too.
        while self._messages and self._drain_lock.acquire(blocking=False):
            try:
                self._drain()
            finally:
                self._drain_lock.release()

    def _drain(self) -> None:
        while self._messages:
            message = self._messages.popleft()
            try:
                self._handle(message)
            except Exception as exc:
                self._on_error(exc)
