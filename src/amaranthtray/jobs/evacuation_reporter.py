"""Logs and counts what a conductor does for evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from ..domain.scheduling.evacuation import (
    EvacuationHosts,
    EvacuationProgress,
    RunsMoved,
    StartWithheld,
)
from ..domain.scheduling.start_check import StartHindrance

if TYPE_CHECKING:
    from .conductor_log import ConductorLog

EvacuationReport: TypeAlias = (
    EvacuationHosts | EvacuationProgress | RunsMoved | StartWithheld
)

MAX_LOGGED_TASKS = 40
"""Most moved tasks that one log line names."""

HELD, QUEUED = "held", "queued"
"""Causes of starts withheld from evacuated zones: the record was not stored yet, or
the order not sent."""


class EvacuationReporter:
    """Logs and counts the reports of one pool's scheduler.

    Args:
        log: Log and counters of the pool's conductor.
    """

    def __init__(self, log: ConductorLog) -> None:
        self._log = log
        self.lacks_hosts = False

    def record(self, report: EvacuationReport) -> None:
        """Logs a report and counts it."""
        match report:
            case StartWithheld(host, name, number):
                self._log.metrics.count("starts_withheld", HELD)
                self._log.event(
                    "start-withheld", host=host, task=str(name), run=number, cause=HELD
                )
            case RunsMoved(zone, kind, tasks, waited_ms):
                cause = f"evacuation_{kind}"
                self._log.metrics.count("runs_moved", cause, len(tasks))
                self._log.event(
                    "runs-moved",
                    zone=zone,
                    cause=cause,
                    count=len(tasks),
                    tasks=[str(task) for task in tasks[:MAX_LOGGED_TASKS]],
                    age_ms=waited_ms,
                )
            case EvacuationProgress(zone, remaining, moving, age_ms):
                self._log.event(
                    "evacuation-progress",
                    zone=zone,
                    remaining=remaining,
                    moving=moving,
                    age_ms=age_ms,
                )
            case EvacuationHosts(has_hosts):
                self.lacks_hosts = not has_hosts
                self._log.event("evacuation-no-host", is_over=has_hosts)

    def count_unsent_start(self, hindrance: StartHindrance | None) -> None:
        """Counts a start whose order its host's link has not sent."""
        is_evacuated = hindrance in (None, StartHindrance.EVACUATED)
        kind = QUEUED if is_evacuated else str(hindrance)
        self._log.metrics.count("starts_withheld", kind)
