"""Structured log on standard output that never blocks its callers."""

from __future__ import annotations

import os
import queue
import sys
import threading
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from .clock import steady_ms, wall_ms

if TYPE_CHECKING:
    from collections.abc import Callable

QUEUE_LINES = 2_000
"""Most lines that wait to be written; further ones are dropped and counted."""

LINES_PER_S = 200
"""Most lines a second; further ones are dropped and counted."""

LINES_PER_EVENT_S = 150
"""Most lines a second of one event, so that a frequent one leaves room for others."""


class EventLog:
    """Writes one JSON line for each event from a thread of its own.

    Args:
        context: Fields that every line gets.
        write: Receives the bytes of whole lines; standard output by default.
    """

    def __init__(
        self, context: dict[str, str], write: Callable[[bytes], object] | None = None
    ) -> None:
        self.dropped = 0
        self._context = context
        self._write = write or _to_stdout
        self._queue: queue.Queue[bytes] = queue.Queue(QUEUE_LINES)
        self._second = 0
        self._lines: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def event(self, event: str, **fields: object) -> None:
        """Logs a decision or a change of the known state.

        Args:
            event: Fixed name of the event.
            fields: Subject of the event and the inputs of the decision.
        """
        second = steady_ms() // 1_000
        if second != self._second:
            self._second, self._lines = second, Counter()
        if (
            self._lines.total() >= LINES_PER_S
            or self._lines[event] >= LINES_PER_EVENT_S
        ):
            self.dropped += 1
            return
        self._lines[event] += 1
        line = {"t": wall_ms(), "event": event, **self._context, **fields}
        try:
            self._queue.put_nowait(msgspec.json.encode(line, enc_hook=str) + b"\n")
        except queue.Full:
            self.dropped += 1

    def flush(self, timeout_s: float) -> None:
        """Waits until all lines are written, at most ``timeout_s``."""
        done = threading.Event()
        waiter = threading.Thread(target=self._join, args=(done,), daemon=True)
        waiter.start()
        done.wait(timeout_s)

    def _join(self, done: threading.Event) -> None:
        self._queue.join()
        done.set()

    def _run(self) -> None:
        while True:
            lines = [self._queue.get()]
            while not self._queue.empty():
                lines.append(self._queue.get_nowait())
            try:
                self._write(b"".join(lines))
            except OSError:
                # Standard output is closed, so this failure can't be logged either.
                self.dropped += len(lines)
            for _ in lines:
                self._queue.task_done()


def _to_stdout(data: bytes) -> None:
    os.write(sys.stdout.fileno(), data)
