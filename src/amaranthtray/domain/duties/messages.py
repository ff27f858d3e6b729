"""Calls that the holder of a duty makes to the platform, and their replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType, TypeAlias

from ..ids import Term

Claim = NewType("Claim", str)
"""Names one attempt of one run of an entry to take a duty."""

LeaseNumber = NewType("LeaseNumber", int)


@dataclass(frozen=True, slots=True)
class ReadTerm:
    """Read the term key and its version."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Grant a lease."""

    ttl_ms: int


@dataclass(frozen=True, slots=True)
class CreateHolder:
    """Create the holder key under the lease."""

    lease: LeaseNumber
    claim: Claim


@dataclass(frozen=True, slots=True)
class ReadHolder:
    """Read the holder key."""


@dataclass(frozen=True, slots=True)
class SwapTerm:
    """Write the term key if it is still at the version read."""

    term: Term
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease."""

    lease: LeaseNumber


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke the lease; nothing depends on the reply."""

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
    """The term key; version 0 when there is none yet."""

    term: Term
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease was granted."""

    lease: LeaseNumber


@dataclass(frozen=True, slots=True)
class HolderRead:
    """The holder key; no claim when it is absent."""

    claim: Claim | None


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """The write or renewal took effect."""


@dataclass(frozen=True, slots=True)
class CallRejected:
    """Another holder was first, or the lease has lapsed."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call certainly had no effect."""


@dataclass(frozen=True, slots=True)
class CallOutcomeUnknown:
    """The reply was lost."""


DutyReply: TypeAlias = (
    TermRead
    | LeaseGranted
    | HolderRead
    | CallSucceeded
    | CallRejected
    | CallFailed
    | CallOutcomeUnknown
)
