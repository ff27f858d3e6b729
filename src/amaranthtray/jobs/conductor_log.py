"""Log lines and counters of one pool's conductor."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.ids import PoolName, Term
from .event_log import EventLog
from .metrics_registry import MetricsRegistry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..domain.jobs.model import JobId


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

    def count_unstored(
        self, oversized: Iterable[tuple[JobId, int]], set_apart: Iterable[JobId]
    ) -> None:
        """Logs and counts jobs whose record is too large, or that the store rejects."""
        for job, size in oversized:
            self.metrics.count("records_not_storable", "too_large")
            self.event("record-too-large", job=job, bytes=size)
        for _ in set_apart:
            self.metrics.count("records_not_storable", "rejected")
