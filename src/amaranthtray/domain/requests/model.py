"""Requests and the three outcomes that a caller can receive."""

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
"""Team that requests without a key are accounted to; open queues accept them."""


class WorkClass(StrEnum):
    """Urgent requests start within seconds; patient requests use leftover slots."""

    URGENT = "urgent"
    PATIENT = "patient"


@dataclass(frozen=True, slots=True)
class Needs:
    """Resources that a task declares; used for placement, never as its actual cost.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in mebibytes.
        accelerators: Number of accelerators.
    """

    cores: int = 1
    memory_mb: int = 256
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A request without its body, which stays with the caller's connection.

    Attributes:
        request_id: Unique within the team.
        team: Owner of the work, or ``OPEN_TEAM``.
        queue: Queue it was submitted to.
        pool: Pool that served the queue when the request was accepted.
        work_class: Urgent or patient.
        repeatable: Whether the task may safely run more than once.
        accepted_ms: When the entry accepted it, on the entry's monotonic clock.
        deadline_ms: Time after which the answer is useless, on the same clock.
        needs: Resources that the task declares.
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
    """Why a request ended without having run."""

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
    """Why it is unknown whether a request ran."""

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
    """One attempt returned a complete answer, which goes to the caller."""

    attempt_id: AttemptId
    host: HostId


@dataclass(frozen=True, slots=True)
class NotRun:
    """The task certainly did not run.

    Either nothing was sent, or each backend server that was sent the request reported
    that it did not start the task.
    """

    reason: NotRunReason
    detail: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The task may or may not have run."""

    reason: UnknownReason
    detail: str = ""
    retry_after_ms: int | None = None


Outcome: TypeAlias = Answered | NotRun | Unknown
