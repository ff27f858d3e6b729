"""Stand-in of the platform's metadata store, as the users' protocol page has it."""

from __future__ import annotations

import base64
import itertools
import json
import threading
import time
from typing import Any

from wire import Call, Server

PAGE_ITEMS = 500
NOT_FOUND = (404, {"error": "not found"})


class Store:
    """A linearizable key-value store with leases, watches and transactions."""

    def __init__(self, answer_ms: float = 4.0) -> None:
        self._answer_s = answer_ms / 1_000
        self._changed = threading.Condition()
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[int, float]] = {}
        self._lease_numbers = itertools.count(1)
        self.revision = 1
        threading.Thread(target=self._expire, daemon=True).start()
        self.server = Server(self._handle)

    @property
    def address(self) -> str:
        return self.server.address

    def put(self, key: str, document: Any) -> int:
        """Writes a document, as the operator or a worker does."""
        with self._changed:
            self.revision += 1
            self._set(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)
            self._changed.notify_all()
            return self.revision

    def remove(self, key: str) -> None:
        with self._changed:
            if key in self._items:
                self.revision += 1
                self._delete(key)
                self._changed.notify_all()

    def read(self, key: str) -> Any:
        """Returns a document; None if there is none."""
        with self._changed:
            item = self._items.get(key)
            return json.loads(base64.b64decode(item["value"])) if item else None

    def holder(self, duty: str) -> str:
        """Returns the name of the process that holds a duty; empty if none does."""
        with self._changed:
            item = self._items.get(f"duties/{duty}/holder")
            return base64.b64decode(item["value"]).decode().split("/")[0] if item else ""

    def _set(self, key: str, value: str, lease: int) -> None:
        old = self._items.get(key)
        created = old["created"] if old else self.revision
        item = {"key": key, "value": value, "revision": self.revision,
                "created": created, "lease": lease}
        self._items[key] = item
        self._events.append(item)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append({"key": key, "revision": self.revision, "deleted": True})

    def _expire(self) -> None:
        while True:
            time.sleep(0.02)
            with self._changed:
                now = time.monotonic()
                for lease in [n for n, (_, end) in self._leases.items() if end <= now]:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, item in self._items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._changed.notify_all()

    def _handle(self, call: Call) -> tuple[int, Any]:
        if call.path == "/v1/kv-watch":
            return self._watch(call)
        time.sleep(self._answer_s)
        with self._changed:
            if call.path == "/v1/kv-key":
                item = self._items.get(call.query["key"])
                return (200, {**item, "currentRev": self.revision}) if item else NOT_FOUND
            if call.path == "/v1/kv-range":
                return self._range(call)
            if call.path == "/v1/kv-txn":
                return self._transact(call.body)
            if call.path == "/v1/kv-lease":
                lease, ttl_ms = next(self._lease_numbers), int(call.body["ttlMs"])
                self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
                return 200, {"lease": lease, "ttlMs": ttl_ms}
            number = int(call.path.rpartition("/")[2])
            if number not in self._leases:
                return NOT_FOUND
            ttl_ms = self._leases[number][0]
            if call.path.startswith("/v1/kv-keep/"):
                self._leases[number] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
                return 200, {"lease": number, "ttlMs": ttl_ms}
            if call.path.startswith("/v1/kv-lease-end/"):
                self._end_lease(number)
                return 200, {}
        return NOT_FOUND

    def _range(self, call: Call) -> tuple[int, Any]:
        prefix, after = call.query.get("prefix", ""), call.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "hasMore": has_more, "currentRev": self.revision}

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        current = []
        holds = True
        for row in body.get("precondition", []):
            item = self._items.get(row["key"])
            holds = holds and (item["revision"] if item else 0) == row["revision"]
            current.append(item or {"key": row["key"], "value": "", "revision": 0,
                                    "created": 0, "lease": 0})
        if not holds:
            return 412, {"items": current}
        puts = body.get("setKeys", [])
        if any(put.get("lease", 0) and put["lease"] not in self._leases for put in puts):
            return NOT_FOUND
        self.revision += 1
        for put in puts:
            self._set(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._delete(key)
        self._changed.notify_all()
        return 200, {"revision": self.revision}

    def _watch(self, call: Call) -> tuple[int, Any]:
        prefix, after = call.query.get("prefix", ""), int(call.query["after"])
        end = time.monotonic() + int(call.query.get("waitMs", "0")) / 1_000
        with self._changed:
            while True:
                events = []
                for event in reversed(self._events):
                    if event["revision"] <= after:
                        break
                    if event["key"].startswith(prefix):
                        events.append(event)
                left = end - time.monotonic()
                if events or left <= 0:
                    events.reverse()
                    return 200, {"events": events, "currentRev": self.revision}
                self._changed.wait(left)
