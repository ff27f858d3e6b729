"""Metrics, log lines and service-level counts of an entry.

Requests are only counted; the log has lines for changes of state.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, TextIO

from ..domain.requests.model import Answered, NotRun, Unknown, WorkClass
from ..logs import StateLog
from ..metrics import Metric, Metrics
from ..reports import BurnCounts, is_good
from ..settings import LogLevel
from .clock import now_ms

if TYPE_CHECKING:
    from ..domain.keys import KeyRefused
    from ..domain.requests.model import Outcome, Request
    from ..settings import Settings

_START_WAIT = {
    WorkClass.URGENT: Metric.START_WAIT_URGENT,
    WorkClass.PATIENT: Metric.START_WAIT_PATIENT,
}


class Observer:
    """Records the metrics, log lines and service-level counts of one entry.

    Args:
        settings: Settings of the entry.
        stream: Stream that log lines are written to; None for standard error.
    """

    def __init__(self, settings: Settings, stream: TextIO | None = None) -> None:
        self.metrics = Metrics(settings)
        self.log = StateLog(settings, stream or sys.stderr, now_ms)
        self.burn = BurnCounts(now_ms())

    def record_accepted(self) -> None:
        """Counts a request that passed authentication and validation."""
        self.metrics.count(Metric.REQUESTS_ACCEPTED)

    def record_refused_key(self, refused: KeyRefused) -> None:
        """Counts a request whose key was refused."""
        del refused
        self.metrics.count(Metric.KEYS_REFUSED)

    def record_attempt(self, request: Request) -> None:
        """Counts an attempt and measures how long its request has waited."""
        self.metrics.count(Metric.ATTEMPTS_STARTED)
        metric = _START_WAIT[request.work_class]
        self.metrics.timing(metric, now_ms() - request.accepted_ms)

    def record_withheld_attempt(self) -> None:
        """Counts an attempt that was not sent because its zone is evacuated."""
        self.metrics.count(Metric.ATTEMPTS_WITHHELD)

    def record_outcome(self, request: Request, outcome: Outcome) -> None:
        """Counts the final outcome of a request."""
        ended_ms = now_ms()
        in_time = ended_ms <= request.deadline_ms
        match outcome:
            case Answered():
                self.metrics.count(Metric.REQUESTS_ANSWERED)
                if not in_time:
                    self.metrics.count(Metric.REQUESTS_LATE)
            case NotRun(reason=reason):
                self.metrics.count(Metric.REQUESTS_NOT_RUN, suffix=reason.value)
            case Unknown(reason=unknown_reason):
                self.metrics.count(Metric.REQUESTS_UNKNOWN, suffix=unknown_reason.value)
        good = is_good(outcome, in_time=in_time)
        if good is not None:
            self.burn.record(request.queue, request.team, good=good, now_ms=ended_ms)

    def changed(
        self, event: str, *, level: LogLevel = LogLevel.INFO, **fields: object
    ) -> None:
        """Logs a change of state."""
        self.log.changed(event, level=level, **fields)

    def log_fault(self, exc: Exception) -> None:
        """Logs a bug of this program; the thread that raised it continues."""
        cause = f"{type(exc).__name__}: {exc}"
        self.log.changed("internal-fault", level=LogLevel.ERROR, cause=cause)

    def flush(self) -> None:
        """Sends the collected metrics and log lines; call it about once a second."""
        self.metrics.flush()
        self.log.flush()
