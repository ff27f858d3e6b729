"""Logs and counts for which gangs a conductor keeps hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.gang_hosts import HostsKept, HostsReleased

if TYPE_CHECKING:
    from ..domain.scheduling.gang_hosts import GangHostsReport
    from .conductor_log import ConductorLog

MAX_LOGGED_HOSTS = 40
"""Most hosts that one log line names."""


def record_gang_hosts(log: ConductorLog, report: GangHostsReport) -> None:
    """Logs and counts that hosts are kept for a gang, or no longer.

    Args:
        log: Log and counters of the pool's conductor.
        report: What the scheduler reported.
    """
    step = ".".join(map(str, report.step))
    match report:
        case HostsKept():
            log.metrics.count("gang_hosts_kept")
            log.event(
                "gang-hosts-kept",
                step=step,
                hosts=report.hosts[:MAX_LOGGED_HOSTS],
                count=len(report.hosts),
                limit_ms=report.limit_ms,
            )
        case HostsReleased():
            log.metrics.count("gang_hosts_released", report.reason)
            log.event(
                "gang-hosts-released",
                step=step,
                held_ms=report.held_ms,
                reason=report.reason,
            )
