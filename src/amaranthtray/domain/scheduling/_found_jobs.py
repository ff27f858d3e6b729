"""Applies jobs and cancellations that are read from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import MsgspecError

from ..jobs.record import restore
from ..jobs.task import RunPhase
from ._absence import stop_report
from ._sharing import meter_new_job
from .absence import StopReason
from .messages import RecordUnreadable
from .orders import StopRun

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ._state import SchedulerState
    from .messages import Effect, JobCancelled, JobFound


def apply_found_job(state: SchedulerState, found: JobFound) -> list[Effect]:
    """Adds a job that is new here, and applies its cancellation."""
    spec = found.spec
    is_early = state.early_cancellations.pop(spec.id, None) is not None
    if spec.id not in state.jobs:
        try:
            job = restore(spec, found.record, state.limits)
        except MsgspecError as exc:
            return [RecordUnreadable(spec.id, str(exc))]
        state.add_job(job)
        if found.record is None:
            meter_new_job(state, job)
    is_cancelled = found.is_cancelled or is_early
    return _cancel(state, state.jobs[spec.id]) if is_cancelled else []


def apply_cancellation(state: SchedulerState, message: JobCancelled) -> list[Effect]:
    """Cancels a job, or keeps the cancellation of one that isn't stored."""
    job = state.jobs.get(message.job)
    if job is not None:
        return _cancel(state, job)
    if message.early_ms is not None:
        state.early_cancellations[message.job] = message.early_ms
    return []


def stop_obsolete_runs(state: SchedulerState, job: Job) -> list[Effect]:
    """Stops runs of finished tasks, jobs and broken gangs; drops unordered ones."""
    effects: list[Effect] = []
    for name, run in list(job.runs()):
        if not job.is_over(name) and not job.is_gang_broken(name):
            continue
        if run.phase is RunPhase.RESERVED:
            state.drop_run(name, run)
        elif run.phase is not RunPhase.STOPPING:
            run.phase, run.confirmed_ms = RunPhase.STOPPING, None
            stop = StopRun(run.host, name, run.number)
            report = stop_report(state, stop, StopReason.GANG_BROKEN)
            effects += [stop, *report]
    return effects


def _cancel(state: SchedulerState, job: Job) -> list[Effect]:
    if not job.cancel():
        return []
    state.mark_dirty(job)
    return stop_obsolete_runs(state, job)
