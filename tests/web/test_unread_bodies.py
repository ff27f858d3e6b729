"""What a refusal leaves unread neither hides its reply nor becomes a request."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from amaranthtray import web
from raw_http import SOCKET_TIMEOUT_S, get, post, read_all

if TYPE_CHECKING:
    from collections.abc import Iterator

CHUNKED = b"Transfer-Encoding: chunked"
SEEN = get(b"/seen")


class Root:
    """Knows one path, and counts its requests."""

    def __init__(self) -> None:
        self.seen_count = 0

    @web.exposed
    def seen(self) -> bytes:
        """Counts a request and replies 200."""
        self.seen_count += 1
        return web.json_body({})


class Served:
    """A running server and what it refused."""

    def __init__(self, **limits: int) -> None:
        self.root, self.refused = Root(), list[str]()
        self.server = web.WebServer(self.root, on_refused=self.refused.append, **limits)
        self.server.start()

    def connect(self) -> socket.socket:
        address = ("127.0.0.1", self.server.port)
        return socket.create_connection(address, timeout=SOCKET_TIMEOUT_S)

    def exchange(self, data: bytes) -> bytes:
        with self.connect() as sock:
            sock.sendall(data)
            return read_all(sock)


@pytest.fixture
def served() -> Iterator[Served]:
    running = Served(max_connections=4)
    yield running
    running.server.stop()


def kept_open(request: bytes) -> bytes:
    return request.replace(b"Connection: close\r\n", b"", 1)


def test_client_that_still_sends_is_not_reset_before_it_reads_its_refusal(
    served: Served,
) -> None:
    with served.connect() as sock:
        sock.sendall(post(b"Content-Length: 900000", path=b"/none"))
        sock.recv(1, socket.MSG_PEEK)
        for _ in range(8):
            sock.sendall(b"x" * 1_000)
        sock.shutdown(socket.SHUT_WR)
        assert read_all(sock).startswith(b"HTTP/1.1 404 ")
    assert served.refused == ["body"]


@pytest.mark.parametrize("rest", [b"", b"A: 1\r\n"], ids=["plain", "trailers"])
def test_refused_chunked_body_is_not_taken_for_a_request(
    served: Served, rest: bytes
) -> None:
    hidden = get(b"/seen")
    coded = b"%x\r\n%b\r\n0\r\n%b\r\n" % (len(hidden), hidden, rest)
    refused = kept_open(post(CHUNKED, path=b"/none", body=coded))
    reply = served.exchange(refused + SEEN)
    assert reply.startswith(b"HTTP/1.1 404 ")
    assert reply.count(b"HTTP/1.1 ") == 2
    assert b"HTTP/1.1 200 " in reply
    assert served.root.seen_count == 1
    assert served.refused == []


def test_long_refused_chunked_body_closes_its_connection(served: Served) -> None:
    coded = b"%x\r\n%b\r\n0\r\n\r\n" % (200_000, b"x" * 200_000)
    refused = kept_open(post(CHUNKED, path=b"/none", body=coded))
    reply = served.exchange(refused + SEEN)
    assert reply.startswith(b"HTTP/1.1 404 ")
    assert b"Connection: close" in reply
    assert served.root.seen_count == 0


def test_connections_beyond_the_limit_are_refused_until_others_close(
    served: Served,
) -> None:
    opened = [served.connect() for _ in range(4)]
    for sock in opened:
        sock.sendall(kept_open(SEEN))
        assert sock.recv(12) == b"HTTP/1.1 200"
    assert served.exchange(SEEN).startswith(b"HTTP/1.1 503 ")
    assert served.refused == ["connections"]
    for sock in opened:
        sock.close()
    while not served.exchange(SEEN).startswith(b"HTTP/1.1 200 "):
        pass
