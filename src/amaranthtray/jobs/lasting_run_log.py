"""Logs and counts what ends the runs of lasting tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.absence import LastingRunEnded, LastingRunStopped

if TYPE_CHECKING:
    from ..domain.scheduling.absence import LastingRunReport
    from .conductor_log import ConductorLog

MAX_LOGGED_TASKS = 40
"""Most absent tasks that one log line names."""


def record_lasting_run(log: ConductorLog, report: LastingRunReport) -> None:
    """Logs and counts the stop or the end of a lasting task's run."""
    subject = {"host": report.host, "task": str(report.name), "run": report.number}
    match report:
        case LastingRunStopped(reason=reason, absent=absent):
            log.metrics.count("lasting_runs_stopped", reason)
            log.event(
                "lasting-task-stopped",
                **subject,
                reason=reason,
                may_miss=report.may_miss,
                away=len(absent),
                absent=[tuple(each) for each in absent[:MAX_LOGGED_TASKS]],
                oldest_report_ms=report.oldest_report_ms,
            )
        case LastingRunEnded(outcome=outcome):
            log.metrics.count("lasting_runs_ended", outcome)
            log.event(
                "lasting-task-ended",
                **subject,
                outcome=outcome,
                was_stopped=report.was_stopped,
            )
