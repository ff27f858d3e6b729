"""Runs one entry with stand-ins of the platform and of one backend server.

Prints the URLs and an operator key to try commands with, then waits for Ctrl-C:

    PYTHONPATH=src python examples/one_entry.py
"""

from __future__ import annotations

import json
import secrets
import signal
import uuid

from amaranthtray.cli.client import AdminClient
from amaranthtray.domain.configuration import PlaceHosts, Pool, PutPool
from amaranthtray.domain.ids import HostId, OperationId, PoolName, Revision
from amaranthtray.domain.keys import mint_key
from amaranthtray.entry.clock import now_ms
from amaranthtray.entry.entry import Entry
from amaranthtray.store.memory import MemoryPlatform
from amaranthtray.settings import loads
from amaranthtray.standins.backend import BackendStandIn
from amaranthtray.standins.platform import PlatformStandIn

SECRET_BYTES = 32
SETTINGS = """\
[entry]
id = "e1"
zone = "z1"
region = "r1"
address = "127.0.0.1"
caller_port = 8080
admin_port = 8081
peer_port = 8082
threads = 16
patient_threads = 8
balancer_drain_ms = 0
[platform]
endpoints = ["{url}"]
[bootstrap]
operator_digest = "{digest}"
"""


def main() -> None:
    """Starts the stand-ins and the entry, prints the URLs and waits."""
    operator = mint_key(Revision(0))
    memory = MemoryPlatform(now_ms)
    platform = PlatformStandIn(memory.client("e1", blocking_watch=True))
    platform.start()
    backend = BackendStandIn("h1")
    backend.start()
    host = {"host_id": "h1", "zone": "z1", "rack": "k1", "region": "r1"}
    host |= {"port": backend.port, "slots": 8, "labels": {"pool": "web"}}
    memory.client("platform").create("hosts/h1", json.dumps(host).encode())
    text = SETTINGS.format(url=platform.url, digest=operator.digest)
    entry = Entry(loads(text, {}).unwrap(), secrets.token_bytes(SECRET_BYTES))
    entry.start()
    admin = AdminClient(["http://127.0.0.1:8081"], operator.text, timeout_ms=10_000)
    web = PoolName("web")
    changes = (PutPool(Pool(web, "pool=web")), PlaceHosts({HostId("h1"): web}))
    admin.commit(changes, op_id=OperationId(uuid.uuid4().hex)).unwrap()
    print("callers: http://127.0.0.1:8080")
    print("export AMARANTHTRAY_ADMIN=http://127.0.0.1:8081")
    print(f"export AMARANTHTRAY_OPERATOR_KEY={operator.text}", flush=True)
    try:
        signal.pause()
    except KeyboardInterrupt:
        entry.stop(idle_timeout_s=0)
        backend.stop()
        platform.stop()


if __name__ == "__main__":
    main()
