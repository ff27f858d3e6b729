"""Counters and latency histograms of an entry, in Prometheus text format."""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

BOUNDS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500)
"""Upper bounds of the latency buckets; one more bucket is unbounded."""

PREFIX = "amaranthtray_"


class MetricsRegistry:
    """Counts events and latencies of calls; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str]] = Counter()
        self._buckets: dict[tuple[str, str], list[int]] = {}
        self._sums_ms: Counter[tuple[str, str]] = Counter()

    def count(self, name: str, kind: str = "", by: int = 1) -> None:
        """Counts an event; ``kind`` becomes a label and must come from a fixed set."""
        with self._lock:
            self._counts[name, kind] += by

    def record_latency(self, name: str, kind: str, millis: int) -> None:
        """Records the latency of a call."""
        with self._lock:
            buckets = self._buckets.setdefault((name, kind), [0] * (len(BOUNDS_MS) + 1))
            place = sum(millis > bound for bound in BOUNDS_MS)
            buckets[place] += 1
            self._sums_ms[name, kind] += millis

    def totals(self, name: str) -> dict[str, int]:
        """Returns the number of events or of timed calls by kind."""
        with self._lock:
            counted = {k: n for (each, k), n in self._counts.items() if each == name}
            timed = {
                k: sum(b) for (each, k), b in self._buckets.items() if each == name
            }
        return counted | timed

    def render(self, gauges: Mapping[str, float]) -> str:
        """Returns all metrics, one a line, together with the given gauges."""
        lines = [f"{PREFIX}{name} {value}" for name, value in sorted(gauges.items())]
        with self._lock:
            for (name, kind), number in sorted(self._counts.items()):
                lines.append(f"{PREFIX}{name}_total{_label('kind', kind)} {number}")
            for (name, kind), buckets in sorted(self._buckets.items()):
                lines += _histogram(name, kind, buckets, self._sums_ms[name, kind])
        return "\n".join(lines) + "\n"


def _histogram(name: str, kind: str, buckets: list[int], sum_ms: int) -> list[str]:
    lines, below = [], 0
    bounds = [*map(str, BOUNDS_MS), "+Inf"]
    for bound, number in zip(bounds, buckets, strict=True):
        below += number
        label = f'{{kind="{kind}",le="{bound}"}}'
        lines.append(f"{PREFIX}{name}_ms_bucket{label} {below}")
    lines.append(f"{PREFIX}{name}_ms_sum{_label('kind', kind)} {sum_ms}")
    lines.append(f"{PREFIX}{name}_ms_count{_label('kind', kind)} {below}")
    return lines


def _label(name: str, value: str) -> str:
    return f'{{{name}="{value}"}}' if value else ""
