"""Specification of a job: its steps, their resources and its recurrence."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, NewType

from ..ids import QueueName, RackId, TeamName

JobId = NewType("JobId", str)

NO_RACK = RackId("")

NO_TEAM = TeamName("")
"""Team of jobs that were submitted to an open queue without a key."""


class Resources(NamedTuple):
    """Amounts of each resource of a host.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Megabytes of memory.
        gpu: Accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def plus(self, other: Resources) -> Resources:
        """Returns the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def minus(self, other: Resources) -> Resources:
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )

    def times(self, count: int) -> Resources:
        """Returns the amounts multiplied by ``count``."""
        return Resources(self.cpu * count, self.memory_mb * count, self.gpu * count)

    def fits(self, room: Resources) -> bool:
        """Returns whether the amounts fit into ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.gpu <= room.gpu
        )


NO_RESOURCES = Resources()


@dataclass(frozen=True, slots=True, kw_only=True)
class StepSpec:
    """A step: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        need: Resources that each task needs.
        estimated_ms: Estimated duration of a task.
        after: Indices of earlier steps that must be done first.
        is_checkpointing: Whether a stopped task resumes from a checkpoint.
        is_gang: Whether the tasks can only work all at the same time.
        is_same_rack: Whether a gang is slower across racks.
        required_label: Label that the host must have; empty if there is none.
        data_rack: Rack near the data; empty if there is none.
        max_per_host: Maximum number of tasks of one occurrence on a host; 0 for no
            limit.
        allows_copies: Whether two runs of a task may execute at the same time.
        is_lasting: Whether the tasks run until the job is cancelled.
        image: Image that the tasks execute; tasks of one image behave alike.
        target_ms: Target for the response time of a serving task; 0 if there is none.
        fills: Whether the tasks are fillers, which use only CPU time that others leave.
        may_miss: Maximum number of tasks that the scheduler may make unavailable at
            once.
    """

    count: int
    need: Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    required_label: str = ""
    data_rack: RackId = NO_RACK
    max_per_host: int = 0
    allows_copies: bool = False
    is_lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> Resources:
        """Returns the resources that a task reserves on a host."""
        return self.need._replace(cpu=0) if self.fills else self.need


@dataclass(frozen=True, slots=True)
class Recurrence:
    """Schedule of a recurring job.

    Attributes:
        count: Number of occurrences.
        first_due_ms: Wall-clock time of the first occurrence.
        interval_ms: Time between occurrences.
    """

    count: int
    first_due_ms: int
    interval_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueTerms:
    """What a queue decides for a job; fields as in ``JobQueue``.

    Attributes:
        address: Host header and path prefix under which callers ask for its jobs.
    """

    address: str = ""
    priority: int = 0
    slowdown_factor: float = 1.0
    target_ms: int = 0
    needs_advice: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """An accepted job; it never changes.

    Attributes:
        id: Id that the caller chose.
        queue: Queue to which the job was submitted.
        team: Team that owns the job.
        payload: Payload that each task receives.
        steps: Steps of the job.
        recurrence: Schedule of a recurring job; None for a single occurrence.
        accepted_ms: Wall-clock time of acceptance.
        max_attempts: Failed runs of a task after which the job has failed.
        has_location: Whether its location was stored with it; a former release stored
            jobs without one.
        terms: Terms of its queue when it was accepted; None for jobs of a former
            release.
    """

    id: JobId
    queue: QueueName
    team: TeamName
    payload: str
    steps: tuple[StepSpec, ...]
    recurrence: Recurrence | None = None
    accepted_ms: int = 0
    max_attempts: int = 1
    has_location: bool = False
    terms: QueueTerms | None = None


class TaskName(NamedTuple):
    """Name of a task of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    number: int

    @classmethod
    def parse(cls, text: str) -> TaskName | None:
        """Returns the name that ``text`` represents, or None if it is malformed."""
        parts = text.split(".")
        if len(parts) != len(cls._fields) or not all(map(str.isdecimal, parts[1:])):
            return None
        return cls(JobId(parts[0]), *map(int, parts[1:]))

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


class StepKey(NamedTuple):
    """Key of a step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
