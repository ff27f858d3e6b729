"""Logs and counts what a conductor learns about run times and hosts."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from ..domain.scheduling.run_time_events import (
    HostSlow,
    RunMoved,
    RunTimeErrors,
    RunTimesLearned,
    RunTimesUnreadable,
)

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from ..domain.scheduling.run_time_events import RunTimeReport
    from .context import JobEntryContext

ERROR_METRIC = "run_time_error"


class RunTimeLog:
    """Logs and counts the reports of one pool's scheduler.

    Args:
        pool: The pool.
        term: Term of the conductor.
        context: Objects that all tasks of the entry share.
    """

    def __init__(self, pool: PoolName, term: Term, context: JobEntryContext) -> None:
        self._pool = pool
        self._term = term
        self._context = context

    def record(self, report: RunTimeReport, now_ms: int) -> None:
        """Records a report.

        Args:
            report: The report.
            now_ms: Steady-clock time.
        """
        metrics = self._context.metrics
        match report:
            case RunTimeErrors(errors):
                for error in errors:
                    metrics.record_latency(ERROR_METRIC, "declared", error.declared_ms)
                    metrics.record_latency(ERROR_METRIC, "expected", error.expected_ms)
            case RunTimesLearned(keys):
                rows = [each._asdict() for each in keys]
                self._event("run-times", keys=rows)
            case RunTimesUnreadable(why):
                self._event("run-times-unreadable", why=why)
            case HostSlow():
                metrics.count("hosts_slow", "slow" if report.until_ms else "recovered")
                self._event(
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
                self._event("run-moved", **fields)

    def _event(self, event: str, **fields: object) -> None:
        self._context.log.event(event, pool=self._pool, term=self._term, **fields)
