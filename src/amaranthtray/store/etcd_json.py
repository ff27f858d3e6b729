"""Client of the key-value service over the JSON gateway of the etcd v3 API.

Source: https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
"""

from __future__ import annotations

import base64
import time
from typing import TYPE_CHECKING, Any

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from .contract import (
    Compacted,
    Conflict,
    EffectUnknown,
    LeaseGone,
    LeaseId,
    Listing,
    StoreFailure,
    Unavailable,
    Versioned,
    WatchBatch,
    WatchEvent,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

ABSENT_VERSION = 0
HTTP_OK = 200
MS_PER_S = 1_000
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class EtcdStore:
    """Implements ``Store``; may be used by several threads.

    Args:
        endpoints: Base URLs; the next one is tried after a failure.
        timeout_ms: Timeout of each call except a watch.
        connections: Maximum number of idle connections to each endpoint.
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        *,
        timeout_ms: int = 1_000,
        connections: int = 4,
    ) -> None:
        self._endpoints = tuple(endpoints)
        self._current = 0
        self._timeout_s = timeout_ms / MS_PER_S
        self._http = urllib3.PoolManager(maxsize=connections, retries=False)

    def get(self, key: str) -> Result[Versioned | None, StoreFailure]:
        """Reads one key."""
        reply = self._call("get", "/v3/kv/range", {"key": _encode(key)}, writes=False)
        return reply.map(_first_value)

    def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix at one version."""
        body = {"key": _encode(prefix), "range_end": _prefix_end(prefix)}
        return self._call("list", "/v3/kv/range", body, writes=False).map(_listing)

    def create(
        self, key: str, value: bytes, *, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be absent and returns its version."""
        return self._put("create", key, value, ABSENT_VERSION, lease)

    def compare_and_swap(
        self, key: str, value: bytes, *, version: int, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version`` and returns the new version."""
        return self._put("compare-and-swap", key, value, version, lease)

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""
        action = {"requestDeleteRange": {"key": _encode(key)}}
        return self._write_if("delete", key, version, action).map(lambda _: None)

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Grants a lease; its time to live is rounded up to whole seconds."""
        body = {"TTL": str(-(-ttl_ms // MS_PER_S))}
        reply = self._call("grant-lease", "/v3/lease/grant", body)
        return reply.map(lambda data: LeaseId(int(data["ID"])))

    def renew_lease(self, lease: LeaseId) -> Result[int, StoreFailure]:
        """Renews a lease and returns its time to live in milliseconds."""
        body = {"ID": str(lease)}
        reply = self._call("renew-lease", "/v3/lease/keepalive", body)
        return reply.bind(lambda data: self._time_to_live(data))

    def revoke_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Revokes a lease and deletes its keys."""
        body = {"ID": str(lease)}
        return self._call("revoke-lease", "/v3/lease/revoke", body).map(lambda _: None)

    def watch(
        self, prefix: str, *, after_version: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreFailure]:
        """Waits for changes after ``after_version``; returns none after the timeout."""
        deadline = time.monotonic() + timeout_ms / MS_PER_S
        request = {
            "key": _encode(prefix),
            "range_end": _prefix_end(prefix),
            "start_revision": str(after_version + 1),
        }
        body = msgspec.json.encode({"create_request": request})
        try:
            return self._read_watch(body, after_version, deadline)
        except urllib3.exceptions.ReadTimeoutError:
            return Success(WatchBatch((), after_version))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Failure(self._unavailable("watch", exc))

    def _read_watch(
        self, body: bytes, after_version: int, deadline: float
    ) -> Result[WatchBatch, StoreFailure]:
        wait_s = max(0.001, deadline - time.monotonic())
        resp = self._http.request(
            "POST",
            self._url("/v3/watch"),
            body=body,
            timeout=urllib3.Timeout(connect=self._timeout_s, read=wait_s),
            preload_content=False,
        )
        try:
            if resp.status != HTTP_OK:
                return Failure(self._unavailable("watch", f"status {resp.status}"))
            return self._read_events(_read_lines(resp), after_version, deadline)
        finally:
            resp.close()

    def _read_events(
        self, lines: Iterator[bytes], after_version: int, deadline: float
    ) -> Result[WatchBatch, StoreFailure]:
        for line in lines:
            result = msgspec.json.decode(line).get("result", {})
            if int(result.get("compact_revision", 0)) > after_version:
                return Failure(Compacted("watch", self._peer))
            events = tuple(_event(item) for item in result.get("events", ()))
            if events:
                return Success(WatchBatch(events, events[-1].version))
            if time.monotonic() >= deadline:
                return Success(WatchBatch((), after_version))
        return Failure(self._unavailable("watch", "the stream ended"))

    def _put(
        self, step: str, key: str, value: bytes, version: int, lease: LeaseId | None
    ) -> Result[int, StoreFailure]:
        put = {
            "key": _encode(key),
            "value": base64.b64encode(value).decode(),
            "lease": str(lease or 0),
        }
        done = self._write_if(step, key, version, {"requestPut": put})
        return done.map(lambda data: int(data["header"]["revision"]))

    def _write_if(
        self, step: str, key: str, version: int, action: dict[str, Any]
    ) -> Result[dict[str, Any], StoreFailure]:
        condition = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(version),
        }
        body = {
            "compare": [condition],
            "success": [action],
            "failure": [{"requestRange": {"key": _encode(key)}}],
        }
        reply = self._call(step, "/v3/kv/txn", body)
        return reply.bind(lambda data: self._check_succeeded(step, data))

    def _check_succeeded(
        self, step: str, data: dict[str, Any]
    ) -> Result[dict[str, Any], StoreFailure]:
        if data.get("succeeded"):
            return Success(data)
        found = data.get("responses", [{}])[0].get("response_range", {})
        return Failure(Conflict(step, self._peer, _first_value(found)))

    def _time_to_live(self, data: dict[str, Any]) -> Result[int, StoreFailure]:
        ttl_s = int(data.get("result", {}).get("TTL", 0))
        if ttl_s <= 0:
            return Failure(LeaseGone("renew-lease", self._peer))
        return Success(ttl_s * MS_PER_S)

    def _call(
        self, step: str, path: str, body: dict[str, Any], *, writes: bool = True
    ) -> Result[dict[str, Any], StoreFailure]:
        try:
            resp = self._http.request(
                "POST",
                self._url(path),
                body=msgspec.json.encode(body),
                timeout=self._timeout_s,
            )
        except _NOT_SENT_ERRORS as exc:
            return Failure(self._unavailable(step, exc))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Failure(self._failed(step, exc, writes=writes))
        return self._decode(step, resp, writes=writes)

    def _decode(
        self, step: str, resp: urllib3.BaseHTTPResponse, *, writes: bool
    ) -> Result[dict[str, Any], StoreFailure]:
        if resp.status == HTTP_OK:
            return Success(msgspec.json.decode(resp.data))
        detail = resp.data[:200].decode(errors="replace")
        if "requested lease not found" in detail:
            return Failure(LeaseGone(step, self._peer))
        return Failure(
            self._failed(step, f"status {resp.status}: {detail}", writes=writes)
        )

    def _failed(self, step: str, cause: object, *, writes: bool) -> StoreFailure:
        if not writes:
            return self._unavailable(step, cause)
        peer = self._peer
        self._use_next_endpoint()
        return EffectUnknown(step, peer, str(cause))

    def _unavailable(self, step: str, cause: object) -> Unavailable:
        peer = self._peer
        self._use_next_endpoint()
        return Unavailable(step, peer, str(cause))

    def _use_next_endpoint(self) -> None:
        self._current = (self._current + 1) % len(self._endpoints)

    @property
    def _peer(self) -> str:
        return self._endpoints[self._current]

    def _url(self, path: str) -> str:
        return self._peer + path


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode_text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def _prefix_end(prefix: str) -> str:
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes([raw[-1] + 1])).decode()


def _decode_kv(kv: dict[str, Any]) -> Versioned:
    lease = int(kv.get("lease", 0))
    return Versioned(
        key=_decode_text(kv["key"]),
        value=base64.b64decode(kv.get("value", "")),
        version=int(kv["mod_revision"]),
        lease=LeaseId(lease) if lease else None,
    )


def _first_value(data: dict[str, Any]) -> Versioned | None:
    kvs = data.get("kvs", ())
    return _decode_kv(kvs[0]) if kvs else None


def _listing(data: dict[str, Any]) -> Listing:
    items = tuple(_decode_kv(kv) for kv in data.get("kvs", ()))
    return Listing(items, int(data["header"]["revision"]))


def _event(data: dict[str, Any]) -> WatchEvent:
    kv = data["kv"]
    deleted = data.get("type") == "DELETE"
    value = None if deleted else base64.b64decode(kv.get("value", ""))
    return WatchEvent(_decode_text(kv["key"]), value, int(kv["mod_revision"]))


def _read_lines(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yields the lines of a streamed body as they arrive."""
    partial = b""
    while chunk := resp.read1():
        *lines, partial = (partial + chunk).split(b"\n")
        yield from (line for line in lines if line)
