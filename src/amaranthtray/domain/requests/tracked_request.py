"""A request from acceptance to its one outcome, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..ids import AttemptId, RequestId, TeamName
from ..workers.worker import Worker
from .model import Request


class RequestKey(NamedTuple):
    """A request id is unique within its team."""

    team: TeamName
    request_id: RequestId


class Phase(Enum):
    """Where an accepted request stands."""

    WAITING = "waiting"
    BACKING_OFF = "backing_off"
    RUNNING = "running"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to one host.

    Attributes:
        tracked: The request that waits for the result; none once abandoned.
        request: The request that was sent.
        worker: Where it was sent.
        started_ms: When it was decided.
        holds_slot: Whether its slot and limit unit are still taken.
        checkpoint_requested: Whether the host was asked to checkpoint the task.
        is_probe: Whether it decides about the return of an ejected host.
    """

    attempt_id: AttemptId
    tracked: TrackedRequest | None
    request: Request
    worker: Worker
    started_ms: int
    holds_slot: bool = True
    checkpoint_requested: bool = False
    is_probe: bool = False


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """An accepted request.

    Attributes:
        phase: Where it stands.
        queued_ms: When it last joined a line.
        may_have_run: Whether an earlier attempt may have run.
        retries: Retries after attempts that may have run.
        moves: Moves after connections that failed unsent.
        checkpoints: Times that it made room for urgent work.
        failed_on: Hosts that failed it, oldest first.
        attempt: The attempt under way.
        resumes: The attempt whose checkpoint the next one starts from.
    """

    request: Request
    key: RequestKey
    queued_ms: int
    phase: Phase = Phase.WAITING
    may_have_run: bool = False
    retries: int = 0
    moves: int = 0
    checkpoints: int = 0
    failed_on: list[Worker] = field(default_factory=list)
    attempt: Attempt | None = None
    resumes: AttemptId | None = None

    @property
    def is_preemptable(self) -> bool:
        """Returns whether stopping the running task at a checkpoint does no harm."""
        return self.request.repeatable
