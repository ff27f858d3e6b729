"""The HTTP interface that callers of the platform speak."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import cherrypy
import msgspec

from .. import web
from ..entry.caller_api import bearer_token
from ..jobs.service import (
    Accepted,
    Admitted,
    Call,
    KeyRefused,
    NoSuchJob,
    NoSuchQueue,
    NotTaken,
    PendingIs,
    Reply,
    StateIs,
    Unclear,
)
from .job_wire import decode_job

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..jobs.service import JobService

MAX_BODY_BYTES = 1 << 20
"""Bound before the configuration is known; the configured one is lower."""

DEFAULT_DEADLINE_MS = 3_000
"""Assumed where a caller names no deadline."""

ANSWER_SHARE = 0.9
"""Part of the caller's time after which it is answered in any case."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")


class Ingress:
    """Root of the callers' interface: each path is a queue's prefix and a job id.

    Args:
        service: Does the work.
    """

    def __init__(self, service: JobService) -> None:
        self._service = service

    @web.exposed
    def default(self, *_parts: str, **_query: str) -> bytes:
        """Serves every path."""
        call = _call()
        admitted = self._service.admit(call)
        if not isinstance(admitted, Admitted):
            return _send(admitted)
        method = cherrypy.request.method
        if not admitted.rest:
            web.require(method == "GET", 405, "use GET")
            return _send(self._service.pending(call))
        if _JOB_ID.fullmatch(admitted.rest) is None:
            web.require(method != "POST", 400, "the id has 16 hexadecimal digits")
            return _send(NoSuchJob())
        match method:
            case "POST":
                return self._submit(call, admitted.catalog.max_body_bytes)
            case "GET":
                return _send(self._service.state(call))
            case "DELETE":
                return _send(self._service.cancel(call))
        raise cherrypy.HTTPError(405, "use POST, GET or DELETE")

    def _submit(self, call: Call, max_body_bytes: int) -> bytes:
        body = web.read_body(max_body_bytes)
        try:
            job = decode_job(body)
        except msgspec.MsgspecError as exc:
            raise cherrypy.HTTPError(400, str(exc)) from exc
        reply = self._service.submit(call, job.payload, job.steps, job.recurrence)
        return _send(reply)


class ReadinessPage:
    """What the balancer asks for.

    Args:
        is_ready: Tells whether callers may be sent here.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self.v1 = self

    @web.exposed
    def readyz(self) -> bytes:
        """Tells whether callers may be sent here."""
        is_ready = self._is_ready()
        return web.json_body({"ready": is_ready}, status=200 if is_ready else 503)


class MetricsPage:
    """Metrics as text.

    Args:
        render: Returns the text.
    """

    def __init__(self, render: Callable[[], str]) -> None:
        self._render = render

    @web.exposed
    def metrics(self) -> bytes:
        """Shows all metrics."""
        cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
        return self._render().encode()


def _call() -> Call:
    head = cherrypy.request.headers
    deadline = head.get("Deadline-Ms", "")
    deadline_ms = int(deadline) if deadline.isdecimal() else DEFAULT_DEADLINE_MS
    return Call(
        host_header=head.get("Host", ""),
        path=cherrypy.request.path_info,
        key=bearer_token(),
        timeout_s=deadline_ms * ANSWER_SHARE / 1_000,
    )


def _send(reply: Reply | Admitted) -> bytes:
    """Answers; a call that was given up is told when to come back."""
    status, payload = _rendered(reply)
    if isinstance(reply, NotTaken):
        cherrypy.response.headers["Retry-After"] = str(reply.retry_after_s)
    return web.json_body(payload, status=status)


def _rendered(reply: Reply | Admitted) -> tuple[int, dict[str, Any]]:
    match reply:
        case Accepted():
            return 200, {"accepted": True}
        case StateIs(state):
            return 200, {"state": state.value}
        case PendingIs(count):
            return 200, {"pending": count}
        case NoSuchQueue():
            return 404, {"error": "no such queue"}
        case NoSuchJob():
            return 410, {"error": "no such job"}
        case KeyRefused():
            return 401, {"error": "unknown key"}
        case NotTaken(why):
            return 503, {"error": why}
        case Unclear(why):
            return 504, {"error": why}
    raise cherrypy.HTTPError(500, "no reply")
