"""Hands unrepeatable requests to the entry that is their home, and serves as home."""

from __future__ import annotations

import itertools
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Protocol

import msgspec

from ..backend.client import BackendAnswer, Payload
from ..domain.errors import Problem
from ..domain.ids import (
    AttemptId,
    EntryId,
    HostId,
    Incarnation,
    Millis,
    PoolName,
    QueueName,
    RequestId,
    TeamName,
)
from ..domain.requests.model import (
    Answered,
    Needs,
    NotRun,
    NotRunReason,
    Request,
    Unknown,
    UnknownReason,
    WorkClass,
)
from ..domain.requests.tracked_request import RequestKey
from ..peers.messages import ForwardCancelled, ForwardReply, ForwardRequest
from . import replies
from .clock import now_ms
from .idempotent_runner import SubmittedRequest
from .replies import OUTCOME, OutcomeName, RefusalBody, Reply
from .request_runner import RequestResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.requests.ids import Home
    from ..peers.codec import PeerMessage
    from .idempotent_runner import IdempotentRunner

MS_PER_S = 1_000
HOME_THREADS = 16
UNPROCESSABLE = 422
_UNREACHABLE = RequestResult(Unknown(UnknownReason.HOME_UNREACHABLE))


class ForwardHead(msgspec.Struct, frozen=True):
    """Border fields of a forwarded request."""

    queue: str
    work_class: WorkClass
    needs: Needs
    content_type: str
    fingerprint: str
    submission: int
    home: str


class PeerLinks(Protocol):
    """Sends messages to other entries."""

    def ensure_link(self, entry: EntryId, timeout_ms: int) -> bool:
        """Makes sure of a link to an entry; false if there is none in time."""

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message; without a link it is dropped."""


class PeerForwarder:
    """Implements ``Forwarder`` over links between entries.

    Args:
        peers: Sends messages.
    """

    REACH_TIMEOUT_MS = 1_000

    def __init__(self, peers: PeerLinks) -> None:
        self._peers = peers
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._open: dict[int, tuple[EntryId, Future[ForwardReply]]] = {}

    def forward(
        self, home: Home, request: Request, payload: Payload, submission: int
    ) -> RequestResult:
        """Returns the home's outcome, or ``Unknown`` when it can't be asked."""
        if not self._peers.ensure_link(home.entry, self.REACH_TIMEOUT_MS):
            return _UNREACHABLE
        exchange = next(self._numbers)
        future: Future[ForwardReply] = Future()
        with self._lock:
            self._open[exchange] = (home.entry, future)
        left_ms = max(1, request.deadline_ms - now_ms())
        message = _to_message(exchange, left_ms, home, request, payload, submission)
        self._peers.send(home.entry, message)
        try:
            return _to_final(future.result(left_ms / MS_PER_S))
        except FutureTimeoutError:
            return RequestResult(Unknown(UnknownReason.DEADLINE_PASSED))
        except ConnectionError:
            return _UNREACHABLE
        finally:
            with self._lock:
                del self._open[exchange]

    def cancel(self, home: Home, key: RequestKey) -> None:
        """Asks the home to cancel the work."""
        message = ForwardCancelled(key.team, key.request_id)
        self._peers.send(home.entry, message)

    def handle_reply(self, entry: EntryId, reply: ForwardReply) -> None:
        """Takes the home's reply; one that nobody waits for is dropped."""
        with self._lock:
            waiting, future = self._open.get(reply.exchange, (None, None))
        if future is not None and waiting == entry and not future.done():
            future.set_result(reply)

    def handle_link_down(self, entry: EntryId) -> None:
        """Ends the waits for an entry whose link has ended."""
        with self._lock:
            lost = [fut for peer, fut in self._open.values() if peer == entry]
        for future in lost:
            if not future.done():
                future.set_exception(ConnectionError("the link has ended"))


class HomeService:
    """Serves requests that other entries forward to this one.

    Args:
        table: Runs each request once.
        peers: Sends the replies.
        pool_of: Returns the pool that a queue uses, none if there is no such queue.
    """

    def __init__(
        self,
        table: IdempotentRunner,
        peers: PeerLinks,
        pool_of: Callable[[QueueName], PoolName | None],
    ) -> None:
        self._table = table
        self._peers = peers
        self._pool_of = pool_of
        self._executor = ThreadPoolExecutor(HOME_THREADS, thread_name_prefix="home")

    def handle_request(self, entry: EntryId, message: ForwardRequest) -> None:
        """Runs a forwarded request on a thread of its own and replies."""
        self._executor.submit(self._serve, entry, message)

    def cancel(self, message: ForwardCancelled) -> None:
        """Cancels a forwarded request."""
        self._table.cancel(RequestKey(message.team, message.request_id))

    def stop(self) -> None:
        """Takes no more forwarded requests."""
        self._executor.shutdown(wait=False)

    def _serve(self, entry: EntryId, message: ForwardRequest) -> None:
        reply = self._run(message)
        self._peers.send(
            entry, ForwardReply(message.exchange, reply.status, reply.head, reply.body)
        )

    def _run(self, message: ForwardRequest) -> Reply:
        head = msgspec.convert(message.head, ForwardHead)
        pool = self._pool_of(QueueName(head.queue))
        if pool is None:
            gone = NotRun(NotRunReason.QUEUE_UNKNOWN, "the home has no such queue")
            return replies.not_run(gone, message.request_id)
        result = self._table.submit(_to_work(message, head, pool))
        if isinstance(result, Problem):
            return replies.malformed(result, status=UNPROCESSABLE)
        return replies.final(message.request_id, result)


def _to_message(
    exchange: int,
    left_ms: int,
    home: Home,
    request: Request,
    payload: Payload,
    submission: int,
) -> ForwardRequest:
    head = ForwardHead(
        queue=request.queue,
        work_class=request.work_class,
        needs=request.needs,
        content_type=payload.content_type,
        fingerprint=payload.fingerprint,
        submission=submission,
        home=home.incarnation,
    )
    return ForwardRequest(
        exchange,
        request.request_id,
        request.team,
        left_ms,
        msgspec.to_builtins(head),
        payload.body,
    )


def _to_work(
    message: ForwardRequest, head: ForwardHead, pool: PoolName
) -> SubmittedRequest:
    accepted_ms = now_ms()
    request = Request(
        request_id=RequestId(message.request_id),
        team=TeamName(message.team),
        queue=QueueName(head.queue),
        pool=pool,
        work_class=head.work_class,
        repeatable=False,
        accepted_ms=accepted_ms,
        deadline_ms=Millis(accepted_ms + message.deadline_left_ms),
        needs=head.needs,
    )
    payload = Payload(head.content_type, message.body, head.fingerprint)
    return SubmittedRequest(request, payload, head.submission, Incarnation(head.home))


def _to_final(reply: ForwardReply) -> RequestResult:
    match reply.head.get(OUTCOME):
        case OutcomeName.ANSWERED:
            answer = BackendAnswer(
                reply.status, reply.head["Content-Type"], bytes(reply.body)
            )
            return RequestResult(
                Answered(AttemptId("forwarded"), HostId("forwarded")), answer
            )
        case OutcomeName.NOT_RUN:
            return RequestResult(_to_not_run(reply))
    return RequestResult(_to_unknown(reply))


def _to_not_run(reply: ForwardReply) -> NotRun | Unknown:
    try:
        body = msgspec.json.decode(reply.body, type=RefusalBody)
        return NotRun(NotRunReason(body.reason), body.detail, body.retry_after_ms)
    except (msgspec.ValidationError, ValueError):
        return Unknown(UnknownReason.ID_SPENT, "the home refused the request")


def _to_unknown(reply: ForwardReply) -> Unknown:
    try:
        body = msgspec.json.decode(reply.body, type=RefusalBody)
        return Unknown(UnknownReason(body.reason), body.detail, body.retry_after_ms)
    except (msgspec.ValidationError, ValueError):
        return Unknown(UnknownReason.HOME_UNREACHABLE, "the home's reply is malformed")
