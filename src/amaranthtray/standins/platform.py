"""Stand-in of the platform's key-value service that speaks the etcd v3 JSON API."""

from __future__ import annotations

import base64
import threading
import time
from typing import TYPE_CHECKING, Any

import cherrypy
import msgspec
from returns.result import Failure, Result, Success

from .. import web
from ..store.contract import (
    Compacted,
    Conflict,
    LeaseGone,
    LeaseId,
    StoreFailure,
    Versioned,
    WatchBatch,
)
from .faults import FaultPlan

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..store.contract import Store

MAX_REQUEST_BYTES = 2 << 20
WATCH_POLL_MS = 500
WATCH_TIMEOUT_S = 60
MS_PER_S = 1_000


class PlatformStandIn:
    """One listener of the service; with one a zone, zones can be cut off separately.

    Args:
        store: Contains the data; several listeners may share it.
        threads: Number of threads; each open watch occupies one.
        port: TCP port; 0 chooses a free one.
    """

    def __init__(self, store: Store, *, threads: int = 32, port: int = 0) -> None:
        self.fault_plan = FaultPlan()
        self.calls = 0
        self.stopping = threading.Event()
        self._web = web.WebServer(
            _Root(self, store),
            threads=threads,
            port=port,
            max_body_bytes=MAX_REQUEST_BYTES,
        )

    @property
    def url(self) -> str:
        """Returns the base URL of the listener."""
        return f"http://127.0.0.1:{self._web.port}"

    def start(self) -> None:
        """Starts the listener."""
        self._web.start()

    def stop(self) -> None:
        """Stops the listener."""
        self.fault_plan.clear_faults()
        self.stopping.set()
        self._web.stop()


class _Root:
    """Dispatches the paths of the JSON gateway; handlers apply calls and reply."""

    def __init__(self, listener: PlatformStandIn, store: Store) -> None:
        self._listener = listener
        self._store = store
        self._handlers: dict[str, Callable[[dict[str, Any]], bytes]] = {
            "kv/range": self._range,
            "kv/txn": self._txn,
            "lease/grant": self._grant,
            "lease/keepalive": self._keepalive,
            "lease/revoke": self._revoke,
        }

    @web.exposed
    def default(self, *path: str) -> bytes | Iterator[bytes]:
        """Serves every path of the gateway."""
        self._listener.calls += 1
        faults = self._listener.fault_plan.next_faults()
        if faults.cut:
            web.break_connection()
            return b""
        if faults.fail:
            raise cherrypy.HTTPError(500, "injected")
        reply = self._serve("/".join(path[1:]))
        if faults.lose_reply:
            web.break_connection()
        return reply

    def _serve(self, name: str) -> bytes | Iterator[bytes]:
        body = msgspec.json.decode(web.read_body(MAX_REQUEST_BYTES))
        if name == "watch":
            cherrypy.response.stream = True
            return self._watch(body["create_request"])
        handler = self._handlers.get(name)
        if handler is None:
            raise cherrypy.HTTPError(404, f"no path {name}")
        return handler(body)

    def _range(self, body: dict[str, Any]) -> bytes:
        key = _decode(body["key"])
        if "range_end" not in body:
            stored = _unwrap(self._store.get(key))
            return _range_reply(
                [stored] if stored else [], stored.version if stored else 0
            )
        listing = _unwrap(self._store.list(key))
        return _range_reply(list(listing.items), listing.at_version)

    def _txn(self, body: dict[str, Any]) -> bytes:
        comparison = body["compare"][0]
        written = self._write(body["success"][0], int(comparison["mod_revision"]))
        match written:
            case Success(version):
                return _txn_reply(succeeded=True, version=version)
            case Failure(Conflict(found=stored)):
                return _txn_reply(succeeded=False, version=0, stored=stored)
            case _:
                raise _http_error(written.failure())

    def _write(self, action: dict[str, Any], version: int) -> Result[int, StoreFailure]:
        if "requestDeleteRange" in action:
            key = _decode(action["requestDeleteRange"]["key"])
            return self._store.delete(key, version=version).map(lambda _: 0)
        put = action["requestPut"]
        key = _decode(put["key"])
        value = base64.b64decode(put["value"])
        lease = LeaseId(int(put["lease"])) if int(put["lease"]) else None
        if version == 0:
            return self._store.create(key, value, lease=lease)
        return self._store.compare_and_swap(key, value, version=version, lease=lease)

    def _grant(self, body: dict[str, Any]) -> bytes:
        ttl_s = int(body["TTL"])
        lease = _unwrap(self._store.grant_lease(ttl_s * MS_PER_S))
        return web.json_body({"ID": str(lease), "TTL": str(ttl_s)})

    def _keepalive(self, body: dict[str, Any]) -> bytes:
        match self._store.renew_lease(LeaseId(int(body["ID"]))):
            case Success(ttl_ms):
                return _keepalive_reply(body["ID"], ttl_ms // MS_PER_S)
            case Failure(LeaseGone()):
                return _keepalive_reply(body["ID"], 0)
            case Failure(failure):
                raise _http_error(failure)
        raise AssertionError("a result is a success or a failure")

    def _revoke(self, body: dict[str, Any]) -> bytes:
        _unwrap(self._store.revoke_lease(LeaseId(int(body["ID"]))))
        return web.json_body({})

    def _watch(self, request: dict[str, Any]) -> Iterator[bytes]:
        after = int(request["start_revision"]) - 1
        prefix = _decode(request["key"])
        end = time.monotonic() + WATCH_TIMEOUT_S
        yield _stream_line({"created": True})
        while time.monotonic() < end and self._is_connected():
            batch = self._store.watch(
                prefix, after_version=after, timeout_ms=WATCH_POLL_MS
            )
            match batch:
                case Success(WatchBatch(events=(), at_version=_)):
                    yield _stream_line({})
                case Success(stored):
                    after = stored.at_version
                    yield _stream_line({"events": _events(stored)})
                case Failure(Compacted()):
                    yield _stream_line(
                        {"canceled": True, "compact_revision": str(after + 1)}
                    )
                    return
                case _:
                    return

    def _is_connected(self) -> bool:
        listener = self._listener
        return not (listener.fault_plan.current.cut or listener.stopping.is_set())


def _unwrap(result: Result[Any, StoreFailure]) -> Any:
    match result:
        case Success(value):
            return value
        case Failure(failure):
            raise _http_error(failure)
    raise AssertionError("a result is a success or a failure")


def _http_error(failure: StoreFailure) -> cherrypy.HTTPError:
    if isinstance(failure, LeaseGone):
        return cherrypy.HTTPError(404, "requested lease not found")
    return cherrypy.HTTPError(503, type(failure).__name__)


def _decode(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def _kv(stored: Versioned) -> dict[str, str]:
    return {
        "key": base64.b64encode(stored.key.encode()).decode(),
        "value": base64.b64encode(stored.value).decode(),
        "mod_revision": str(stored.version),
        "lease": str(stored.lease or 0),
    }


def _range_reply(stored: list[Versioned], version: int) -> bytes:
    header = {"revision": str(version)}
    return web.json_body({"header": header, "kvs": [_kv(item) for item in stored]})


def _txn_reply(
    *, succeeded: bool, version: int, stored: Versioned | None = None
) -> bytes:
    reply: dict[str, Any] = {"header": {"revision": str(version)}}
    if succeeded:
        reply["succeeded"] = True
    else:
        kvs = [_kv(stored)] if stored else []
        reply["responses"] = [{"response_range": {"kvs": kvs}}]
    return web.json_body(reply)


def _keepalive_reply(lease: str, ttl_s: int) -> bytes:
    return web.json_body({"result": {"ID": lease, "TTL": str(ttl_s)}})


def _stream_line(result: dict[str, Any]) -> bytes:
    return msgspec.json.encode({"result": result}) + b"\n"


def _events(batch: WatchBatch) -> list[dict[str, Any]]:
    events = []
    for item in batch.events:
        kv = _kv(Versioned(item.key, item.value or b"", item.version))
        kind = "DELETE" if item.value is None else "PUT"
        events.append({"type": kind, "kv": kv})
    return events
