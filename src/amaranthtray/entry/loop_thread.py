"""A thread that repeats a step until it is stopped."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class LoopThread:
    """Repeats ``step``; after an exception it reports it, pauses and continues.

    Args:
        name: Name of the thread.
    """

    FAULT_PAUSE_MS = 500

    def __init__(self, name: str) -> None:
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.on_fault: Callable[[Exception], None] = lambda exc: None

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Requests the thread to end after its current step."""
        self._stopping.set()

    def join(self, timeout_s: float) -> None:
        """Waits for the end of the thread, if it was started."""
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    @property
    def is_stopping(self) -> bool:
        """Returns whether the thread was requested to end."""
        return self._stopping.is_set()

    def pause(self, millis: int) -> None:
        """Waits; returns early if the thread is requested to end."""
        self._stopping.wait(millis / 1_000)

    def step(self) -> None:
        """Does the work of one iteration."""
        raise NotImplementedError

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step()
            except Exception as exc:
                self.on_fault(exc)
                self.pause(self.FAULT_PAUSE_MS)
