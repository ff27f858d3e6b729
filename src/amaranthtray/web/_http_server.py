"""The HTTP server of cheroot with a bound at each place where clients' bytes wait."""

from __future__ import annotations

import contextlib
import queue
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi
from cheroot.errors import MaxSizeExceeded
from cheroot.makefile import MakeFile

from .chunked_body import READ_BYTES, ChunkedBody
from .read_deadlines import DEADLINES_KEY, SOCKET_KEY

CONTENT_LENGTH = b"Content-Length"
MAX_DROPPED_BYTES = 64 << 10
"""Longest rest of a refused body that is read so that its connection stays open."""

BUSY_REPLY = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Length: 0\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
)

REFUSALS = ("connections", "threads", "request", "body", "slow")
"""Kinds of refusals: too many connections; no free thread; a malformed or overlong
request line or header; a body whose rest was not read; a slow client."""

_SERVER: Any = wsgi.Server
_GATEWAY: Any = wsgi.Gateway_10
_REQUEST: Any = cheroot_server.HTTPRequest
_CONNECTION: Any = cheroot_server.HTTPConnection


class _HeaderFields(dict[bytes, bytes]):
    """Header fields of one request; rejects contradictory Content-Length fields."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == CONTENT_LENGTH and self.get(name, value) != value:
            raise ValueError("Content-Length is given twice with different values.")
        super().__setitem__(name, value)


class _StrictHeaderReader(cheroot_server.HeaderReader):
    """Rejects requests whose end two HTTP parsers could see in different places."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> Any:
        """Reads the header fields of a request."""
        fields: dict[bytes, bytes] = {} if hdict is None else hdict
        fields.update(super().__call__(rfile, _HeaderFields()))
        return fields


class _BoundedRequest(_REQUEST):  # type: ignore[misc]
    """A request with time limits, whose unread body never becomes the next request."""

    header_reader = _StrictHeaderReader()
    close_connection: bool

    def parse_request(self) -> None:
        """Reads the request line and the headers."""
        with self.server.read_deadlines.limit_headers(self.conn.socket):
            super().parse_request()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Refuses a request that was not read to its end."""
        self.conn.has_unread_input = True
        self.server.on_refused("request")
        super().simple_response(status, msg)

    def send_headers(self) -> None:
        """Sends the headers; closes the connection after a body that is not read."""
        if not self._is_body_read() and (self.close_connection or not self._drop()):
            self.close_connection = True
            self.conn.has_unread_input = True
            self.server.on_refused("body")
        super().send_headers()

    def write(self, chunk: bytes) -> None:
        """Writes a part of the reply within the time limit of its size."""
        limit = self.server.read_deadlines.limit_reply(self.conn.socket, len(chunk))
        with limit:
            super().write(chunk)

    def _is_body_read(self) -> bool:
        if self.chunked_read:
            return bool(self.rfile.is_complete)
        return bool(self.rfile.remaining <= 0)

    def _drop(self) -> bool:
        """Reads the rest of a short body; returns whether that is all of it."""
        if not self.chunked_read and self.rfile.remaining > MAX_DROPPED_BYTES:
            return False
        left_bytes = MAX_DROPPED_BYTES
        deadlines = self.server.read_deadlines
        with (
            deadlines.limit_body(self.conn.socket, MAX_DROPPED_BYTES),
            contextlib.suppress(ValueError, OSError, MaxSizeExceeded),
        ):
            while left_bytes > 0 and (piece := self.rfile.read(READ_BYTES)):
                left_bytes -= len(piece)
        return self._is_body_read()


class _BoundedConnection(_CONNECTION):  # type: ignore[misc]
    """A connection that is counted, and closed as soon as it is no longer used.

    Attributes:
        has_unread_input: Whether the client may still send what nobody will read.
    """

    RequestHandlerClass = _BoundedRequest
    has_unread_input = False

    def __init__(self, server: Any, sock: Any, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, makefile)
        server.open_connections.add(self)

    def close(self) -> None:
        """Frees the connection now rather than at the next garbage collection."""
        self.server.open_connections.discard(self)
        # These caches refer to the connection itself.
        self.resolve_peer_creds = self.get_peer_creds = None
        self.wfile.raw.close()
        self.linger = self.has_unread_input
        super().close()
        if self.has_unread_input:
            self.server.lingering.add(self.socket)


class _BoundedGateway(_GATEWAY):  # type: ignore[misc]
    """Adds the socket and the read deadlines to the environment of a request."""

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment with the socket and the read deadlines."""
        if self.req.chunked_read:
            limit_bytes = self.req.server.max_request_body_size
            self.req.rfile = ChunkedBody(self.req.conn.rfile, limit_bytes)
        elif self.req.rfile.remaining < 0:
            # Reading a negative number of bytes reads to the end of the connection.
            self.req.rfile.remaining = 0
        env: dict[str, Any] = super().get_environ()
        env[SOCKET_KEY] = self.req.conn.socket
        env[DEADLINES_KEY] = self.req.server.read_deadlines
        return env


class BoundedServer(_SERVER):  # type: ignore[misc]
    """Counts connections, and holds no thread for one that has sent nothing yet.

    Attributes:
        open_connections: All connections that are neither closed nor handed over to
            ``lingering``.
        max_connections: Further ones are refused.
        read_deadlines: Time limits of clients.
        lingering: Closes connections that were refused.
        on_refused: Called with the kind of each refusal, one of ``REFUSALS``.
    """

    ConnectionClass = _BoundedConnection
    max_connections: int
    read_deadlines: Any
    lingering: Any
    on_refused: Any

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.gateway = _BoundedGateway
        self.open_connections: set[Any] = set()

    def process_conn(self, conn: Any) -> None:
        """Passes a connection on to a thread once its client has sent something."""
        is_new = conn.last_used is None
        if is_new and len(self.open_connections) > self.max_connections:
            self._refuse(conn, "connections")
        elif is_new:
            self.put_conn(conn)
        else:
            try:
                self.requests.put(conn)
            except queue.Full:
                self.read_deadlines.end_slow_clients()
                self._refuse(conn, "threads")

    def _refuse(self, conn: Any, kind: str) -> None:
        self.on_refused(kind)
        conn.has_unread_input = True
        with contextlib.suppress(OSError):
            conn.socket.setblocking(False)
            conn.socket.send(BUSY_REPLY)
        conn.close()
