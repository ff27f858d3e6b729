"""Documents that the operator and the hosts write to the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..domain.ids import HostId, PoolName, QueueName, RackId, TeamName, ZoneId
from ..domain.jobs.catalog import Catalog, JobPool, JobQueue, JobTeam, digest_of
from ..domain.jobs.model import Resources
from ..domain.scheduling.messages import HostInfo
from ..domain.upkeep.model import MachineName, WaveRequest
from ..web.address import split_address

CONFIGURATION_KEY = "op/config"
HOSTS_PREFIX = "servers/"
WAVES_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
EVACUATIONS_PREFIX = "op/evacuate/"
USABLE_STATES = ("ready", "draining")

Amount = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
"""A count, or an amount of a resource."""

Number = Annotated[float, msgspec.Meta(ge=0)]


class _ResourceAmounts(msgspec.Struct, rename="camel"):
    cpu: Amount = 0
    requested_memory_mb: Amount = 0
    gpu: Amount = 0

    def resources(self) -> Resources:
        return Resources(self.cpu, self.requested_memory_mb, self.gpu)


class _Route(msgspec.Struct, rename="camel"):
    """A route of the platform, which is a queue of the product."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int = 0
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    slowdown_factor: float = 1.0
    public: bool = False
    # Contains the service time and the validity of advice. Only its presence
    # matters here, as each reply of the advice service repeats the validity.
    advice: dict[str, float] | None = None

    def queue(self) -> JobQueue:
        return JobQueue(
            name=QueueName(self.name),
            host_header=self.host,
            path_prefix=self.prefix,
            pool=PoolName(self.service),
            priority=self.priority,
            max_attempts=self.max_attempts,
            slowdown_factor=self.slowdown_factor,
            target_ms=self.target_latency_ms,
            timeout_ms=self.timeout_ms,
            is_open=self.public,
            needs_advice=self.advice is not None,
        )


class _Service(msgspec.Struct, rename="camel"):
    """A service of the platform, which is a pool of the product."""

    name: str
    enforce_capacity: bool = True
    standby: bool = False

    def pool(self) -> JobPool:
        return JobPool(
            name=PoolName(self.name),
            enforces_capacity=self.enforce_capacity,
            is_standby=self.standby,
        )


class _Tenant(msgspec.Struct, rename="camel"):
    """A tenant of the platform, which is a team of the product."""

    name: str
    api_keys: list[str] = []
    weight: int = 1
    cap: _ResourceAmounts = msgspec.field(default_factory=_ResourceAmounts)

    def team(self) -> JobTeam:
        return JobTeam(
            name=TeamName(self.name), weight=self.weight, cap=self.cap.resources()
        )


class _Limits(msgspec.Struct, rename="camel"):
    max_body_bytes: int = 262_144


class _Configuration(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _HostEntry(msgspec.Struct, rename="camel"):
    """A host's entry in the list of hosts.

    A host writes all fields without a default; other writers may leave some out.
    """

    service: str
    address: str
    state: str
    zone: str
    version: str
    slots: Number
    cold_remaining_ms: Number
    sequence: Number
    capacity: _ResourceAmounts
    labels: list[str]
    remaining_ms: Amount = 0
    machine: str = ""
    born: int = 0


def decode_configuration(data: bytes, store_version: int) -> Catalog:
    """Returns the configuration stored as ``data``.

    Raises:
        msgspec.MsgspecError: ``data`` is not a configuration.
    """
    document = msgspec.json.decode(data, type=_Configuration)
    queues = [route.queue() for route in document.routes]
    queues.sort(key=lambda queue: -len(queue.path_prefix))
    return Catalog(
        version=document.version,
        store_version=store_version,
        queues=tuple(queues),
        pools={PoolName(each.name): each.pool() for each in document.services},
        teams={TeamName(each.name): each.team() for each in document.tenants},
        team_by_digest={
            digest_of(key): TeamName(each.name)
            for each in document.tenants
            for key in each.api_keys
        },
        max_body_bytes=document.limits.max_body_bytes,
    )


def decode_host(key: str, data: bytes) -> tuple[PoolName, HostInfo] | None:
    """Returns a host and its pool; None if the entry names no usable host."""
    try:
        entry = msgspec.json.decode(data, type=_HostEntry)
        split_address(entry.address)
    except (msgspec.MsgspecError, RecursionError, ValueError):
        return None
    if entry.state not in USABLE_STATES:
        return None
    info = HostInfo(
        id=HostId(key.removeprefix(HOSTS_PREFIX)),
        address=entry.address,
        zone=ZoneId(entry.zone),
        rack=_rack(entry.labels),
        labels=frozenset(entry.labels),
        capacity=entry.capacity.resources(),
        is_draining=entry.state == "draining",
        remaining_ms=entry.remaining_ms,
        machine=entry.machine,
        born=entry.born,
    )
    return PoolName(entry.service), info


class _Wave(msgspec.Struct, rename="camel"):
    wave: int
    machines: list[str]
    # Seconds within which the maintenance of all machines must be complete.
    duration_s: float = 0.0
    cap: int = 1


def decode_wave(data: bytes) -> WaveRequest:
    """Returns the wave that the operator requested.

    Raises:
        msgspec.MsgspecError: ``data`` is not a wave.
    """
    document = msgspec.json.decode(data, type=_Wave)
    return WaveRequest(
        number=document.wave,
        machines=tuple(MachineName(name) for name in document.machines),
        duration_ms=int(document.duration_s * 1_000),
        cap=max(document.cap, 1),
    )


class _Evacuation(msgspec.Struct):
    """A request to evacuate the zone that its key names; it has no fields."""


def decode_evacuation(key: str, data: bytes) -> ZoneId:
    """Returns the zone that the operator requested to evacuate.

    Raises:
        ValueError: The key or ``data`` is not a request; the text says why.
    """
    zone = key.removeprefix(EVACUATIONS_PREFIX)
    if not zone:
        raise ValueError("the key names no zone")
    if "/" in zone:
        raise ValueError("the key has parts after the zone")
    try:
        msgspec.json.decode(data, type=_Evacuation)
    except msgspec.MsgspecError as exc:
        raise ValueError(str(exc)) from exc
    return ZoneId(zone)


def encode_wave_status(number: int, *, is_over: bool) -> tuple[str, bytes]:
    """Returns the key and value that show a wave's state to the operator."""
    state = "completed" if is_over else "running"
    value = msgspec.json.encode({"wave": number, "state": state})
    return f"{WAVE_STATUS_PREFIX}{number}", value


def _rack(labels: list[str]) -> RackId:
    """Returns the rack, which is the last label; the first is the host's kind."""
    return RackId(labels[-1]) if len(labels) > 1 else RackId("")
