"""The request path compared with a bare forwarder, each in its own process."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from ._load_generator import LoadGenerator, LoadResult
from ._waiting_callers import WaitingCallers, resident_mib
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

ENTRY_VARIABLE = "AMARANTHTRAY_BENCH_ENTRY_PORT"
PID_VARIABLE = "AMARANTHTRAY_BENCH_ENTRY_PID"
KEY_VARIABLE = "AMARANTHTRAY_BENCH_CALLER_KEY"
BARE_VARIABLE = "AMARANTHTRAY_BENCH_BARE_PORT"
CALLERS = 8
WAITING = 500
WARM_UP_S = 1.0
ROUND_S = 3.0
ROUNDS = 3


class ProcessNotStartedError(Exception):
    """A process that this group measures was not started."""


def figures() -> Iterator[Figure]:
    """Measures memory, throughput and latency; takes medians of alternating rounds."""
    entry_url = f"http://127.0.0.1:{_port(ENTRY_VARIABLE)}/v1/queues/keyed/requests"
    bare_url = f"http://127.0.0.1:{_port(BARE_VARIABLE)}/"
    key = os.environ.get(KEY_VARIABLE, "")
    yield from _memory(entry_url, key)
    for url in (entry_url, bare_url):
        LoadGenerator(url, callers=CALLERS, key=key).run(WARM_UP_S)
    entry_results, bare_results = [], []
    for _ in range(ROUNDS):
        bare_results.append(
            LoadGenerator(bare_url, callers=CALLERS, key=key).run(ROUND_S)
        )
        entry_results.append(
            LoadGenerator(entry_url, callers=CALLERS, key=key).run(ROUND_S)
        )
    entry_result, bare_result = _median(entry_results), _median(bare_results)
    failed = sum(result.failed for result in entry_results + bare_results)
    yield Figure("path.failed", failed, "requests", "== 0")
    yield Figure(
        "path.throughput",
        entry_result.per_s,
        "requests/s",
        ">= 0.6",
        baseline=bare_result.per_s,
        on_ratio=True,
    )
    yield Figure(
        "path.p99",
        entry_result.p99_ms,
        "ms",
        "<= 2",
        baseline=bare_result.p99_ms,
        on_ratio=True,
    )


def _median(results: list[LoadResult]) -> LoadResult:
    return sorted(results)[len(results) // 2]


def _port(variable: str) -> int:
    text = os.environ.get(variable)
    if text is None:
        raise ProcessNotStartedError(f"run `make bench`, which sets {variable}")
    return int(text)


def _memory(url: str, key: str) -> Iterator[Figure]:
    """Measures the memory of a newly started entry, then with many waiting callers."""
    pid = int(os.environ[PID_VARIABLE])
    yield Figure("path.memory_idle", resident_mib(pid), "MB", "<= 64")
    callers = WaitingCallers(url, key, WAITING)
    callers.send_requests()
    waiting_mib = resident_mib(pid)
    callers.close()
    yield Figure("path.memory_waiting_500", waiting_mib, "MB", ">= 0")
