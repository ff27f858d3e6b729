"""Logs and counts the reservations of hosts that a conductor makes and ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.reservations import ReservationDropped, Reserved

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from ..domain.scheduling.reservations import ReservationReport
    from .context import JobEntryContext

MAX_LOGGED_HOSTS = 40
"""Most hosts that one log line names."""


def record_reservation(
    context: JobEntryContext, pool: PoolName, term: Term, report: ReservationReport
) -> None:
    """Logs and counts a reservation that was made or ended.

    Args:
        context: Objects that all tasks of the entry share.
        pool: Pool of the hosts.
        term: Term of the pool's conductor.
        report: What the scheduler reported.
    """
    common: dict[str, object] = {
        "pool": pool,
        "step": ".".join(map(str, report.step)),
        "hosts": report.hosts[:MAX_LOGGED_HOSTS],
        "count": len(report.hosts),
        "reason": report.reason,
        "term": term,
    }
    match report:
        case Reserved():
            context.metrics.count("reservations", report.reason)
            context.log.event(
                "reservation", start_ms=report.start_ms, in_ms=report.in_ms, **common
            )
        case ReservationDropped():
            context.metrics.count("reservations_ended", report.reason)
            if report.reason in ("started", "elsewhere"):
                context.metrics.record_latency(
                    "large_task_wait", report.reason, report.waited_ms
                )
            context.log.event(
                "reservation-dropped",
                held_ms=report.held_ms,
                waited_ms=report.waited_ms,
                **common,
            )
