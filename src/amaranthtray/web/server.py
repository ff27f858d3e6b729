"""A CherryPy application on its own server, so that one process can run several."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Any, TypeVar

import cherrypy
import msgspec
from cheroot import server as cheroot_server
from cheroot import wsgi
from cherrypy import _cprequest

from .read_deadlines import SENDERS_KEY, SOCKET_KEY, SlowSenders

JSON_TYPE = "application/json"
SHUTDOWN_TIMEOUT_S = 1
QUEUE_WAIT_S = 0.01
KEPT_CONNECTIONS = 1_024
SERVER_NAME = "amaranthtray"
LENGTH_FIELD = b"Content-Length"

F = TypeVar("F", bound=Callable[..., Any])

_SERVER: Any = wsgi.Server
_GATEWAY: Any = wsgi.Gateway_10
_REQUEST: Any = cheroot_server.HTTPRequest
_CONNECTION: Any = cheroot_server.HTTPConnection
_CHERRYPY_REQUEST: Any = _cprequest.Request


class WebServer:
    """Serves one CherryPy tree on one address.

    Args:
        root: The object that CherryPy dispatches to.
        host: IP address to listen on.
        port: TCP port; 0 takes a free one.
        threads: Threads that serve requests; as many again may wait for one, and
            further ones are refused with 503 at once.
        max_body_bytes: Larger bodies are refused with 413.
        max_header_bytes: Larger heads are refused with 413.
        read_timeout_ms: Longest silence in the midst of a request, and longest time
            for a head.
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
        self.senders = SlowSenders(read_timeout_ms / 1_000)
        self._server: Any = _SERVER(
            (host, port),
            _application(root),
            numthreads=threads,
            max=threads,
            request_queue_size=backlog,
            timeout=read_timeout_ms / 1_000,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            accepted_queue_size=threads,
            accepted_queue_timeout=QUEUE_WAIT_S,
        )
        self._server.max_request_body_size = max_body_bytes
        self._server.max_request_header_size = max_header_bytes
        self._server.keep_alive_conn_limit = KEPT_CONNECTIONS
        self._server.gateway = _SocketGateway
        self._server.ConnectionClass = _TimedConnection
        self._server.senders = self.senders
        self._server.error_log = _ignore_server_log
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._start_error: OSError | None = None

    @property
    def port(self) -> int:
        """Returns the TCP port that the server is bound to."""
        port: int = self._server.bind_addr[1]
        return port

    def start(self) -> None:
        """Binds the address and serves from a thread of its own.

        Raises:
            OSError: The address cannot be listened on.
        """
        starter = threading.Thread(target=self._prepare, daemon=True)
        starter.start()
        starter.join()
        if self._start_error is not None:
            raise self._start_error
        self.senders.start()
        self._thread.start()

    def _prepare(self) -> None:
        """Binds, and makes the threads of a daemon one, so that none holds the exit."""
        try:
            self._server.prepare()
        except OSError as exc:
            self._start_error = exc

    def stop(self) -> None:
        """Stops accepting, ends idle connections and lets replies be written."""
        self._server.stop()
        self.senders.stop()
        self._thread.join(timeout=5)


class _HeadFields(dict[bytes, bytes]):
    """Header fields of one request; the length must be declared one way only."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == LENGTH_FIELD and self.get(name, value) != value:
            raise ValueError("Content-Length is given twice with different values.")
        super().__setitem__(name, value)


class _StrictReader(cheroot_server.HeaderReader):
    """Refuses a request whose end two readers could see in different places."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> Any:
        """Reads the fields of a head."""
        fields: dict[bytes, bytes] = {} if hdict is None else hdict
        fields.update(super().__call__(rfile, _HeadFields()))
        return fields


class _TimedRequest(_REQUEST):  # type: ignore[misc]
    """A request whose head must arrive in time."""

    header_reader = _StrictReader()

    def parse_request(self) -> None:
        """Reads the head."""
        with self.server.senders.bounded_head(self.conn.socket):
            super().parse_request()


class _TimedConnection(_CONNECTION):  # type: ignore[misc]
    """A connection of timed requests."""

    RequestHandlerClass = _TimedRequest


class _SocketGateway(_GATEWAY):  # type: ignore[misc]
    """Adds to the request what bounds its body and can break its connection."""

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment with the socket."""
        env: dict[str, Any] = super().get_environ()
        env[SOCKET_KEY] = self.req.conn.socket
        env[SENDERS_KEY] = self.req.server.senders
        return env


def exposed(handler: F) -> F:
    """Lets CherryPy serve a method; its decorator, with types."""
    handler.exposed = True  # type: ignore[attr-defined]
    return handler


def break_connection() -> None:
    """Ends the current request's connection, so that no whole reply can arrive."""
    sock: socket.socket = cherrypy.request.wsgi_environ[SOCKET_KEY]
    sock.shutdown(socket.SHUT_RDWR)


def close_after_reply() -> None:
    """Ends the connection after the current reply, which is sent whole."""
    cherrypy.response.headers["Connection"] = "close"


class _Request(_CHERRYPY_REQUEST):  # type: ignore[misc]
    """A request whose faults are shown as JSON even before its path is known."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.error_page = {"default": _error_page}


def _application(root: object) -> Any:
    app = cherrypy.Application(root, "", {"/": _app_config()})
    app.request_class = _Request
    app.log.screen = False
    app.log.error_log.propagate = False
    app.log.access = _skip_access_log
    return app


def _skip_access_log() -> None:
    """Replaces the line for each request; requests are counted instead."""


def _app_config() -> dict[str, Any]:
    return {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        "error_page.default": _error_page,
        "tools.encode.on": False,
        "tools.trailing_slash.on": False,
        "response.headers.server": SERVER_NAME,
    }


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Renders any error that CherryPy raises by itself as a JSON problem."""
    del traceback, version
    code, _, reason = status.partition(" ")
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    cherrypy.response.headers["Server"] = SERVER_NAME
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
