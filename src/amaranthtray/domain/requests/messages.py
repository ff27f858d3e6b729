"""Messages that the request desk takes and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..ids import AttemptId, HostId, Millis, RequestId, TeamName
from .model import Outcome, Request


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller's request that passed the border checks."""

    request: Request


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller no longer wants the answer."""

    team: TeamName
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A whole answer arrived and its length was checked.

    Attributes:
        is_error: Whether the backend server reported that the task itself failed
            (HTTP 5xx that is not a refusal).
    """

    is_error: bool = False


@dataclass(frozen=True, slots=True)
class RefusedByHost:
    """The backend server itself said that the task was not started.

    Attributes:
        is_leaving: Whether it takes no new work because it is leaving.
        retry_after_ms: Its advice, if any.
    """

    is_leaving: bool = False
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class NothingSent:
    """The connection failed before any byte of the request could have left.

    Attributes:
        is_host_fault: False when this entry itself was too late to send.
    """

    detail: str = ""
    is_host_fault: bool = True


@dataclass(frozen=True, slots=True)
class BrokeAfterSend:
    """The connection failed after bytes may have left."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class AnswerCut:
    """An answer began and did not arrive whole."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No whole answer within the time the attempt was given."""


@dataclass(frozen=True, slots=True)
class Checkpointed:
    """The backend server stopped the task at a checkpoint, as it was asked to."""


AttemptResult: TypeAlias = (
    WholeAnswer
    | RefusedByHost
    | NothingSent
    | BrokeAfterSend
    | AnswerCut
    | TimedOut
    | Checkpointed
)


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; late results of abandoned attempts are sent as well.

    Attributes:
        free_slots: Slots that the backend server said it has free, if it did.
    """

    attempt_id: AttemptId
    result: AttemptResult
    free_slots: int | None = None


@dataclass(frozen=True, slots=True)
class SlotsFreed:
    """A host said that these attempts run there no longer and will not start there.

    Lapsed leases need no message: the desk knows them from its clock.
    """

    host: HostId
    attempt_ids: tuple[AttemptId, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; deadlines and backoffs are looked at."""


DispatcherMessage: TypeAlias = Submit | Cancel | AttemptEnded | SlotsFreed | Tick


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to ``host``; report with ``AttemptEnded``.

    Attributes:
        give_up_ms: When the attempt must end, on the entry's monotonic clock.
        send_by_ms: When it must not be sent any more; look at the clock right
            before the first byte and report ``NothingSent`` when it is past.
        resumes: Attempt whose checkpoint the task goes on from, if any.
        lease_ttl_ms: Worker lease that the task starts under.
    """

    request: Request
    attempt_id: AttemptId
    host: HostId
    give_up_ms: Millis
    send_by_ms: Millis
    resumes: AttemptId | None = None
    lease_ttl_ms: int = 0


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller this final outcome; sent exactly once per request."""

    request: Request
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class StopTask:
    """Ask ``host`` to cancel a task whose answer nobody waits for."""

    attempt_id: AttemptId
    host: HostId


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Ask ``host`` to checkpoint and stop a task; it ends as ``Checkpointed``."""

    attempt_id: AttemptId
    host: HostId


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Renew the worker leases of these tasks in one call to ``host``.

    The call must end within ``LeaseSettings.call_ms``; its reply needs no message.
    """

    host: HostId
    attempt_ids: tuple[AttemptId, ...]
    ttl_ms: int


DispatcherEffect: TypeAlias = (
    StartAttempt | Finish | StopTask | CheckpointTask | RenewLeases
)
