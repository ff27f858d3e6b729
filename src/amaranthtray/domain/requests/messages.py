"""Messages that the request dispatcher handles and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..ids import AttemptId, HostId, Millis, RequestId, TeamName
from .model import Outcome, Request


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller submitted a request that passed authentication and validation."""

    request: Request


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller cancelled its request."""

    team: TeamName
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer arrived; its length was checked.

    Attributes:
        is_error: Whether the backend server reported that the task itself failed
            (an HTTP 5xx status that is not a refusal).
    """

    is_error: bool = False


@dataclass(frozen=True, slots=True)
class RefusedByHost:
    """The backend server reported that it did not start the task.

    Attributes:
        is_leaving: Whether it takes no new tasks because it is leaving.
        retry_after_ms: Delay that it suggests before the next request, if any.
    """

    is_leaving: bool = False
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class NothingSent:
    """The attempt failed before any byte of the request could have been sent.

    Attributes:
        is_host_fault: False if this entry itself was past ``send_by_ms``.
    """

    detail: str = ""
    is_host_fault: bool = True


@dataclass(frozen=True, slots=True)
class BrokeAfterSend:
    """The connection failed after bytes of the request may have been sent."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class AnswerCut:
    """The answer was truncated or had the wrong length."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No complete answer arrived before the attempt's ``give_up_ms``."""


@dataclass(frozen=True, slots=True)
class Checkpointed:
    """The backend server stopped the task at a checkpoint on request."""


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
    """An attempt ended; also sent for late results of abandoned attempts.

    Attributes:
        free_slots: Number of free slots that the backend server reported, if any.
    """

    attempt_id: AttemptId
    result: AttemptResult
    free_slots: int | None = None


@dataclass(frozen=True, slots=True)
class SlotsFreed:
    """A host reported that these attempts neither run on it nor will start there.

    Expired leases need no message: the dispatcher detects them by its clock.
    """

    host: HostId
    attempt_ids: tuple[AttemptId, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; due deadlines, backoffs, leases and renewals are handled."""


DispatcherMessage: TypeAlias = Submit | Cancel | AttemptEnded | SlotsFreed | Tick


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to ``host``; answered by ``AttemptEnded``.

    Attributes:
        give_up_ms: When the attempt times out, on the entry's monotonic clock.
        send_by_ms: Latest time to send the request. The sender checks the clock
            right before the first byte and reports ``NothingSent`` if it is past.
        resumes: Attempt from whose checkpoint the task resumes, if any.
        lease_ttl_ms: Time to live of the worker lease that the task starts with.
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
    """Send the caller its final outcome; returned exactly once for each request."""

    request: Request
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class StopTask:
    """Request ``host`` to cancel a task whose answer is no longer needed."""

    attempt_id: AttemptId
    host: HostId


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Request ``host`` to checkpoint and stop a task; it ends as ``Checkpointed``."""

    attempt_id: AttemptId
    host: HostId


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Renew the worker leases of these tasks in one call to ``host``.

    The call must end within ``LeaseSettings.call_ms``; its reply is not reported back.
    """

    host: HostId
    attempt_ids: tuple[AttemptId, ...]
    ttl_ms: int


DispatcherEffect: TypeAlias = (
    StartAttempt | Finish | StopTask | CheckpointTask | RenewLeases
)
