"""Requests, attempts and the three outcomes a caller can receive."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeAlias

from ..ids import (
    AttemptId,
    HostId,
    Millis,
    PoolName,
    QueueName,
    RequestId,
    TeamName,
)

OPEN_TEAM = TeamName("-open-")
"""Team that work without a key is accounted to in open queues."""


class WorkClass(StrEnum):
    """Urgent work starts within seconds; patient work fills what is left."""

    URGENT = "urgent"
    PATIENT = "patient"


@dataclass(frozen=True, slots=True)
class Needs:
    """Declared needs of a task; they bound placement and are never trusted as cost.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in mebibytes.
        accelerators: Accelerators.
    """

    cores: int = 1
    memory_mb: int = 256
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A request as the decisions see it; the body stays with its connection.

    Attributes:
        request_id: Unique within the team.
        team: Owner, or ``OPEN_TEAM``.
        queue: Queue it was submitted to.
        pool: Pool that the queue used when the request was accepted.
        work_class: Urgent or patient.
        repeatable: Whether a second run does no harm.
        accepted_ms: When the entry accepted it, on the entry's monotonic clock.
        deadline_ms: When its answer stops being useful, on the same clock.
        needs: Declared needs.
    """

    request_id: RequestId
    team: TeamName
    queue: QueueName
    pool: PoolName
    work_class: WorkClass
    repeatable: bool
    accepted_ms: Millis
    deadline_ms: Millis
    needs: Needs = field(default_factory=Needs)


class NotRunReason(StrEnum):
    """Why a request was refused although nothing ran."""

    BAD_KEY = "bad_key"
    QUEUE_UNKNOWN = "queue_unknown"
    QUEUE_FORBIDDEN = "queue_forbidden"
    CAN_NEVER_RUN = "can_never_run"
    DEADLINE_TOO_CLOSE = "deadline_too_close"
    QUEUE_FULL = "queue_full"
    LIMIT_REACHED = "limit_reached"
    NO_HOST = "no_host"
    RETRIES_SPENT = "retries_spent"
    CANCELLED = "cancelled"
    ENTRY_LEAVING = "entry_leaving"
    ENTRY_BUSY = "entry_busy"
    NOT_READY = "not_ready"


class UnknownReason(StrEnum):
    """Why nobody can say whether a request ran."""

    CONNECTION_BROKE = "connection_broke"
    ANSWER_CUT = "answer_cut"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"
    HOME_UNREACHABLE = "home_unreachable"
    HOME_GONE = "home_gone"
    ID_SPENT = "id_spent"
    STORE_UNAVAILABLE = "store_unavailable"
    NOT_LOOKED_UP = "not_looked_up"


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer of one attempt goes to the caller."""

    attempt_id: AttemptId
    host: HostId


@dataclass(frozen=True, slots=True)
class NotRun:
    """The work did not run: nothing was sent, or every server said so itself."""

    reason: NotRunReason
    detail: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The work may or may not have run."""

    reason: UnknownReason
    detail: str = ""
    retry_after_ms: int | None = None


Outcome: TypeAlias = Answered | NotRun | Unknown
