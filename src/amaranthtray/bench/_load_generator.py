"""A closed loop of callers over HTTP, with latencies in a histogram."""

from __future__ import annotations

import threading
import time
from typing import NamedTuple

import urllib3
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
US_PER_S = 1_000_000
HTTP_OK = 200


class LoadResult(NamedTuple):
    """What a load run measured.

    Attributes:
        per_s: Good answers a second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        failed: Answers that were not good.
    """

    per_s: float
    p50_ms: float
    p99_ms: float
    failed: int


class Load:
    """Callers that each send the next request when the last one is answered.

    Args:
        url: Where to send.
        callers: Number of callers.
        body: Body of each request.
        key: Bearer key of the callers.
    """

    def __init__(
        self, url: str, *, callers: int, body: bytes = b"x" * 200, key: str = ""
    ) -> None:
        self._key = key
        self._url = url
        self._callers = callers
        self._body = body
        self._pool = urllib3.PoolManager(maxsize=callers, retries=False)
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._failed = 0

    def run(self, seconds: float) -> LoadResult:
        """Sends for a while and returns what was measured."""
        begin = time.monotonic()
        end = begin + seconds
        threads = [
            threading.Thread(target=self._call_until, args=(end, number))
            for number in range(self._callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        took = time.monotonic() - begin
        count = self._histogram.get_total_count()
        return LoadResult(
            per_s=count / took,
            p50_ms=self._histogram.get_value_at_percentile(50) / 1_000,
            p99_ms=self._histogram.get_value_at_percentile(99) / 1_000,
            failed=self._failed,
        )

    def _call_until(self, end: float, caller: int) -> None:
        sent = 0
        taken: list[int] = []
        failed = 0
        while time.monotonic() < end:
            sent += 1
            started = time.perf_counter()
            resp = self._pool.request(
                "POST",
                self._url,
                body=self._body,
                headers=self._head(f"{caller}-{started}-{sent}"),
            )
            taken.append(int((time.perf_counter() - started) * US_PER_S))
            failed += resp.status != HTTP_OK
        with self._lock:
            self._failed += failed
            for micros in taken:
                self._histogram.record_value(micros)

    def _head(self, request_id: str) -> dict[str, str]:
        head = {"Request-Id": request_id, "Repeatable": "true"}
        if self._key:
            head["Authorization"] = f"Bearer {self._key}"
        return head
