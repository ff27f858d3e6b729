"""The thread of the entry's conductors."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from .loop_thread import LoopThread

if TYPE_CHECKING:
    from .conducting import EntryConductors
    from .conducting.poller import HostPoller

STEP_INTERVAL_S = 0.1


class ConductingTask(LoopThread):
    """Steps the conductors on host events, or ten times a second.

    Args:
        conductors: The conductors.
        poller: Polls the hosts.
    """

    def __init__(self, conductors: EntryConductors, poller: HostPoller) -> None:
        super().__init__("conducting")
        self.conductors = conductors
        self._poller = poller
        self._wake = threading.Event()
        poller.on_event = self._wake.set

    def step(self) -> None:
        """Waits for an event or the next interval, then steps conductors and poller."""
        self._wake.wait(STEP_INTERVAL_S)
        self._wake.clear()
        self.conductors.step()
        self._poller.step()

    def stop(self) -> None:
        """Requests the thread to end."""
        super().stop()
        self._wake.set()

    def leave(self) -> None:
        """Releases all duties; call it once the thread has ended."""
        self.conductors.stop()
        self._poller.stop()
