"""Definitions of all metrics, and the statsd client that sends them."""

from __future__ import annotations

import threading
from collections import Counter
from enum import Enum, StrEnum
from typing import TYPE_CHECKING, NamedTuple

import statsd

from .domain.requests.model import NotRunReason, UnknownReason

if TYPE_CHECKING:
    from .settings import Settings

MAX_PACKET_BYTES = 1_400
"""Fits into one Ethernet frame, so that a lost packet loses few metrics."""


class MetricKind(StrEnum):
    """Type of a metric in the statsd protocol."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class MetricSpec(NamedTuple):
    """Definition of a metric.

    Attributes:
        name: Name without the prefix, zone and entry.
        kind: Type of the metric.
        unit: Unit of the value.
        description: What the metric measures.
        suffixes: All values of the last part of the name, if the metric has one.
    """

    name: str
    kind: MetricKind
    unit: str
    description: str
    suffixes: tuple[str, ...] = ()


_COUNTER, _GAUGE, _TIMER = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMER
_NOT_RUN_REASONS = tuple(reason.value for reason in NotRunReason)
_UNKNOWN_REASONS = tuple(reason.value for reason in UnknownReason)
_STORE_FAILURE_KINDS = (
    "conflict",
    "unavailable",
    "effect_unknown",
    "calls_spent",
    "lease_gone",
)


class Metric(Enum):
    """All metrics that this package sends."""

    REQUESTS_ACCEPTED = MetricSpec(
        "requests.accepted",
        _COUNTER,
        "requests",
        "Requests that passed the border checks.",
    )
    REQUESTS_ANSWERED = MetricSpec(
        "requests.answered", _COUNTER, "requests", "Requests answered whole."
    )
    REQUESTS_LATE = MetricSpec(
        "requests.late", _COUNTER, "requests", "Whole answers after their deadline."
    )
    REQUESTS_NOT_RUN = MetricSpec(
        "requests.not_run",
        _COUNTER,
        "requests",
        "Refusals, by reason.",
        _NOT_RUN_REASONS,
    )
    REQUESTS_UNKNOWN = MetricSpec(
        "requests.unknown",
        _COUNTER,
        "requests",
        "Unknown outcomes, by reason.",
        _UNKNOWN_REASONS,
    )
    REQUESTS_WAITING = MetricSpec(
        "requests.waiting", _GAUGE, "requests", "Requests queued in this entry."
    )
    START_WAIT_URGENT = MetricSpec(
        "requests.start_wait.urgent", _TIMER, "ms", "Wait of urgent work for a slot."
    )
    START_WAIT_PATIENT = MetricSpec(
        "requests.start_wait.patient", _TIMER, "ms", "Wait of patient work for a slot."
    )
    ATTEMPTS_STARTED = MetricSpec(
        "attempts.started", _COUNTER, "attempts", "Attempts sent to backend servers."
    )
    ATTEMPTS_RETRIED = MetricSpec(
        "attempts.retried", _COUNTER, "attempts", "Attempts after the first."
    )
    ATTEMPTS_LATE = MetricSpec(
        "attempts.late_answers", _COUNTER, "answers", "Answers of abandoned attempts."
    )
    ATTEMPTS_WITHHELD = MetricSpec(
        "attempts.withheld",
        _COUNTER,
        "attempts",
        "Attempts not sent, as their zone is evacuated.",
    )
    ZONES_EVACUATED = MetricSpec(
        "zones.evacuated", _GAUGE, "zones", "Availability zones evacuated."
    )
    SLOTS_IN_USE = MetricSpec(
        "slots.in_use", _GAUGE, "slots", "Slots taken by this entry."
    )
    WORKERS_EJECTED = MetricSpec(
        "workers.ejected", _GAUGE, "hosts", "Backend servers ejected."
    )
    HOSTS_LEAVING = MetricSpec(
        "hosts.leaving", _GAUGE, "hosts", "Hosts known to be leaving."
    )
    HOSTS_MOVED = MetricSpec("hosts.moved", _COUNTER, "hosts", "Moves between pools.")
    CONFIGURATION_REVISION = MetricSpec(
        "configuration.revision", _GAUGE, "revision", "Revision in force."
    )
    CONFIGURATION_LAG = MetricSpec(
        "configuration.lag", _TIMER, "ms", "Commit of a revision until in force here."
    )
    CONFIGURATION_CONFLICTS = MetricSpec(
        "configuration.conflicts", _COUNTER, "changes", "Changes refused by a conflict."
    )
    KEYS_REFUSED = MetricSpec(
        "keys.refused", _COUNTER, "requests", "Keys unknown or withdrawn."
    )
    LIMITS_HELD = MetricSpec(
        "limits.held", _GAUGE, "slots", "Units of limits held here."
    )
    LIMITS_USED = MetricSpec(
        "limits.used", _GAUGE, "slots", "Units of limits in use here."
    )
    LIMITS_STRANDED = MetricSpec(
        "limits.stranded", _GAUGE, "slots", "Units that nobody can use yet (steward)."
    )
    DUTIES_HELD = MetricSpec(
        "duties.held", _GAUGE, "duties", "Duties that this entry holds."
    )
    DUTIES_LOST = MetricSpec(
        "duties.lost", _COUNTER, "duties", "Duties lost by a lapsed lease."
    )
    WAVES_DRAINING = MetricSpec(
        "waves.draining", _GAUGE, "hosts", "Hosts drained by waves (conductor)."
    )
    WAVES_HELD = MetricSpec(
        "waves.held_by_budget",
        _GAUGE,
        "hosts",
        "Hosts that wait for budget (conductor).",
    )
    BUDGET_OUT = MetricSpec("budgets.out", _GAUGE, "hosts", "Hosts out for any cause.")
    STORE_CALLS = MetricSpec(
        "store.calls", _COUNTER, "calls", "Calls of the platform's service."
    )
    STORE_FAILURES = MetricSpec(
        "store.failures",
        _COUNTER,
        "calls",
        "Failed calls, by kind.",
        _STORE_FAILURE_KINDS,
    )
    STORE_LATENCY = MetricSpec("store.latency", _TIMER, "ms", "Time of a call.")
    PEERS_CONNECTED = MetricSpec(
        "peers.connected", _GAUGE, "entries", "Links to other entries."
    )
    PEERS_REFUSED = MetricSpec(
        "peers.refused", _COUNTER, "messages", "Messages of strangers or old terms."
    )
    PEERS_BYTES_SENT = MetricSpec(
        "peers.bytes_sent", _COUNTER, "bytes", "Bytes sent to peers."
    )
    LOG_LINES_HELD_BACK = MetricSpec(
        "logs.held_back", _COUNTER, "lines", "Log lines held back under a storm."
    )


class Metrics:
    """Aggregates metrics in memory and sends them to statsd over UDP; thread-safe.

    ``flush`` sends the sums of counters, so that the packet rate does not grow with
    the request rate. The server is given by IP address, so no name is resolved; lost
    packets are not detected.

    Args:
        settings: Settings with the server and the entry's name and zone.
    """

    def __init__(self, settings: Settings) -> None:
        self._client = _client(settings)
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._totals: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def count(self, metric: Metric, by: int = 1, *, suffix: str = "") -> None:
        """Increments a counter."""
        name = _checked_name(metric, MetricKind.COUNTER, suffix)
        with self._lock:
            self._counts[name] += by
            self._totals[name] += by

    def gauge(self, metric: Metric, value: float, *, suffix: str = "") -> None:
        """Sets a gauge."""
        name = _checked_name(metric, MetricKind.GAUGE, suffix)
        with self._lock:
            self._gauges[name] = value

    def timing(self, metric: Metric, ms: float, *, suffix: str = "") -> None:
        """Records a duration in milliseconds; dropped if metrics are turned off."""
        name = _checked_name(metric, MetricKind.TIMER, suffix)
        if self._client is None:
            return
        with self._lock:
            self._timings.append((name, ms))

    def totals(self) -> dict[str, int]:
        """Returns the totals of all counters since the start."""
        with self._lock:
            return dict(self._totals)

    def flush(self) -> None:
        """Sends the values collected since the last call."""
        with self._lock:
            counts, self._counts = self._counts, Counter()
            gauges, self._gauges = self._gauges, {}
            timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, by in counts.items():
                pipe.incr(name, by)
            for name, value in gauges.items():
                pipe.gauge(name, value)
            for name, ms in timings:
                pipe.timing(name, ms)


def markdown_table() -> str:
    """Returns the Markdown table of all metrics for ``docs/METRICS.md``."""
    lines = ["| Name | Kind | Unit | Meaning |", "|---|---|---|---|"]
    for metric in Metric:
        spec = metric.value
        name = f"`{spec.name}`"
        if spec.suffixes:
            name = f"`{spec.name}.`*reason*"
        lines.append(
            f"| {name} | {spec.kind.value} | {spec.unit} | {spec.description} |"
        )
    return "\n".join(lines)


def _client(settings: Settings) -> statsd.StatsClient | None:
    server = settings.metrics
    if not server.host:
        return None
    entry = settings.entry
    parts = (server.prefix, _escape_part(entry.zone), _escape_part(entry.id))
    return statsd.StatsClient(
        server.host,
        server.port,
        prefix=".".join(part for part in parts if part),
        maxudpsize=MAX_PACKET_BYTES,
        ipv6=":" in server.host,
    )


def _escape_part(name: str) -> str:
    """Replaces dots, which separate the parts of a metric name."""
    return name.replace(".", "_")


def _checked_name(metric: Metric, kind: MetricKind, suffix: str) -> str:
    """Returns the name with its suffix, after checking that both fit the metric.

    Raises:
        ValueError: The metric is of another kind, or does not have the suffix.
    """
    spec = metric.value
    if spec.kind is not kind:
        raise ValueError(f"{spec.name} is a {spec.kind.value}, not a {kind.value}")
    if suffix == "" and not spec.suffixes:
        return spec.name
    if suffix not in spec.suffixes:
        raise ValueError(f"{spec.name} has no suffix {suffix!r}")
    return f"{spec.name}.{suffix}"
