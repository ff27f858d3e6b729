"""Logs and counts lost runs, and the tasks that crash their hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.losses import CrashWithdrawn, RunsLost, TaskGivenUp

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from .event_log import EventLog
    from .metrics_registry import MetricsRegistry

MAX_LOGGED_RUNS = 40
"""Most lost runs that one log line names."""


class LossLog:
    """Logs and counts the losses that a pool's scheduler reports.

    Args:
        pool: The pool.
        term: Term of its conductor.
        log: Log of the entry.
        metrics: Counters of the entry.
    """

    def __init__(
        self, pool: PoolName, term: Term, log: EventLog, metrics: MetricsRegistry
    ) -> None:
        self._pool = pool
        self._term = term
        self._log = log
        self._metrics = metrics

    def record(self, loss: RunsLost | TaskGivenUp | CrashWithdrawn) -> None:
        """Logs and counts a loss."""
        match loss:
            case RunsLost():
                self._record_lost_runs(loss)
            case TaskGivenUp():
                self._record_given_up_task(loss)
            case CrashWithdrawn():
                self._record_withdrawn_crash(loss)

    def _record_lost_runs(self, lost: RunsLost) -> None:
        self._metrics.count("runs_lost", lost.cause, len(lost.runs))
        if lost.is_crash:
            self._metrics.count("hosts_crashed", lost.cause)
        rows = [(str(run.name), *run[1:]) for run in lost.runs[:MAX_LOGGED_RUNS]]
        self._log.event(
            "runs-lost",
            pool=self._pool,
            host=lost.host,
            born=lost.born,
            cause=lost.cause,
            is_crash=lost.is_crash,
            count=len(lost.runs),
            runs=rows,
            term=self._term,
        )

    def _record_given_up_task(self, given_up: TaskGivenUp) -> None:
        self._metrics.count("tasks_given_up")
        self._log.event(
            "task-given-up",
            pool=self._pool,
            task=str(given_up.name),
            crashes=given_up.crashes,
            was_alone=given_up.was_alone,
            term=self._term,
        )

    def _record_withdrawn_crash(self, withdrawn: CrashWithdrawn) -> None:
        self._log.event(
            "crash-withdrawn",
            pool=self._pool,
            host=withdrawn.host,
            born=withdrawn.born,
            tasks=[str(task) for task in withdrawn.tasks[:MAX_LOGGED_RUNS]],
            term=self._term,
        )
