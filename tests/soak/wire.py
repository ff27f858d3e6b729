"""HTTP servers of the stand-ins, and the faults of the network before them."""

from __future__ import annotations

import contextlib
import json
import random
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

if TYPE_CHECKING:
    from collections.abc import Callable

LOOPBACK = "127.0.0.1"
LISTENING_PORTS = range(20_000, 32_000)
_given_ports: set[int] = set()
METHODS = ("GET", "POST", "DELETE")
JSON_HEADERS = {"Content-Type": "application/json"}


class Call(NamedTuple):
    """A request to a stand-in."""

    path: str
    query: dict[str, str]
    headers: Any
    body: dict[str, Any]


class Reply(NamedTuple):
    """A reply; status 0 leaves the call open, -1 resets its connection."""

    status: int
    body: object = None


SILENCE, RESET = Reply(0), Reply(-1)


class StandInServer:
    """Serves calls on a loopback port; can be closed and opened again.

    Args:
        handle: Returns the reply to a call; runs in a thread of the connection.

    Attributes:
        silent_before_s: Connections opened before this time get no replies any more.
        ended_before_s: Connections opened before this time are reset when they are
            used, as by a host that has restarted without a word.
    """

    def __init__(self, handle: Callable[[Call], Reply]) -> None:
        self.handle = handle
        self.silent_before_s = self.ended_before_s = 0.0
        self.connections: set[socket.socket] = set()
        self._port = 0
        self._http: ThreadingHTTPServer | None = None
        self.open()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self._port}"

    def open(self) -> None:
        """Listens, on the same port as before."""
        methods = {f"do_{method}": _Handler.serve for method in METHODS}
        handler = type("Handler", (_Handler,), {"stand_in": self, **methods})
        self._http = ThreadingHTTPServer((LOOPBACK, self._port), handler)
        self._http.daemon_threads = True
        self._port = self._http.server_address[1]
        serve = self._http.serve_forever
        threading.Thread(target=serve, args=(0.02,), daemon=True).start()

    def close(self) -> None:
        """Stops listening and resets all connections, as the end of a process does."""
        if self._http is not None:
            self._http.shutdown()
            self._http.server_close()
            self._http = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for connection in list(self.connections):
            reset(connection)

    def silence_connections(self) -> None:
        """Leaves all open connections without replies; new ones work."""
        self.silent_before_s = time.monotonic()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    stand_in: StandInServer

    def setup(self) -> None:
        super().setup()
        self._opened_s = time.monotonic()
        self.stand_in.connections.add(self.connection)

    def finish(self) -> None:
        self.stand_in.connections.discard(self.connection)
        super().finish()

    def handle(self) -> None:
        try:
            super().handle()
        except OSError:
            # The caller or a fault has ended the connection.
            self.close_connection = True

    def serve(self) -> None:
        """Serves one call."""
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length)
        parts = urlsplit(self.path)
        body = json.loads(data) if data else {}
        call = Call(parts.path, dict(parse_qsl(parts.query)), self.headers, body)
        has_ended = self._opened_s < self.stand_in.ended_before_s
        reply = RESET if has_ended else self.stand_in.handle(call)
        if reply == RESET:
            reset(self.connection)
            self.close_connection = True
        elif reply != SILENCE and self._opened_s >= self.stand_in.silent_before_s:
            out = json.dumps(reply.body if reply.body is not None else {}).encode()
            self.send_response(reply.status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(out)))
            self.end_headers()
            self.wfile.write(out)

    def log_message(self, *_: object) -> None:
        """Logs nothing; the promises are checked, not the calls."""


def reset(connection: socket.socket) -> None:
    """Ends a connection in both directions."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has ended already.
        return


def free_port() -> int:
    """Returns a port that nobody listens on, and that no outgoing connection gets."""
    while True:
        port = random.SystemRandom().choice(LISTENING_PORTS)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
