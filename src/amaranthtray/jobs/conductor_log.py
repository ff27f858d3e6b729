"""Log lines and counters of one pool's conductor."""

from __future__ import annotations

from dataclasses import dataclass

from ..domain.ids import PoolName, Term
from .event_log import EventLog
from .metrics_registry import MetricsRegistry


@dataclass(frozen=True, slots=True)
class ConductorLog:
    """Writes log lines with the conductor's pool and term, and counts.

    Attributes:
        pool: The pool.
        term: Term of its conductor.
        log: Log of the entry.
        metrics: Counters of the entry.
    """

    pool: PoolName
    term: Term
    log: EventLog
    metrics: MetricsRegistry

    def event(self, event: str, **fields: object) -> None:
        """Writes a log line."""
        self.log.event(event, pool=self.pool, term=self.term, **fields)
