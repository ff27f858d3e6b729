"""Logs and counts the reservations of hosts that a conductor makes and ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.reservations import ReservationDropped, Reserved

if TYPE_CHECKING:
    from ..domain.scheduling.reservations import ReservationReport
    from .conductor_log import ConductorLog

MAX_LOGGED_HOSTS = 40
"""Most hosts that one log line names."""


def record_reservation(log: ConductorLog, report: ReservationReport) -> None:
    """Logs and counts a reservation that was made or ended.

    Args:
        log: Log and counters of the pool's conductor.
        report: What the scheduler reported.
    """
    common: dict[str, object] = {
        "step": ".".join(map(str, report.step)),
        "hosts": report.hosts[:MAX_LOGGED_HOSTS],
        "count": len(report.hosts),
        "reason": report.reason,
    }
    match report:
        case Reserved():
            log.metrics.count("reservations", report.reason)
            log.event(
                "reservation", start_ms=report.start_ms, in_ms=report.in_ms, **common
            )
        case ReservationDropped():
            log.metrics.count("reservations_ended", report.reason)
            if report.reason in ("started", "elsewhere"):
                log.metrics.record_latency(
                    "large_task_wait", report.reason, report.waited_ms
                )
            log.event(
                "reservation-dropped",
                held_ms=report.held_ms,
                waited_ms=report.waited_ms,
                **common,
            )
