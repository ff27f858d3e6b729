"""A graceful shutdown cuts off nothing and takes nothing that it can't finish."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest
import urllib3

from amaranthtray.demo.one_entry import OneEntry
from amaranthtray.entry.run import StopSignal
from amaranthtray.standins.backend import BackendStandIn

if TYPE_CHECKING:
    from collections.abc import Iterator

PATIENCE_S = 20.0


@pytest.fixture
def backend() -> Iterator[BackendStandIn]:
    server = BackendStandIn("h1")
    server.start()
    yield server
    server.stop()


@pytest.fixture
def one(backend: BackendStandIn) -> OneEntry:
    entry = OneEntry(backend.port)
    entry.start()
    return entry


def submit(one: OneEntry, body: bytes) -> urllib3.BaseHTTPResponse:
    url = f"http://127.0.0.1:{one.caller_port}/v1/queues/echo/requests"
    return urllib3.request("POST", url, body=body, retries=False, timeout=PATIENCE_S)


def test_request_in_flight_is_finished(one: OneEntry, backend: BackendStandIn) -> None:
    replies: list[urllib3.BaseHTTPResponse] = []
    caller = threading.Thread(
        target=lambda: replies.append(submit(one, b"sleep:700 loaf"))
    )
    caller.start()
    wait_for_run(backend)
    one.stop()
    caller.join(PATIENCE_S)
    assert replies[0].status == 200
    assert replies[0].data.endswith(b"|sleep:700 loaf")
    assert replies[0].headers["Connection"] == "close"


def test_health_check_fails_while_requests_are_still_taken(one: OneEntry) -> None:
    health = f"http://127.0.0.1:{one.caller_port}/health"
    assert urllib3.request("GET", health, retries=False).status == 200
    one.entry.drain()
    assert urllib3.request("GET", health, retries=False).status == 503
    assert submit(one, b"late").status == 200
    one.stop()


def test_background_request_is_finished_before_the_end(
    one: OneEntry, backend: BackendStandIn
) -> None:
    url = f"http://127.0.0.1:{one.caller_port}/v1/queues/echo/requests"
    head = {"Prefer": "respond-async"}
    accepted = urllib3.request(
        "POST", url, body=b"sleep:500", headers=head, timeout=PATIENCE_S
    )
    assert accepted.status == 202
    wait_for_run(backend)
    one.stop()
    assert [run.stop.is_set() for run in backend.runs] == [False]
    assert backend.runs[0].ended.is_set()


def test_second_signal_hurries_only_the_wait_for_the_balancer() -> None:
    stop = StopSignal()
    stop._receive(15, None)
    assert (stop.stop_requested.is_set(), stop.hurry_requested.is_set()) == (
        True,
        False,
    )
    stop._receive(15, None)
    assert stop.hurry_requested.is_set()


def wait_for_run(backend: BackendStandIn) -> None:
    for _ in range(2_000):
        if backend.runs:
            return
        threading.Event().wait(0.01)
    raise AssertionError("the task was never started")
