"""Logs the portions of the teams' weights, and the teams that are served worst."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.share_portions import SharePortionChanged
from ..domain.scheduling.team_service import WorstTeams

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from .event_log import EventLog

GAUGE_LIFETIME_MS = 60_000
"""Time for which a report counts for the gauge; it covers the jobs of as long."""


class ShareLog:
    """Logs the reports of one pool's scheduler, and keeps the newest for the gauge.

    Args:
        pool: The pool.
        term: Term of the conductor.
        log: Log of the entry.
    """

    def __init__(self, pool: PoolName, term: Term, log: EventLog) -> None:
        self._pool = pool
        self._term = term
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
                self._event(
                    "share-portion",
                    team=report.team,
                    rate=round(report.rate, 2),
                    portion=round(report.portion, 2),
                    weight=report.weight,
                    row_age_ms=report.row_age_ms,
                )
            case WorstTeams():
                self._newest = report.share, now_ms
                self._event(
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

    def _event(self, event: str, **fields: object) -> None:
        self._log.event(event, pool=self._pool, term=self._term, **fields)
