"""Tasks that wait for a host."""

from __future__ import annotations

import math
from operator import attrgetter
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from ..jobs.model import StepKey, StepSpec
from ..jobs.task import RunPhase

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ..jobs.task import Task
    from ._state import SchedulerState

WaitingStep: TypeAlias = tuple[StepKey, StepSpec, list[int]]
"""A step with the indices of its tasks that wait."""


_allows_copies = attrgetter("allows_copies")


class Waiting(NamedTuple):
    """The tasks of a job that may start now.

    Attributes:
        steps: Open steps with such tasks.
        until_ms: Steady-clock time until which only an event of the job changes them.
        is_settled: Whether no task needs a start until an event changes the job.
    """

    steps: list[WaitingStep]
    until_ms: float
    is_settled: bool


def waiting_steps(state: SchedulerState, job: Job) -> Waiting:
    """Returns open steps with the indices of their tasks that may start now.

    Occurrences become due by the wall clock, and a task may need a copy because of an
    event of a host, so that jobs with either may change at any time.
    """
    spec, now_ms = job.spec, state.now_ms
    steps: list[WaitingStep] = []
    until_ms, is_settled = math.inf, True
    if spec.recurrence or any(map(_allows_copies, spec.steps)):
        until_ms, is_settled = -math.inf, False
    startable = job.count_startable()
    for occurrence, number in job.open_steps(state.wall_ms):
        step = spec.steps[number]
        tasks = job.tasks(occurrence, number)
        waiting: list[int] = []
        for index, task in enumerate(tasks):
            is_waiting = task.is_waiting
            is_settled = is_settled and not is_waiting
            if task.not_before_ms > now_ms:
                until_ms = min(until_ms, task.not_before_ms)
            elif is_waiting or (step.allows_copies and _wants_copy(state, task)):
                waiting.append(index)
        if step.is_gang and len(waiting) < len(tasks):
            continue
        waiting, startable = _within_record(step, tasks, waiting, startable)
        if waiting:
            steps.append((StepKey(spec.id, occurrence, number), step, waiting))
    return Waiting(steps, until_ms, is_settled)


def _within_record(
    step: StepSpec, tasks: list[Task], waiting: list[int], startable: int
) -> tuple[list[int], int]:
    """Returns the tasks that the job's record has room for, and how many more it has.

    A gang that doesn't fit keeps later steps from taking the room that it needs.
    """
    fresh = sum([not tasks[index].last_run for index in waiting])
    if fresh <= startable:
        return waiting, startable - fresh
    if step.is_gang:
        return [], 0
    kept: list[int] = []
    for index in waiting:
        if tasks[index].last_run:
            kept.append(index)
        elif startable:
            kept.append(index)
            startable -= 1
    return kept, 0


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
