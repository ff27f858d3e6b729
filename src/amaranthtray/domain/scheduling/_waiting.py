"""Tasks that wait for a host."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from ..jobs.model import StepKey, StepSpec
from ..jobs.task import RunPhase

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..jobs.job import Job
    from ..jobs.task import Task
    from ._state import SchedulerState

WaitingStep: TypeAlias = tuple[StepKey, StepSpec, list[int]]
"""A step with the indices of its tasks that wait."""


def waiting_steps(state: SchedulerState, job: Job) -> Iterator[WaitingStep]:
    """Yields open steps with the indices of their tasks that may start now."""
    for occurrence, number in job.open_steps(state.wall_ms):
        step = job.spec.steps[number]
        tasks = job.tasks(occurrence, number)
        waiting = [
            index
            for index, task in enumerate(tasks)
            if task.not_before_ms <= state.now_ms
            and (task.is_waiting or (step.allows_copies and _wants_copy(state, task)))
        ]
        if not waiting or (step.is_gang and len(waiting) < len(tasks)):
            continue
        yield StepKey(job.spec.id, occurrence, number), step, waiting


def is_settled(state: SchedulerState, job: Job) -> bool:
    """Returns whether a job has no task to start until one of its runs ends."""
    if job.spec.recurrence or any(step.allows_copies for step in job.spec.steps):
        return False
    return not any(
        task.is_waiting
        for occurrence, number in job.open_steps(state.wall_ms)
        for task in job.tasks(occurrence, number)
    )


def _wants_copy(state: SchedulerState, task: Task) -> bool:
    """Returns whether a task needs a copy, as its only run is silent or ends late.

    A task that may have silenced its host gets no copy, which could crash another one.
    """
    if task.is_done or task.is_given_up or task.crashes or len(task.runs) != 1:
        return False
    run = task.runs[0]
    host = state.hosts.get(run.host)
    is_late = run.is_moved and run.phase is RunPhase.RUNNING
    return host is None or host.is_silent or is_late
