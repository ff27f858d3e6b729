"""Messages that the idempotency table takes and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType, TypeAlias

from ..errors import Problem
from ..ids import Incarnation, Millis, OperationId, RequestId, TeamName
from .ids import Home
from .model import Outcome
from .tracked_request import RequestKey

CallerRef = NewType("CallerRef", int)
"""A connection or peer exchange that waits for an outcome, unique in the entry."""


@dataclass(frozen=True, slots=True)
class SubmissionReceived:
    """A submission, from a caller or forwarded by another entry.

    Attributes:
        fingerprint: Digest of all that defines the work: queue, flags and body.
        caller: Who waits for the outcome.
        deadline_ms: When the answer stops being useful, on the entry's clock.
        submission: Grows when the caller asks again after a not-run outcome; a
            copy of an earlier submission never runs after its refusal.
        addressed_to: Home incarnation that a forwarding entry names, else none.
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
    """The value stored under an unrepeatable id that the caller chose."""

    home: Home
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The create took effect."""


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The key has this claim."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimAbsent:
    """Reading back showed no claim; a delayed create may still arrive."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The call failed and certainly had no effect."""

    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimOutcomeUnknown:
    """The reply was lost."""


ClaimResult: TypeAlias = (
    ClaimWon | ClaimHeld | ClaimAbsent | ClaimUnavailable | ClaimOutcomeUnknown
)


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """Answer to ``CreateClaim`` and to ``ReadClaim``."""

    key: RequestKey
    op_id: OperationId
    result: ClaimResult


@dataclass(frozen=True, slots=True)
class WorkEnded:
    """The request desk finished the work of a ``StartWork``."""

    key: RequestKey
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ForwardEnded:
    """The home's outcome, or ``Unknown`` when the home can't be asked."""

    key: RequestKey
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller no longer waits; the work goes on if it must not be repeated."""

    key: RequestKey
    caller: CallerRef


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancels the work itself."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class AnswerEvicted:
    """The kept answer of a finished request is no longer held."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class ExpireRecords:
    """Time passed; expired records are forgotten."""


IdempotencyMessage: TypeAlias = (
    SubmissionReceived
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
    """Submit the work to the request desk; answered by ``WorkEnded``."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class CreateClaim:
    """Create the claim in the platform's store if the key is absent.

    The claim must vanish no earlier than ``IdempotencySettings.retention_ms``.
    """

    key: RequestKey
    claim: Claim


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim back, since the reply of the create was lost."""

    key: RequestKey
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class Forward:
    """Hand the request to its home; answered by ``ForwardEnded``.

    Attributes:
        submission: To be passed on in ``SubmissionReceived``.
    """

    key: RequestKey
    home: Home
    submission: int


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Ask the home to cancel the work."""

    key: RequestKey
    home: Home


@dataclass(frozen=True, slots=True)
class Reply:
    """Give these callers the outcome; each waiting caller gets one reply."""

    key: RequestKey
    callers: tuple[CallerRef, ...]
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse a submission that can't be taken at all; nothing was accepted."""

    caller: CallerRef
    problem: Problem


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Cancel at the request desk; it still ends with ``WorkEnded``."""

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
