"""The thread that owns an entry's conductors."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from .worker_thread import WorkerThread

if TYPE_CHECKING:
    from .conducting import EntryConductors
    from .conducting.poller import HostPoller

STEP_S = 0.1


class ConductingTask(WorkerThread):
    """Steps the conductors on news of hosts, or ten times a second.

    Args:
        conducting: The conductors.
        poller: Asks the hosts.
    """

    def __init__(self, conducting: EntryConductors, poller: HostPoller) -> None:
        super().__init__("conducting")
        self.conducting = conducting
        self._poller = poller
        self._woken = threading.Event()
        poller.on_event = self._woken.set

    def step(self) -> None:
        """Waits for news or for the next round, then does what is due."""
        self._woken.wait(STEP_S)
        self._woken.clear()
        self.conducting.step()
        self._poller.step()

    def stop(self) -> None:
        """Asks the thread to end."""
        super().stop()
        self._woken.set()

    def leave(self) -> None:
        """Gives all duties up; call it once the thread has ended."""
        self.conducting.stop()
        self._poller.stop()
