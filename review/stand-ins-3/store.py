"""Stand-in of the platform's metadata store, as its page describes it."""

from __future__ import annotations

import base64
import itertools
import json
import threading
import time
from dataclasses import dataclass
from typing import Any, Callable

from wire import SILENCE, Call, Reply, Server

ANSWER_S = 0.004
PAGE = 500
MAX_ENTRIES = 32


@dataclass
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, object]:
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """The store; ``fault`` decides what becomes of a call.

    Attributes:
        fault: Gets a call; returns None (as usual), "silent" (nothing is done and no
            answer comes), "busy" (503) or "lost" (done, without an answer).
    """

    def __init__(self) -> None:
        self.fault: Callable[[Call], str | None] = lambda call: None
        self._items: dict[str, _Item] = {}
        self._events: list[tuple[int, str, _Item | None]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(1000)
        self._revision = 1
        self._changed = threading.Condition()
        self.server = Server(self._handle)
        threading.Thread(target=self._expire, daemon=True).start()

    # What the operator and the workers do.

    def put(self, key: str, document: object) -> int:
        """Writes a document; returns the revision."""
        with self._changed:
            return self._write({key: (json.dumps(document).encode(), 0)}, [])

    def delete(self, key: str) -> None:
        with self._changed:
            if key in self._items:
                self._write({}, [key])

    def read(self, key: str) -> bytes:
        """Returns a value; empty if there is none."""
        with self._changed:
            item = self._items.get(key)
            return item.value if item else b""

    def keys(self, prefix: str) -> list[str]:
        with self._changed:
            return sorted(key for key in self._items if key.startswith(prefix))

    # Its calls.

    def _handle(self, call: Call) -> Reply:
        fault = self.fault(call)
        if fault == "silent":
            return SILENCE
        if fault == "busy":
            return Reply(503)
        if call.path == "/v1/kv-watch":
            return self._watch(call)
        time.sleep(ANSWER_S)
        with self._changed:
            reply = self._carry_out(call)
        return SILENCE if fault == "lost" else reply

    def _carry_out(self, call: Call) -> Reply:
        name = call.path.split("/")[2]
        if name == "kv-key":
            item = self._items.get(call.query["key"])
            if item is None:
                return Reply(404, {"currentRev": self._revision})
            return Reply(200, item.row() | {"currentRev": self._revision})
        if name == "kv-range":
            prefix, after = call.query.get("prefix", ""), call.query.get("after", "")
            found = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            rows = [self._items[key].row() for key in found[:PAGE]]
            more = len(found) > PAGE
            return Reply(
                200, {"items": rows, "hasMore": more, "currentRev": self._revision}
            )
        if name == "kv-txn":
            return self._transact(call.body)
        if name == "kv-lease":
            ttl_s = max(call.body["ttlMs"], 1_000) / 1_000
            lease = next(self._numbers)
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return Reply(200, {"lease": lease, "ttlMs": int(ttl_s * 1_000)})
        lease = int(call.path.rpartition("/")[2])
        if lease not in self._leases or self._leases[lease][0] < time.monotonic():
            return Reply(404)
        if name == "kv-keep":
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return Reply(200, {"ttlMs": int(ttl_s * 1_000)})
        if name == "kv-lease-end":
            self._end_lease(lease)
            return Reply(200)
        return Reply(400)

    def _transact(self, body: dict[str, Any]) -> Reply:
        conditions = body.get("precondition", [])
        puts, removes = body.get("setKeys", []), body.get("remove", [])
        if len(conditions) + len(puts) + len(removes) > MAX_ENTRIES:
            return Reply(400)
        current = [self._items.get(row["key"]) for row in conditions]
        revisions = [item.revision if item else 0 for item in current]
        if revisions != [row["revision"] for row in conditions]:
            rows = [
                item.row() if item else {"key": row["key"], "revision": 0, "value": ""}
                for item, row in zip(current, conditions, strict=True)
            ]
            return Reply(412, {"items": rows})
        for put in puts:
            lease = put.get("lease", 0)
            if lease and self._leases.get(lease, (0.0, 0.0))[0] < time.monotonic():
                return Reply(404)
            if put["key"].startswith(("op/", "servers/")):
                return Reply(403)
        written = {
            put["key"]: (base64.b64decode(put["value"]), put.get("lease", 0))
            for put in puts
        }
        return Reply(200, {"revision": self._write(written, removes)})

    def _write(
        self, puts: dict[str, tuple[bytes, int]], removes: list[str]
    ) -> int:
        self._revision += 1
        for key, (value, lease) in puts.items():
            old = self._items.get(key)
            created = old.created if old else self._revision
            item = _Item(key, value, self._revision, created, lease)
            self._items[key] = item
            self._events.append((self._revision, key, item))
        for key in removes:
            if self._items.pop(key, None) is not None:
                self._events.append((self._revision, key, None))
        self._changed.notify_all()
        return self._revision

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self._items.items() if item.lease == lease]
        if keys:
            self._write({}, keys)

    def _expire(self) -> None:
        while True:
            time.sleep(0.02)
            with self._changed:
                now = time.monotonic()
                for lease in [each for each, at in self._leases.items() if at[0] < now]:
                    self._end_lease(lease)

    def _watch(self, call: Call) -> Reply:
        prefix, after = call.query["prefix"], int(call.query["after"])
        end_s = time.monotonic() + int(call.query.get("waitMs", "0")) / 1_000
        with self._changed:
            while True:
                found = [
                    each
                    for each in self._after(after)
                    if each[1].startswith(prefix)
                ]
                left_s = end_s - time.monotonic()
                if found or left_s <= 0:
                    break
                self._changed.wait(min(left_s, 0.2))
            rows = [
                item.row()
                if item
                else {"key": key, "revision": revision, "deleted": True}
                for revision, key, item in found
            ]
            return Reply(200, {"events": rows, "currentRev": self._revision})

    def _after(self, after: int) -> list[tuple[int, str, _Item | None]]:
        # The newest events are at the end; a day of a script keeps all of them.
        index = len(self._events)
        while index and self._events[index - 1][0] > after:
            index -= 1
        return self._events[index:]
