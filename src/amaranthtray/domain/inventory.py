"""Hosts as listed by the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from .ids import HostId, RackId, RegionId, ZoneId


class HostState(StrEnum):
    """State of a host in the platform's list, which is eventually consistent."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """A host, which runs one backend server.

    Attributes:
        host_id: Unique name.
        zone: Availability zone.
        rack: Rack; its id is unique in the fleet.
        region: Region of the zone.
        address: IP address of the backend server.
        port: TCP port of the backend server.
        slots: Maximum number of tasks that it runs at once.
        connections: Maximum number of connections that it accepts at once.
        cores: Number of processor cores.
        memory_mb: Memory in mebibytes.
        accelerators: Number of accelerators.
        labels: Labels set by the platform; operators' labels take precedence.
        state: Whether the host is live or leaving.
    """

    host_id: HostId
    zone: ZoneId
    rack: RackId
    region: RegionId
    address: str = "127.0.0.1"
    port: int = 0
    slots: int = 8
    connections: int = 64
    cores: int = 16
    memory_mb: int = 32_768
    accelerators: int = 0
    labels: dict[str, str] = field(default_factory=dict)
    state: HostState = HostState.LIVE
