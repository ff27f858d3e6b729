"""A small fleet on loopback: entries and stand-ins of platform and backend servers."""

from __future__ import annotations

import secrets
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from ..domain.configuration.model import EMPTY_REVISION
from ..domain.ids import HostId, RackId, RegionId, ZoneId
from ..domain.inventory import Host, HostState
from ..domain.keys import MintedKey, mint_key
from ..entry.clock import now_ms
from ..entry.entry import Entry
from ..standins.backend import BackendStandIn
from ..standins.platform import PlatformStandIn
from ..store.memory import MemoryPlatform
from .entry_settings import loopback_settings

if TYPE_CHECKING:
    from collections.abc import Callable

REGION = RegionId("r1")
ZONES = (ZoneId("z1"), ZoneId("z2"))
ENTRY_ZONES = (ZONES[0], ZONES[0], ZONES[1])
HOSTS_PER_ZONE = 4
HOSTS_PER_RACK = 2
SLOTS = 8
ENTRY_THREADS = 64
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
HOST_PREFIX = "hosts/"
SECRET_BYTES = 32


class WaitTimeoutError(Exception):
    """A condition did not hold within ``WAIT_TIMEOUT_S``."""


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Waits until a condition holds.

    Raises:
        WaitTimeoutError: The condition does not hold in time.
    """
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise WaitTimeoutError(description)
        time.sleep(POLL_INTERVAL_S)


def _stop_entry(entry: Entry) -> None:
    entry.stop(idle_timeout_s=WAIT_TIMEOUT_S)


@dataclass(slots=True)
class Fleet:
    """Entries, backend servers and platform of the demo.

    Attributes:
        operator: Key of the first operator.
        platforms: Listener of the platform stand-in for each availability zone.
        servers: Stand-in backend servers by host.
        hosts: Hosts in the platform's list.
        entries: Entries; the first two share a zone.
        secret: Secret by which the entries authenticate each other.
    """

    operator: MintedKey = field(default_factory=lambda: mint_key(EMPTY_REVISION))
    platforms: dict[ZoneId, PlatformStandIn] = field(default_factory=dict)
    servers: dict[HostId, BackendStandIn] = field(default_factory=dict)
    hosts: dict[HostId, Host] = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    secret: bytes = field(default_factory=lambda: secrets.token_bytes(SECRET_BYTES))
    _memory: MemoryPlatform = field(default_factory=lambda: MemoryPlatform(now_ms))

    def start(self) -> None:
        """Starts the platform, the backend servers and the entries."""
        for zone in ZONES:
            self._start_platform(zone)
            for number in range(HOSTS_PER_ZONE):
                self._start_host(zone, number)
        for number, zone in enumerate(ENTRY_ZONES, start=1):
            self._start_entry(number, zone)

    def stop(self) -> None:
        """Stops the entries, the backend servers and the platform."""
        with ThreadPoolExecutor() as executor:
            list(executor.map(_stop_entry, self.entries))
            list(executor.map(BackendStandIn.stop, self.servers.values()))
            list(executor.map(PlatformStandIn.stop, self.platforms.values()))

    def caller_url(self, number: int) -> str:
        """Returns the base URL of an entry's caller interface."""
        return f"http://127.0.0.1:{self.entries[number].ports.caller}"

    def admin_url(self, number: int) -> str:
        """Returns the base URL of an entry's administration interface."""
        return f"http://127.0.0.1:{self.entries[number].ports.admin}"

    def list_host(self, host: Host) -> None:
        """Writes a host into the platform's list, or replaces it there."""
        self.hosts[host.host_id] = host
        store = self._memory.client("platform")
        key = HOST_PREFIX + host.host_id
        found = store.get(key).unwrap()
        value = msgspec.json.encode(host)
        version = found.version if found else 0
        store.compare_and_swap(key, value, version=version).unwrap()

    def list_as_leaving(self, host_id: HostId) -> None:
        """Marks a host as leaving in the platform's list."""
        self.list_host(replace(self.hosts[host_id], state=HostState.LEAVING))

    def _start_platform(self, zone: ZoneId) -> None:
        platform = PlatformStandIn(self._memory.client(zone, blocking_watch=True))
        platform.start()
        self.platforms[zone] = platform

    def _start_host(self, zone: ZoneId, number: int) -> None:
        host_id = HostId(f"{zone}-h{number + 1}")
        server = BackendStandIn(host_id, slots=SLOTS, threads=SLOTS + 8)
        server.start()
        self.servers[host_id] = server
        host = Host(
            host_id=host_id,
            zone=zone,
            rack=RackId(f"{zone}-r{number // HOSTS_PER_RACK + 1}"),
            region=REGION,
            port=server.port,
            slots=SLOTS,
            labels={"tier": "web" if number % 2 == 0 else "batch"},
        )
        self.list_host(host)

    def _start_entry(self, number: int, zone: ZoneId) -> None:
        settings = loopback_settings(
            self.platforms[zone].url,
            zone=zone,
            region=REGION,
            entry=f"e{number}",
            threads=ENTRY_THREADS,
            operator_digest=self.operator.digest,
        )
        entry = Entry(settings, self.secret)
        entry.start()
        self.entries.append(entry)
