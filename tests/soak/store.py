"""Stand-in of the platform's store: the in-memory store behind the platform's calls."""

from __future__ import annotations

import base64
import json
import random
import threading
import time
from typing import TYPE_CHECKING, Any

from returns.result import Success

from amaranthtray.store.contract import (
    Compacted,
    Conflicts,
    LeaseGone,
    LeaseId,
    Put,
    Rejected,
    Transaction,
)
from amaranthtray.store.memory import ClientName, MemoryPlatform
from amaranthtray.store.memory_transactions import MemoryTransactions
from soak.wire import RESET, SILENCE, Call, Reply, StandInServer

if TYPE_CHECKING:
    from amaranthtray.store.contract import StoreFailure, Versioned, WatchEvent

ANSWER_S = 0.004
VALUE_BYTES = 1 << 20
MAX_WAIT_S = 0.2
"""Longest wait of a watch between looks at the faults."""

NOT_FOUND = Reply(404, {"error": "not found"})


class StoreStandIn:
    """Answers the calls of the platform's store.

    Attributes:
        platform: Contents of the store.
        server: Its server, for faults of connections.
        answer_s: Time that each answer takes.
        refused_share: Share of the calls answered with 429.
        is_silent: Whether no call is answered.
    """

    def __init__(self, seed: int) -> None:
        self.platform = MemoryPlatform(lambda: time.monotonic_ns() // 1_000_000)
        self.platform.max_value_bytes = VALUE_BYTES
        self.answer_s = ANSWER_S
        self.refused_share = 0.0
        self.is_silent = False
        self._rng = random.Random(seed)
        self._is_deaf = False
        self._client = MemoryTransactions(
            self.platform, ClientName("soak"), blocking_watch=False
        )
        self.server = StandInServer(self._handle)

    def write(self, key: str, document: object) -> None:
        """Writes a document, as the operator and the hosts do."""
        value = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        with self.platform.condition:
            present = self.platform.read(key)
            version = present.version if present else 0
            self.platform.write(key, value, version, None, "").unwrap()

    def remove(self, key: str) -> None:
        with self.platform.condition:
            present = self.platform.read(key)
            if present is not None:
                self.platform.erase(key, present.version, "").unwrap()

    def read(self, key: str) -> bytes:
        """Returns a value; empty if there is none."""
        present = self.platform.read(key)
        return present.value if present else b""

    def recover(self) -> None:
        """Answers all calls again, in the usual time."""
        self.answer_s, self.refused_share = ANSWER_S, 0.0

    def forget_history(self, gap_s: float) -> None:
        """Lets watches hear nothing for a while, drops the history and cuts them."""
        self._is_deaf = True

        def forget() -> None:
            self.platform.compact_events()
            self._is_deaf = False
            self.server.reset_connections()

        threading.Timer(gap_s, forget).start()

    def _handle(self, call: Call) -> Reply:
        if self.is_silent:
            return SILENCE
        if self._rng.random() < self.refused_share:
            return Reply(429)
        if call.path == "/v1/kv-watch":
            return self._watch(call)
        time.sleep(self.answer_s)
        match call.path.split("/")[2]:
            case "kv-key":
                item = self.platform.read(call.query["key"])
                return Reply(200, _item(item)) if item else NOT_FOUND
            case "kv-range":
                return self._range(call)
            case "kv-txn":
                return self._commit(call.body)
            case "kv-lease":
                granted = self._client.grant_lease(int(call.body["ttlMs"])).unwrap()
                return Reply(200, {"lease": granted, "ttlMs": call.body["ttlMs"]})
            case "kv-keep":
                return self._renew(LeaseId(int(call.path.rpartition("/")[2])))
            case "kv-lease-end":
                lease = LeaseId(int(call.path.rpartition("/")[2]))
                is_ended = isinstance(self._client.revoke_lease(lease), Success)
                return Reply(200) if is_ended else NOT_FOUND
        return NOT_FOUND

    def _range(self, call: Call) -> Reply:
        listing = self._client.list(call.query.get("prefix", "")).unwrap()
        after = call.query.get("after", "")
        items = [_item(item) for item in listing.items if item.key > after]
        body = {"items": items, "hasMore": False, "currentRev": listing.at_version}
        return Reply(200, body)

    def _commit(self, body: dict[str, Any]) -> Reply:
        transaction = Transaction(
            expect=tuple((row["key"], row["revision"]) for row in body["precondition"]),
            puts=tuple(
                Put(put["key"], base64.b64decode(put["value"]), _lease(put))
                for put in body["setKeys"]
            ),
            removes=tuple(body["remove"]),
        )
        written = self._client.commit(transaction)
        if isinstance(written, Success):
            return Reply(200, {"revision": written.unwrap()})
        return _failed(written.failure())

    def _renew(self, lease: LeaseId) -> Reply:
        renewed = self._client.renew_lease(lease)
        if isinstance(renewed, Success):
            return Reply(200, {"ttlMs": renewed.unwrap()})
        return _failed(renewed.failure())

    def _watch(self, call: Call) -> Reply:
        prefix, after = call.query.get("prefix", ""), int(call.query["after"])
        end_s = time.monotonic() + int(call.query.get("waitMs", "0")) / 1_000
        with self.platform.condition:
            while True:
                left_s = end_s - time.monotonic()
                read = self.platform.events_after(prefix, after, "watch")
                if not isinstance(read, Success):
                    return RESET if self._is_deaf else _failed(read.failure())
                events = () if self._is_deaf else read.unwrap().events
                if events or left_s <= 0:
                    break
                self.platform.condition.wait(min(left_s, MAX_WAIT_S))
        rows = [_event(event) for event in events]
        return Reply(200, {"events": rows, "currentRev": read.unwrap().at_version})


def _lease(put: dict[str, Any]) -> LeaseId | None:
    return LeaseId(put["lease"]) if put.get("lease") else None


def _item(item: Versioned) -> dict[str, object]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.version,
        "created": item.version,
        "lease": item.lease or 0,
    }


def _event(event: WatchEvent) -> dict[str, object]:
    if event.value is None:
        return {"key": event.key, "revision": event.version, "deleted": True}
    value = base64.b64encode(event.value).decode()
    return {"key": event.key, "value": value, "revision": event.version}


def _failed(failure: StoreFailure) -> Reply:
    match failure:
        case Conflicts(found=found):
            return Reply(412, {"items": [_item(item) for item in found]})
        case LeaseGone():
            return NOT_FOUND
        case Compacted():
            return Reply(410)
        case Rejected():
            return Reply(400)
    return Reply(503)
