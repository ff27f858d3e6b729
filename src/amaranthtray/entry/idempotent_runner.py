"""Who runs a request: the idempotency table, with the threads that wait on it."""

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

ORPHAN_THREADS = 2
SWEEP_EVERY_ASKS = 256
MS_PER_S = 1_000
DEADLINE_GRACE_MS = 100
"""Time for the request desk to give its own, more exact outcome first."""


class Forwarder(Protocol):
    """Hands requests to the entry that is their home."""

    def forward(
        self, home: Home, request: Request, payload: Payload, submission: int
    ) -> RequestResult:
        """Returns the home's outcome, or ``Unknown`` when it can't be asked."""

    def cancel(self, home: Home, key: RequestKey) -> None:
        """Asks the home to cancel the work."""


@dataclass(frozen=True, slots=True)
class SubmittedRequest:
    """A request as it was submitted here.

    Attributes:
        submission: Number of the submission, which grows after a not-run outcome.
        addressed_to: Home incarnation that a forwarding entry names, else none.
        is_named: Whether anybody else can know the id; else no copy can come.
    """

    request: Request
    payload: Payload
    submission: int = 1
    addressed_to: Incarnation | None = None
    is_named: bool = True

    @property
    def key(self) -> RequestKey:
        """Returns the team and id."""
        return RequestKey(self.request.team, self.request.request_id)


@dataclass(frozen=True, slots=True)
class _Delivered:
    """The outcome that a waiting thread returns with."""

    final: RequestResult


_Step: TypeAlias = IdempotencyEffect | _Delivered


@dataclass(slots=True)
class _Caller:
    """A thread that waits for an outcome and does the work's blocking calls."""

    ref: CallerRef
    work: SubmittedRequest
    steps: queue.SimpleQueue[_Step] = field(default_factory=queue.SimpleQueue)


@dataclass(frozen=True, slots=True)
class _Asked:
    """A submission and the thread that waits for it."""

    ask: Submitted
    caller: _Caller


@dataclass(frozen=True, slots=True)
class _Ended:
    """Work or a forward ended, with the answer if there is one."""

    message: WorkEnded | ForwardEnded
    answer: BackendAnswer | None


@dataclass(frozen=True, slots=True)
class _IssueAsked:
    """A thread waits for new ids."""

    team: TeamName
    count: int
    issued: queue.SimpleQueue[list[RequestId]]


@dataclass(frozen=True, slots=True)
class _WaitedTooLong:
    """A thread's own deadline has passed; others may go on waiting."""

    key: RequestKey
    ref: CallerRef


_Message: TypeAlias = (
    IdempotencyMessage | _Asked | _Ended | _IssueAsked | _WaitedTooLong
)


class IdempotentRunner:
    """Runs each request once; every method may be called from any thread.

    Args:
        table: The decisions; touched by one thread at a time.
        task: Runs requests.
        claims: Claims of ids that callers chose.
        forwarder: Hands requests to their home.
        answers: Keeps the answers of finished requests for a while.
        on_error: Called when the table raised; a fault of this program.
    """

    def __init__(
        self,
        table: IdempotencyTable,
        task: RequestRunner,
        claims: ClaimStore,
        forwarder: Forwarder,
        answers: TtlCache[BackendAnswer],
        *,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._table = table
        self._task = task
        self._claims = claims
        self._forwarder = forwarder
        self._mailbox: Mailbox[_Message] = Mailbox(self._handle, on_error=on_error)
        self._refs = itertools.count(1)
        self._waiting: dict[RequestKey, dict[CallerRef, _Caller]] = {}
        self._answers = answers
        self._works: dict[RequestKey, SubmittedRequest] = {}
        self._orphans = ThreadPoolExecutor(ORPHAN_THREADS, thread_name_prefix="orphan")

    def issue(self, team: TeamName, count: int = 1) -> list[RequestId]:
        """Returns new ids, whose home is this run of this entry."""
        issued: queue.SimpleQueue[list[RequestId]] = queue.SimpleQueue()
        self._mailbox.post(_IssueAsked(team, count, issued))
        return issued.get()

    def submit(self, work: SubmittedRequest) -> RequestResult | Problem:
        """Returns the outcome of a request; the calling thread does its calls."""
        if not work.is_named:
            return self._task.submit(work.request, work.payload)
        ref = CallerRef(next(self._refs))
        caller = _Caller(ref, work)
        self._mailbox.post(_Asked(_ask(work, ref), caller))
        while True:
            step = self._next_step(caller)
            match step:
                case _Delivered(final=final):
                    return final
                case Reject(problem=problem):
                    return problem
                case _:
                    self._do(step, work)

    def _next_step(self, caller: _Caller) -> _Step:
        """Waits for a step; a copy does not wait beyond its own deadline."""
        wait_ms = caller.work.request.deadline_ms + DEADLINE_GRACE_MS - now_ms()
        try:
            return caller.steps.get(timeout=max(0, wait_ms) / MS_PER_S)
        except queue.Empty:
            self._mailbox.post(_WaitedTooLong(caller.work.key, caller.ref))
            return caller.steps.get()

    def cancel(self, key: RequestKey) -> None:
        """Cancels a request; whoever waits for it gets the final outcome."""
        self._mailbox.post(CancelRequested(key))

    def is_in_flight(self, key: RequestKey) -> bool:
        """Returns whether somebody waits for the request here."""
        return key in self._waiting

    def stop(self) -> None:
        """Ends the threads of work that nobody waits for."""
        self._orphans.shutdown(wait=False)

    def _do(self, step: _Step, work: SubmittedRequest) -> None:
        """Makes the blocking call that a step asks for and reports its end."""
        match step:
            case StartWork(key=key):
                final = self._task.submit(work.request, work.payload)
                ended = WorkEnded(key, final.outcome)
                self._mailbox.post(_Ended(ended, final.answer))
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
                self._mailbox.post(_Ended(forwarded, final.answer))

    def _handle(self, message: _Message) -> None:
        now = now_ms()
        match message:
            case _Asked(ask=ask, caller=caller):
                self._enter(caller)
                effects = self._table.handle(ask, now)
                if caller.ref % SWEEP_EVERY_ASKS == 0:
                    effects += self._sweep(now)
            case _Ended(message=ended, answer=answer):
                if answer is not None:
                    self._answers.put(ended.key, answer, len(answer.body), now)
                effects = self._table.handle(ended, now)
            case _WaitedTooLong(key=key, ref=ref):
                effects = self._table.handle(CallerLeft(key, ref), now)
                late = Unknown(UnknownReason.DEADLINE_PASSED)
                self._give(key, ref, _Delivered(RequestResult(late)))
            case _IssueAsked(team=team, count=count, issued=issued):
                issued.put([self._table.issue(team, now) for _ in range(count)])
                return
            case _:
                effects = self._table.handle(message, now)
        for effect in effects:
            self._dispatch(effect, now)

    def _sweep(self, now: Millis) -> list[IdempotencyEffect]:
        effects = self._table.handle(ExpireRecords(), now)
        for key in self._answers.evict(now):
            effects += self._table.handle(AnswerEvicted(key), now)
        return effects

    def _final(self, key: RequestKey, outcome: Outcome, now: Millis) -> RequestResult:
        if not isinstance(outcome, Answered):
            return RequestResult(outcome)
        answer = self._answers.get(key, now)
        if answer is None:
            return RequestResult(
                Unknown(UnknownReason.ID_SPENT, "the answer is not kept")
            )
        return RequestResult(outcome, answer)

    def _enter(self, caller: _Caller) -> None:
        key = caller.work.key
        self._waiting.setdefault(key, {})[caller.ref] = caller
        self._works.setdefault(key, caller.work)

    def _leave(self, key: RequestKey, ref: CallerRef) -> _Caller | None:
        waiting = self._waiting.get(key, {})
        caller = waiting.pop(ref, None)
        if not waiting:
            self._waiting.pop(key, None)
        return caller

    def _dispatch(self, effect: IdempotencyEffect, now: Millis) -> None:
        match effect:
            case Reply(key=key, callers=refs):
                delivered = _Delivered(self._final(key, effect.outcome, now))
                for ref in refs:
                    self._give(key, ref, delivered)
                if key not in self._waiting:
                    self._works.pop(key, None)
            case Reject(caller=ref):
                key = self._key_of(ref)
                self._give(key, ref, effect)
                if key not in self._waiting:
                    self._works.pop(key, None)
            case CancelWork(key=key):
                self._task.cancel(key.team, key.request_id)
            case ForwardCancel(key=key, home=home):
                self._forwarder.cancel(home, key)
            case StartWork() | CreateClaim() | ReadClaim() | Forward():
                self._hand_out(effect.key, effect)

    def _give(self, key: RequestKey, ref: CallerRef, last: _Step) -> None:
        caller = self._leave(key, ref)
        if caller is not None:
            caller.steps.put(last)

    def _hand_out(self, key: RequestKey, step: _Step) -> None:
        """Lets a waiting thread make the call, or one of our own if none waits."""
        waiting = self._waiting.get(key)
        if waiting:
            next(iter(waiting.values())).steps.put(step)
        elif key in self._works:
            self._orphans.submit(self._do, step, self._works[key])

    def _key_of(self, ref: CallerRef) -> RequestKey:
        return next(key for key, held in self._waiting.items() if ref in held)


def _ask(work: SubmittedRequest, ref: CallerRef) -> Submitted:
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
