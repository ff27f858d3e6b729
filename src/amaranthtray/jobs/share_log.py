"""Logs the portions of the teams' weights, and the teams that are served worst."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.share_portions import SharePortionChanged
from ..domain.scheduling.team_service import WorstTeams

if TYPE_CHECKING:
    from .conductor_log import ConductorLog

GAUGE_LIFETIME_MS = 60_000
"""Time for which a report counts for the gauge; it covers the jobs of as long."""


class ShareLog:
    """Logs the reports of one pool's scheduler, and keeps the newest for the gauge.

    Args:
        log: Log and counters of the pool's conductor.
    """

    def __init__(self, log: ConductorLog) -> None:
        self._log = log
        self._newest: tuple[float, int] | None = None

    def record(self, report: SharePortionChanged | WorstTeams, now_ms: int) -> None:
        """Logs a report.

        Args:
            report: The report.
            now_ms: Steady-clock time.
        """
        match report:
            case SharePortionChanged():
                self._log.event(
                    "share-portion",
                    team=report.team,
                    rate=round(report.rate, 2),
                    portion=round(report.portion, 2),
                    weight=report.weight,
                    row_age_ms=report.row_age_ms,
                )
            case WorstTeams():
                self._newest = report.share, now_ms
                self._log.event(
                    "worst-teams",
                    teams=[each._asdict() for each in report.teams],
                    compared=report.compared,
                    share=round(report.share, 3),
                )

    def worst_share(self, now_ms: int) -> float | None:
        """Returns the newest share of jobs in time; None if there is none lately."""
        if self._newest is None or now_ms - self._newest[1] > GAUGE_LIFETIME_MS:
            return None
        return self._newest[0]
