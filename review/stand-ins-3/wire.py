"""HTTP servers of the stand-ins; only the standard library is used."""

from __future__ import annotations

import json
import random
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Callable, NamedTuple
from urllib.parse import parse_qsl, urlsplit

LOOPBACK = "127.0.0.1"
LISTENING_PORTS = range(12_000, 32_000)


class Call(NamedTuple):
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: Any
    body: dict[str, Any]


class Reply(NamedTuple):
    """A reply; status 0 leaves the call without one, -1 resets the connection."""

    status: int
    body: object = None


SILENCE, RESET = Reply(0), Reply(-1)


def free_port() -> int:
    """Returns a port that is free now, and that no outgoing connection gets."""
    while True:
        port = random.SystemRandom().choice(LISTENING_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


class Server:
    """Serves calls on a loopback port; can be closed and opened again."""

    def __init__(self, handle: Callable[[Call], Reply]) -> None:
        self.handle = handle
        self.port = 0
        self._http: ThreadingHTTPServer | None = None
        self._connections: set[socket.socket] = set()
        self.open()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    def open(self) -> None:
        """Listens, on the same port as before."""
        members = {f"do_{each}": _Handler.serve for each in ("GET", "POST", "DELETE")}
        handler = type("Handler", (_Handler,), {"owner": self, **members})
        self._http = _Http((LOOPBACK, self.port), handler)
        self.port = self._http.server_address[1]
        threading.Thread(
            target=self._http.serve_forever, args=(0.02,), daemon=True
        ).start()

    def close(self) -> None:
        """Ends as a process does: stops listening and resets all connections."""
        http, self._http = self._http, None
        if http is not None:
            http.shutdown()
            http.server_close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Ends all open connections."""
        for sock in list(self._connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _Http(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    owner: Server

    def setup(self) -> None:
        super().setup()
        self.owner._connections.add(self.connection)

    def finish(self) -> None:
        self.owner._connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def handle(self) -> None:
        try:
            super().handle()
        except OSError:
            self.close_connection = True

    def serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length)
        if len(data) < length:
            self.close_connection = True
            return
        parts = urlsplit(self.path)
        body = json.loads(data) if data else {}
        call = Call(
            self.command, parts.path, dict(parse_qsl(parts.query)), self.headers, body
        )
        reply = self.owner.handle(call)
        if reply == RESET:
            self.close_connection = True
            self.connection.shutdown(socket.SHUT_RDWR)
        elif reply != SILENCE:
            out = json.dumps(reply.body if reply.body is not None else {}).encode()
            self.send_response(reply.status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(out)))
            self.end_headers()
            self.wfile.write(out)
        else:
            # A connection on which an answer is lost returns nothing further.
            self.close_connection = False
            while self.rfile.read(1):
                pass
            self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Logs nothing."""
