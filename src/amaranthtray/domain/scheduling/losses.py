"""Reports of runs that ended without an outcome; for the log and metrics only."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from ..ids import HostId
from ..jobs.model import TaskName
from ..jobs.task import HostCrash, RunOutcome


class LossCause(StrEnum):
    """How a conductor learned that runs ended without a reported outcome.

    Attributes:
        ADDRESS_REUSED: Another host answers at the host's address.
        LEASE_EXPIRED: The host did not answer until its lease had certainly expired.
        HOST_RESTARTED: The host reports a later incarnation.
        HOST_UNLISTED: The host left the list before this conductor's term.
        NOT_REPORTED: The host, in the same incarnation, does not report the run.
    """

    ADDRESS_REUSED = "address_reused"
    LEASE_EXPIRED = "lease_expired"
    HOST_RESTARTED = "host_restarted"
    HOST_UNLISTED = "host_unlisted"
    NOT_REPORTED = "not_reported"


class LostRun(NamedTuple):
    """A run that ended without a reported outcome.

    Attributes:
        name: Task of the run.
        number: Run number.
        phase: Last known phase, in lower case.
        failures: Failed runs of the task that count towards its attempts.
        crashes: Hosts that have crashed under the task, this one included.
    """

    name: TaskName
    number: int
    phase: str
    failures: int
    crashes: int


@dataclass(frozen=True, slots=True)
class RunsLost:
    """Reports runs that ended without a reported outcome.

    Attributes:
        host: Host of the runs.
        born: Wall-clock time at which the host's incarnation with them started.
        cause: How the conductor learned of it.
        is_crash: Whether the loss counts as a crash of the host.
        runs: The runs.
    """

    host: HostId
    born: int
    cause: LossCause
    is_crash: bool
    runs: tuple[LostRun, ...]


@dataclass(frozen=True, slots=True)
class TaskGivenUp:
    """Reports a task that is not started again because it crashes its hosts.

    Attributes:
        name: The task.
        crashes: Hosts that crashed under it.
        was_alone: Whether the last of them ran nothing else.
    """

    name: TaskName
    crashes: tuple[HostCrash, ...]
    was_alone: bool


@dataclass(frozen=True, slots=True)
class CrashWithdrawn:
    """Reports that a host counted as crashed is in the same incarnation.

    Attributes:
        host: The host.
        born: Its incarnation.
        tasks: Tasks for which its crash had been counted.
    """

    host: HostId
    born: int
    tasks: tuple[TaskName, ...]


@dataclass(frozen=True, slots=True)
class LateEnd:
    """Reports the end of a run that had been given up.

    Attributes:
        host: The host that lists the end.
        born: Its incarnation.
        name: Task of the run.
        number: Run number.
        outcome: How the run ended.
        is_applied: Whether the end changes the task; a repeated one doesn't.
    """

    host: HostId
    born: int
    name: TaskName
    number: int
    outcome: RunOutcome
    is_applied: bool


@dataclass(frozen=True, slots=True)
class RunOnOtherIncarnation:
    """Reports a run that an incarnation has which it was not ordered for.

    Attributes:
        host: The host.
        born: Incarnation that has the run.
        name: Task of the run.
        number: Run number.
        ordered_born: Incarnation for which the run was ordered.
    """

    host: HostId
    born: int
    name: TaskName
    number: int
    ordered_born: int


@dataclass(frozen=True, slots=True)
class LateStartAwaited:
    """Reports a run that is not given up with its host's lease.

    A start of it had no reply, and a later incarnation may still carry it out.

    Attributes:
        host: The silent host.
        born: Incarnation that the list of hosts describes; 0 if it doesn't say it.
        name: Task of the run.
        number: Run number.
        ordered_born: Incarnation for which the run was ordered.
        remaining_ms: Time after which it is given up if the host stays silent.
    """

    host: HostId
    born: int
    name: TaskName
    number: int
    ordered_born: int
    remaining_ms: int


Loss: TypeAlias = (
    RunsLost
    | TaskGivenUp
    | CrashWithdrawn
    | LateEnd
    | RunOnOtherIncarnation
    | LateStartAwaited
)
