"""Observations of the whole fleet; all times are on one clock of the observer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from ..ids import (
    AttemptId,
    EntryId,
    HostId,
    Incarnation,
    KeyId,
    PoolName,
    QueueName,
    RequestId,
    Revision,
    TeamName,
)


class OutCause(StrEnum):
    """Why a host is out of its pool's capacity."""

    MAINTENANCE = "maintenance"
    MOVING = "moving"
    FAILED = "failed"
    EJECTED = "ejected"
    UNKNOWN = "unknown"

    @property
    def is_voluntary(self) -> bool:
        """Returns whether the fleet manager itself took the host out."""
        return self in (OutCause.MAINTENANCE, OutCause.MOVING)


@dataclass(frozen=True, slots=True)
class RequestAccepted:
    """An entry accepted a request.

    Attributes:
        key_team: Team of the key that was sent with it, or None without a key.
        charged_team: Team that the work is accounted to, or None.
        queue_is_open: Whether the queue accepts work without a key.
    """

    at_ms: int
    request_id: RequestId
    queue: QueueName
    queue_is_open: bool
    key_team: TeamName | None
    charged_team: TeamName | None


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """A backend server started to run a task, as seen by the server itself."""

    at_ms: int
    request_id: RequestId
    team: TeamName
    attempt_id: AttemptId
    host: HostId
    repeatable: bool


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A backend server stopped running a task, for any cause."""

    at_ms: int
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class AnswerGiven:
    """A caller received an answer.

    Attributes:
        answers: The request for which the backend server computed this answer.
        is_whole: Whether every byte of it arrived.
    """

    at_ms: int
    request_id: RequestId
    answers: RequestId
    is_whole: bool


@dataclass(frozen=True, slots=True)
class RefusedNotRun:
    """A caller was told that the request did not run."""

    at_ms: int
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class LimitSet:
    """A configuration with this upper limit was committed."""

    at_ms: int
    team: TeamName
    limit: int


@dataclass(frozen=True, slots=True)
class BudgetSet:
    """A configuration with this availability budget was committed."""

    at_ms: int
    pool: PoolName
    max_out: int


@dataclass(frozen=True, slots=True)
class HostOut:
    """A host left the usable capacity of its pool."""

    at_ms: int
    pool: PoolName
    host: HostId
    cause: OutCause


@dataclass(frozen=True, slots=True)
class HostBack:
    """A host returned to the usable capacity of its pool."""

    at_ms: int
    host: HostId


@dataclass(frozen=True, slots=True)
class HostPlaced:
    """The pools that a host belongs to now, over all entries' views of the log."""

    at_ms: int
    host: HostId
    pools: tuple[PoolName, ...]


@dataclass(frozen=True, slots=True)
class HostLeaving:
    """A backend server began to leave; it rejects new work from now on."""

    at_ms: int
    host: HostId


@dataclass(frozen=True, slots=True)
class KeyWithdrawn:
    """The withdrawal of a key was committed."""

    at_ms: int
    key_id: KeyId


@dataclass(frozen=True, slots=True)
class KeyAccepted:
    """An entry accepted a request with this key."""

    at_ms: int
    key_id: KeyId
    entry: EntryId


@dataclass(frozen=True, slots=True)
class ReachChanged:
    """An entry became reachable or unreachable.

    Reachable means from the platform and from every fresh peer.
    """

    at_ms: int
    entry: EntryId
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class ConfigCommitted:
    """A configuration record was committed to the log."""

    at_ms: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """An entry applied a configuration revision."""

    at_ms: int
    entry: EntryId
    incarnation: Incarnation
    revision: Revision


@dataclass(frozen=True, slots=True)
class EntryStopping:
    """An entry began a graceful shutdown."""

    at_ms: int
    entry: EntryId


@dataclass(frozen=True, slots=True)
class RequestCut:
    """A request in flight lost its connection because its entry stopped."""

    at_ms: int
    entry: EntryId
    request_id: RequestId


Observation: TypeAlias = (
    RequestAccepted
    | TaskStarted
    | TaskEnded
    | AnswerGiven
    | RefusedNotRun
    | LimitSet
    | BudgetSet
    | HostOut
    | HostBack
    | HostPlaced
    | HostLeaving
    | KeyWithdrawn
    | KeyAccepted
    | ReachChanged
    | ConfigCommitted
    | ConfigApplied
    | EntryStopping
    | RequestCut
)
