"""Logs and counts the tasks that wait for the rack of their data."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.rack_waits import RackStarts, RackWait

if TYPE_CHECKING:
    from ..domain.scheduling.rack_waits import RackReport
    from .conductor_log import ConductorLog


def record_rack_report(log: ConductorLog, report: RackReport) -> None:
    """Logs a wait for a rack, or counts tasks that were placed.

    Args:
        log: Log and counters of the pool's conductor.
        report: What the scheduler reported.
    """
    match report:
        case RackWait():
            log.event("rack-wait", **report._asdict())
        case RackStarts(near, far, remote):
            if near:
                log.metrics.count("rack_waits", "near", near)
            if far:
                log.metrics.count("rack_waits", "remote", far)
            if remote:
                log.metrics.count("tasks_remote", by=remote)
