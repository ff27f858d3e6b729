"""Runs one attempt on a backend server and says truly how it ended."""

from __future__ import annotations

import time
from dataclasses import dataclass

import urllib3

from ..domain.ids import AttemptId
from ..domain.inventory import Host
from ..domain.requests.messages import (
    AnswerCut,
    AttemptResult,
    BrokeAfterSend,
    Checkpointed,
    NothingSent,
    RefusedByHost,
    TimedOut,
    WholeAnswer,
)
from ..domain.requests.model import Request
from . import wire
from .connections import AttemptAbortedError, ConnectionPools

MS_PER_S = 1_000
READ_CHUNK_BYTES = 64 << 10
FIRST_ERROR_STATUS = 500
REFUSED_STATUS = 503
CONNECT_TIMEOUT_MS = 1_000


@dataclass(frozen=True, slots=True)
class Payload:
    """What the caller sent; kept out of the decisions.

    Attributes:
        fingerprint: Digest of all that defines the work, to know copies by.
    """

    content_type: str
    body: bytes
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A whole answer of a backend server."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """How an attempt ended and, when whole, its answer.

    Attributes:
        free_slots: Free slots that the server named in its reply, if any.
    """

    result: AttemptResult
    answer: BackendAnswer | None = None
    free_slots: int | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on one host.

    Attributes:
        timeout_ms: Time until the attempt must have ended.
        send_within_ms: Time until its first byte must have left, or none may.
        lease_ms: Lease that the backend server runs the task under.
        resumes: Attempt whose checkpoint the task goes on from, if any.
    """

    attempt_id: AttemptId
    request: Request
    payload: Payload
    host: Host
    timeout_ms: int
    send_within_ms: int
    lease_ms: int
    resumes: AttemptId | None = None


class BackendClient:
    """Runs attempts; one thread each, any number at once.

    Args:
        pools: Connections to the backend servers.
        max_answer_bytes: Longer answers are treated as cut.
    """

    def __init__(
        self, pools: ConnectionPools, *, max_answer_bytes: int = 8 << 20
    ) -> None:
        self._pools = pools
        self._max_answer_bytes = max_answer_bytes

    def register(self, attempt_id: AttemptId) -> None:
        """Makes an attempt known, so that it can be aborted before it is run."""
        self._pools.live.register(attempt_id)

    def unregister(self, attempt_id: AttemptId) -> None:
        """Forgets an attempt that is not going to be run."""
        self._pools.live.end(attempt_id)

    def run(self, attempt: Attempt) -> AttemptReport:
        """Sends the request, reads the whole answer and reports how it ended.

        The attempt must have been made known with ``register``.
        """
        progress = self._pools.progress
        progress.attempt_id = attempt.attempt_id
        progress.may_have_sent = False
        progress.send_by_s = time.monotonic() + attempt.send_within_ms / MS_PER_S
        deadline_s = time.monotonic() + attempt.timeout_ms / MS_PER_S
        try:
            return self._exchange(attempt, deadline_s)
        except AttemptAbortedError as exc:
            return AttemptReport(NothingSent(str(exc), is_host_fault=False))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return AttemptReport(self._failure(exc, deadline_s))
        finally:
            self._pools.live.end(attempt.attempt_id)
            progress.attempt_id = None

    def abort(self, attempt_id: AttemptId) -> None:
        """Ends the connection of an attempt in flight, from any thread."""
        self._pools.live.abort(attempt_id)

    def _exchange(self, attempt: Attempt, deadline_s: float) -> AttemptReport:
        pool = self._pools.get(attempt.host.address, attempt.host.port)
        wait_s = max(0.001, deadline_s - time.monotonic())
        connect_s = min(wait_s, CONNECT_TIMEOUT_MS / MS_PER_S)
        resp = pool.urlopen(
            "POST",
            wire.TASKS_PATH,
            body=attempt.payload.body,
            headers=_head(attempt),
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=connect_s, read=wait_s),
            pool_timeout=connect_s,  # type: ignore[arg-type]
            preload_content=False,
            decode_content=False,
        )
        try:
            return self._read(attempt, resp, deadline_s)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            resp.close()
            return AttemptReport(AnswerCut(f"{type(exc).__name__}: {exc}"))

    def _read(
        self,
        attempt: Attempt,
        resp: urllib3.BaseHTTPResponse,
        deadline_s: float,
    ) -> AttemptReport:
        if not _has_length(resp):
            resp.close()
            return AttemptReport(AnswerCut("the answer declares no length"))
        body = bytearray()
        while chunk := resp.read(READ_CHUNK_BYTES):
            body += chunk
            if len(body) > self._max_answer_bytes:
                resp.close()
                return AttemptReport(AnswerCut("the answer is too long"))
            if time.monotonic() > deadline_s:
                resp.close()
                return AttemptReport(TimedOut())
        resp.release_conn()
        return _judge(attempt, resp, bytes(body))

    def _failure(self, exc: Exception, deadline_s: float) -> AttemptResult:
        detail = f"{type(exc).__name__}: {exc}"
        if not self._pools.progress.may_have_sent:
            return NothingSent(detail)
        if time.monotonic() >= deadline_s:
            return TimedOut()
        return BrokeAfterSend(detail)


def _head(attempt: Attempt) -> dict[str, str]:
    request = attempt.request
    head = {
        "Content-Type": attempt.payload.content_type,
        wire.ATTEMPT_ID: attempt.attempt_id,
        wire.REQUEST_ID: request.request_id,
        wire.TEAM: request.team,
        wire.QUEUE: request.queue,
        wire.WORK_CLASS: request.work_class.value,
        wire.LEASE_MS: str(attempt.lease_ms),
        wire.DEADLINE_MS: str(attempt.timeout_ms),
    }
    if attempt.resumes is not None:
        head[wire.RESUMES] = attempt.resumes
    return head


def _has_length(resp: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether a cut answer can be told from a whole one."""
    chunked = "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
    return chunked or resp.headers.get("Content-Length", "").isdecimal()


def _judge(
    attempt: Attempt, resp: urllib3.BaseHTTPResponse, body: bytes
) -> AttemptReport:
    free_slots = _free_slots(resp)
    refusal = resp.headers.get(wire.NOT_STARTED)
    if resp.status == REFUSED_STATUS and refusal is not None:
        leaving = refusal == wire.REFUSED_LEAVING
        return AttemptReport(RefusedByHost(is_leaving=leaving), free_slots=free_slots)
    if resp.headers.get(wire.ATTEMPT_ID) != attempt.attempt_id:
        return AttemptReport(AnswerCut("the answer belongs to another attempt"))
    if wire.CHECKPOINTED in resp.headers:
        return AttemptReport(Checkpointed(), free_slots=free_slots)
    content_type = resp.headers.get("Content-Type", "application/octet-stream")
    answer = BackendAnswer(resp.status, content_type, body)
    result = WholeAnswer(is_error=resp.status >= FIRST_ERROR_STATUS)
    return AttemptReport(result, answer, free_slots)


def _free_slots(resp: urllib3.BaseHTTPResponse) -> int | None:
    text = resp.headers.get(wire.FREE_SLOTS, "")
    return int(text) if text.isdecimal() else None
