"""Logs and counts what a conductor learns about run times and hosts."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from ..domain.scheduling.run_time_events import (
    HostSlow,
    RunMoved,
    RunStalled,
    RunTimeErrors,
    RunTimesLearned,
    RunTimesUnreadable,
)

if TYPE_CHECKING:
    from ..domain.scheduling.run_time_events import RunTimeReport
    from .conductor_log import ConductorLog

ERROR_METRIC = "run_time_error"


class RunTimeLog:
    """Logs and counts the reports of one pool's scheduler.

    Args:
        log: Log and counters of the pool's conductor.
    """

    def __init__(self, log: ConductorLog) -> None:
        self._log = log

    def record(self, report: RunTimeReport, now_ms: int) -> None:
        """Records a report.

        Args:
            report: The report.
            now_ms: Steady-clock time.
        """
        metrics = self._log.metrics
        match report:
            case RunTimeErrors(errors):
                for error in errors:
                    metrics.record_latency(ERROR_METRIC, "declared", error.declared_ms)
                    metrics.record_latency(ERROR_METRIC, "expected", error.expected_ms)
            case RunTimesLearned(keys):
                rows = [each._asdict() for each in keys]
                self._log.event("run-times", keys=rows)
            case RunTimesUnreadable(why):
                self._log.event("run-times-unreadable", why=why)
            case HostSlow():
                metrics.count("hosts_slow", "slow" if report.until_ms else "recovered")
                self._log.event(
                    "host-slow",
                    host=report.host,
                    is_slow=report.until_ms > 0,
                    slowness=round(report.slowness, 2),
                    steps=report.steps,
                    pause_ms=max(report.until_ms - now_ms, 0),
                    slow_hosts=report.slow_hosts,
                )
            case RunMoved():
                metrics.count("runs_moved_by_speed", report.kind)
                fields = asdict(report)
                fields["name"] = str(report.name)
                self._log.event("run-moved", **fields)
            case RunStalled():
                metrics.count("runs_stalled")
                fields = asdict(report)
                fields["name"] = str(report.name)
                self._log.event("run-stalled", **fields)
