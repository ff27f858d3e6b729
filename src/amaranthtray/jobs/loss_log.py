"""Logs and counts lost runs, and the tasks that crash their hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.losses import (
    CrashWithdrawn,
    LateEnd,
    LateStartAwaited,
    RunOnOtherIncarnation,
    RunsLost,
    TaskGivenUp,
)

if TYPE_CHECKING:
    from ..domain.scheduling.losses import Loss
    from .conductor_log import ConductorLog

MAX_LOGGED_RUNS = 40
"""Most lost runs that one log line names."""


class LossLog:
    """Logs and counts the losses that a pool's scheduler reports.

    Args:
        log: Log and counters of the pool's conductor.
    """

    def __init__(self, log: ConductorLog) -> None:
        self._log = log

    def record(self, loss: Loss) -> None:
        """Logs and counts a loss."""
        match loss:
            case RunsLost():
                self._record_lost_runs(loss)
            case TaskGivenUp():
                self._record_given_up_task(loss)
            case CrashWithdrawn():
                self._record_withdrawn_crash(loss)
            case LateEnd():
                self._record_late_end(loss)
            case RunOnOtherIncarnation():
                self._record_other_incarnation(loss)
            case LateStartAwaited():
                self._record_awaited_start(loss)

    def _record_lost_runs(self, lost: RunsLost) -> None:
        self._log.metrics.count("runs_lost", lost.cause, len(lost.runs))
        if lost.is_crash:
            self._log.metrics.count("hosts_crashed", lost.cause)
        rows = [(str(run.name), *run[1:]) for run in lost.runs[:MAX_LOGGED_RUNS]]
        self._log.event(
            "runs-lost",
            host=lost.host,
            born=lost.born,
            cause=lost.cause,
            is_crash=lost.is_crash,
            count=len(lost.runs),
            runs=rows,
        )

    def _record_given_up_task(self, given_up: TaskGivenUp) -> None:
        self._log.metrics.count("tasks_given_up")
        self._log.event(
            "task-given-up",
            task=str(given_up.name),
            crashes=given_up.crashes,
            was_alone=given_up.was_alone,
        )

    def _record_withdrawn_crash(self, withdrawn: CrashWithdrawn) -> None:
        self._log.event(
            "crash-withdrawn",
            host=withdrawn.host,
            born=withdrawn.born,
            tasks=[str(task) for task in withdrawn.tasks[:MAX_LOGGED_RUNS]],
        )

    def _record_late_end(self, end: LateEnd) -> None:
        self._log.metrics.count("late_ends", end.outcome)
        self._log.event(
            "run-ended-late",
            host=end.host,
            born=end.born,
            task=str(end.name),
            run=end.number,
            outcome=end.outcome,
            is_applied=end.is_applied,
        )

    def _record_other_incarnation(self, run: RunOnOtherIncarnation) -> None:
        self._log.metrics.count("runs_on_other_incarnations")
        self._log.event(
            "run-on-other-incarnation",
            host=run.host,
            born=run.born,
            task=str(run.name),
            run=run.number,
            ordered_born=run.ordered_born,
        )

    def _record_awaited_start(self, awaited: LateStartAwaited) -> None:
        self._log.metrics.count("late_starts_awaited")
        self._log.event(
            "late-start-awaited",
            host=awaited.host,
            born=awaited.born,
            task=str(awaited.name),
            run=awaited.number,
            ordered_born=awaited.ordered_born,
            remaining_ms=awaited.remaining_ms,
        )
