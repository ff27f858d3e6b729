"""Stand-in of the service that lists, moves and maintains machines."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from wire import Call, Reply, Server

if TYPE_CHECKING:
    from deployment import Deployment
    from worker import Worker

MOVE_S = 1.5
UPKEEP_S = 2.0


class Machines:
    """Each worker is one life of a machine; a move or an upkeep ends it."""

    def __init__(self, site: Deployment) -> None:
        self._site = site
        self._lock = threading.Lock()
        self._busy: dict[str, tuple[str, str, str]] = {}
        self.server = Server(self._handle)

    def _present(self) -> dict[str, Worker]:
        return {each.machine: each for each in self._site.workers if each.is_up}

    def _handle(self, call: Call) -> Reply:
        with self._lock:
            if call.path == "/v1/machines":
                return self._list()
            if call.path == "/v1/machine-move":
                return self._order(call, call.body["pool"], "moving", MOVE_S)
            if call.path == "/v1/machine-upkeep":
                return self._order(call, None, "upkeep", UPKEEP_S)
        return Reply(400)

    def _list(self) -> Reply:
        rows = [
            {
                "machine": name,
                "pool": worker.service,
                "state": "up",
                "zone": "sk-north-a",
                "labels": ["a", worker.rack],
                "capacity": {"cpu": 16000, "requestedMemoryMb": 32768, "gpu": 0},
                "id": worker.id,
            }
            for name, worker in self._present().items()
        ]
        rows += [
            {
                "machine": name,
                "pool": pool,
                "state": state,
                "zone": "sk-north-a",
                "labels": ["a", rack],
                "capacity": {"cpu": 16000, "requestedMemoryMb": 32768, "gpu": 0},
            }
            for name, (pool, state, rack) in self._busy.items()
        ]
        return Reply(200, {"machines": rows})

    def _order(
        self, call: Call, pool: str | None, state: str, seconds: float
    ) -> Reply:
        name = call.body["machine"]
        worker = self._present().get(name)
        if name in self._busy:
            is_same = pool is None or self._busy[name][0] == pool
            return Reply(200) if is_same else Reply(409, {"reason": "busy"})
        if worker is None:
            return Reply(400)
        target = pool or worker.service
        if pool is not None and worker.service == pool:
            return Reply(200)
        self._site.record.note(f"machine {name}: {state}, to {target}")
        self._busy[name] = (target, state, worker.rack)
        worker.crash()
        threading.Timer(seconds, self._return, (name, target, worker.rack)).start()
        return Reply(200)

    def _return(self, name: str, pool: str, rack: str) -> None:
        with self._lock:
            del self._busy[name]
            self._site.add_worker(pool, rack=rack, machine=name)
