"""Turns of the tasks of one entry at a service that takes its calls one by one."""

from __future__ import annotations

import threading
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class CallTurns:
    """Gives callers their turns one after the other, in order of arrival; thread-safe.

    A call that waits here costs nothing. One that waits at the service until its time
    limit is carried out all the same, and holds up those that follow.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._waiting: deque[object] = deque()

    @contextmanager
    def turn(self) -> Iterator[None]:
        """Waits for the caller's turn, and ends it with the block."""
        caller = object()
        with self._changed:
            self._waiting.append(caller)
            self._changed.wait_for(lambda: self._waiting[0] is caller)
        try:
            yield
        finally:
            with self._changed:
                self._waiting.popleft()
                self._changed.notify_all()
