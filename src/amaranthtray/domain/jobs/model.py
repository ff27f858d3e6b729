"""What a job asks for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, NewType

from ..ids import QueueName, RackId, TeamName

JobId = NewType("JobId", str)

NO_RACK = RackId("")

NO_TEAM = TeamName("")
"""Team of jobs that came into an open queue without a key."""


class Resources(NamedTuple):
    """Amounts of what a host has.

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
        """Returns ``count`` times the amounts."""
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
    """Tasks that are alike.

    Attributes:
        count: Number of tasks.
        need: What each task takes up on its host.
        estimated_ms: Rough length of a task.
        after: Earlier steps whose tasks must all be done first.
        is_checkpointing: Whether a stopped task goes on from where it was.
        is_gang: Whether the tasks work only all together.
        is_same_rack: Whether a gang works slower across racks.
        required_label: Label that the host must have; empty for none.
        data_rack: Rack near the data; empty for none.
        max_per_host: Tasks of one occurrence that a host may run; 0 for any number.
        allows_copies: Whether a task may run twice at once.
        is_lasting: Whether the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Response time that a serving task must keep; 0 for none.
        fills: Whether the tasks take only processor time that others leave.
        may_miss: Tasks that may be away at once by this system's doing.
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
        """Returns what a task counts for against a host's capacity."""
        return self.need._replace(cpu=0) if self.fills else self.need


@dataclass(frozen=True, slots=True)
class Recurrence:
    """How often and when the steps run.

    Attributes:
        count: Number of occurrences.
        first_due_ms: Wall time of the first one.
        interval_ms: Time between two.
    """

    count: int
    first_due_ms: int
    interval_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """A job as it was accepted; it never changes.

    Attributes:
        id: Chosen by the caller.
        queue: Queue that it was submitted to.
        team: Team that it is accounted to.
        payload: Handed to each task.
        steps: What to run.
        recurrence: Set for a job that runs by the clock.
        accepted_ms: Wall time of its acceptance.
        max_attempts: Failed runs of a task after which the job has failed.
    """

    id: JobId
    queue: QueueName
    team: TeamName
    payload: str
    steps: tuple[StepSpec, ...]
    recurrence: Recurrence | None = None
    accepted_ms: int = 0
    max_attempts: int = 1


class TaskName(NamedTuple):
    """One task of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    number: int

    @classmethod
    def parse(cls, text: str) -> TaskName | None:
        """Returns the name that ``text`` spells, if it is one."""
        parts = text.split(".")
        if len(parts) != len(cls._fields) or not all(map(str.isdecimal, parts[1:])):
            return None
        return cls(JobId(parts[0]), *map(int, parts[1:]))

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
