"""The thread that keeps the host list up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .loop_thread import LoopThread

if TYPE_CHECKING:
    from .host_list import HostList

WATCH_TIMEOUT_MS = 10_000
PAUSE_AFTER_FAILURE_MS = 500


class HostTask(LoopThread):
    """Watches the platform's host list.

    Args:
        hosts: The list.
    """

    def __init__(self, hosts: HostList) -> None:
        super().__init__("hosts")
        self._hosts = hosts

    def step(self) -> None:
        """Reads the list, or waits for its changes once."""
        if self._hosts.poll(WATCH_TIMEOUT_MS) is not None:
            self.pause(PAUSE_AFTER_FAILURE_MS)
