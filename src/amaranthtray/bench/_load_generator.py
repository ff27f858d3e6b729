"""Load generator: callers in a closed loop over HTTP, with a latency histogram."""

from __future__ import annotations

import threading
import time
from typing import NamedTuple

import urllib3
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
HTTP_OK = 200


class LoadResult(NamedTuple):
    """Throughput and latency of a run.

    Attributes:
        per_s: Answers per second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        failed: Number of answers with a status other than 200.
    """

    per_s: float
    p50_ms: float
    p99_ms: float
    failed: int


class LoadGenerator:
    """Callers that each send the next request after the answer to the last one.

    Args:
        url: URL to send requests to.
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
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._failed = 0

    def run(self, seconds: float) -> LoadResult:
        """Sends requests for the given time and returns the result."""
        started_s = time.monotonic()
        end_s = started_s + seconds
        threads = [
            threading.Thread(target=self._call_until, args=(end_s, number))
            for number in range(self._callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - started_s
        count = self._histogram.get_total_count()
        return LoadResult(
            per_s=count / elapsed_s,
            p50_ms=self._histogram.get_value_at_percentile(50) / 1_000,
            p99_ms=self._histogram.get_value_at_percentile(99) / 1_000,
            failed=self._failed,
        )

    def _call_until(self, end_s: float, caller: int) -> None:
        sent = 0
        latencies_us: list[int] = []
        failed = 0
        while time.monotonic() < end_s:
            sent += 1
            started = time.perf_counter()
            resp = self._pool.request(
                "POST",
                self._url,
                body=self._body,
                headers=self._headers(f"{caller}-{started}-{sent}"),
            )
            latencies_us.append(int((time.perf_counter() - started) * US_PER_S))
            failed += resp.status != HTTP_OK
        with self._lock:
            self._failed += failed
            for latency_us in latencies_us:
                self._histogram.record_value(latency_us)

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {"Request-Id": request_id, "Repeatable": "true"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        return headers
