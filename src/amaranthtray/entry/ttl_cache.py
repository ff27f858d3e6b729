"""Values kept for a while by request, bounded by age and by bytes."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from ..domain.requests.tracked_request import RequestKey

V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class _Kept(Generic[V]):
    value: V
    size_bytes: int
    until_ms: int


class TtlCache(Generic[V]):
    """Keeps the latest values; the oldest goes first.

    Args:
        ttl_ms: How long a value is kept.
        max_bytes: Most bytes held, as counted by whoever puts values.
    """

    def __init__(self, *, ttl_ms: int, max_bytes: int = 8 << 20) -> None:
        self._keep_ms = ttl_ms
        self._max_bytes = max_bytes
        self._bytes = 0
        self._kept: OrderedDict[RequestKey, _Kept[V]] = OrderedDict()
        self._evicted: list[RequestKey] = []
        self._lock = threading.Lock()

    def put(self, key: RequestKey, value: V, size_bytes: int, now_ms: int) -> None:
        """Keeps a value; a later one for the same request replaces it."""
        with self._lock:
            self._forget(key)
            self._kept[key] = _Kept(value, size_bytes, now_ms + self._keep_ms)
            self._bytes += size_bytes
            self._make_room(key, now_ms)

    def get(self, key: RequestKey, now_ms: int) -> V | None:
        """Returns the value of a request, if it is still kept."""
        with self._lock:
            kept = self._kept.get(key)
            if kept is None or kept.until_ms <= now_ms:
                return None
            return kept.value

    def evict(self, now_ms: int) -> list[RequestKey]:
        """Drops what is too old; returns all that was dropped since the last call."""
        with self._lock:
            self._make_room(None, now_ms)
            evicted, self._evicted = self._evicted, []
            return evicted

    def _make_room(self, newest: RequestKey | None, now_ms: int) -> None:
        while self._kept:
            key, kept = next(iter(self._kept.items()))
            fits = self._bytes <= self._max_bytes
            if key == newest or (fits and kept.until_ms > now_ms):
                return
            self._forget(key)
            self._evicted.append(key)

    def _forget(self, key: RequestKey) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._bytes -= kept.size_bytes
