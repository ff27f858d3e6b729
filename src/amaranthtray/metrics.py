"""Names of all metrics and the statsd client that sends them."""

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
"""Fits one Ethernet frame, so that a lost packet loses few metrics."""


class Kind(StrEnum):
    """How a statsd server treats a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Spec(NamedTuple):
    """What a metric is.

    Attributes:
        name: Name after the prefix, entry and zone.
        kind: Counter, gauge or timer.
        unit: Unit of the value.
        about: What it measures.
        suffixes: Closed set of last parts of the name, if there are several.
    """

    name: str
    kind: Kind
    unit: str
    about: str
    suffixes: tuple[str, ...] = ()


_C, _G, _T = Kind.COUNTER, Kind.GAUGE, Kind.TIMER
_NOT_RUN = tuple(reason.value for reason in NotRunReason)
_UNKNOWN = tuple(reason.value for reason in UnknownReason)
_FAILURES = ("conflict", "unavailable", "effect_unknown", "calls_spent", "lease_gone")


class Metric(Enum):
    """Every metric that this package sends."""

    REQUESTS_ACCEPTED = Spec(
        "requests.accepted", _C, "requests", "Requests that passed the border checks."
    )
    REQUESTS_ANSWERED = Spec(
        "requests.answered", _C, "requests", "Requests answered whole."
    )
    REQUESTS_LATE = Spec(
        "requests.late", _C, "requests", "Whole answers after their deadline."
    )
    REQUESTS_NOT_RUN = Spec(
        "requests.not_run", _C, "requests", "Refusals, by reason.", _NOT_RUN
    )
    REQUESTS_UNKNOWN = Spec(
        "requests.unknown", _C, "requests", "Unknown outcomes, by reason.", _UNKNOWN
    )
    REQUESTS_WAITING = Spec(
        "requests.waiting", _G, "requests", "Requests queued in this entry."
    )
    START_WAIT_URGENT = Spec(
        "requests.start_wait.urgent", _T, "ms", "Wait of urgent work for a slot."
    )
    START_WAIT_PATIENT = Spec(
        "requests.start_wait.patient", _T, "ms", "Wait of patient work for a slot."
    )
    ATTEMPTS_STARTED = Spec(
        "attempts.started", _C, "attempts", "Attempts sent to backend servers."
    )
    ATTEMPTS_RETRIED = Spec(
        "attempts.retried", _C, "attempts", "Attempts after the first."
    )
    ATTEMPTS_LATE = Spec(
        "attempts.late_answers", _C, "answers", "Answers of abandoned attempts."
    )
    SLOTS_IN_USE = Spec("slots.in_use", _G, "slots", "Slots taken by this entry.")
    WORKERS_EJECTED = Spec("workers.ejected", _G, "hosts", "Backend servers ejected.")
    HOSTS_LEAVING = Spec("hosts.leaving", _G, "hosts", "Hosts known to be leaving.")
    HOSTS_MOVED = Spec("hosts.moved", _C, "hosts", "Moves between pools.")
    CONFIGURATION_REVISION = Spec(
        "configuration.revision", _G, "revision", "Revision in force."
    )
    CONFIGURATION_LAG = Spec(
        "configuration.lag", _T, "ms", "Commit of a revision until in force here."
    )
    CONFIGURATION_CONFLICTS = Spec(
        "configuration.conflicts", _C, "changes", "Changes refused by a conflict."
    )
    KEYS_REFUSED = Spec("keys.refused", _C, "requests", "Keys unknown or withdrawn.")
    LIMITS_HELD = Spec("limits.held", _G, "slots", "Units of limits held here.")
    LIMITS_USED = Spec("limits.used", _G, "slots", "Units of limits in use here.")
    LIMITS_STRANDED = Spec(
        "limits.stranded", _G, "slots", "Units that nobody can use yet (steward)."
    )
    DUTIES_HELD = Spec("duties.held", _G, "duties", "Duties that this entry holds.")
    DUTIES_LOST = Spec("duties.lost", _C, "duties", "Duties lost by a lapsed lease.")
    WAVES_DRAINING = Spec(
        "waves.draining", _G, "hosts", "Hosts drained by waves (conductor)."
    )
    WAVES_HELD = Spec(
        "waves.held_by_budget", _G, "hosts", "Hosts that wait for budget (conductor)."
    )
    BUDGET_OUT = Spec("budgets.out", _G, "hosts", "Hosts out for any cause.")
    STORE_CALLS = Spec("store.calls", _C, "calls", "Calls of the platform's service.")
    STORE_FAILURES = Spec(
        "store.failures", _C, "calls", "Failed calls, by kind.", _FAILURES
    )
    STORE_LATENCY = Spec("store.latency", _T, "ms", "Time of a call.")
    PEERS_CONNECTED = Spec("peers.connected", _G, "entries", "Links to other entries.")
    PEERS_REFUSED = Spec(
        "peers.refused", _C, "messages", "Messages of strangers or old terms."
    )
    PEERS_BYTES_SENT = Spec("peers.bytes_sent", _C, "bytes", "Bytes sent to peers.")
    LOG_LINES_HELD_BACK = Spec(
        "logs.held_back", _C, "lines", "Log lines held back under a storm."
    )


class Metrics:
    """Counts in memory and sends to statsd by UDP; safe to use from any thread.

    Counters are summed and leave with ``flush``, so that the packet rate does not
    grow with the request rate. The server's address is resolved once, from an IP
    address; a lost packet is not noticed.

    Args:
        settings: Gives the server and the entry's name and zone.
    """

    def __init__(self, settings: Settings) -> None:
        self._client = _client(settings)
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._totals: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def count(self, metric: Metric, by: int = 1, *, suffix: str = "") -> None:
        """Adds to a counter."""
        name = _name(metric, Kind.COUNTER, suffix)
        with self._lock:
            self._counts[name] += by
            self._totals[name] += by

    def gauge(self, metric: Metric, value: float, *, suffix: str = "") -> None:
        """Sets a gauge."""
        name = _name(metric, Kind.GAUGE, suffix)
        with self._lock:
            self._gauges[name] = value

    def timing(self, metric: Metric, ms: float, *, suffix: str = "") -> None:
        """Records a duration in milliseconds; dropped while metrics are off."""
        name = _name(metric, Kind.TIMER, suffix)
        if self._client is None:
            return
        with self._lock:
            self._timings.append((name, ms))

    def totals(self) -> dict[str, int]:
        """Returns all counters since the start."""
        with self._lock:
            return dict(self._totals)

    def flush(self) -> None:
        """Sends what was collected since the last call."""
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
    """Returns the table of all metrics for the operators' page."""
    lines = ["| Name | Kind | Unit | Meaning |", "|---|---|---|---|"]
    for metric in Metric:
        spec = metric.value
        name = f"`{spec.name}`"
        if spec.suffixes:
            name = f"`{spec.name}.`*reason*"
        lines.append(f"| {name} | {spec.kind.value} | {spec.unit} | {spec.about} |")
    return "\n".join(lines)


def _client(settings: Settings) -> statsd.StatsClient | None:
    server = settings.metrics
    if not server.host:
        return None
    entry = settings.entry
    parts = (server.prefix, _part(entry.zone), _part(entry.id))
    return statsd.StatsClient(
        server.host,
        server.port,
        prefix=".".join(part for part in parts if part),
        maxudpsize=MAX_PACKET_BYTES,
        ipv6=":" in server.host,
    )


def _part(name: str) -> str:
    """Returns ``name`` as one part of a dotted metric name."""
    return name.replace(".", "_")


def _name(metric: Metric, kind: Kind, suffix: str) -> str:
    """Returns the full name.

    Raises:
        ValueError: The metric is of another kind, or the suffix is not one of its.
    """
    spec = metric.value
    if spec.kind is not kind:
        raise ValueError(f"{spec.name} is a {spec.kind.value}, not a {kind.value}")
    if suffix == "" and not spec.suffixes:
        return spec.name
    if suffix not in spec.suffixes:
        raise ValueError(f"{spec.name} has no suffix {suffix!r}")
    return f"{spec.name}.{suffix}"
