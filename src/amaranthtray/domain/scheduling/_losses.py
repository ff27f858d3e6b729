"""Drops runs that ended without a reported outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import LossCause, LostRun, RunsLost

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import HostId
    from ..jobs.model import TaskName
    from ..jobs.task import Run
    from ._state import SchedulerState


def drop_lost_runs(
    state: SchedulerState, lost: Iterable[tuple[TaskName, Run]], cause: LossCause
) -> list[RunsLost]:
    """Drops runs; returns a report for each incarnation of a host that had them."""
    reported: dict[tuple[HostId, int], list[LostRun]] = {}
    for name, run in lost:
        rows = reported.setdefault((run.host, run.host_born), [])
        rows.append(_lost_run(state, name, run))
        state.drop_run(name, run)
    return [
        RunsLost(host, born, cause, tuple(rows))
        for (host, born), rows in reported.items()
    ]


def drop_runs_of_unlisted_hosts(state: SchedulerState) -> list[RunsLost]:
    """Drops runs on hosts that had left the list before this conductor's term."""
    lost = [
        (name, run)
        for job in state.active.values()
        for name, run in job.runs()
        if run.host not in state.hosts
    ]
    return drop_lost_runs(state, lost, LossCause.HOST_UNLISTED)


def _lost_run(state: SchedulerState, name: TaskName, run: Run) -> LostRun:
    task = state.jobs[name.job].task(name)
    failures = task.failures if task is not None else 0
    return LostRun(name, run.number, run.phase.name.lower(), failures)
