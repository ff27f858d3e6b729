"""The HTTP interface for operators, under ``/admin/v1``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cherrypy

from .. import web
from .caller_api import bearer_token

if TYPE_CHECKING:
    from .admin_replies import AdminReply
    from .admin_service import AdminService

MAX_BODY_BYTES = 1 << 20


class AdminApi:
    """Root of the URL tree of the administration interface.

    Args:
        service: Carries out the calls.
    """

    def __init__(self, service: AdminService) -> None:
        self.admin = _Admin(service)


class _Admin:
    def __init__(self, service: AdminService) -> None:
        self.v1 = _Version1(service)


class _Version1:
    def __init__(self, service: AdminService) -> None:
        self._service = service

    @web.exposed
    def changes(self) -> bytes:
        """Commits the changes in the body."""
        web.require(cherrypy.request.method == "POST", 405, "use POST")
        body = web.read_body(MAX_BODY_BYTES)
        return _send(self._service.change(body, bearer_token()))

    @web.exposed
    def preview(self) -> bytes:
        """Returns what the changes in the body would do."""
        web.require(cherrypy.request.method == "POST", 405, "use POST")
        body = web.read_body(MAX_BODY_BYTES)
        return _send(self._service.preview(body, bearer_token()))

    @web.exposed
    def watch(self, after: str = "0", timeout_ms: str = "0") -> bytes:
        """Returns the configuration records after a revision, waiting for them."""
        return _send(self._service.watch(after, timeout_ms, bearer_token()))

    @web.exposed
    def default(self, *path: str) -> bytes:
        """Returns the object at a path."""
        web.require(cherrypy.request.method == "GET", 405, "use GET")
        return _send(self._service.read("/".join(path), bearer_token()))


def _send(reply: AdminReply) -> bytes:
    return web.json_body(reply.payload, status=reply.status)
