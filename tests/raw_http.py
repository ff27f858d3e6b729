"""Raw HTTP over sockets, for input that no client library would send."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from amaranthtray.demo.one_entry import OneEntry
    from amaranthtray.standins.backend import BackendStandIn

SILENCE_S = 20.0


class RunningEntry(NamedTuple):
    """A running entry and its backend server."""

    one: OneEntry
    backend: BackendStandIn

    def exchange(self, data: bytes, *, half_close: bool = False) -> bytes:
        """Sends raw bytes and returns all bytes until the connection ends."""
        address = ("127.0.0.1", self.one.caller_port)
        with socket.create_connection(address, timeout=SILENCE_S) as sock:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            return read_all(sock)


def read_all(sock: socket.socket) -> bytes:
    """Reads until the other side closes the connection."""
    reply = b""
    while chunk := sock.recv(65_536):
        reply += chunk
    return reply


def post(*head: bytes, body: bytes = b"", path: bytes = b"") -> bytes:
    """Returns a submission; its length is declared unless ``head`` does so."""
    lines = [
        b"POST " + (path or b"/v1/queues/echo/requests") + b" HTTP/1.1",
        b"Host: entry",
        b"Connection: close",
        *head,
    ]
    if not any(b"Content-Length" in line or b"Transfer" in line for line in head):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def get(path: bytes) -> bytes:
    """Returns a read."""
    return b"GET " + path + b" HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"
