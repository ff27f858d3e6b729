"""Counts and logs what clients were refused at the border."""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

from .clock import steady_ms

if TYPE_CHECKING:
    from .event_log import EventLog
    from .metrics_registry import MetricsRegistry

LOG_INTERVAL_MS = 1_000
"""Minimum time between log lines of one kind at one address."""


class ClientRefusals:
    """Counts refusals, and logs them in a bounded number of lines; thread-safe.

    Args:
        metrics: Gets the counter ``clients_refused``.
        log: Gets the event ``client-refused``.
    """

    def __init__(self, metrics: MetricsRegistry, log: EventLog) -> None:
        self._metrics = metrics
        self._log = log
        self._lock = threading.Lock()
        self._unlogged: Counter[tuple[str, str]] = Counter()
        self._logged_ms: dict[tuple[str, str], int] = {}

    def record(self, address: str, kind: str) -> None:
        """Records a refusal.

        Args:
            address: ``callers``, ``readiness`` or ``metrics``.
            kind: One of ``amaranthtray.web.REFUSALS``, or ``documents``.
        """
        self._metrics.count("clients_refused", kind)
        now_ms, key = steady_ms(), (address, kind)
        with self._lock:
            self._unlogged[key] += 1
            if now_ms - self._logged_ms.get(key, -LOG_INTERVAL_MS) < LOG_INTERVAL_MS:
                return
            self._logged_ms[key] = now_ms
            count = self._unlogged.pop(key)
        self._log.event("client-refused", address=address, why=kind, count=count)
