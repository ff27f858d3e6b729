"""Serialization of jobs: the immutable specification and the progress record.

A record has a row for each task that was started. Where that is too large for a value
of the store, it has rows of the tasks that are not done, and marks of the others.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from ..ids import HostId
from .job import Job, JobState
from .model import JobSpec, TaskName
from .record_limits import DEFAULT_LIMITS, RecordLimits
from .task import HostCrash, Run, RunPhase, Task

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_ROW_BYTES, MIN_PAST_BYTES = 36, 2
"""Minimum size of a task's row and of a past occurrence."""


class RunRecord(msgspec.Struct, array_like=True):
    """Stored form of a run that may be on a host."""

    number: int
    host: str
    host_born: int


class CrashRecord(msgspec.Struct, array_like=True):
    """Stored form of a host that crashed under a task."""

    host: str
    born: int
    machine: str = ""


class TaskRecord(msgspec.Struct, array_like=True):
    """Stored form of a task that has been started at least once."""

    occurrence: int
    step: int
    number: int
    last_run: int
    failures: int
    failed_run: int
    is_done: bool
    checkpoint: str
    runs: list[RunRecord]
    crashes: list[CrashRecord] = []
    is_given_up: bool = False
    stalls: int = 0


class FailuresRecord(msgspec.Struct, array_like=True):
    """Stored form of the counted failures of a task that has several."""

    occurrence: int
    step: int
    number: int
    runs: list[int]


class DoneRecord(msgspec.Struct, array_like=True):
    """Stored form of the tasks of a step that are done: a bit for each task."""

    occurrence: int
    step: int
    bits: bytes


class PackedTasks(msgspec.Struct):
    """Stored form of the tasks of a job that has too many for a row each.

    Versions that don't know it find the whole record unreadable, so that they don't
    start the tasks that are done.

    Attributes:
        rows: Tasks that were started and are not done, or have a run.
        done: Tasks that are done and have no run.
        past: Ranges of completed occurrences, both ends included.
    """

    rows: list[TaskRecord] = []
    done: list[DoneRecord] = []
    past: list[tuple[int, int]] = []


class JobRecord(msgspec.Struct):
    """Stored form of the progress of a job.

    Attributes:
        state: State that callers see.
        ended_ms: Wall-clock time of its end; 0 before.
        past: Completed occurrences, unless the tasks are packed.
        tasks: The tasks that were started.
        has_started: Whether a host has certainly started one; absent in records of
            earlier versions.
        failed_runs: Numbers of the failed runs of tasks with several, as a row has the
            last one only; absent in records of earlier versions, and if there are none.
    """

    state: JobState
    ended_ms: int = 0
    past: list[int] = []
    tasks: list[TaskRecord] | PackedTasks = []
    has_started: bool | None = None
    failed_runs: list[FailuresRecord] | msgspec.UnsetType = msgspec.UNSET


def encode_spec(spec: JobSpec) -> bytes:
    """Returns the stored form of a specification."""
    return msgspec.json.encode(spec)


def decode_spec(data: bytes) -> JobSpec:
    """Returns the specification stored as ``data``.

    Raises:
        msgspec.ValidationError: ``data`` is not a specification.
    """
    return msgspec.json.decode(data, type=JobSpec)


def is_same_job(data: bytes, spec: JobSpec) -> bool:
    """Returns whether a stored specification has the content of a submitted job.

    One that can't be decoded counts as the same, as it may be.
    """
    try:
        stored = decode_spec(data)
    except msgspec.MsgspecError:
        return True
    return (stored.payload, stored.steps, stored.recurrence) == (
        spec.payload,
        spec.steps,
        spec.recurrence,
    )


def spec_problem(spec: JobSpec, limits: RecordLimits) -> str | None:
    """Returns why a job can't be stored or carried out; None if it can."""
    size = len(encode_spec(spec))
    if size > limits.value_bytes:
        return f"the job has {size} bytes as stored; at most {limits.value_bytes} fit"
    return limits.problem(spec)


def encode_job(job: Job) -> bytes:
    """Returns the stored form of a job's progress.

    It is longer than a value of the store may be only if the job exceeds its limits.
    Of a job that is close to them, checkpoints, the hosts that crashed and the numbers
    of failed runs are left out: its tasks then begin anew under another conductor, and
    the numbers of crashes and failures count.
    """
    limit = job.limits.value_bytes
    begun = [(name, task) for name, _, task in job.created_tasks() if task.last_run]
    if len(begun) * MIN_ROW_BYTES + len(job.past) * MIN_PAST_BYTES <= limit:
        rows = [_task_record(name, task) for name, task in begun]
        data = _encode(job, rows, _failed_runs(begun), sorted(job.past))
        if len(data) <= limit:
            return data
    packed = _pack(job, begun)
    data = _encode(job, packed, _failed_runs(begun))
    if len(data) <= limit:
        return data
    for row in packed.rows:
        row.checkpoint = ""
        row.crashes = [CrashRecord("", number) for number in range(len(row.crashes))]
    return _encode(job, packed)


def _encode(
    job: Job,
    tasks: list[TaskRecord] | PackedTasks,
    failed_runs: list[FailuresRecord] | msgspec.UnsetType = msgspec.UNSET,
    past: list[int] | None = None,
) -> bytes:
    record = JobRecord(
        job.state, job.ended_ms, past or [], tasks, job.has_started, failed_runs
    )
    return msgspec.json.encode(record)


def _failed_runs(
    begun: list[tuple[TaskName, Task]],
) -> list[FailuresRecord] | msgspec.UnsetType:
    """Returns the counted failures that a row can't hold; unset if there are none."""
    several = [
        FailuresRecord(*name[1:], sorted(task.failed_runs))
        for name, task in begun
        if len(task.failed_runs) > 1
    ]
    return several or msgspec.UNSET


def _pack(job: Job, begun: list[tuple[TaskName, Task]]) -> PackedTasks:
    """Returns the tasks of a job; of one that has ended only those with runs."""
    rows: list[TaskRecord] = []
    bits: dict[tuple[int, int], bytearray] = {}
    for name, task in begun:
        if task.runs or not (task.is_done or job.state.is_final):
            rows.append(_task_record(name, task))
        elif not job.state.is_final:
            count = job.spec.steps[name.step].count
            marks = bits.setdefault(name[1:3], bytearray((count + 7) // 8))
            marks[name.number // 8] |= 1 << name.number % 8
    done = [DoneRecord(*step, bytes(marks)) for step, marks in bits.items()]
    return PackedTasks(rows, done, _ranges(sorted(job.past)))


def _ranges(numbers: Iterable[int]) -> list[tuple[int, int]]:
    """Returns ascending numbers as ranges, both ends included."""
    ranges: list[tuple[int, int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1] = ranges[-1][0], number
        else:
            ranges.append((number, number))
    return ranges


def decode_state(data: bytes) -> JobState:
    """Returns the state in a stored progress record.

    Raises:
        msgspec.ValidationError: ``data`` is not a progress record.
    """
    return msgspec.json.decode(data, type=JobRecord).state


def restore(
    spec: JobSpec, data: bytes | None, limits: RecordLimits = DEFAULT_LIMITS
) -> Job:
    """Returns a job as it was stored; its runs are unconfirmed until hosts report.

    Args:
        spec: Specification of the job.
        data: Its progress record; None if there is none yet.
        limits: What a record can hold.

    Raises:
        msgspec.ValidationError: ``data`` is not a progress record.
    """
    job = Job(spec, limits=limits)
    if data is None:
        return job
    record = msgspec.json.decode(data, type=JobRecord)
    job.state, job.ended_ms = record.state, record.ended_ms
    job.past = set(record.past)
    is_running = record.state is JobState.RUNNING
    job.has_started = is_running if record.has_started is None else record.has_started
    if isinstance(record.tasks, PackedTasks):
        _restore_packed(job, record.tasks)
        rows = record.tasks.rows
    else:
        rows = record.tasks
    for stored in rows:
        task = job.task(
            TaskName(spec.id, stored.occurrence, stored.step, stored.number)
        )
        if task is not None:
            _restore_task(task, stored)
    for several in record.failed_runs or []:
        name = TaskName(spec.id, several.occurrence, several.step, several.number)
        task = job.task(name)
        if task is not None:
            task.failed_runs.update(several.runs)
    return job


def _restore_packed(job: Job, packed: PackedTasks) -> None:
    spans = (range(first, last + 1) for first, last in packed.past)
    job.past = set(itertools.chain.from_iterable(spans))
    for done in packed.done:
        if done.occurrence in job.past:
            continue
        is_known = 0 <= done.step < len(job.spec.steps)
        if not is_known or len(done.bits) * 8 < job.spec.steps[done.step].count:
            message = f"marks of step {done.step} don't fit the specification"
            raise msgspec.ValidationError(message)
        for number, task in enumerate(job.tasks(done.occurrence, done.step)):
            if done.bits[number // 8] >> number % 8 & 1:
                task.is_done, task.last_run = True, 1


def _task_record(name: TaskName, task: Task) -> TaskRecord:
    runs = [RunRecord(run.number, run.host, run.host_born) for run in task.runs]
    return TaskRecord(
        name.occurrence,
        name.step,
        name.number,
        task.last_run,
        task.failures,
        max(task.failed_runs, default=0),
        task.is_done,
        task.checkpoint,
        runs,
        [CrashRecord(*crash) for crash in task.crashes],
        task.is_given_up,
        task.stalls,
    )


def _restore_task(task: Task, stored: TaskRecord) -> None:
    task.last_run, task.failures = stored.last_run, stored.failures
    task.failed_runs = {stored.failed_run} if stored.failures else set()
    task.is_done = stored.is_done
    task.checkpoint = stored.checkpoint
    task.is_given_up, task.stalls = stored.is_given_up, stored.stalls
    task.crashes = [
        HostCrash(HostId(crash.host), crash.born, crash.machine)
        for crash in stored.crashes
    ]
    task.runs = [
        Run(
            run.number,
            HostId(run.host),
            run.host_born,
            RunPhase.UNCONFIRMED,
            prior_crashes=len(task.crashes),
        )
        for run in stored.runs
    ]
