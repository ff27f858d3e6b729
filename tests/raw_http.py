"""Raw HTTP over sockets, for requests that no client library would send."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from amaranthtray.demo.one_entry import OneEntry
    from amaranthtray.standins.backend import BackendStandIn

SOCKET_TIMEOUT_S = 20.0


class RunningEntry(NamedTuple):
    """A running entry and its backend server."""

    one_entry: OneEntry
    backend: BackendStandIn

    def exchange(self, data: bytes, *, half_close: bool = False) -> bytes:
        """Sends raw bytes and returns all bytes up to the end of the connection."""
        address = ("127.0.0.1", self.one_entry.caller_port)
        with socket.create_connection(address, timeout=SOCKET_TIMEOUT_S) as sock:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            return read_all(sock)


def read_all(sock: socket.socket) -> bytes:
    """Reads until the peer closes the connection."""
    reply = b""
    while chunk := sock.recv(65_536):
        reply += chunk
    return reply


def post(*headers: bytes, body: bytes = b"", path: bytes = b"") -> bytes:
    """Returns a submission; adds a Content-Length unless ``headers`` set the length."""
    lines = [
        b"POST " + (path or b"/v1/queues/echo/requests") + b" HTTP/1.1",
        b"Host: entry",
        b"Connection: close",
        *headers,
    ]
    if not any(b"Content-Length" in line or b"Transfer" in line for line in headers):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def get(path: bytes) -> bytes:
    """Returns a GET request."""
    return b"GET " + path + b" HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"
