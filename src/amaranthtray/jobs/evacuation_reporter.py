"""Logs and counts what a conductor does for evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from ..domain.scheduling.evacuation import (
    EvacuationHosts,
    EvacuationProgress,
    RunsMoved,
    StartWithheld,
)

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from .event_log import EventLog
    from .metrics_registry import MetricsRegistry

EvacuationReport: TypeAlias = (
    EvacuationHosts | EvacuationProgress | RunsMoved | StartWithheld
)

MAX_LOGGED_TASKS = 40
"""Most moved tasks that one log line names."""

HELD, QUEUED = "held", "queued"
"""Causes of withheld starts: its record was not stored, or its order not sent."""


class EvacuationReporter:
    """Logs and counts the reports of one pool's scheduler.

    Args:
        pool: The pool.
        term: Term of the conductor.
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
        self.lacks_hosts = False

    def record(self, report: EvacuationReport) -> None:
        """Logs a report and counts it."""
        match report:
            case StartWithheld(host, name, number):
                self._metrics.count("starts_withheld", HELD)
                self._event(
                    "start-withheld", host=host, task=str(name), run=number, cause=HELD
                )
            case RunsMoved(zone, kind, tasks, waited_ms):
                cause = f"evacuation_{kind}"
                self._metrics.count("runs_moved", cause, len(tasks))
                self._event(
                    "runs-moved",
                    zone=zone,
                    cause=cause,
                    count=len(tasks),
                    tasks=[str(task) for task in tasks[:MAX_LOGGED_TASKS]],
                    age_ms=waited_ms,
                )
            case EvacuationProgress(zone, remaining, moving, age_ms):
                self._event(
                    "evacuation-progress",
                    zone=zone,
                    remaining=remaining,
                    moving=moving,
                    age_ms=age_ms,
                )
            case EvacuationHosts(has_hosts):
                self.lacks_hosts = not has_hosts
                self._event("evacuation-no-host", is_over=has_hosts)

    def count_unsent_start(self) -> None:
        """Counts a start whose order its host's link has not sent."""
        self._metrics.count("starts_withheld", QUEUED)

    def _event(self, event: str, **fields: object) -> None:
        self._log.event(event, pool=self._pool, term=self._term, **fields)
