"""The HTTP interface for callers of the platform."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import cherrypy
import msgspec

from .. import web
from ..entry.caller_api import bearer_token
from ..jobs.decode_budget import DecodeBudget, decoded_size
from ..jobs.requests import (
    Accepted,
    AdmittedRequest,
    CallerRequest,
    JobStateReply,
    KeyRefused,
    NeverRun,
    NoSuchJob,
    NoSuchQueue,
    OutcomeUnknown,
    PendingReply,
    Reply,
    RetryLater,
)
from .job_wire import decode_job

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..jobs.service import JobService
    from ..settings.job_entry import ClientsSection

MAX_BODY_BYTES = 1 << 20
"""Limit until the configuration is known; the configured limit is lower."""

DEFAULT_DEADLINE_MS = 3_000
"""Deadline of requests without a deadline header."""

REPLY_TIME_SHARE = 0.9
"""Share of the caller's deadline after which it gets a reply in any case."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")


class Ingress:
    """Root of the callers' interface; a path is a queue's prefix and a job id.

    Args:
        service: Handles the requests.
        limits: Bounds of the documents that are submitted.
        on_refused: Called with ``documents`` when a document doesn't fit into what is
            left for all of them.
    """

    def __init__(
        self,
        service: JobService,
        limits: ClientsSection,
        on_refused: Callable[[str], object],
    ) -> None:
        self._service = service
        self._limits = limits
        self._on_refused = on_refused
        self._budget = DecodeBudget(limits.max_decoded_mb << 20)

    @web.exposed
    def default(self, *_parts: str, **_query: str) -> bytes:
        """Serves every path."""
        request = _caller_request()
        admitted = self._service.admit(request)
        if not isinstance(admitted, AdmittedRequest):
            return _write_reply(admitted)
        method = cherrypy.request.method
        if not admitted.subpath:
            web.require(method == "GET", 405, "use GET")
            return _write_reply(self._service.pending(request))
        if _JOB_ID.fullmatch(admitted.subpath) is None:
            web.require(method != "POST", 400, "the id has 16 hexadecimal digits")
            return _write_reply(NoSuchJob())
        match method:
            case "POST":
                return self._submit(request, admitted.catalog.max_body_bytes)
            case "GET":
                return _write_reply(self._service.state(request))
            case "DELETE":
                return _write_reply(self._service.cancel(request))
        raise cherrypy.HTTPError(405, "use POST, GET or DELETE")

    def _submit(self, request: CallerRequest, max_body_bytes: int) -> bytes:
        body = web.read_body(max_body_bytes)
        size = decoded_size(body)
        web.require(self._budget.can_ever_hold(size), 413, "the job has too many steps")
        with self._budget.hold(size) as is_held:
            if is_held:
                return self._store(request, body)
        self._on_refused("documents")
        return _write_reply(RetryLater("not stored: too many large jobs at one time"))

    def _store(self, request: CallerRequest, body: bytes) -> bytes:
        try:
            job = decode_job(body, self._limits)
        except msgspec.MsgspecError as exc:
            raise cherrypy.HTTPError(400, str(exc)) from exc
        reply = self._service.submit(request, job.payload, job.steps, job.recurrence)
        return _write_reply(reply)


class ReadinessPage:
    """Readiness for the load balancer.

    Args:
        is_ready: Returns whether the entry may get callers.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self.v1 = self

    @web.exposed
    def readyz(self) -> bytes:
        """Replies 200 if the entry may get callers, otherwise 503."""
        is_ready = self._is_ready()
        return web.json_body({"ready": is_ready}, status=200 if is_ready else 503)


def _caller_request() -> CallerRequest:
    head = cherrypy.request.headers
    deadline = head.get("Deadline-Ms", "")
    deadline_ms = int(deadline) if deadline.isdecimal() else DEFAULT_DEADLINE_MS
    return CallerRequest(
        host_header=head.get("Host", ""),
        path=cherrypy.request.path_info,
        key=bearer_token(),
        timeout_s=deadline_ms * REPLY_TIME_SHARE / 1_000,
    )


def _write_reply(reply: Reply | AdmittedRequest) -> bytes:
    """Returns a reply's body; a request to retry gets a ``Retry-After`` header."""
    status, payload = _encode_reply(reply)
    if isinstance(reply, RetryLater):
        cherrypy.response.headers["Retry-After"] = str(reply.retry_after_s)
    return web.json_body(payload, status=status)


def _encode_reply(reply: Reply | AdmittedRequest) -> tuple[int, dict[str, Any]]:
    match reply:
        case Accepted():
            return 200, {"accepted": True}
        case JobStateReply(state):
            return 200, {"state": state.value}
        case PendingReply(count):
            return 200, {"pending": count}
        case NoSuchQueue():
            return 404, {"error": "no such queue"}
        case NoSuchJob(why):
            return 410, {"error": why}
        case KeyRefused():
            return 401, {"error": "unknown key"}
        case NeverRun(why):
            return 400, {"error": why}
        case RetryLater(why):
            return 503, {"error": why}
        case OutcomeUnknown(why):
            return 504, {"error": why}
    raise cherrypy.HTTPError(500, "no reply")
