"""One entry with its own platform stand-in, configured for a single pool and host."""

from __future__ import annotations

import secrets
import uuid
from typing import TYPE_CHECKING

import msgspec
import urllib3

from ..backend import wire
from ..cli.client import AdminClient
from ..domain.configuration import Pool, PutPool, PutQueue, Queue
from ..domain.configuration.model import EMPTY_REVISION
from ..domain.ids import (
    HostId,
    OperationId,
    PoolName,
    QueueName,
    RackId,
    RegionId,
    ZoneId,
)
from ..domain.inventory import Host
from ..domain.keys import mint_key
from ..entry.clock import now_ms
from ..entry.entry import Entry
from ..standins.platform import PlatformStandIn
from ..store.memory import MemoryPlatform
from .entry_settings import loopback_settings
from .fleet import WAIT_TIMEOUT_S, wait_until

if TYPE_CHECKING:
    from ..settings import Settings

QUEUE = QueueName("echo")
POOL = PoolName("echo")
HOST = HostId("h1")
ZONE = ZoneId("z1")
REGION = RegionId("r1")
ADMIN_TIMEOUT_MS = 10_000
SECRET_BYTES = 32


class OneEntry:
    """Runs one entry and configures an open queue whose pool has one host.

    Args:
        backend_port: TCP port of the backend server.
        slots: Slots of the backend server.
        threads: Number of threads of the entry.
        read_timeout_ms: Maximum wait for bytes of a caller.
        trace: Path of the trace file; empty for no trace.
    """

    def __init__(
        self,
        backend_port: int,
        *,
        slots: int = 8,
        threads: int = 16,
        read_timeout_ms: int = 10_000,
        trace: str = "",
    ) -> None:
        self._memory = MemoryPlatform(now_ms)
        self._platform = PlatformStandIn(self._memory.client("z1", blocking_watch=True))
        self._operator = mint_key(EMPTY_REVISION)
        self._host = Host(
            host_id=HOST,
            zone=ZONE,
            rack=RackId("k1"),
            region=REGION,
            port=backend_port,
            slots=slots,
            labels={"pool": POOL},
        )
        self._threads = threads
        self._read_timeout_ms = read_timeout_ms
        self._trace = trace
        self._entry: Entry | None = None

    @property
    def caller_port(self) -> int:
        """Returns the port that callers use."""
        return self._running.ports.caller

    def start(self) -> None:
        """Starts the platform and the entry, and configures the pool and the queue."""
        self._platform.start()
        key = f"hosts/{HOST}"
        self._memory.client("platform").create(key, msgspec.json.encode(self._host))
        self._entry = Entry(self._settings(), secrets.token_bytes(SECRET_BYTES))
        self._entry.start()
        self._configure()

    def stop(self) -> None:
        """Stops the entry and its platform."""
        self._running.stop()
        self._platform.stop()

    @property
    def entry(self) -> Entry:
        """Returns the entry, once it has been started."""
        return self._running

    @property
    def platform(self) -> PlatformStandIn:
        """Returns the platform stand-in of the entry."""
        return self._platform

    @property
    def _running(self) -> Entry:
        if self._entry is None:
            raise RuntimeError("the entry has not been started")
        return self._entry

    def _configure(self) -> None:
        url = f"http://127.0.0.1:{self._running.ports.admin}"
        admin = AdminClient([url], self._operator.text, timeout_ms=ADMIN_TIMEOUT_MS)
        changes = (
            PutPool(Pool(POOL, "pool=echo")),
            PutQueue(Queue(QUEUE, POOL, is_open=True)),
        )
        admin.commit(changes, op_id=OperationId(uuid.uuid4().hex)).unwrap()
        wait_until(self._is_placed, f"{HOST} placed by the conductor")
        wait_until(self._takes_work, f"{HOST} back in service after its move")

    def _is_placed(self) -> bool:
        return self._running.view.current.pool_of(HOST) == POOL

    def _takes_work(self) -> bool:
        """Returns whether the drain for the host's move into its pool has ended."""
        url = f"http://{self._host.address}:{self._host.port}{wire.HEALTH_PATH}"
        reply = urllib3.request("GET", url, timeout=WAIT_TIMEOUT_S)
        return msgspec.json.decode(reply.data, type=wire.Health).draining is None

    def _settings(self) -> Settings:
        return loopback_settings(
            self._platform.url,
            zone=ZONE,
            region=REGION,
            threads=self._threads,
            read_timeout_ms=self._read_timeout_ms,
            operator_digest=self._operator.digest,
            trace=self._trace,
        )
