"""A CherryPy application on its own server, so that one process can run several."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Any, TypeVar

import cherrypy
import msgspec
from cheroot import wsgi

JSON_TYPE = "application/json"
SHUTDOWN_TIMEOUT_S = 1
SOCKET_KEY = "amaranthtray.socket"

F = TypeVar("F", bound=Callable[..., Any])

_SERVER: Any = wsgi.Server
_GATEWAY: Any = wsgi.Gateway_10


class WebServer:
    """Serves one CherryPy tree on one address.

    Args:
        root: The object that CherryPy dispatches to.
        host: IP address to listen on.
        port: TCP port; 0 takes a free one.
        threads: Threads that serve requests.
        max_body_bytes: Larger bodies are refused with 413.
        max_header_bytes: Larger heads are refused with 413.
        read_timeout_ms: Longest silence of a sender in the midst of a request.
        backlog: Connections that may wait to be accepted.
    """

    def __init__(
        self,
        root: object,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = 8,
        max_body_bytes: int = 1 << 20,
        max_header_bytes: int = 16 << 10,
        read_timeout_ms: int = 10_000,
        backlog: int = 256,
    ) -> None:
        app = cherrypy.Application(root, "", {"/": _app_config()})
        app.log.screen = False
        app.log.access_log.propagate = False
        app.log.error_log.propagate = False
        self._server: Any = _SERVER(
            (host, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=backlog,
            timeout=read_timeout_ms / 1_000,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.max_request_body_size = max_body_bytes
        self._server.max_request_header_size = max_header_bytes
        self._server.gateway = _SocketGateway
        self._server.error_log = _ignore_server_log
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self) -> int:
        """Returns the TCP port that the server is bound to."""
        port: int = self._server.bind_addr[1]
        return port

    def start(self) -> None:
        """Binds the address and serves from a thread of its own."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stops accepting, ends idle connections and waits for the thread."""
        self._server.stop()
        self._thread.join(timeout=5)


class _SocketGateway(_GATEWAY):  # type: ignore[misc]
    """Adds the caller's socket to the request, so that it can be broken on purpose."""

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment with the socket."""
        env: dict[str, Any] = super().get_environ()
        env[SOCKET_KEY] = self.req.conn.socket
        return env


def exposed(handler: F) -> F:
    """Lets CherryPy serve a method; its decorator, with types."""
    handler.exposed = True  # type: ignore[attr-defined]
    return handler


def break_connection() -> None:
    """Ends the current request's connection, so that no whole reply can arrive."""
    sock: socket.socket = cherrypy.request.wsgi_environ[SOCKET_KEY]
    sock.shutdown(socket.SHUT_RDWR)


def json_body(payload: object, *, status: int = 200) -> bytes:
    """Sets status and content type of the current response and returns its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return msgspec.json.encode(payload)


def require(holds: bool, status: int, message: str) -> None:
    """Ends the current request with an error unless ``holds``.

    Raises:
        cherrypy.HTTPError: ``holds`` is false.
    """
    if not holds:
        raise cherrypy.HTTPError(status, message)


def read_body(limit_bytes: int) -> bytes:
    """Reads the body of the current request.

    Raises:
        cherrypy.HTTPError: 413 when it is longer than ``limit_bytes``.
    """
    body: bytes = cherrypy.request.rfile.read(limit_bytes + 1)
    if len(body) > limit_bytes:
        raise cherrypy.HTTPError(413, f"send at most {limit_bytes} bytes")
    return body


def _app_config() -> dict[str, Any]:
    return {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        "error_page.default": _error_page,
        "tools.encode.on": False,
        "tools.trailing_slash.on": False,
        "response.headers.server": "amaranthtray",
    }


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Renders any error that CherryPy raises by itself as a JSON problem."""
    del traceback, version
    code, _, reason = status.partition(" ")
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    problem = {
        "type": "problem",
        "step": "http",
        "peer": "caller",
        "what": message or reason,
        "where": cherrypy.request.path_info,
        "fix": f"see the API description at /openapi.json (status {code})",
    }
    return msgspec.json.encode(problem)


def _ignore_server_log(*_args: object, **_kwargs: object) -> None:
    """Drops the server's own lines; faults are counted where they are handled."""
