"""Results of attempts whose connection breaks at any byte of request or answer."""

from __future__ import annotations

import socket
import threading
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

import builders
from amaranthtray.backend.client import Attempt, BackendClient, Payload
from amaranthtray.backend.connections import ConnectionPools
from amaranthtray.domain.ids import AttemptId
from amaranthtray.domain.requests.messages import (
    AnswerCut,
    BrokeAfterSend,
    NothingSent,
    RefusedByHost,
    TimedOut,
    WholeAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ATTEMPT = AttemptId("a1")
BODY = b"route plan"
HEADERS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nAttempt-Id: a1\r\n"
    b"Free-Slots: 3\r\n"
)
WITH_LENGTH = HEADERS + b"Content-Length: 10\r\n\r\n" + BODY
EMPTY = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt-Id: a1\r\n"
    b"Content-Type: text/plain\r\n\r\n"
)
CHUNKED = (
    HEADERS + b"Transfer-Encoding: chunked\r\n\r\n4\r\nrout\r\n6\r\ne plan\r\n0\r\n\r\n"
)
BYTES_THROUGH_LAST_CHUNK_SIZE = len(CHUNKED) - len(b"\r\n\r\n")


class ScriptedServer:
    """Accepts one connection, reads some of the request, sends some bytes, closes."""

    def __init__(
        self, reply: bytes, *, read_bytes: int | None = None, hold_s: float = 0
    ) -> None:
        self._reply = reply
        self._read_bytes = read_bytes
        self._hold = threading.Event()
        self._hold_s = hold_s
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._socket.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        conn, _ = self._socket.accept()
        with conn:
            self._read(conn)
            conn.sendall(self._reply)
            self._hold.wait(self._hold_s)

    def _read(self, conn: socket.socket) -> None:
        if self._read_bytes is not None:
            if self._read_bytes:
                conn.recv(self._read_bytes)
            return
        received = b""
        while not received.endswith(b"payload"):
            received += conn.recv(4_096)

    def close(self) -> None:
        self._hold.set()
        self._thread.join(5)
        self._socket.close()


@pytest.fixture
def client() -> Iterator[BackendClient]:
    pools = ConnectionPools()
    yield BackendClient(pools, max_answer_bytes=1_000)
    pools.close()


def attempt(
    port: int, *, timeout_ms: int = 5_000, send_within_ms: int = 5_000
) -> Attempt:
    return Attempt(
        attempt_id=ATTEMPT,
        request=builders.request(),
        payload=Payload("text/plain", b"payload"),
        host=replace(builders.host(), port=port),
        timeout_ms=timeout_ms,
        send_within_ms=send_within_ms,
        lease_ms=10_000,
    )


@pytest.fixture
def run(client: BackendClient) -> Callable[..., object]:
    def run_once(reply: bytes, **kwargs: int) -> object:
        timeout_ms = kwargs.pop("timeout_ms", 5_000)
        server = ScriptedServer(reply, **kwargs)
        try:
            client.register(ATTEMPT)
            return client.run(attempt(server.port, timeout_ms=timeout_ms))
        finally:
            server.close()

    return run_once


@pytest.mark.parametrize("sent", range(len(WITH_LENGTH)))
def test_an_answer_cut_at_any_byte_is_not_complete(
    run: Callable[..., object], sent: int
) -> None:
    report = run(WITH_LENGTH[:sent])
    assert isinstance(report.result, AnswerCut | BrokeAfterSend)
    assert report.answer is None


@pytest.mark.parametrize("sent", range(len(HEADERS), BYTES_THROUGH_LAST_CHUNK_SIZE))
def test_a_chunked_answer_cut_at_any_byte_is_not_complete(
    run: Callable[..., object], sent: int
) -> None:
    report = run(CHUNKED[:sent])
    assert isinstance(report.result, AnswerCut | BrokeAfterSend)
    assert report.answer is None


@pytest.mark.parametrize("sent", range(len(EMPTY)))
def test_an_empty_answer_with_cut_headers_is_not_complete(
    run: Callable[..., object], sent: int
) -> None:
    report = run(EMPTY[:sent])
    assert isinstance(report.result, AnswerCut | BrokeAfterSend)


@pytest.mark.parametrize("reply", [WITH_LENGTH, CHUNKED])
def test_a_complete_answer_is_returned_byte_for_byte(
    run: Callable[..., object], reply: bytes
) -> None:
    report = run(reply)
    assert report.result == WholeAnswer()
    assert report.answer.body == BODY
    assert report.answer.content_type == "text/plain"
    assert report.free_slots == 3


@pytest.mark.parametrize("read_bytes", [0, 1, 20, 200])
def test_a_connection_lost_during_the_request_may_have_sent_it(
    run: Callable[..., object], read_bytes: int
) -> None:
    assert isinstance(run(b"", read_bytes=read_bytes).result, BrokeAfterSend)


def test_a_refused_connection_sent_nothing(client: BackendClient) -> None:
    with socket.create_server(("127.0.0.1", 0)) as unused:
        port = unused.getsockname()[1]
    client.register(ATTEMPT)
    assert isinstance(client.run(attempt(port)).result, NothingSent)


@pytest.mark.parametrize(
    ("reason", "is_leaving"), [(b"busy", False), (b"leaving", True)]
)
def test_a_refusal_by_the_host_is_recognized(
    run: Callable[..., object], reason: bytes, is_leaving: bool
) -> None:
    reply = (
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Started: " + reason
    ) + b"\r\n\r\n"
    assert run(reply).result == RefusedByHost(is_leaving=is_leaving)


def test_a_503_without_not_started_may_have_run(run: Callable[..., object]) -> None:
    reply = b"HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n\r\n"
    assert isinstance(run(reply).result, AnswerCut)


def test_an_answer_of_another_attempt_is_rejected(run: Callable[..., object]) -> None:
    assert isinstance(run(WITH_LENGTH.replace(b"a1", b"a2")).result, AnswerCut)


def test_an_answer_without_known_length_is_rejected(run: Callable[..., object]) -> None:
    assert isinstance(run(HEADERS + b"\r\n" + BODY).result, AnswerCut)


def test_an_answer_over_the_size_limit_is_rejected(run: Callable[..., object]) -> None:
    reply = HEADERS + b"Content-Length: 1001\r\n\r\n" + b"x" * 1_001
    assert isinstance(run(reply).result, AnswerCut)


def test_a_silent_server_times_out(run: Callable[..., object]) -> None:
    report = run(b"", timeout_ms=50, hold_s=5)
    assert report.result == TimedOut()


def test_an_abort_from_another_thread_ends_the_attempt(client: BackendClient) -> None:
    server = ScriptedServer(b"", hold_s=5)
    reports: list[object] = []
    client.register(ATTEMPT)
    runner = threading.Thread(
        target=lambda: reports.append(client.run(attempt(server.port)).result)
    )
    runner.start()
    while runner.is_alive():
        client.abort(ATTEMPT)
        runner.join(0.01)
    server.close()
    assert isinstance(reports[0], BrokeAfterSend | NothingSent)


def test_a_pause_before_the_first_byte_sends_nothing(client: BackendClient) -> None:
    client.register(ATTEMPT)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        report = client.run(attempt(port, send_within_ms=-1))
    assert isinstance(report.result, NothingSent)


def test_an_abort_before_the_run_sends_nothing(client: BackendClient) -> None:
    client.register(ATTEMPT)
    client.abort(ATTEMPT)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        report = client.run(attempt(listener.getsockname()[1]))
    assert isinstance(report.result, NothingSent)
