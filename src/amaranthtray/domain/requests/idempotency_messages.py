"""Messages that the idempotency table handles and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType, TypeAlias

from ..errors import Problem
from ..ids import Incarnation, Millis, OperationId, RequestId, TeamName
from .ids import Home
from .model import Outcome
from .tracked_request import RequestKey

CallerRef = NewType("CallerRef", int)
"""Connection or peer exchange that waits for an outcome; unique within the entry."""


@dataclass(frozen=True, slots=True)
class Submitted:
    """A request was submitted by a caller or forwarded by another entry.

    Attributes:
        repeatable: Whether the task may safely run more than once.
        fingerprint: Digest of everything that defines the task: queue, flags and
            body.
        caller: Receiver of the outcome.
        deadline_ms: Time after which the answer is useless, on the entry's clock.
        submission: Number that the caller increments to submit again after a
            not-run outcome; a copy of a submission never runs after its refusal.
        addressed_to: Incarnation that a forwarding entry addresses as the home;
            None if the request comes from a caller.
    """

    team: TeamName
    request_id: RequestId
    repeatable: bool
    fingerprint: str
    caller: CallerRef
    deadline_ms: Millis
    submission: int = 1
    addressed_to: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """The value stored under a chosen id of an unrepeatable request.

    Attributes:
        home: Entry incarnation that may run the task.
        op_id: Identifies the create call that stored the claim.
    """

    home: Home
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class ClaimCreated:
    """The claim was created."""


@dataclass(frozen=True, slots=True)
class ClaimFound:
    """The store already holds this claim under the key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimAbsent:
    """The read found no claim; a delayed create may still reach the store."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The call failed and certainly had no effect."""

    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimOutcomeUnknown:
    """The reply of the store was lost."""


ClaimResult: TypeAlias = (
    ClaimCreated | ClaimFound | ClaimAbsent | ClaimUnavailable | ClaimOutcomeUnknown
)


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """A call started by ``CreateClaim`` or ``ReadClaim`` ended."""

    key: RequestKey
    op_id: OperationId
    result: ClaimResult


@dataclass(frozen=True, slots=True)
class WorkEnded:
    """The request dispatcher finished the request of a ``StartWork``."""

    key: RequestKey
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ForwardEnded:
    """The home replied with an outcome; ``Unknown`` if it could not be reached."""

    key: RequestKey
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller no longer waits; unrepeatable work continues nevertheless."""

    key: RequestKey
    caller: CallerRef


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancelled the request for all its callers."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class AnswerEvicted:
    """The stored answer of a finished request was evicted."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class ExpireRecords:
    """Time passed; expired records are removed."""


IdempotencyMessage: TypeAlias = (
    Submitted
    | ClaimEnded
    | WorkEnded
    | ForwardEnded
    | CallerLeft
    | CancelRequested
    | AnswerEvicted
    | ExpireRecords
)


@dataclass(frozen=True, slots=True)
class StartWork:
    """Submit the request to the request dispatcher; answered by ``WorkEnded``."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class CreateClaim:
    """Create the claim in the store if the key is absent; answered by ``ClaimEnded``.

    The store must keep it for at least ``IdempotencySettings.retention_ms``.
    """

    key: RequestKey
    claim: Claim


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim after the create's reply was lost; answered by ``ClaimEnded``."""

    key: RequestKey
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the request to its home; answered by ``ForwardEnded``.

    Attributes:
        submission: Value for ``Submitted.submission`` at the home.
    """

    key: RequestKey
    home: Home
    submission: int


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Request the home to cancel the request."""

    key: RequestKey
    home: Home


@dataclass(frozen=True, slots=True)
class Reply:
    """Send the outcome to these callers; each waiting caller gets one reply."""

    key: RequestKey
    callers: tuple[CallerRef, ...]
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject an invalid submission; it was not accepted and has no outcome."""

    caller: CallerRef
    problem: Problem


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Cancel the request at the dispatcher; it still ends with ``WorkEnded``."""

    key: RequestKey


IdempotencyEffect: TypeAlias = (
    StartWork
    | CreateClaim
    | ReadClaim
    | Forward
    | ForwardCancel
    | Reply
    | Reject
    | CancelWork
)
