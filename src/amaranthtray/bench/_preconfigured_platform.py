"""A platform stand-in that already holds a host and a complete configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..demo.entry_settings import loopback_settings
from ..domain.configuration import (
    AddKey,
    Configuration,
    PlaceHosts,
    Pool,
    PutPool,
    PutQueue,
    PutTeam,
    Queue,
    Team,
    TeamKey,
)
from ..domain.configuration.model import EMPTY_REVISION
from ..domain.ids import (
    EntryId,
    HostId,
    OperationId,
    PoolName,
    QueueName,
    RackId,
    RegionId,
    TeamName,
    ZoneId,
)
from ..domain.inventory import Host
from ..domain.keys import mint_key
from ..entry.clock import now_ms
from ..entry.rules import configuration_rules
from ..settings import PlatformSettings
from ..standins.platform import PlatformStandIn
from ..store.config_log import ConfigLog
from ..store.memory import MemoryPlatform
from ..store.prefixed import PrefixedStore

if TYPE_CHECKING:
    from ..settings import Settings

KEYED_QUEUE = QueueName("keyed")
POOL = PoolName("echo")
TEAM = TeamName("red")
TEAM_LIMIT = 1_000
HOST = HostId("h1")
ZONE = ZoneId("z1")
REGION = RegionId("r1")


class PreconfiguredPlatform:
    """Serves the platform of one zone, with a host and a configuration.

    Args:
        backend_port: TCP port of the backend server.
        slots: Number of slots of the backend server.

    Attributes:
        caller_key: Key of the team that may use the queue.
    """

    def __init__(self, backend_port: int, *, slots: int) -> None:
        self.caller_key = mint_key(EMPTY_REVISION)
        self._memory = MemoryPlatform(now_ms)
        self._listener = PlatformStandIn(self._memory.client("z1", blocking_watch=True))
        self._host = Host(
            host_id=HOST,
            zone=ZONE,
            rack=RackId("k1"),
            region=REGION,
            port=backend_port,
            slots=slots,
            labels={"pool": POOL},
        )

    @property
    def port(self) -> int:
        """Returns the TCP port of the listener."""
        return int(self._listener.url.rpartition(":")[2])

    def start(self) -> None:
        """Writes the host and the configuration, then starts the listener."""
        store = self._memory.client("operator")
        store.create(f"hosts/{HOST}", msgspec.json.encode(self._host)).unwrap()
        log = ConfigLog(
            PrefixedStore(store, PlatformSettings(endpoints=["http://x"]).prefix),
            entry=EntryId("bench"),
            rules=configuration_rules(lambda: [self._host]),
        )
        changes = (
            PutPool(Pool(POOL, "pool=echo")),
            PutQueue(Queue(KEYED_QUEUE, POOL)),
            PutTeam(Team(TEAM, limit=TEAM_LIMIT)),
            AddKey(TeamKey(self.caller_key.key_id, TEAM, self.caller_key.digest)),
            PlaceHosts({HOST: POOL}),
        )
        log.commit(
            Configuration(), changes, op_id=OperationId("bench"), operator="bench"
        ).unwrap()
        self._listener.start()

    def stop(self) -> None:
        """Stops the listener."""
        self._listener.stop()


def entry_settings(platform_url: str, threads: int) -> Settings:
    """Returns the settings of an entry that uses this platform."""
    return loopback_settings(platform_url, zone=ZONE, region=REGION, threads=threads)
