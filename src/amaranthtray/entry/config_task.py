"""The thread that follows the configuration log in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from .clock import now_ms
from .loop_thread import LoopThread

if TYPE_CHECKING:
    from ..domain.configuration import Configuration
    from ..store.config_log import ConfigLog, ConfigLogWatcher, LogUpdates
    from .config_view import ConfigView

WATCH_TIMEOUT_MS = 10_000
PAUSE_AFTER_FAILURE_MS = 250


class ConfigTask(LoopThread):
    """Watches the configuration log, applies its updates and compacts it.

    Args:
        watcher: The watch of the log.
        log: The log, for compaction.
        view: Puts the updates in force.
    """

    def __init__(
        self, watcher: ConfigLogWatcher, log: ConfigLog, view: ConfigView
    ) -> None:
        super().__init__("config")
        self._watcher = watcher
        self._log = log
        self._view = view

    def step(self) -> None:
        """Waits for updates once and applies them."""
        requested_ms = now_ms()
        match self._watcher.poll(timeout_ms=WATCH_TIMEOUT_MS):
            case Success(updates):
                self._apply(updates)
                self._view.confirm(requested_ms)
            case Failure():
                self.pause(PAUSE_AFTER_FAILURE_MS)
        if self._watcher.compaction_due:
            self._compact(self._view.current)

    def _apply(self, updates: LogUpdates) -> None:
        if updates.snapshot is not None:
            self._view.offer_snapshot(updates.snapshot)
        self._view.offer_records(updates.records)
        if self._view.missing_after() is not None:
            self._watcher.reset()

    def _compact(self, cfg: Configuration) -> None:
        if isinstance(self._log.compact(cfg), Success):
            self._watcher.compaction_due = False
