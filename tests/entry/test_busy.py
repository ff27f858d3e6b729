"""An entry whose threads are all in use refuses at once, with a true outcome.

A repeatable request has not run; an unrepeatable one with an id may have run before.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
import urllib3

from amaranthtray.demo.fleet import wait_until
from amaranthtray.demo.one_entry import OneEntry
from amaranthtray.standins.backend import BackendStandIn

if TYPE_CHECKING:
    from collections.abc import Iterator

THREADS = 6
REQUEST_THREADS = 2
HTTP_TIMEOUT_S = 20.0


class BusyEntry:
    """An entry whose threads for requests are all in use."""

    def __init__(self) -> None:
        self.backend = BackendStandIn("h1")
        self.backend.start()
        self.one_entry = OneEntry(self.backend.port, threads=THREADS)
        self.one_entry.start()
        self._executor = ThreadPoolExecutor(REQUEST_THREADS)
        self.running_calls = [
            self._executor.submit(self.send, b"sleep:1500", {})
            for _ in range(REQUEST_THREADS)
        ]
        wait_until(self._is_full, "all request threads are in use")

    def _is_full(self) -> bool:
        ended = [reply.result() for reply in self.running_calls if reply.done()]
        assert not ended, [(reply.status, reply.data) for reply in ended]
        return len(self.backend.runs) == REQUEST_THREADS

    def send(self, body: bytes, headers: dict[str, str]) -> urllib3.BaseHTTPResponse:
        url = f"http://127.0.0.1:{self.one_entry.caller_port}/v1/queues/echo/requests"
        return urllib3.request(
            "POST",
            url,
            body=body,
            headers=headers,
            retries=False,
            timeout=HTTP_TIMEOUT_S,
        )

    def stop(self) -> None:
        assert {reply.result().status for reply in self.running_calls} == {200}
        self.one_entry.stop()
        self.backend.stop()


@pytest.fixture(scope="module")
def busy() -> Iterator[BusyEntry]:
    busy = BusyEntry()
    yield busy
    busy.stop()


@pytest.mark.parametrize(
    ("head", "outcome", "reason"),
    [
        ({}, "not_run", "entry_busy"),
        ({"Request-Id": "a", "Repeatable": "true"}, "not_run", "entry_busy"),
        ({"Request-Id": "b"}, "unknown", "not_looked_up"),
    ],
)
def test_full_entry_refuses_with_a_true_outcome(
    busy: BusyEntry, head: dict[str, str], outcome: str, reason: str
) -> None:
    reply = busy.send(b"x", head)
    assert (reply.status, reply.headers["Outcome"]) == (503, outcome)
    assert reply.json()["reason"] == reason
    assert reply.headers["Retry-After"] == "1"
    assert len(busy.backend.runs) == REQUEST_THREADS
