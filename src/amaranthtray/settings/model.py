"""Validated models of the settings file; one class for each section."""

from __future__ import annotations

import ipaddress
from enum import StrEnum
from typing import Annotated
from urllib.parse import urlsplit

import msgspec
from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Port = Annotated[int, Meta(ge=0, le=65_535)]
Count = Annotated[int, Meta(ge=1)]
DurationMs = Annotated[int, Meta(ge=1)]
Percent = Annotated[int, Meta(ge=0, le=100)]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class LogLevel(StrEnum):
    """Minimum severity of the lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(StrEnum):
    """Format of a log line."""

    JSON = "json"
    TEXT = "text"


class EntrySettings(Struct, frozen=True, kw_only=True):
    """Section ``[entry]``: identity, ports, threads and limits of the process.

    Attributes:
        id: Unique name of the entry host.
        zone: Availability zone of the entry host.
        region: Region of the zone.
        address: IP address to which all ports are bound.
        caller_port: TCP port of the caller API; with 0 the system chooses one.
        admin_port: TCP port of the administration API; with 0 the system chooses one.
        peer_port: TCP port of links between entries; with 0 the system chooses one.
        threads: Number of threads that serve callers.
        patient_threads: Maximum number of threads that serve callers of patient work.
        max_body_bytes: Maximum size of a request body.
        max_header_bytes: Maximum size of the request headers.
        read_timeout_ms: Timeout of waiting for bytes from a caller.
        balancer_drain_ms: Time for which the health check fails before a leaving
            entry stops accepting requests.
    """

    id: Name
    zone: Name
    region: Name
    address: str
    caller_port: Port = 8080
    admin_port: Port = 8081
    peer_port: Port = 8082
    threads: Annotated[int, Meta(ge=2, le=4_096)] = 128
    patient_threads: Count = 96
    max_body_bytes: Count = 1_048_576
    max_header_bytes: Count = 16_384
    read_timeout_ms: DurationMs = 10_000
    balancer_drain_ms: Annotated[int, Meta(ge=0)] = 5_000

    def __post_init__(self) -> None:
        ipaddress.ip_address(self.address)
        if self.patient_threads >= self.threads:
            raise ValueError("`patient_threads` must be lower than `threads`")
        ports = [self.caller_port, self.admin_port, self.peer_port]
        chosen = [port for port in ports if port]
        if len(set(chosen)) < len(chosen):
            raise ValueError("two of the ports are the same")


class HostListSettings(Struct, frozen=True, kw_only=True):
    """Section ``[platform.hosts]``: the host list of the platform.

    Attributes:
        prefix: Key prefix of the host list in the platform's key-value service.
    """

    prefix: Annotated[str, Meta(min_length=1)] = "hosts/"


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """Section ``[platform]``: the platform's key-value service.

    Attributes:
        endpoints: HTTP URLs of the service, tried in order.
        prefix: Prefix of all keys that this package writes.
        timeout_ms: Timeout of one call.
        calls_per_s: Maximum rate of calls from this entry.
        hosts: The host list.
    """

    endpoints: Annotated[list[str], Meta(min_length=1)]
    prefix: Annotated[str, Meta(min_length=1)] = "amaranthtray/"
    timeout_ms: DurationMs = 1_000
    calls_per_s: Count = 50
    hosts: HostListSettings = field(default_factory=HostListSettings)

    def __post_init__(self) -> None:
        for url in self.endpoints:
            _check_http_url(url)


class PeerSettings(Struct, frozen=True, kw_only=True):
    """Section ``[peers]``: links between entries.

    Attributes:
        secret_file: File with the secret by which entries authenticate each other;
            empty if the environment gives the secret.
        max_frame_bytes: Maximum size of a frame from a peer.
        seeds: Addresses of peers, as ``IP:PORT``, to contact while the platform is
            unavailable.
    """

    secret_file: str = ""
    max_frame_bytes: Count = 2_097_152
    seeds: list[str] = []

    def __post_init__(self) -> None:
        for seed in self.seeds:
            _check_address(seed)


class RequestSettings(Struct, frozen=True, kw_only=True):
    """Section ``[requests]``: deadlines, leases, retries and ejection.

    Attributes:
        default_deadline_ms: Deadline of a request that gives none.
        max_deadline_ms: Longest deadline that a request may give.
        result_keep_ms: Time for which an answer can be read again.
        task_lease_ms: Length of the lease under which a backend server runs a task.
        max_attempts: Maximum number of attempts of a repeatable request.
        retry_budget_percent: Retries allowed per 100 first attempts in a pool.
        retry_backoff_ms: Upper bound of the first jittered backoff.
        eject_after_failures: Consecutive failures after which a worker is ejected.
        eject_ms: Minimum duration of an ejection.
        eject_max_percent: Maximum share of the workers of a pool ejected at once.
    """

    default_deadline_ms: DurationMs = 10_000
    max_deadline_ms: DurationMs = 3_600_000
    result_keep_ms: DurationMs = 60_000
    task_lease_ms: DurationMs = 10_000
    max_attempts: Count = 3
    retry_budget_percent: Percent = 10
    retry_backoff_ms: DurationMs = 50
    eject_after_failures: Count = 5
    eject_ms: DurationMs = 10_000
    eject_max_percent: Percent = 20

    def __post_init__(self) -> None:
        if self.default_deadline_ms > self.max_deadline_ms:
            raise ValueError("`default_deadline_ms` exceeds `max_deadline_ms`")


class MetricSettings(Struct, frozen=True, kw_only=True):
    """Section ``[metrics]``: the statsd server; an empty host turns metrics off.

    Attributes:
        host: IP address of the server; no name is ever resolved.
        port: UDP port of the server.
        prefix: Prefix of all metric names.
    """

    host: str = ""
    port: Port = 8125
    prefix: str = "amaranthtray"

    def __post_init__(self) -> None:
        if self.host:
            ipaddress.ip_address(self.host)


class LogSettings(Struct, frozen=True, kw_only=True):
    """Section ``[logs]``: lines on standard error.

    Attributes:
        level: Minimum severity of the lines that are written.
        format: Format of the lines.
    """

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.JSON


class TraceSettings(Struct, frozen=True, kw_only=True):
    """Section ``[trace]``: recording for ``replay``; an empty path turns it off.

    Attributes:
        path: File to create; it must not exist, so that no trace is overwritten.
        max_bytes: Maximum size of the trace; recording stops there, the entry runs on.
    """

    path: str = ""
    max_bytes: Count = 67_108_864


class BootstrapSettings(Struct, frozen=True, kw_only=True):
    """Section ``[bootstrap]``: access for the first operator.

    Attributes:
        operator_digest: SHA-256 digest of an operator key that is accepted while
            the configuration contains no operator.
    """

    operator_digest: Digest | None = None


class Settings(Struct, frozen=True, kw_only=True):
    """The whole settings file."""

    entry: EntrySettings
    platform: PlatformSettings
    peers: PeerSettings = field(default_factory=PeerSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    metrics: MetricSettings = field(default_factory=MetricSettings)
    logs: LogSettings = field(default_factory=LogSettings)
    trace: TraceSettings = field(default_factory=TraceSettings)
    bootstrap: BootstrapSettings = field(default_factory=BootstrapSettings)


def sections(model: type[Struct]) -> dict[str, type[Struct]]:
    """Returns the models of the sections nested in ``model``, by name."""
    found = {}
    for item in msgspec.structs.fields(model):
        if isinstance(item.type, type) and issubclass(item.type, Struct):
            found[item.name] = item.type
    return found


def _check_address(text: str) -> None:
    address, _, port = text.rpartition(":")
    ipaddress.ip_address(address.strip("[]"))
    if not port.isdecimal():
        raise ValueError(f"{text!r} is not an IP:PORT address")


def _check_http_url(url: str) -> None:
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(f"{url!r} is not an http URL with a host")
    _ = parts.port
