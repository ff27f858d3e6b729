"""Malformed, truncated and slow input gets a 4xx or no reply, and is never run."""

from __future__ import annotations

import json
import socket
from typing import TYPE_CHECKING

import pytest

from raw_http import get, post, read_all

if TYPE_CHECKING:
    from raw_http import RunningEntry

CHUNKED = b"Transfer-Encoding: chunked"

MALFORMED = [
    (post(b"Content-Length: abc"), 400),
    (post(b"Content-Length: -5", body=b"x"), 411),
    (post(b"Content-Length: 9999999", body=b"x"), 413),
    (post(b"Padding: " + b"x" * 20_000), 413),
    (post(b"Content-Length: 1", b"Content-Length: 2", body=b"xx"), 400),
    (post(CHUNKED, body=b"zz\r\nhello\r\n0\r\n\r\n"), 400),
    (post(b"Deadline-Ms: -1"), 400),
    (post(b"Deadline-Ms: 0"), 400),
    (post(b"Deadline-Ms: 99999999999999999999"), 400),
    (post(b"Deadline-Ms: \xc2\xb2"), 400),
    (post(b"Request-Id: a b"), 400),
    (post(b"Request-Id: " + b"x" * 257), 400),
    (post(b"Request-Id: a1~not~issued"), 400),
    (post(b"Submission: 0"), 400),
    (post(b"Work-Class: \xff\xfe"), 400),
    (post(b"Repeatable: perhaps"), 400),
    (post(b"Needs-Cores: many"), 400),
    (post(b"Needs-Memory-Mb: 1e9"), 400),
    (post(b"Needs-Accelerators: -2"), 400),
    (post(b"Authorization: Bearer nonsense"), 401),
    (post(b"Authorization: Basic abc"), 401),
    (post(path=b"/v1/queues/none/requests"), 404),
    (post(path=b"/v1/queues/%ff/requests"), 404),
    (post(path=b"/v1/queues/echo/requests?x=1"), 404),
    (post(path=b"/v1/queues/echo/else"), 404),
    (post(path=b"/v1/requests/x"), 405),
    (post(path=b"/v1/request-ids?count=0"), 400),
    (post(path=b"/v1/request-ids?count=1001"), 400),
    (post(path=b"/v1/request-ids?count=x"), 400),
    (get(b"/v1/queues/echo/requests"), 405),
    (get(b"/nothing"), 404),
    (b"NONSENSE\r\n\r\n", 400),
    (b"\x00\x01\x02\r\n\r\n", 400),
]


def test_request_without_host_header_gets_our_error(running: RunningEntry) -> None:
    reply = running.exchange(b"GET /health HTTP/1.1\r\nConnection: close\r\n\r\n")
    head, _, body = reply.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 400 ")
    assert b"Server: amaranthtray" not in body
    assert json.loads(body)["type"] == "problem"
    assert b"CherryPy" not in reply


@pytest.mark.parametrize(("data", "status"), MALFORMED)
def test_malformed_input_is_refused_and_not_run(
    running: RunningEntry, data: bytes, status: int
) -> None:
    before = len(running.backend.runs)
    reply = running.exchange(data)
    assert reply.startswith(b"HTTP/1.1 %d " % status)
    assert b"Traceback" not in reply
    assert len(running.backend.runs) == before


@pytest.mark.parametrize(
    "data",
    [
        post(b"Content-Length: 50", body=b"hello"),
        post(CHUNKED, body=b"5\r\nhel"),
        post(CHUNKED, body=b"5\r\nhello\r\n"),
    ],
)
def test_body_that_ends_early_is_not_run(running: RunningEntry, data: bytes) -> None:
    before = len(running.backend.runs)
    reply = running.exchange(data, half_close=True)
    assert not reply.startswith(b"HTTP/1.1 200")
    assert len(running.backend.runs) == before


def test_chunked_body_arrives_whole(running: RunningEntry) -> None:
    reply = running.exchange(post(CHUNKED, body=b"5\r\nhello\r\n0\r\n\r\n"))
    assert reply.startswith(b"HTTP/1.1 200 ")
    assert reply.endswith(b"|hello")


def test_refusal_names_field_and_fix(running: RunningEntry) -> None:
    reply = running.exchange(post(b"Deadline-Ms: soon"))
    body = json.loads(reply.partition(b"\r\n\r\n")[2])
    assert body["where"] == "Deadline-Ms"
    assert "whole number" in body["fix"]
    assert body["outcome"] == "not_run"


@pytest.mark.parametrize(
    "start",
    [b"POST /v1/queues/echo/requests HTTP/1.1\r\nX: ", post(b"Content-Length: 2000")],
)
def test_slow_sender_is_disconnected_and_not_run(
    running: RunningEntry, start: bytes
) -> None:
    before = len(running.backend.runs)
    address = ("127.0.0.1", running.one_entry.caller_port)
    with socket.create_connection(address, timeout=20) as sock:
        sock.sendall(start)
        sock.settimeout(0.05)
        reply = _send_slowly(sock)
    assert not reply.startswith(b"HTTP/1.1 200")
    assert len(running.backend.runs) == before


def _send_slowly(sock: socket.socket) -> bytes:
    """Sends single bytes until the server ends the connection; returns its reply."""
    for _ in range(2_000):
        try:
            sock.sendall(b"x")
            reply = read_all(sock)
        except TimeoutError:
            continue
        except OSError:
            return b""
        return reply
    raise AssertionError("the server did not end the connection")
