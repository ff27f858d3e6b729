"""Serialization of jobs: the immutable specification and the progress record."""

from __future__ import annotations

import msgspec

from ..ids import HostId
from .job import Job, JobState
from .model import JobSpec, TaskName
from .task import HostCrash, Run, RunPhase, Task


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


class JobRecord(msgspec.Struct):
    """Stored form of the progress of a job."""

    state: JobState
    ended_ms: int = 0
    past: list[int] = []
    tasks: list[TaskRecord] = []
    # Absent in records of earlier versions.
    has_started: bool | None = None


def encode_spec(spec: JobSpec) -> bytes:
    """Returns the stored form of a specification."""
    return msgspec.json.encode(spec)


def decode_spec(data: bytes) -> JobSpec:
    """Returns the specification stored as ``data``.

    Raises:
        msgspec.ValidationError: ``data`` is not a specification.
    """
    return msgspec.json.decode(data, type=JobSpec)


def encode_job(job: Job) -> bytes:
    """Returns the stored form of a job's progress."""
    tasks = [_task_record(name, task) for name, _, task in job.created_tasks()]
    record = JobRecord(
        state=job.state,
        ended_ms=job.ended_ms,
        past=sorted(job.past),
        tasks=[task for task in tasks if task.last_run],
        has_started=job.has_started,
    )
    return msgspec.json.encode(record)


def decode_state(data: bytes) -> JobState:
    """Returns the state in a stored progress record.

    Raises:
        msgspec.ValidationError: ``data`` is not a progress record.
    """
    return msgspec.json.decode(data, type=JobRecord).state


def restore(spec: JobSpec, data: bytes | None) -> Job:
    """Returns a job as it was stored; its runs are unconfirmed until hosts report.

    Raises:
        msgspec.ValidationError: ``data`` is not a progress record.
    """
    job = Job(spec)
    if data is None:
        return job
    record = msgspec.json.decode(data, type=JobRecord)
    job.state, job.ended_ms = record.state, record.ended_ms
    job.past = set(record.past)
    is_running = record.state is JobState.RUNNING
    job.has_started = is_running if record.has_started is None else record.has_started
    for stored in record.tasks:
        task = job.task(
            TaskName(spec.id, stored.occurrence, stored.step, stored.number)
        )
        if task is not None:
            _restore_task(task, stored)
    return job


def _task_record(name: TaskName, task: Task) -> TaskRecord:
    runs = [RunRecord(run.number, run.host, run.host_born) for run in task.runs]
    return TaskRecord(
        name.occurrence,
        name.step,
        name.number,
        task.last_run,
        task.failures,
        task.failed_run,
        task.is_done,
        task.checkpoint,
        runs,
        [CrashRecord(*crash) for crash in task.crashes],
        task.is_given_up,
    )


def _restore_task(task: Task, stored: TaskRecord) -> None:
    task.last_run, task.failures = stored.last_run, stored.failures
    task.failed_run, task.is_done = stored.failed_run, stored.is_done
    task.checkpoint = stored.checkpoint
    task.is_given_up = stored.is_given_up
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
