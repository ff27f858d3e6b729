"""The job aggregate: startable tasks, outcomes of their runs, and the job's state."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from operator import attrgetter
from typing import TYPE_CHECKING

from .estimate import Estimate, estimate_job
from .model import NO_RESOURCES, JobSpec, Resources, StepSpec, TaskName
from .record_limits import DEFAULT_LIMITS, RecordLimits
from .task import HostCrash, Run, RunOutcome, RunPhase, Task

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import HostId


CRASHED_MACHINES_LIMIT = 3
"""Distinct machines that crash under a task before it is given up, if the last one ran
nothing else; one unreliable machine must not fail the tasks that it gets."""

CRASH_LIMIT = 5
"""Crashes before a task is given up that has never run alone."""


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Returns whether the state can't change any more."""
        return self not in OPEN_STATES


_is_done, _last_run = attrgetter("is_done"), attrgetter("last_run")

OPEN_STATES = (JobState.QUEUED, JobState.RUNNING)
"""The states that can change."""


@dataclass(slots=True)
class Job:
    """A job and its progress.

    Attributes:
        spec: Specification of the job.
        state: State that callers see.
        past: Completed occurrences.
        ended_ms: Wall-clock time at which a final state was reached; 0 before.
        has_started: Whether a host has certainly started one of its tasks.
        needs_ticket: Whether a host asked for a ticket after the queue was removed.
        limits: What its record can hold.
        estimate: Estimated duration and work of one occurrence.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    past: set[int] = field(default_factory=set)
    ended_ms: int = 0
    has_started: bool = False
    needs_ticket: bool = False
    limits: RecordLimits = DEFAULT_LIMITS
    estimate: Estimate = field(init=False)
    _tasks: dict[tuple[int, int], list[Task]] = field(default_factory=dict)
    _first_open: int = 0
    _max_open: int = field(init=False)

    def __post_init__(self) -> None:
        self.estimate = estimate_job(self.spec.steps)
        # Jobs that former versions accepted may have no valid limit.
        self._max_open = max(self.limits.max_occurrences(self.spec), 1)

    @property
    def occurrences(self) -> int:
        """Returns how many times the steps run."""
        return self.spec.recurrence.count if self.spec.recurrence else 1

    @property
    def first_open(self) -> int:
        """Returns the first occurrence that is not past."""
        while self._first_open in self.past:
            self._first_open += 1
        return self._first_open

    def count_startable(self) -> int:
        """Returns how many tasks that have never been started may be started now.

        More of them would outgrow the job's record. Tasks that have been started have
        their row in it until they are done.
        """
        count = sum(step.count for step in self.spec.steps)
        if count * min(self._max_open, self.occurrences) <= self.limits.max_begun:
            return self.limits.max_begun
        begun = sum(
            [
                1
                for tasks in self._tasks.values()
                for task in tasks
                if task.last_run and (task.runs or not task.is_done)
            ]
        )
        return max(self.limits.max_begun - begun, 0)

    def due_ms(self, occurrence: int) -> int:
        """Returns the wall-clock time at which an occurrence may start."""
        recurrence = self.spec.recurrence
        if recurrence is None:
            return 0
        return recurrence.first_due_ms + occurrence * recurrence.interval_ms

    def tasks(self, occurrence: int, step: int) -> list[Task]:
        """Returns the tasks of a step; the first call creates them."""
        found = self._tasks.get((occurrence, step))
        if found is None:
            count = self.spec.steps[step].count
            found = self._tasks[occurrence, step] = [Task() for _ in range(count)]
        return found

    def task(self, name: TaskName) -> Task | None:
        """Returns the task with the given name, if it exists and is not past."""
        is_known = (
            name.occurrence < self.occurrences
            and name.step < len(self.spec.steps)
            and name.number < self.spec.steps[name.step].count
            and name.occurrence not in self.past
        )
        return self.tasks(name.occurrence, name.step)[name.number] if is_known else None

    def created_tasks(self) -> Iterator[tuple[TaskName, StepSpec, Task]]:
        """Yields the tasks of all steps whose tasks have been created."""
        for (occurrence, step), tasks in self._tasks.items():
            spec = self.spec.steps[step]
            for number, task in enumerate(tasks):
                yield TaskName(self.spec.id, occurrence, step, number), spec, task

    def runs(self) -> Iterator[tuple[TaskName, Run]]:
        """Yields the runs that may be on a host."""
        for name, _, task in self.created_tasks():
            for run in task.runs:
                yield name, run

    def step_runs(self) -> Iterator[tuple[int, Run]]:
        """Yields the runs that may be on a host, with the index of their step."""
        for (_, step), tasks in self._tasks.items():
            for task in tasks:
                for run in task.runs:
                    yield step, run

    def running_need(self) -> Resources:
        """Returns the resources that the runs which may be on a host reserve."""
        need = NO_RESOURCES
        for (_, step), tasks in self._tasks.items():
            count = sum([len(task.runs) for task in tasks])
            if count:
                need = need.plus(self.spec.steps[step].reserved.times(count))
        return need

    def open_steps(self, wall_ms: int) -> Iterator[tuple[int, int]]:
        """Yields occurrence and index of each step whose tasks may run now."""
        if self.state.is_final:
            return
        left = self._max_open
        for occurrence in range(self.first_open, self.occurrences):
            if occurrence in self.past:
                continue
            if self.due_ms(occurrence) > wall_ms or not left:
                return
            left -= 1
            for step, spec in enumerate(self.spec.steps):
                if all(self.is_step_done(occurrence, before) for before in spec.after):
                    yield occurrence, step

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Returns whether all tasks of a step are done."""
        if occurrence in self.past:
            return True
        tasks = self._tasks.get((occurrence, step))
        return tasks is not None and all(map(_is_done, tasks))

    def has_begun(self, occurrence: int) -> bool:
        """Returns whether a task of an occurrence has been started."""
        for (each, _), tasks in self._tasks.items():
            if each == occurrence and any(map(_last_run, tasks)):
                return True
        return False

    def is_over(self, name: TaskName) -> bool:
        """Returns whether a task needs no further run."""
        task = self.task(name)
        return self.state.is_final or (task is not None and task.is_done)

    @property
    def is_pending(self) -> bool:
        """Returns whether callers see the job as waiting: no task has started.

        A run that was placed or ordered may still be refused. Runs of an earlier
        conductor count as started until their hosts report.
        """
        if self.has_started or self.state.is_final:
            return False
        return not any(run.phase is RunPhase.UNCONFIRMED for _, run in self.runs())

    def is_gang_broken(self, name: TaskName) -> bool:
        """Returns whether a task's gang lacks a member, so that no member can work."""
        if not self.spec.steps[name.step].is_gang:
            return False
        tasks = self.tasks(name.occurrence, name.step)
        return any(task.is_waiting for task in tasks)

    def reserve_run(self, name: TaskName, number: int, host: HostId, born: int) -> Run:
        """Adds a run that is about to be ordered."""
        task = self.tasks(name.occurrence, name.step)[name.number]
        task.last_run = number
        run = Run(number, host, born, RunPhase.RESERVED)
        run.prior_crashes = self.crash_count(name)
        task.runs.append(run)
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
        return run

    def end_run(
        self, name: TaskName, run: Run, outcome: RunOutcome, checkpoint: str
    ) -> None:
        """Applies the outcome of a run."""
        task = self.task(name)
        if task is None:
            return
        task.runs.remove(run)
        self.has_started = True
        step = self.spec.steps[name.step]
        if checkpoint:
            self._set_checkpoint(name, checkpoint)
        if outcome is RunOutcome.DONE and not step.is_lasting:
            self._mark_done(name, step)
        elif outcome is RunOutcome.FAILED and not step.is_lasting:
            self._count_failure(name, run.number, is_first_end=not step.is_gang)
        if not self.state.is_final:
            self._close_occurrence(name.occurrence)

    def apply_late_end(self, name: TaskName, number: int, outcome: RunOutcome) -> bool:
        """Applies the end of a run that was dropped; returns whether it matters.

        An end may be reported repeatedly, and after the end of a later run: a failure
        counts once for each run.
        """
        task = self.task(name)
        if task is None or task.is_done or self.state.is_final:
            return False
        self.has_started = True
        step = self.spec.steps[name.step]
        if step.is_lasting:
            return False
        if outcome is RunOutcome.DONE:
            self._mark_done(name, step)
        elif outcome is not RunOutcome.FAILED or not self._count_failure(name, number):
            return False
        if not self.state.is_final:
            self._close_occurrence(name.occurrence)
        return True

    def crash_count(self, name: TaskName) -> int:
        """Returns how many hosts crashed under a task, or under a member of its gang.

        Members that shared a host can't be told apart, so the highest number counts.
        """
        tasks = self.tasks(name.occurrence, name.step)
        if self.spec.steps[name.step].is_gang:
            return max(len(task.crashes) for task in tasks)
        return len(tasks[name.number].crashes)

    def record_crash(
        self, name: TaskName, crash: HostCrash, *, was_alone: bool
    ) -> bool:
        """Records a crash of a task's host; returns whether the task is given up now.

        A finite job fails with its task. Of a lasting job the other tasks go on.

        Args:
            name: The task.
            crash: The host that crashed.
            was_alone: Whether the host had certainly no run of another job.
        """
        task = self.task(name)
        if task is None or task.is_given_up or crash in task.crashes:
            return False
        task.crashes.append(crash)
        machines = len(task.crashed_machines)
        is_certain = was_alone and machines >= CRASHED_MACHINES_LIMIT
        if not is_certain and len(task.crashes) < CRASH_LIMIT:
            return False
        task.is_given_up = True
        if not self.spec.steps[name.step].is_lasting and not self.state.is_final:
            self.state = JobState.FAILED
        return True

    def withdraw_crash(self, name: TaskName, host: HostId, born: int) -> bool:
        """Removes a crash that the task did not cause; returns whether it had it.

        A task that was given up stays so.
        """
        task = self.task(name)
        if task is None or task.is_given_up:
            return False
        kept = [each for each in task.crashes if each[:2] != (host, born)]
        is_changed = len(kept) < len(task.crashes)
        task.crashes, task.isolation_wanted_ms = kept, None
        return is_changed

    def drop_run(self, name: TaskName, run: Run) -> None:
        """Removes a run that is not on its host and whose outcome is unknown."""
        task = self.task(name)
        if task is not None:
            task.runs.remove(run)
            if run.checkpoint:
                self._set_checkpoint(name, run.checkpoint)
            if not self.state.is_final:
                self._close_occurrence(name.occurrence)

    def fail(self) -> bool:
        """Fails the job as a whole; returns whether that changed its state."""
        if self.state.is_final:
            return False
        self.state = JobState.FAILED
        return True

    def cancel(self) -> bool:
        """Cancels the job; returns whether that changed its state."""
        if self.state.is_final:
            return False
        self.state = JobState.CANCELLED
        return True

    def _mark_done(self, name: TaskName, step: StepSpec) -> None:
        """Marks a task as done, or all tasks of its gang."""
        tasks = self.tasks(name.occurrence, name.step)
        for task in tasks if step.is_gang else [tasks[name.number]]:
            task.is_done = True
            task.checkpoint = ""

    def _set_checkpoint(self, name: TaskName, checkpoint: str) -> None:
        """Sets the checkpoint of a task, or of all tasks of its gang."""
        step = self.spec.steps[name.step]
        tasks = self.tasks(name.occurrence, name.step)
        for task in tasks if step.is_gang else [tasks[name.number]]:
            task.checkpoint = checkpoint

    def _count_failure(
        self, name: TaskName, number: int, *, is_first_end: bool = False
    ) -> bool:
        """Counts a failed run, once for all of a gang; returns whether it did."""
        is_gang = self.spec.steps[name.step].is_gang
        tasks = self.tasks(name.occurrence, name.step)
        task = tasks[0] if is_gang else tasks[name.number]
        if not task.count_failure(number, is_first_end=is_first_end):
            return False
        if task.failures >= self.spec.max_attempts and not task.is_done:
            self.state = JobState.FAILED
        return True

    def _close_occurrence(self, occurrence: int) -> None:
        """Completes an occurrence without open steps or runs, then perhaps the job."""
        steps = range(len(self.spec.steps))
        if not all(self.is_step_done(occurrence, step) for step in steps):
            return
        if any(run for name, run in self.runs() if name.occurrence == occurrence):
            return
        self.past.add(occurrence)
        for step in steps:
            self._tasks.pop((occurrence, step), None)
        if len(self.past) == self.occurrences:
            self.state = JobState.COMPLETED
