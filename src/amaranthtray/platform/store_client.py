"""The platform's key-value store, as the interface in ``store.contract``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from ..jobs.clock import steady_ms
from ..store.contract import (
    CallsSpent,
    Compacted,
    Conflict,
    Conflicts,
    EffectUnknown,
    LeaseGone,
    LeaseId,
    Listing,
    Put,
    Rejected,
    StoreFailure,
    Transaction,
    Unavailable,
    Versioned,
    WatchBatch,
    WatchEvent,
)
from ..web.http_peer import CallOutcome, HttpPeer, Response

CALL_TIMEOUT_MS = 1_000
"""A reply takes some milliseconds; a slow store may take fifty times as long."""

WATCH_SLACK_MS = 500
"""A watch's reply may arrive this long after its wait has ended."""

CONNECTIONS = 16
CALLS_METRIC = "store_calls"
RETRY_AFTER_MS = 100
MAX_PAGES = 10_000

if TYPE_CHECKING:
    from ..jobs.metrics_registry import MetricsRegistry

T = TypeVar("T")


class _Item(msgspec.Struct):
    key: str
    value: bytes = b""
    revision: int = 0
    lease: int = 0
    deleted: bool = False

    def versioned(self) -> Versioned:
        lease = LeaseId(self.lease) if self.lease else None
        return Versioned(self.key, self.value, self.revision, lease)


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
    current_rev: int


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Item]
    current_rev: int


class _ConflictBody(msgspec.Struct):
    items: list[_Item] = []


class _LeaseBody(msgspec.Struct, rename="camel"):
    ttl_ms: int
    lease: int = 0


class _WrittenBody(msgspec.Struct):
    revision: int


class PlatformStore:
    """Client of the platform's store; thread-safe.

    Args:
        address: IP address and port.
        metrics: Counts and times the calls.
    """

    def __init__(self, address: str, metrics: MetricsRegistry) -> None:
        self._peer = HttpPeer(address, connections=CONNECTIONS)
        self._address = address
        self._metrics = metrics

    def get(self, key: str) -> Result[Versioned | None, StoreFailure]:
        """Reads one key."""
        step = "read-key"
        outcome = self._get(step, f"/v1/kv-key?key={quote(key, safe='')}")
        if isinstance(outcome, Response) and outcome.status == 404:
            return Success(None)
        return self._decode(step, outcome, _Item).map(_Item.versioned)

    def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix; a watch continues from the listed version."""
        return self._list("read-prefix", prefix)

    def list_stale(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix from any replica of the store."""
        return self._list("read-prefix-stale", prefix, "&staleOk=1")

    def _list(
        self, step: str, prefix: str, option: str = ""
    ) -> Result[Listing, StoreFailure]:
        items: list[Versioned] = []
        first_version, after = 0, ""
        for _ in range(MAX_PAGES):
            path = f"/v1/kv-range?prefix={quote(prefix, safe='')}{option}"
            path += f"&after={quote(after, safe='')}" if after else ""
            read = self._decode(step, self._get(step, path), _Page)
            if isinstance(read, Failure):
                return read
            page = read.unwrap()
            first_version = first_version or page.current_rev
            items.extend(item.versioned() for item in page.items)
            if not page.has_more:
                return Success(Listing(tuple(items), first_version))
            if not page.items:
                break
            after = page.items[-1].key
        return Failure(Unavailable(step, self._address, "the list has no end"))

    def create(
        self, key: str, value: bytes, *, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be absent and returns its version."""
        return self.compare_and_swap(key, value, version=0, lease=lease)

    def compare_and_swap(
        self, key: str, value: bytes, *, version: int, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version`` and returns the new version."""
        put = Put(key, value, lease)
        return self._commit_single_key(
            Transaction(expect=((key, version),), puts=(put,))
        )

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""
        transaction = Transaction(expect=((key, version),), removes=(key,))
        return self._commit_single_key(transaction).map(lambda _: None)

    def commit(self, transaction: Transaction) -> Result[int, StoreFailure]:
        """Commits a transaction and returns the version of its writes."""
        step = "write"
        outcome = self._call(
            step, "POST", "/v1/kv-txn", _encode_transaction(transaction)
        )
        if isinstance(outcome, Response):
            if outcome.status == 412:
                refused = msgspec.json.decode(outcome.body, type=_ConflictBody)
                current = tuple(item.versioned() for item in refused.items)
                present = tuple(item for item in current if item.version)
                return Failure(Conflicts(step, self._address, present))
            if outcome.status == 404:
                return Failure(LeaseGone(step, self._address))
        written = self._decode(step, outcome, _WrittenBody, is_write=True)
        return written.map(lambda each: each.revision)

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Grants a lease."""
        step = "grant-lease"
        outcome = self._call(step, "POST", "/v1/kv-lease", {"ttlMs": ttl_ms})
        granted = self._decode(step, outcome, _LeaseBody, is_write=True)
        return granted.map(lambda each: LeaseId(each.lease))

    def renew_lease(self, lease: LeaseId) -> Result[int, StoreFailure]:
        """Renews a lease and returns its time to live in milliseconds."""
        step = "renew-lease"
        outcome = self._call(step, "POST", f"/v1/kv-keep/{lease}", {})
        if isinstance(outcome, Response) and outcome.status == 404:
            return Failure(LeaseGone(step, self._address))
        renewed = self._decode(step, outcome, _LeaseBody, is_write=True)
        return renewed.map(lambda each: each.ttl_ms)

    def revoke_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Revokes a lease, which deletes its keys."""
        step = "end-lease"
        outcome = self._call(step, "DELETE", f"/v1/kv-lease-end/{lease}", None)
        if isinstance(outcome, Response) and (
            outcome.is_success or outcome.status == 404
        ):
            return Success(None)
        return Failure(self._failure(step, outcome, is_write=True))

    def watch(
        self, prefix: str, *, after_version: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreFailure]:
        """Waits for changes later than ``after_version``; empty after the timeout."""
        step = "watch"
        path = f"/v1/kv-watch?prefix={quote(prefix, safe='')}"
        path += f"&after={after_version}&waitMs={timeout_ms}"
        self._metrics.count(CALLS_METRIC, step)
        outcome = self._peer.call("GET", path, timeout_ms=timeout_ms + WATCH_SLACK_MS)
        if isinstance(outcome, Response) and outcome.status == 410:
            return Failure(Compacted(step, self._address))
        return self._decode(step, outcome, _Events).map(_decode_batch)

    def _commit_single_key(self, transaction: Transaction) -> Result[int, StoreFailure]:
        """Commits a transaction of a single key."""
        written = self.commit(transaction)
        if isinstance(written, Success):
            return Success(written.unwrap())
        failure = written.failure()
        if isinstance(failure, Conflicts):
            current = next(iter(failure.found), None)
            return Failure(Conflict(failure.step, failure.peer, current))
        return Failure(failure)

    def _get(self, step: str, path: str) -> CallOutcome:
        return self._call(step, "GET", path, None)

    def _call(self, step: str, method: str, path: str, payload: object) -> CallOutcome:
        sent_ms = steady_ms()
        outcome = self._peer.call(
            method, path, timeout_ms=CALL_TIMEOUT_MS, payload=payload
        )
        self._metrics.record_latency(CALLS_METRIC, step, steady_ms() - sent_ms)
        return outcome

    def _decode(
        self,
        step: str,
        outcome: CallOutcome,
        body_type: type[T],
        *,
        is_write: bool = False,
    ) -> Result[T, StoreFailure]:
        if isinstance(outcome, Response) and outcome.is_success:
            try:
                return Success(msgspec.json.decode(outcome.body, type=body_type))
            except msgspec.MsgspecError as exc:
                return Failure(EffectUnknown(step, self._address, str(exc)))
        return Failure(self._failure(step, outcome, is_write=is_write))

    def _failure(
        self, step: str, outcome: CallOutcome, *, is_write: bool
    ) -> Unavailable | Rejected | EffectUnknown | CallsSpent:
        peer = self._address
        match outcome:
            case Response(status=429):
                return CallsSpent(step, peer, RETRY_AFTER_MS)
            case Response(status=503):
                return Unavailable(step, peer, "503")
            case Response(status=(400 | 413) as status):
                return Rejected(step, peer, f"status {status}")
            case Response(status=status):
                return Unavailable(step, peer, f"status {status}")
        if is_write and outcome.was_sent:
            return EffectUnknown(step, peer, outcome.detail)
        return Unavailable(step, peer, outcome.detail)


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    return {
        "precondition": [
            {"key": key, "revision": version} for key, version in transaction.expect
        ],
        "setKeys": [
            {"key": put.key, "value": put.value}
            | ({"lease": put.lease} if put.lease else {})
            for put in transaction.puts
        ],
        "remove": list(transaction.removes),
    }


def _decode_batch(body: _Events) -> WatchBatch:
    events = tuple(
        WatchEvent(event.key, None if event.deleted else event.value, event.revision)
        for event in body.events
    )
    return WatchBatch(events, body.current_rev)
