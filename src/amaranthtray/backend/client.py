"""Runs attempts on backend servers and reports how each one ended."""

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
FIRST_SERVER_ERROR_STATUS = 500
REFUSED_STATUS = 503
CONNECT_TIMEOUT_MS = 1_000


@dataclass(frozen=True, slots=True)
class Payload:
    """Content of a request; the dispatcher decides without it.

    Attributes:
        content_type: Media type of the body.
        body: The body as the caller sent it.
        fingerprint: Digest of everything that defines the work, by which copies of
            a request are recognized.
    """

    content_type: str
    body: bytes
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A complete answer of a backend server."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """How an attempt ended.

    Attributes:
        result: How it ended.
        answer: The answer, if it arrived complete.
        free_slots: Free slots that the backend server reported in its reply, if any.
    """

    result: AttemptResult
    answer: BackendAnswer | None = None
    free_slots: int | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on one host.

    Attributes:
        timeout_ms: Time within which the attempt must end.
        send_within_ms: Time within which its first byte must be sent; after that,
            nothing may be sent.
        lease_ms: Duration of the lease under which the backend server runs the task.
        resumes: Attempt from whose checkpoint the task resumes, if any.
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
    """Runs attempts, each on one thread and any number concurrently.

    Args:
        pools: Connections to the backend servers.
        max_answer_bytes: Longer answers are treated as incomplete.
    """

    def __init__(
        self, pools: ConnectionPools, *, max_answer_bytes: int = 8 << 20
    ) -> None:
        self._pools = pools
        self._max_answer_bytes = max_answer_bytes

    def register(self, attempt_id: AttemptId) -> None:
        """Registers an attempt, so that it can be aborted before it is run."""
        self._pools.sockets.register(attempt_id)

    def unregister(self, attempt_id: AttemptId) -> None:
        """Removes a registered attempt that will not be run."""
        self._pools.sockets.unregister(attempt_id)

    def run(self, attempt: Attempt) -> AttemptReport:
        """Sends the request, reads the complete answer and reports how it ended.

        The attempt must have been registered with ``register``.
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
            return AttemptReport(self._classify_error(exc, deadline_s))
        finally:
            self._pools.sockets.unregister(attempt.attempt_id)
            progress.attempt_id = None

    def abort(self, attempt_id: AttemptId) -> None:
        """Shuts down the connection of an attempt in flight; any thread may call it."""
        self._pools.sockets.abort(attempt_id)

    def _exchange(self, attempt: Attempt, deadline_s: float) -> AttemptReport:
        pool = self._pools.get(attempt.host.address, attempt.host.port)
        wait_s = max(0.001, deadline_s - time.monotonic())
        connect_s = min(wait_s, CONNECT_TIMEOUT_MS / MS_PER_S)
        resp = pool.urlopen(
            "POST",
            wire.TASKS_PATH,
            body=attempt.payload.body,
            headers=_request_headers(attempt),
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=connect_s, read=wait_s),
            pool_timeout=connect_s,  # type: ignore[arg-type]
            preload_content=False,
            decode_content=False,
        )
        try:
            return self._read_answer(attempt, resp, deadline_s)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            resp.close()
            return AttemptReport(AnswerCut(f"{type(exc).__name__}: {exc}"))

    def _read_answer(
        self,
        attempt: Attempt,
        resp: urllib3.BaseHTTPResponse,
        deadline_s: float,
    ) -> AttemptReport:
        if not _has_known_end(resp):
            resp.close()
            return AttemptReport(
                AnswerCut("the answer has no Content-Length and is not chunked")
            )
        body = bytearray()
        while chunk := resp.read(READ_CHUNK_BYTES):
            body += chunk
            if len(body) > self._max_answer_bytes:
                resp.close()
                return AttemptReport(AnswerCut("the answer exceeds the maximum size"))
            if time.monotonic() > deadline_s:
                resp.close()
                return AttemptReport(TimedOut())
        resp.release_conn()
        return _classify_reply(attempt, resp, bytes(body))

    def _classify_error(self, exc: Exception, deadline_s: float) -> AttemptResult:
        detail = f"{type(exc).__name__}: {exc}"
        if not self._pools.progress.may_have_sent:
            return NothingSent(detail)
        if time.monotonic() >= deadline_s:
            return TimedOut()
        return BrokeAfterSend(detail)


def _request_headers(attempt: Attempt) -> dict[str, str]:
    request = attempt.request
    headers = {
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
        headers[wire.RESUMES] = attempt.resumes
    return headers


def _has_known_end(resp: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether an incomplete answer can be distinguished from a complete one."""
    chunked = "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
    return chunked or resp.headers.get("Content-Length", "").isdecimal()


def _classify_reply(
    attempt: Attempt, resp: urllib3.BaseHTTPResponse, body: bytes
) -> AttemptReport:
    free_slots = _parse_free_slots(resp)
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
    result = WholeAnswer(is_error=resp.status >= FIRST_SERVER_ERROR_STATUS)
    return AttemptReport(result, answer, free_slots)


def _parse_free_slots(resp: urllib3.BaseHTTPResponse) -> int | None:
    text = resp.headers.get(wire.FREE_SLOTS, "")
    return int(text) if text.isdecimal() else None
