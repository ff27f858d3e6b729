"""Requests of callers on jobs, and the replies to them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..domain.ids import TeamName
from ..domain.jobs.catalog import Catalog, JobQueue
from ..domain.jobs.job import JobState

RETRY_AFTER_S = 1
"""Time until callers may retry; the store was unavailable or at its rate limit."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, apart from its body.

    Attributes:
        host_header: Host header of the request.
        path: Path of the request.
        key: Key that the caller presented; None without one.
        timeout_s: Time until which the caller needs a reply.
    """

    host_header: str
    path: str
    key: str | None
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclass(frozen=True, slots=True)
class JobStateReply:
    """State of a job."""

    state: JobState


@dataclass(frozen=True, slots=True)
class PendingReply:
    """Number of jobs of a path that have not started."""

    count: int


@dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """No queue serves the host and path."""


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """The job is unknown, or was cancelled before it was submitted; it never runs."""

    why: str = "no such job"


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The queue is not open, and the request has no valid key."""


@dataclass(frozen=True, slots=True)
class NeverRun:
    """The job can't be carried out; it is not stored and never runs."""

    why: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The request had no effect and may be retried later."""

    why: str
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have taken effect."""

    why: str


Reply: TypeAlias = (
    Accepted
    | JobStateReply
    | PendingReply
    | NoSuchQueue
    | NoSuchJob
    | KeyRefused
    | NeverRun
    | RetryLater
    | OutcomeUnknown
)


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request whose queue was found and whose key was accepted.

    Attributes:
        catalog: Configuration that allowed the request.
        queue: Queue that serves the path.
        team: Team of the key, or ``NO_TEAM`` at an open queue.
        subpath: Part of the path after the queue's prefix.
    """

    catalog: Catalog
    queue: JobQueue
    team: TeamName
    subpath: str
