"""Cache of values by request, bounded by age and by size."""

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
    expires_ms: int


class TtlCache(Generic[V]):
    """Cache that evicts the oldest values first.

    Any thread may call the methods. A value that alone exceeds ``max_bytes`` stays
    until the next ``put`` or ``evict``.

    Args:
        ttl_ms: Time for which a value is kept.
        max_bytes: Maximum sum of the sizes that ``put`` is given.
    """

    def __init__(self, *, ttl_ms: int, max_bytes: int = 8 << 20) -> None:
        self._ttl_ms = ttl_ms
        self._max_bytes = max_bytes
        self._bytes = 0
        self._kept: OrderedDict[RequestKey, _Kept[V]] = OrderedDict()
        self._evicted: list[RequestKey] = []
        self._lock = threading.Lock()

    def put(self, key: RequestKey, value: V, size_bytes: int, now_ms: int) -> None:
        """Stores a value, which replaces an earlier one of the same request."""
        with self._lock:
            self._remove(key)
            self._kept[key] = _Kept(value, size_bytes, now_ms + self._ttl_ms)
            self._bytes += size_bytes
            self._evict_oldest(key, now_ms)

    def get(self, key: RequestKey, now_ms: int) -> V | None:
        """Returns the value of a request; None if there is none or it has expired."""
        with self._lock:
            kept = self._kept.get(key)
            if kept is None or kept.expires_ms <= now_ms:
                return None
            return kept.value

    def evict(self, now_ms: int) -> list[RequestKey]:
        """Evicts expired values and returns all keys evicted since the last call."""
        with self._lock:
            self._evict_oldest(None, now_ms)
            evicted, self._evicted = self._evicted, []
            return evicted

    def _evict_oldest(self, newest: RequestKey | None, now_ms: int) -> None:
        while self._kept:
            key, kept = next(iter(self._kept.items()))
            fits = self._bytes <= self._max_bytes
            if key == newest or (fits and kept.expires_ms > now_ms):
                return
            self._remove(key)
            self._evicted.append(key)

    def _remove(self, key: RequestKey) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._bytes -= kept.size_bytes
