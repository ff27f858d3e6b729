"""A minimal HTTP/1.1 server for stand-ins: one thread for each connection."""

from __future__ import annotations

import contextlib
import json
import random
import socket
import threading
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

LOOPBACK = "127.0.0.1"

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}

NO_REPLY = (0, None)
"""Returned by a handler that leaves a call unanswered."""


class Call:
    """One request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: First value of each query parameter.
        headers: Headers by lower-case name.
        body: Decoded JSON body; an empty dictionary without one.
    """

    def __init__(self, method: str, target: str, headers: dict[str, str], data: bytes) -> None:
        parts = urlsplit(target)
        self.method, self.path, self.headers = method, parts.path, headers
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.body: dict[str, Any] = json.loads(data) if data else {}


Handler = Callable[[Call], "tuple[int, Any]"]


class Server:
    """Serves calls on a loopback port until it is closed; may be opened again."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self.port = 0
        self.open()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    def open(self) -> None:
        """Listens, on the same port as before if it listened before."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((LOOPBACK, self.port))
        listener.listen(256)
        self.port = listener.getsockname()[1]
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def close(self) -> None:
        """Stops listening and resets all connections, as the end of a process does."""
        with self._lock:
            listener, self._listener = self._listener, None
            connections = list(self._connections)
        if listener is not None:
            _shut(listener)
        for connection in connections:
            _shut(connection)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                if self._listener is not listener:
                    _shut(connection)
                    continue
                self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = connection.recv(65536)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                while len(buffer) < length:
                    data = connection.recv(65536)
                    if not data:
                        return
                    buffer += data
                body, buffer = buffer[:length], buffer[length:]
                status, payload = self._handler(Call(method, target, headers, body))
                if status == 0:
                    continue
                out = json.dumps(payload if payload is not None else {}).encode()
                reason = REASONS.get(status, "Status")
                connection.sendall(
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(out)}\r\n\r\n".encode() + out
                )
        except OSError:
            return
        finally:
            with self._lock:
                self._connections.discard(connection)
            _shut(connection)


def _shut(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def free_port() -> int:
    """Returns a TCP port that is free now, below the range of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(20_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
