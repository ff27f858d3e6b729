"""The callers' HTTP interface: submit, read back, cancel, issue ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cherrypy

from .. import web
from . import openapi

if TYPE_CHECKING:
    from .caller_service import CallerService
    from .replies import Reply
    from .shutdown import Readiness

BEARER = "bearer "
JSON_TYPE = "application/json"


class CallerApi:
    """Root of the callers' interface.

    Args:
        service: Does the work.
        readiness: Decides the health check.
        max_body_bytes: Largest request body.
    """

    def __init__(
        self, service: CallerService, readiness: Readiness, *, max_body_bytes: int
    ) -> None:
        self.v1 = _Version1(service, readiness, max_body_bytes)
        self._readiness = readiness

    @web.exposed
    def health(self) -> bytes:
        """Tells the balancer whether to send callers here."""
        ready = self._readiness.is_ready
        return web.json_body({"ready": ready}, status=200 if ready else 503)

    @web.exposed
    def openapi_json(self) -> bytes:
        """Describes this interface."""
        return web.json_body(openapi.describe())


class _Version1:
    def __init__(
        self, service: CallerService, readiness: Readiness, max_body_bytes: int
    ) -> None:
        self._service = service
        self._readiness = readiness
        self._max_body_bytes = max_body_bytes

    @web.exposed
    def queues(self, queue: str = "", tail: str = "") -> bytes:
        """Takes a request into a queue."""
        web.require(cherrypy.request.method == "POST", 405, "use POST")
        web.require(bool(queue) and tail == "requests", 404, "no such path")
        _require_length()
        body = web.read_body(self._max_body_bytes)
        head = cherrypy.request.headers
        reply = self._service.submit(queue, head, body, bearer_token())
        if not self._readiness.is_ready:
            web.close_after_reply()
        return _send(reply)

    @web.exposed
    def requests(self, *parts: str) -> bytes:
        """Reads a reply back, or cancels a request; an id may contain slashes."""
        request_id = "/".join(parts)
        web.require(bool(request_id), 404, "name a request")
        match cherrypy.request.method:
            case "GET":
                return _send(self._service.read_back(request_id, bearer_token()))
            case "DELETE":
                return _send(self._service.cancel(request_id, bearer_token()))
        raise cherrypy.HTTPError(405, "use GET or DELETE")

    @web.exposed
    def request_ids(self, count: str = "1") -> bytes:
        """Issues ids for unrepeatable requests."""
        web.require(cherrypy.request.method == "POST", 405, "use POST")
        return _send(self._service.issue_ids(count, bearer_token()))


def _require_length() -> None:
    head = cherrypy.request.headers
    chunked = "chunked" in head.get("Transfer-Encoding", "").lower()
    known = chunked or head.get("Content-Length", "").isdecimal()
    web.require(known, 411, "send Content-Length or a chunked body")


def bearer_token() -> str | None:
    """Returns the bearer token of the current request, if one was sent."""
    text: str = cherrypy.request.headers.get("Authorization", "")
    if not text.lower().startswith(BEARER):
        return text or None
    return text[len(BEARER) :].strip()


def _send(reply: Reply) -> bytes:
    cherrypy.response.status = reply.status
    cherrypy.response.headers.update(reply.head)
    cherrypy.response.headers["Content-Length"] = str(len(reply.body))
    return reply.body
