"""Fake administration API, served over HTTP."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field, replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import msgspec

from amaranthtray.domain.configuration import (
    CHANGES,
    AddKey,
    AddOperator,
    Change,
    Configuration,
    EndEvacuation,
    EvacuateZone,
    PutPool,
    PutQueue,
    PutTeam,
    PutWave,
    RemovePool,
    RemoveQueue,
    RemoveTeam,
    SetHostLabels,
    SetWaveState,
    WithdrawKey,
)
from amaranthtray.domain.ids import Revision

KEY = "o1.operator-secret"


@dataclass
class FakeFleet:
    """State shared by all fake entries, as real ones share the platform's store.

    Attributes:
        ops: Revision of each operation id that was committed.
        reads: Replies to reads, by path.
    """

    cfg: Configuration = field(default_factory=Configuration)
    ops: dict[str, int] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    unreached: list[str] = field(default_factory=list)
    moves: list[dict[str, str]] = field(default_factory=list)
    problems: list[dict[str, str]] = field(default_factory=list)
    reads: dict[str, Any] = field(default_factory=dict)


class FakeAdmin:
    """One fake entry.

    Attributes:
        lose_replies: Number of commits whose replies are still to be dropped.
        status: HTTP status of all replies, unless 200.
    """

    def __init__(self, fleet: FakeFleet) -> None:
        self.fleet = fleet
        self.lose_replies = 0
        self.status = 200
        self.calls: list[str] = []
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), _handler(self))
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.01,))

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self._server.server_port}"

    def __enter__(self) -> FakeAdmin:
        self._thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()

    def handle(self, path: str, body: dict[str, Any] | None) -> tuple[int, Any]:
        if self.status != 200:
            return self.status, problem("store is down")
        if path == "changes" and body:
            return self._commit(body)
        if path == "preview":
            fleet = self.fleet
            return 200, {"moves": fleet.moves, "problems": fleet.problems}
        if path == "configuration":
            return 200, without_digests(self.fleet.cfg)
        if path not in self.fleet.reads:
            return 404, problem(f"nothing at {path}")
        return 200, self.fleet.reads[path]

    def _commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        fleet = self.fleet
        op_id, expected = body["op_id"], body["expected"]
        if op_id not in fleet.ops:
            if expected is not None and expected < fleet.cfg.revision:
                conflict = {"object": "pool/web", "revision": 9, "operator": "eva"}
                return 409, {"type": "conflict", **conflict}
            fleet.changes.extend(body["changes"])
            for data in body["changes"]:
                change = CHANGES.from_dict(data, step="test", peer="test")
                apply_change(fleet.cfg, change)
            revision = Revision(fleet.cfg.revision + 1)
            fleet.cfg = replace(fleet.cfg, revision=revision)
            fleet.ops[op_id] = revision
        revision = Revision(fleet.ops[op_id])
        zones = {"z1": revision, "z2": revision - len(fleet.unreached)}
        return 200, {"revision": revision, "zones": zones, "unreached": fleet.unreached}


def problem(what: str) -> dict[str, str]:
    return {
        "type": "problem",
        "step": "commit",
        "peer": "e1",
        "what": what,
        "where": "pool/web",
        "fix": "mend it",
    }


def without_digests(cfg: Configuration) -> dict[str, Any]:
    data: dict[str, Any] = msgspec.to_builtins(cfg)
    for item in [*data["keys"].values(), *data["operators"].values()]:
        del item["digest"]
    return data


def apply_change(cfg: Configuration, change: Change) -> None:
    match change:
        case PutPool(item):
            cfg.pools[item.name] = item
        case PutTeam(item):
            cfg.teams[item.name] = item
        case PutQueue(item):
            cfg.queues[item.name] = item
        case PutWave(item):
            cfg.waves[item.name] = item
        case SetWaveState(name, state):
            cfg.waves[name] = replace(cfg.waves[name], state=state)
        case RemovePool(name):
            del cfg.pools[name]
        case RemoveTeam(name):
            del cfg.teams[name]
        case RemoveQueue(name):
            del cfg.queues[name]
        case SetHostLabels(labels):
            cfg.host_labels.update(labels)
        case AddKey(item):
            cfg.keys[item.key_id] = item
        case WithdrawKey(key_id):
            del cfg.keys[key_id]
        case AddOperator(item):
            cfg.operators[item.key_id] = item
        case EvacuateZone(name):
            cfg.evacuations[name] = cfg.revision
        case EndEvacuation(name):
            del cfg.evacuations[name]


def _handler(admin: FakeAdmin) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self._reply(None)

        def do_POST(self) -> None:
            length = int(self.headers["Content-Length"])
            self._reply(msgspec.json.decode(self.rfile.read(length)))

        def log_message(self, *args: Any) -> None:
            """Keeps the test output clean."""

        def _reply(self, body: dict[str, Any] | None) -> None:
            path = self.path.removeprefix("/admin/v1/").partition("?")[0]
            admin.calls.append(self.path)
            status, data = 401, problem("operator key unknown")
            if self.headers.get("Authorization") == f"Bearer {KEY}":
                status, data = admin.handle(path, body)
            if body is not None and path == "changes" and admin.lose_replies:
                admin.lose_replies -= 1
                self.close_connection = True
                return
            encoded = msgspec.json.encode(data)
            self.send_response(status)
            self.send_header("Content-Length", str(len(encoded)))
            self.end_headers()
            self.wfile.write(encoded)

    return Handler
