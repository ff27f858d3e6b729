"""Logs and counts the tasks that wait for the rack of their data."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.rack_waits import RackStarts, RackWait

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from ..domain.scheduling.rack_waits import RackReport
    from .context import JobEntryContext


def record_rack_report(
    context: JobEntryContext, pool: PoolName, term: Term, report: RackReport
) -> None:
    """Logs a wait for a rack, or counts tasks that were placed.

    Args:
        context: Objects that all tasks of the entry share.
        pool: Pool of the rack's hosts.
        term: Term of the pool's conductor.
        report: What the scheduler reported.
    """
    match report:
        case RackWait():
            fields = report._asdict()
            context.log.event("rack-wait", pool=pool, term=term, **fields)
        case RackStarts(near, far, remote):
            if near:
                context.metrics.count("rack_waits", "near", near)
            if far:
                context.metrics.count("rack_waits", "remote", far)
            if remote:
                context.metrics.count("tasks_remote", by=remote)
