"""The trace of a running entry replays to the same effects and holds no bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

from amaranthtray.demo.one_entry import OneEntry
from amaranthtray.replay.run import run_files
from amaranthtray.standins.backend import BackendStandIn

if TYPE_CHECKING:
    from pathlib import Path

REQUESTS = 20
HTTP_TIMEOUT_S = 20.0


def test_trace_of_a_running_entry_replays_to_the_same_effects(tmp_path: Path) -> None:
    trace = tmp_path / "entry.jsonl"
    backend = BackendStandIn("h1")
    backend.start()
    entry = OneEntry(backend.port, trace=str(trace))
    entry.start()
    url = f"http://127.0.0.1:{entry.caller_port}/v1/queues/echo/requests"
    try:
        for number in range(REQUESTS):
            reply = urllib3.request(
                "POST", url, body=b"secret loaf", retries=False, timeout=HTTP_TIMEOUT_S
            )
            assert reply.status == 200, (number, reply.data)
    finally:
        entry.stop()
        backend.stop()
    assert run_files([str(trace)]) == 0
    text = trace.read_text()
    assert text.count('"Finish"') == REQUESTS
    assert "secret loaf" not in text
