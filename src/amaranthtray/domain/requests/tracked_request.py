"""State of an accepted request until its outcome, and of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..ids import AttemptId, RequestId, TeamName
from ..workers.worker import Worker
from .model import Request


class RequestKey(NamedTuple):
    """Identifies a request; its id is unique within the team."""

    team: TeamName
    request_id: RequestId


class Phase(Enum):
    """Phase of an accepted request."""

    WAITING = "waiting"
    BACKING_OFF = "backing_off"
    RUNNING = "running"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on one host.

    Attributes:
        tracked: The request that waits for the result; None once abandoned.
        request: The request that is sent.
        worker: Backend server that the request is sent to.
        started_ms: When the attempt was started.
        holds_slot: Whether it still holds its slot and its limit unit.
        checkpoint_requested: Whether the host was requested to checkpoint the task.
        is_probe: Whether its result decides if an ejected host returns.
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
    """An accepted request and its progress towards an outcome.

    Attributes:
        phase: Waiting, backing off, running or done.
        queued_ms: When it was accepted into a wait queue.
        may_have_run: Whether an earlier attempt may have run.
        retries: Number of retries after attempts that may have run.
        moves: Number of attempts that failed before anything was sent.
        checkpoints: Number of times that it was preempted at a checkpoint.
        failed_on: Workers on which it failed, oldest first.
        attempt: The current attempt, if any.
        resumes: Attempt from whose checkpoint the next attempt resumes.
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
        """Whether the running task may be stopped at a checkpoint and run again."""
        return self.request.repeatable
