"""Forwards unrepeatable requests to their home entry, and serves as home entry.

The home entry of a request id is the only entry that may run its work.
"""

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
    """Contents of ``ForwardRequest.head``.

    Attributes:
        submission: Number of the submission, see ``Submission.number``.
        home: Incarnation of the home entry that the request is addressed to.
    """

    queue: str
    work_class: WorkClass
    needs: Needs
    content_type: str
    fingerprint: str
    submission: int
    home: str


class PeerLinks(Protocol):
    """Links to other entries."""

    def ensure_link(self, entry: EntryId, timeout_ms: int) -> bool:
        """Waits for a link to an entry, and requests one if there is none.

        Returns:
            False if there is no link in time.
        """

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message, which is dropped if there is no link."""


class PeerForwarder:
    """Implements ``Forwarder`` over links between entries.

    Args:
        peers: Links to other entries.
    """

    LINK_TIMEOUT_MS = 1_000

    def __init__(self, peers: PeerLinks) -> None:
        self._peers = peers
        self._exchange_ids = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, tuple[EntryId, Future[ForwardReply]]] = {}

    def forward(
        self, home: Home, request: Request, payload: Payload, submission: int
    ) -> RequestResult:
        """Returns the home's result; ``Unknown`` if it can't be reached in time."""
        if not self._peers.ensure_link(home.entry, self.LINK_TIMEOUT_MS):
            return _UNREACHABLE
        exchange = next(self._exchange_ids)
        future: Future[ForwardReply] = Future()
        with self._lock:
            self._pending[exchange] = (home.entry, future)
        remaining_ms = max(1, request.deadline_ms - now_ms())
        message = _to_message(
            exchange, remaining_ms, home, request, payload, submission
        )
        self._peers.send(home.entry, message)
        try:
            return _to_result(future.result(remaining_ms / MS_PER_S))
        except FutureTimeoutError:
            return RequestResult(Unknown(UnknownReason.DEADLINE_PASSED))
        except ConnectionError:
            return _UNREACHABLE
        finally:
            with self._lock:
                del self._pending[exchange]

    def cancel(self, home: Home, key: RequestKey) -> None:
        """Requests the home to cancel the work."""
        message = ForwardCancelled(key.team, key.request_id)
        self._peers.send(home.entry, message)

    def handle_reply(self, entry: EntryId, reply: ForwardReply) -> None:
        """Passes the home's reply to the thread that waits for it, if there is one."""
        with self._lock:
            home_entry, future = self._pending.get(reply.exchange, (None, None))
        if future is not None and home_entry == entry and not future.done():
            future.set_result(reply)

    def handle_link_down(self, entry: EntryId) -> None:
        """Ends all waits for the replies of an entry whose link has ended."""
        with self._lock:
            waiting_futures = [
                future for peer, future in self._pending.values() if peer == entry
            ]
        for future in waiting_futures:
            if not future.done():
                future.set_exception(ConnectionError("the link has ended"))


class HomeService:
    """Serves requests that other entries forward to this one as their home.

    Args:
        runner: Runs each request at most once.
        peers: Links to other entries, for the replies.
        pool_of: Returns the pool that a queue uses; None if there is no such queue.
    """

    def __init__(
        self,
        runner: IdempotentRunner,
        peers: PeerLinks,
        pool_of: Callable[[QueueName], PoolName | None],
    ) -> None:
        self._runner = runner
        self._peers = peers
        self._pool_of = pool_of
        self._executor = ThreadPoolExecutor(HOME_THREADS, thread_name_prefix="home")

    def handle_request(self, entry: EntryId, message: ForwardRequest) -> None:
        """Runs a forwarded request on a thread of the executor and replies."""
        self._executor.submit(self._serve, entry, message)

    def cancel(self, message: ForwardCancelled) -> None:
        """Cancels a forwarded request."""
        self._runner.cancel(RequestKey(message.team, message.request_id))

    def stop(self) -> None:
        """Accepts no more forwarded requests."""
        self._executor.shutdown(wait=False)

    def _serve(self, entry: EntryId, message: ForwardRequest) -> None:
        reply = self._run(message)
        self._peers.send(
            entry,
            ForwardReply(message.exchange, reply.status, reply.headers, reply.body),
        )

    def _run(self, message: ForwardRequest) -> Reply:
        head = msgspec.convert(message.head, ForwardHead)
        pool = self._pool_of(QueueName(head.queue))
        if pool is None:
            no_queue = NotRun(NotRunReason.QUEUE_UNKNOWN, "the home has no such queue")
            return replies.not_run(no_queue, message.request_id)
        result = self._runner.submit(_to_work(message, head, pool))
        if isinstance(result, Problem):
            return replies.malformed(result, status=UNPROCESSABLE)
        return replies.final(message.request_id, result)


def _to_message(
    exchange: int,
    remaining_ms: int,
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
        remaining_ms,
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


def _to_result(reply: ForwardReply) -> RequestResult:
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
