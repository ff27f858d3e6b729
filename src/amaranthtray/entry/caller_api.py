"""HTTP interface for callers: submit, read back, cancel, issue ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cherrypy

from .. import web
from . import openapi

if TYPE_CHECKING:
    from .caller_service import CallerService
    from .replies import Reply
    from .shutdown import Readiness

BEARER_PREFIX = "bearer "
JSON_TYPE = "application/json"


class CallerApi:
    """Root of the URL tree that callers see.

    Args:
        service: Handles the requests.
        readiness: Phase of the entry, which the health check reports.
        max_body_bytes: Maximum size of a request body.
    """

    def __init__(
        self, service: CallerService, readiness: Readiness, *, max_body_bytes: int
    ) -> None:
        self.v1 = _Version1(service, readiness, max_body_bytes)
        self._readiness = readiness

    @web.exposed
    def health(self) -> bytes:
        """Reports to the load balancer whether the entry takes new callers."""
        ready = self._readiness.is_ready
        return web.json_body({"ready": ready}, status=200 if ready else 503)

    @web.exposed
    def openapi_json(self) -> bytes:
        """Returns the OpenAPI document of this interface."""
        return web.json_body(openapi.describe())


class _Version1:
    """URL tree under ``/v1``; the method names are the path segments."""

    def __init__(
        self, service: CallerService, readiness: Readiness, max_body_bytes: int
    ) -> None:
        self._service = service
        self._readiness = readiness
        self._max_body_bytes = max_body_bytes

    @web.exposed
    def queues(self, queue: str = "", tail: str = "") -> bytes:
        """Submits a request to a queue."""
        web.require(cherrypy.request.method == "POST", 405, "use POST")
        web.require(bool(queue) and tail == "requests", 404, "no such path")
        _require_body_length()
        body = web.read_body(self._max_body_bytes)
        headers = cherrypy.request.headers
        reply = self._service.submit(queue, headers, body, bearer_token())
        if not self._readiness.is_ready:
            web.close_after_reply()
        return _write_response(reply)

    @web.exposed
    def requests(self, *parts: str) -> bytes:
        """Reads back a reply, or cancels a request; an id may contain slashes."""
        request_id = "/".join(parts)
        web.require(bool(request_id), 404, "name a request")
        match cherrypy.request.method:
            case "GET":
                return _write_response(
                    self._service.read_back(request_id, bearer_token())
                )
            case "DELETE":
                return _write_response(self._service.cancel(request_id, bearer_token()))
        raise cherrypy.HTTPError(405, "use GET or DELETE")

    @web.exposed
    def request_ids(self, count: str = "1") -> bytes:
        """Issues ids for unrepeatable requests."""
        web.require(cherrypy.request.method == "POST", 405, "use POST")
        return _write_response(self._service.issue_ids(count, bearer_token()))


def _require_body_length() -> None:
    headers = cherrypy.request.headers
    is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    has_length = is_chunked or headers.get("Content-Length", "").isdecimal()
    web.require(has_length, 411, "send Content-Length or a chunked body")


def bearer_token() -> str | None:
    """Returns the bearer token of the current request; None if there is none.

    An ``Authorization`` header of another scheme is returned whole, so that it is
    refused as an unknown key.
    """
    authorization: str = cherrypy.request.headers.get("Authorization", "")
    if not authorization.lower().startswith(BEARER_PREFIX):
        return authorization or None
    return authorization[len(BEARER_PREFIX) :].strip()


def _write_response(reply: Reply) -> bytes:
    cherrypy.response.status = reply.status
    cherrypy.response.headers.update(reply.headers)
    cherrypy.response.headers["Content-Length"] = str(len(reply.body))
    return reply.body
