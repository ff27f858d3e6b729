"""Drops runs that ended without a reported outcome, and counts crashes of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from ..jobs.task import HostCrash, RunPhase
from ._absence import WORKING_PERCENT
from ._late_starts import split_late_starts
from .crash_register import HostIncarnation
from .losses import (
    CrashWithdrawn,
    LateStartAwaited,
    LossCause,
    LostRun,
    RunsLost,
    TaskGivenUp,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs.model import TaskName
    from ..jobs.task import Run
    from ._state import SchedulerState
    from .host import Host, PlacedRun
    from .messages import HostRunsEnded

LossReport: TypeAlias = RunsLost | TaskGivenUp | LateStartAwaited

SURVIVAL_MS = 2_000
"""Time at work after which a lasting task did not crash its host."""

CERTAIN_CRASHES = (LossCause.ADDRESS_REUSED, LossCause.HOST_RESTARTED)
"""Causes that show that the incarnation of the host has ended."""


def drop_lost_runs(
    state: SchedulerState, lost: Iterable[tuple[TaskName, Run]], cause: LossCause
) -> list[LossReport]:
    """Drops runs; returns a report for each incarnation of a host that had them."""
    by_incarnation: dict[HostIncarnation, list[tuple[TaskName, Run]]] = {}
    for name, run in lost:
        incarnation = HostIncarnation(run.host, run.host_born)
        by_incarnation.setdefault(incarnation, []).append((name, run))
    reports: list[LossReport] = []
    for incarnation, runs in by_incarnation.items():
        host = state.hosts.get(incarnation.host)
        is_crash = _is_crash(host, cause)
        given_up = _count_crash(state, host, runs, cause) if is_crash else []
        rows = tuple(_lost_run(state, name, run) for name, run in runs)
        reports += [RunsLost(*incarnation, cause, is_crash, rows), *given_up]
        for name, run in runs:
            state.drop_run(name, run)
    return reports


def drop_ended_runs(state: SchedulerState, ended: HostRunsEnded) -> list[LossReport]:
    """Drops the runs on a host, or those of one of its incarnations.

    Runs that a later incarnation may still start stay.
    """
    host = state.hosts.get(ended.host)
    if host is None:
        return []
    placed, awaited = host.placed_runs(), list[LateStartAwaited]()
    if ended.cause is LossCause.LEASE_EXPIRED:
        placed, awaited = split_late_starts(state, host, ended)
    runs = [
        (each.name, each.run)
        for each in placed
        if ended.born in (None, each.run.host_born)
    ]
    lost = drop_lost_runs(state, runs, ended.cause)
    if ended.born in (None, host.born):
        host.born = None
    return [*lost, *awaited]


def drop_runs_of_unlisted_hosts(state: SchedulerState) -> list[LossReport]:
    """Drops runs on hosts that had left the list before this conductor's term."""
    lost = [
        (name, run)
        for job in state.active.values()
        for name, run in job.runs()
        if run.host not in state.hosts
    ]
    return drop_lost_runs(state, lost, LossCause.HOST_UNLISTED)


def withdraw_crash(
    state: SchedulerState, incarnation: HostIncarnation
) -> list[CrashWithdrawn]:
    """Clears the tasks of a host that was cut off and is in the same incarnation."""
    cleared = []
    for name in sorted(state.crashes.take_tasks(incarnation)):
        job = state.jobs.get(name.job)
        if job is not None and job.withdraw_crash(name, *incarnation):
            state.mark_dirty(job)
            cleared.append(name)
    return [CrashWithdrawn(*incarnation, tuple(cleared))] if cleared else []


def record_survival(state: SchedulerState, placed: PlacedRun) -> None:
    """Clears a lasting task once it has been at work on its host for long enough."""
    name, step, run = placed
    if not step.is_lasting or run.has_survived or run.confirmed_ms is None:
        return
    if run.percent < WORKING_PERCENT or run.phase is not RunPhase.RUNNING:
        return
    if state.now_ms - run.confirmed_ms < SURVIVAL_MS:
        return
    run.has_survived = True
    task, host = state.jobs[name.job].task(name), state.hosts.get(run.host)
    if task is None or host is None or not task.crashes:
        return
    state.crashes.remove_task(name, task)
    task.crashes.clear()
    host.clear_suspicion(run)
    state.mark_dirty(state.jobs[name.job])


def _is_crash(host: Host | None, cause: LossCause) -> bool:
    """Returns whether a loss counts as a crash rather than as a departure."""
    if cause is LossCause.NOT_REPORTED:
        return False
    return host is None or not (
        host.info.is_draining or host.vacate_since_ms is not None
    )


def _count_crash(
    state: SchedulerState,
    host: Host | None,
    runs: list[tuple[TaskName, Run]],
    cause: LossCause,
) -> list[LossReport]:
    """Counts a crash for each task that may have been running on the host."""
    begun = [each for each in runs if each[1].phase is not RunPhase.RESERVED]
    was_alone = (
        host is not None
        and cause in CERTAIN_CRASHES
        and len({name.job for name, _ in begun}) == 1
        and not host.has_unknown_runs
        # The host of an earlier conductor's run may have crashed after the run's end.
        and all(run.started_ms is not None for _, run in begun)
    )
    machine = host.info.machine if host is not None else ""
    given_up: list[LossReport] = []
    for name, run in begun:
        job = state.jobs[name.job]
        task = job.task(name)
        if task is None or run.has_survived:
            continue
        crash = HostCrash(run.host, run.host_born, machine)
        if job.record_crash(name, crash, was_alone=was_alone):
            given_up.append(TaskGivenUp(name, tuple(task.crashes), was_alone))
        state.crashes.add_task(name, task)
    return given_up


def _lost_run(state: SchedulerState, name: TaskName, run: Run) -> LostRun:
    task = state.jobs[name.job].task(name)
    failures = task.failures if task is not None else 0
    crashes = len(task.crashes) if task is not None else 0
    return LostRun(name, run.number, run.phase.name.lower(), failures, crashes)
