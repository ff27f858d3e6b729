"""Starts without a reply, which a later incarnation of their host may carry out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .lease import SLOWEST_CLOCK_RATE
from .losses import LateStartAwaited

if TYPE_CHECKING:
    from ..jobs.task import Run
    from ._state import SchedulerState
    from .host import Host, PlacedRun
    from .messages import HostRunsEnded

LATEST_START_MS = 12_000
"""Longest time from the sending of a start to its late execution by a host."""


def record_unanswered(run: Run, replied_ms: int) -> None:
    """Records that a try to start a run had no reply until now."""
    run.unanswered_ms = replied_ms


def split_late_starts(
    state: SchedulerState, host: Host, ended: HostRunsEnded
) -> tuple[list[PlacedRun], list[LateStartAwaited]]:
    """Separates the runs that have certainly ended from those that may still start.

    The lease of a silent host bounds the runs of the incarnation that has answered. A
    start without a reply may reach a later incarnation, which knows no fencing token
    and grants its longest lease, as the end of the lease is on the former clock.

    Returns:
        The runs that have ended, and a report of each other one the first time.
    """
    longest_ms = math.ceil(ended.max_lease_ms / SLOWEST_CLOCK_RATE)
    over: list[PlacedRun] = []
    reports: list[LateStartAwaited] = []
    for each in host.placed_runs():
        sent_ms = each.run.unanswered_ms
        until_ms = (sent_ms or 0) + LATEST_START_MS + longest_ms
        is_awaited = sent_ms is not None and _may_have_successor(host, each.run)
        if not is_awaited or state.now_ms >= until_ms:
            over.append(each)
        elif not each.run.is_awaited:
            each.run.is_awaited = True
            reports.append(_report(state, host, each, until_ms))
    return over, reports


def _may_have_successor(host: Host, run: Run) -> bool:
    """Returns whether a later incarnation than that of a run may be up.

    A host that is cut off from here may still write to the list of hosts. The last
    entry counts, also when it has expired: the incarnation that wrote it may run on.
    """
    if host.info.born:
        return host.info.born != run.host_born
    return host.is_listed


def _report(
    state: SchedulerState, host: Host, placed: PlacedRun, until_ms: int
) -> LateStartAwaited:
    run = placed.run
    return LateStartAwaited(
        run.host,
        host.info.born,
        placed.name,
        run.number,
        run.host_born,
        until_ms - state.now_ms,
    )
