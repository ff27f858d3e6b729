"""A graceful shutdown completes all accepted requests and accepts none too late."""

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

HTTP_TIMEOUT_S = 20.0


@pytest.fixture
def backend() -> Iterator[BackendStandIn]:
    server = BackendStandIn("h1")
    server.start()
    yield server
    server.stop()


@pytest.fixture
def one_entry(backend: BackendStandIn) -> OneEntry:
    entry = OneEntry(backend.port)
    entry.start()
    return entry


def submit(one_entry: OneEntry, body: bytes) -> urllib3.BaseHTTPResponse:
    url = f"http://127.0.0.1:{one_entry.caller_port}/v1/queues/echo/requests"
    return urllib3.request(
        "POST", url, body=body, retries=False, timeout=HTTP_TIMEOUT_S
    )


def test_request_in_flight_completes(
    one_entry: OneEntry, backend: BackendStandIn
) -> None:
    replies: list[urllib3.BaseHTTPResponse] = []
    caller = threading.Thread(
        target=lambda: replies.append(submit(one_entry, b"sleep:700 loaf"))
    )
    caller.start()
    wait_for_run(backend)
    one_entry.stop()
    caller.join(HTTP_TIMEOUT_S)
    assert replies[0].status == 200
    assert replies[0].data.endswith(b"|sleep:700 loaf")
    assert replies[0].headers["Connection"] == "close"


def test_health_check_fails_while_requests_are_still_accepted(
    one_entry: OneEntry,
) -> None:
    health = f"http://127.0.0.1:{one_entry.caller_port}/health"
    assert urllib3.request("GET", health, retries=False).status == 200
    one_entry.entry.drain()
    assert urllib3.request("GET", health, retries=False).status == 503
    assert submit(one_entry, b"late").status == 200
    one_entry.stop()


def test_async_request_completes_before_the_end(
    one_entry: OneEntry, backend: BackendStandIn
) -> None:
    url = f"http://127.0.0.1:{one_entry.caller_port}/v1/queues/echo/requests"
    head = {"Prefer": "respond-async"}
    accepted = urllib3.request(
        "POST", url, body=b"sleep:500", headers=head, timeout=HTTP_TIMEOUT_S
    )
    assert accepted.status == 202
    wait_for_run(backend)
    one_entry.stop()
    assert [run.stop.is_set() for run in backend.runs] == [False]
    assert backend.runs[0].ended.is_set()


def test_second_signal_skips_only_the_wait_for_the_load_balancer() -> None:
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
    raise AssertionError("the backend server has not started the task")
