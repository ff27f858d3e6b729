"""HTTP server for one CherryPy application; a process can run several of them."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Any, TypeVar

import cherrypy
import msgspec
from cherrypy import _cprequest

from ._http_server import BoundedServer
from .lingering_close import LingeringCloses
from .read_deadlines import SOCKET_KEY, ReadDeadlines

JSON_TYPE = "application/json"
SHUTDOWN_TIMEOUT_S = 1
ACCEPTED_QUEUE_TIMEOUT_S = 0.01
MAX_KEEP_ALIVE_CONNECTIONS = 1_024
SERVER_NAME = "amaranthtray"

F = TypeVar("F", bound=Callable[..., Any])

_CHERRYPY_REQUEST: Any = _cprequest.Request


def _ignore_refusal(_kind: str) -> None:
    """Counts nothing."""


class WebServer:
    """Serves one CherryPy application on one address.

    Args:
        root: Root handler of the application.
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        threads: Number of threads that serve requests; as many requests again may
            wait for a thread, and further ones are refused at once with 503.
        max_body_bytes: Larger bodies are refused with 413.
        max_header_bytes: Larger headers are refused with 413.
        read_timeout_ms: Maximum time without data in the middle of a request, and
            maximum time to receive the headers.
        backlog: Number of connections that may wait to be accepted.
        max_connections: Number of open connections; further ones are refused with 503.
        on_refused: Called with the kind of each refusal or closed connection, one of
            ``amaranthtray.web.REFUSALS``.
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
        max_connections: int = 1_536,
        on_refused: Callable[[str], object] = _ignore_refusal,
    ) -> None:
        self.read_deadlines = ReadDeadlines(
            read_timeout_ms / 1_000, lambda: on_refused("slow")
        )
        self._lingering = LingeringCloses()
        self._server: Any = BoundedServer(
            (host, port),
            _application(root),
            numthreads=threads,
            max=threads,
            request_queue_size=backlog,
            timeout=read_timeout_ms / 1_000,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            accepted_queue_size=threads,
            accepted_queue_timeout=ACCEPTED_QUEUE_TIMEOUT_S,
        )
        self._server.max_request_body_size = max_body_bytes
        self._server.max_request_header_size = max_header_bytes
        self._server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self._server.max_connections = max_connections
        self._server.read_deadlines = self.read_deadlines
        self._server.lingering = self._lingering
        self._server.on_refused = on_refused
        self._server.error_log = _drop_server_log
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._start_error: OSError | None = None

    @property
    def port(self) -> int:
        """Returns the TCP port that the server listens on."""
        port: int = self._server.bind_addr[1]
        return port

    def start(self) -> None:
        """Binds the address and serves from a separate thread.

        Raises:
            OSError: The address cannot be bound.
        """
        starter = threading.Thread(target=self._prepare, daemon=True)
        starter.start()
        starter.join()
        if self._start_error is not None:
            raise self._start_error
        self.read_deadlines.start()
        self._lingering.start()
        self._thread.start()

    def _prepare(self) -> None:
        """Runs in a daemon thread, so that all threads it creates are daemons too.

        None of them then keeps the process from exiting.
        """
        try:
            self._server.prepare()
        except OSError as exc:
            self._start_error = exc

    def stop(self) -> None:
        """Stops accepting, closes idle connections and lets replies finish."""
        self._server.stop()
        self.read_deadlines.stop()
        self._thread.join(timeout=5)
        self._lingering.stop()


def exposed(handler: F) -> F:
    """Marks a method as a CherryPy handler; a typed form of ``cherrypy.expose``."""
    handler.exposed = True  # type: ignore[attr-defined]
    return handler


def break_connection() -> None:
    """Shuts the current connection down, so that no complete reply can arrive."""
    sock: socket.socket = cherrypy.request.wsgi_environ[SOCKET_KEY]
    sock.shutdown(socket.SHUT_RDWR)


def close_after_reply() -> None:
    """Closes the connection after the current reply, which is sent completely."""
    cherrypy.response.headers["Connection"] = "close"


class _JsonErrorRequest(_CHERRYPY_REQUEST):  # type: ignore[misc]
    """A request that reports errors as JSON even before its path is known."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.error_page = {"default": _error_page}


def _application(root: object) -> Any:
    app = cherrypy.Application(root, "", {"/": _app_config()})
    app.request_class = _JsonErrorRequest
    app.log.screen = False
    app.log.error_log.propagate = False
    app.log.access = _skip_access_log
    return app


def _skip_access_log() -> None:
    """Replaces the access log, a line for each request; requests are counted."""


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
    """Renders an error that CherryPy itself raises as a JSON problem."""
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


def _drop_server_log(*_args: object, **_kwargs: object) -> None:
    """Drops the log lines of cheroot; errors are counted where they are handled."""
