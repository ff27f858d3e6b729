"""Runs one entry as a process until it is told to leave."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING

from .entry import Entry

if TYPE_CHECKING:
    from types import FrameType

    from ..settings import Settings

EXIT_OK = 0


class StopSignal:
    """Counts SIGTERM and SIGINT.

    The first one starts a graceful shutdown. A second one ends the wait for the
    balancer; requests in flight are finished all the same.
    """

    def __init__(self) -> None:
        self.asked = threading.Event()
        self.hurried = threading.Event()

    def install(self) -> None:
        """Takes over the signals of the process."""
        signal.signal(signal.SIGTERM, self._receive)
        signal.signal(signal.SIGINT, self._receive)

    def _receive(self, number: int, frame: FrameType | None) -> None:
        del number, frame
        if self.asked.is_set():
            self.hurried.set()
        self.asked.set()


def run_entry(settings: Settings) -> int:
    """Runs an entry and returns the exit code of the process."""
    stop = StopSignal()
    stop.install()
    entry = Entry(settings)
    entry.start()
    stop.asked.wait()
    entry.drain()
    stop.hurried.wait(settings.entry.balancer_drain_ms / 1_000)
    entry.stop()
    return EXIT_OK
