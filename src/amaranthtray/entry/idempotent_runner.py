"""Runs each request at most once, on the threads of the callers that wait for it.

The idempotency table decides; the threads make the blocking calls that it orders.
"""

from __future__ import annotations

import itertools
import queue
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol, TypeAlias

from ..backend.client import BackendAnswer, Payload
from ..domain.ids import Incarnation, RequestId, TeamName
from ..domain.requests.idempotency_messages import (
    AnswerEvicted,
    CallerLeft,
    CallerRef,
    CancelRequested,
    CancelWork,
    ClaimEnded,
    CreateClaim,
    ExpireRecords,
    Forward,
    ForwardCancel,
    ForwardEnded,
    IdempotencyEffect,
    IdempotencyMessage,
    ReadClaim,
    Reject,
    Reply,
    StartWork,
    Submitted,
    WorkEnded,
)
from ..domain.requests.model import Answered, Outcome, Request, Unknown, UnknownReason
from ..domain.requests.tracked_request import RequestKey
from .clock import now_ms
from .mailbox import Mailbox
from .request_runner import RequestResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.errors import Problem
    from ..domain.ids import Millis
    from ..domain.requests.idempotency import IdempotencyTable
    from ..domain.requests.ids import Home
    from .claims import ClaimStore
    from .request_runner import RequestRunner
    from .ttl_cache import TtlCache

FALLBACK_THREADS = 2
SUBMISSIONS_PER_EXPIRY = 256
"""Number of submissions between two removals of expired records."""

MS_PER_S = 1_000
DEADLINE_GRACE_MS = 100
"""Time for the request dispatcher to report its own, more precise outcome first."""


class Forwarder(Protocol):
    """Forwards requests to their home entry."""

    def forward(
        self, home: Home, request: Request, payload: Payload, submission: int
    ) -> RequestResult:
        """Returns the home's result; ``Unknown`` if it can't be reached in time."""

    def cancel(self, home: Home, key: RequestKey) -> None:
        """Requests the home to cancel the work."""


@dataclass(frozen=True, slots=True)
class SubmittedRequest:
    """A request as it was submitted to this entry.

    Attributes:
        submission: Number of the submission, which the caller increments to submit
            again after a not-run outcome.
        addressed_to: Incarnation that a forwarding entry addresses as the home; None
            if the request comes from a caller.
        has_known_id: Whether a caller may know the id before the outcome; otherwise no
            copy of the request can arrive.
    """

    request: Request
    payload: Payload
    submission: int = 1
    addressed_to: Incarnation | None = None
    has_known_id: bool = True

    @property
    def key(self) -> RequestKey:
        """Returns the key under which copies of the request are recognised."""
        return RequestKey(self.request.team, self.request.request_id)


@dataclass(frozen=True, slots=True)
class _ReturnResult:
    """Ends the wait of a thread, which returns this result."""

    final: RequestResult


_Step: TypeAlias = IdempotencyEffect | _ReturnResult


@dataclass(slots=True)
class _Caller:
    """A thread that waits for an outcome and makes the blocking calls of its request.

    Attributes:
        ref: Number of the wait, unique within the entry.
        steps: Steps for the thread to execute; the last one is a result or a rejection.
    """

    ref: CallerRef
    work: SubmittedRequest
    steps: queue.SimpleQueue[_Step] = field(default_factory=queue.SimpleQueue)


@dataclass(frozen=True, slots=True)
class _SubmitMessage:
    """A request was submitted by this thread, which waits for the outcome."""

    event: Submitted
    caller: _Caller


@dataclass(frozen=True, slots=True)
class _CallEnded:
    """The work or the forward of a request ended.

    Attributes:
        answer: Answer of the backend server; None if the outcome has none.
    """

    message: WorkEnded | ForwardEnded
    answer: BackendAnswer | None


@dataclass(frozen=True, slots=True)
class _IssueIds:
    """A thread waits for new ids, which ``issued`` passes to it."""

    team: TeamName
    count: int
    issued: queue.SimpleQueue[list[RequestId]]


@dataclass(frozen=True, slots=True)
class _WaitTimedOut:
    """The deadline of one waiting thread has passed; others may still wait."""

    key: RequestKey
    ref: CallerRef


_Message: TypeAlias = (
    IdempotencyMessage | _SubmitMessage | _CallEnded | _IssueIds | _WaitTimedOut
)


class IdempotentRunner:
    """Runs each request at most once; any thread may call the methods.

    Args:
        table: Decides which entry runs a request; used by one thread at a time.
        runner: Runs requests on backend servers.
        claims: Claims on ids that callers chose.
        forwarder: Forwards requests to their home entry.
        answers: Answers of finished requests, for later copies.
        on_error: Called with an exception that the table raised, which is a bug.
    """

    def __init__(
        self,
        table: IdempotencyTable,
        runner: RequestRunner,
        claims: ClaimStore,
        forwarder: Forwarder,
        answers: TtlCache[BackendAnswer],
        *,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._table = table
        self._runner = runner
        self._claims = claims
        self._forwarder = forwarder
        self._mailbox: Mailbox[_Message] = Mailbox(self._handle, on_error=on_error)
        self._refs = itertools.count(1)
        self._waiting: dict[RequestKey, dict[CallerRef, _Caller]] = {}
        self._answers = answers
        self._works: dict[RequestKey, SubmittedRequest] = {}
        self._fallback_executor = ThreadPoolExecutor(
            FALLBACK_THREADS, thread_name_prefix="orphan"
        )

    def issue(self, team: TeamName, count: int = 1) -> list[RequestId]:
        """Returns new ids, whose home is this incarnation of this entry."""
        issued: queue.SimpleQueue[list[RequestId]] = queue.SimpleQueue()
        self._mailbox.post(_IssueIds(team, count, issued))
        return issued.get()

    def submit(self, work: SubmittedRequest) -> RequestResult | Problem:
        """Returns the result of a request, whose calls the calling thread makes.

        A ``Problem`` means that the submission is invalid.
        """
        if not work.has_known_id:
            return self._runner.submit(work.request, work.payload)
        ref = CallerRef(next(self._refs))
        caller = _Caller(ref, work)
        self._mailbox.post(_SubmitMessage(_to_message(work, ref), caller))
        while True:
            step = self._next_step(caller)
            match step:
                case _ReturnResult(final=final):
                    return final
                case Reject(problem=problem):
                    return problem
                case _:
                    self._execute(step, work)

    def _next_step(self, caller: _Caller) -> _Step:
        """Waits for a step, but not beyond the deadline of this copy of the request."""
        wait_ms = caller.work.request.deadline_ms + DEADLINE_GRACE_MS - now_ms()
        try:
            return caller.steps.get(timeout=max(0, wait_ms) / MS_PER_S)
        except queue.Empty:
            self._mailbox.post(_WaitTimedOut(caller.work.key, caller.ref))
            return caller.steps.get()

    def cancel(self, key: RequestKey) -> None:
        """Cancels a request; all threads that wait for it get the final outcome."""
        self._mailbox.post(CancelRequested(key))

    def is_in_flight(self, key: RequestKey) -> bool:
        """Returns whether a thread of this entry waits for the request."""
        return key in self._waiting

    def stop(self) -> None:
        """Accepts no more calls for requests that no thread waits for."""
        self._fallback_executor.shutdown(wait=False)

    def _execute(self, step: _Step, work: SubmittedRequest) -> None:
        """Makes the blocking call of a step and reports its result to the table."""
        match step:
            case StartWork(key=key):
                final = self._runner.submit(work.request, work.payload)
                ended = WorkEnded(key, final.outcome)
                self._mailbox.post(_CallEnded(ended, final.answer))
            case CreateClaim(key=key, claim=claim):
                result = self._claims.create(key, claim)
                self._mailbox.post(ClaimEnded(key, claim.op_id, result))
            case ReadClaim(key=key, op_id=op_id):
                self._mailbox.post(ClaimEnded(key, op_id, self._claims.read(key)))
            case Forward(key=key, home=home, submission=submission):
                final = self._forwarder.forward(
                    home, work.request, work.payload, submission
                )
                forwarded = ForwardEnded(key, final.outcome)
                self._mailbox.post(_CallEnded(forwarded, final.answer))

    def _handle(self, message: _Message) -> None:
        now = now_ms()
        match message:
            case _SubmitMessage(event=event, caller=caller):
                self._add_caller(caller)
                effects = self._table.handle(event, now)
                if caller.ref % SUBMISSIONS_PER_EXPIRY == 0:
                    effects += self._expire_records(now)
            case _CallEnded(message=ended, answer=answer):
                if answer is not None:
                    self._answers.put(ended.key, answer, len(answer.body), now)
                effects = self._table.handle(ended, now)
            case _WaitTimedOut(key=key, ref=ref):
                effects = self._table.handle(CallerLeft(key, ref), now)
                timed_out = Unknown(UnknownReason.DEADLINE_PASSED)
                self._send_last_step(key, ref, _ReturnResult(RequestResult(timed_out)))
            case _IssueIds(team=team, count=count, issued=issued):
                issued.put([self._table.issue(team, now) for _ in range(count)])
                return
            case _:
                effects = self._table.handle(message, now)
        for effect in effects:
            self._apply_effect(effect, now)

    def _expire_records(self, now: Millis) -> list[IdempotencyEffect]:
        effects = self._table.handle(ExpireRecords(), now)
        for key in self._answers.evict(now):
            effects += self._table.handle(AnswerEvicted(key), now)
        return effects

    def _to_result(
        self, key: RequestKey, outcome: Outcome, now: Millis
    ) -> RequestResult:
        if not isinstance(outcome, Answered):
            return RequestResult(outcome)
        answer = self._answers.get(key, now)
        if answer is None:
            return RequestResult(
                Unknown(UnknownReason.ID_SPENT, "the answer is not kept")
            )
        return RequestResult(outcome, answer)

    def _add_caller(self, caller: _Caller) -> None:
        key = caller.work.key
        self._waiting.setdefault(key, {})[caller.ref] = caller
        self._works.setdefault(key, caller.work)

    def _remove_caller(self, key: RequestKey, ref: CallerRef) -> _Caller | None:
        waiting = self._waiting.get(key, {})
        caller = waiting.pop(ref, None)
        if not waiting:
            self._waiting.pop(key, None)
        return caller

    def _apply_effect(self, effect: IdempotencyEffect, now: Millis) -> None:
        match effect:
            case Reply(key=key, callers=refs):
                last_step = _ReturnResult(self._to_result(key, effect.outcome, now))
                for ref in refs:
                    self._send_last_step(key, ref, last_step)
                if key not in self._waiting:
                    self._works.pop(key, None)
            case Reject(caller=ref):
                key = self._key_of_caller(ref)
                self._send_last_step(key, ref, effect)
                if key not in self._waiting:
                    self._works.pop(key, None)
            case CancelWork(key=key):
                self._runner.cancel(key.team, key.request_id)
            case ForwardCancel(key=key, home=home):
                self._forwarder.cancel(home, key)
            case StartWork() | CreateClaim() | ReadClaim() | Forward():
                self._assign_call(effect.key, effect)

    def _send_last_step(self, key: RequestKey, ref: CallerRef, last: _Step) -> None:
        caller = self._remove_caller(key, ref)
        if caller is not None:
            caller.steps.put(last)

    def _assign_call(self, key: RequestKey, step: _Step) -> None:
        """Assigns a call to a thread that waits, or to the executor if none does."""
        waiting = self._waiting.get(key)
        if waiting:
            next(iter(waiting.values())).steps.put(step)
        elif key in self._works:
            self._fallback_executor.submit(self._execute, step, self._works[key])

    def _key_of_caller(self, ref: CallerRef) -> RequestKey:
        return next(key for key, callers in self._waiting.items() if ref in callers)


def _to_message(work: SubmittedRequest, ref: CallerRef) -> Submitted:
    request = work.request
    return Submitted(
        team=request.team,
        request_id=request.request_id,
        repeatable=request.repeatable,
        fingerprint=work.payload.fingerprint,
        caller=ref,
        deadline_ms=request.deadline_ms,
        submission=work.submission,
        addressed_to=work.addressed_to,
    )
