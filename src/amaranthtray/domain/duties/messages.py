"""Store calls that acquire and renew a duty, and their replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType, TypeAlias

from ..ids import Term

Claim = NewType("Claim", str)
"""Identifies one attempt of one incarnation of an entry to acquire a duty."""

LeaseNumber = NewType("LeaseNumber", int)
"""Id of a lease in the platform's store."""


@dataclass(frozen=True, slots=True)
class ReadTerm:
    """Read the term key and its version; reply with ``TermRead``."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Grant a lease; reply with ``LeaseGranted``."""

    ttl_ms: int


@dataclass(frozen=True, slots=True)
class CreateHolder:
    """Create the holder key, which the store deletes when the lease expires."""

    lease: LeaseNumber
    claim: Claim


@dataclass(frozen=True, slots=True)
class ReadHolder:
    """Read the holder key; reply with ``HolderRead``."""


@dataclass(frozen=True, slots=True)
class SwapTerm:
    """Write the term key if it is still at ``version``; create it if that is 0."""

    term: Term
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease for its full time to live."""

    lease: LeaseNumber


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke the lease; the reply is ignored."""

    lease: LeaseNumber


DutyCall: TypeAlias = (
    ReadTerm
    | GrantLease
    | CreateHolder
    | ReadHolder
    | SwapTerm
    | RenewLease
    | RevokeLease
)


@dataclass(frozen=True, slots=True)
class TermRead:
    """The value and version of the term key; version 0 if it does not exist."""

    term: Term
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease was granted."""

    lease: LeaseNumber


@dataclass(frozen=True, slots=True)
class HolderRead:
    """The value of the holder key; ``None`` if it does not exist."""

    claim: Claim | None


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """The write or the renewal took effect."""


@dataclass(frozen=True, slots=True)
class CallRejected:
    """Another entry changed the key first, or the lease has expired."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call certainly had no effect."""


@dataclass(frozen=True, slots=True)
class CallOutcomeUnknown:
    """The reply was lost; the call may have taken effect."""


DutyReply: TypeAlias = (
    TermRead
    | LeaseGranted
    | HolderRead
    | CallSucceeded
    | CallRejected
    | CallFailed
    | CallOutcomeUnknown
)
