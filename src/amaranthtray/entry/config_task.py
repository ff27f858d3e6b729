"""Follows the configuration log in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from .clock import now_ms
from .loop_thread import LoopThread

if TYPE_CHECKING:
    from ..domain.configuration import Configuration
    from ..store.config_log import ConfigLog, ConfigLogWatcher, LogUpdates
    from .config_view import ConfigView

WATCH_MS = 10_000
PAUSE_AFTER_FAILURE_MS = 250


class ConfigTask(LoopThread):
    """Watches the log and puts news in force.

    Args:
        feed: The watch.
        log: The log, for compaction.
        view: Puts records in force.
    """

    def __init__(
        self, feed: ConfigLogWatcher, log: ConfigLog, view: ConfigView
    ) -> None:
        super().__init__("config")
        self._feed = feed
        self._log = log
        self._view = view

    def step(self) -> None:
        """Waits for news once."""
        asked_ms = now_ms()
        match self._feed.poll(timeout_ms=WATCH_MS):
            case Success(news):
                self._offer(news)
                self._view.confirm(asked_ms)
            case Failure():
                self.pause(PAUSE_AFTER_FAILURE_MS)
        if self._feed.compaction_due:
            self._compact(self._view.current)

    def _offer(self, news: LogUpdates) -> None:
        if news.snapshot is not None:
            self._view.offer_snapshot(news.snapshot)
        self._view.offer_records(news.records)
        if self._view.missing_after() is not None:
            self._feed.reset()

    def _compact(self, cfg: Configuration) -> None:
        if isinstance(self._log.compact(cfg), Success):
            self._feed.compaction_due = False
