"""The request path against a bare forwarder, each in a process of its own."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from ._load_generator import Load, LoadResult
from ._waiting_callers import WaitingCallers, resident_mb
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


class PartMissingError(Exception):
    """The processes of this group were not started."""


def figures() -> Iterator[Figure]:
    """Measures throughput and latency; rounds alternate, the medians count."""
    entry_url = f"http://127.0.0.1:{_port(ENTRY_VARIABLE)}/v1/queues/keyed/requests"
    bare_url = f"http://127.0.0.1:{_port(BARE_VARIABLE)}/"
    key = os.environ.get(KEY_VARIABLE, "")
    yield from _memory(entry_url, key)
    for url in (entry_url, bare_url):
        Load(url, callers=CALLERS, key=key).run(WARM_UP_S)
    entry, bare = [], []
    for _ in range(ROUNDS):
        bare.append(Load(bare_url, callers=CALLERS, key=key).run(ROUND_S))
        entry.append(Load(entry_url, callers=CALLERS, key=key).run(ROUND_S))
    mine, theirs = _median(entry), _median(bare)
    failed = sum(result.failed for result in entry + bare)
    yield Figure("path.failed", failed, "requests", "== 0")
    yield Figure(
        "path.throughput",
        mine.per_s,
        "requests/s",
        ">= 0.6",
        baseline=theirs.per_s,
        on_ratio=True,
    )
    yield Figure(
        "path.p99", mine.p99_ms, "ms", "<= 2", baseline=theirs.p99_ms, on_ratio=True
    )


def _median(results: list[LoadResult]) -> LoadResult:
    return sorted(results)[len(results) // 2]


def _port(variable: str) -> int:
    text = os.environ.get(variable)
    if text is None:
        raise PartMissingError(f"run `make bench`, which sets {variable}")
    return int(text)


def _memory(url: str, key: str) -> Iterator[Figure]:
    """Resident memory of a fresh entry, and of one with many callers waiting."""
    pid = int(os.environ[PID_VARIABLE])
    yield Figure("path.memory_idle", resident_mb(pid), "MB", "<= 64")
    waiting = WaitingCallers(url, key, WAITING)
    waiting.begin()
    held_mb = resident_mb(pid)
    waiting.end()
    yield Figure("path.memory_waiting_500", held_mb, "MB", ">= 0")
