"""Final replies kept for a while, so that a caller can read them back."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from .replies import Reply

if TYPE_CHECKING:
    from ..domain.ids import RequestId, TeamName

    ResultKey: TypeAlias = tuple[TeamName, RequestId]


@dataclass(frozen=True, slots=True)
class _Kept:
    reply: Reply
    until_ms: int


class ResultCache:
    """Bounded by age and by bytes; the oldest reply goes first.

    Args:
        keep_ms: How long a reply can be read back.
        max_bytes: Most bytes of bodies held.
    """

    def __init__(self, *, keep_ms: int, max_bytes: int = 8 << 20) -> None:
        self._keep_ms = keep_ms
        self._max_bytes = max_bytes
        self._bytes = 0
        self._kept: OrderedDict[ResultKey, _Kept] = OrderedDict()
        self._lock = threading.Lock()

    def put(self, key: ResultKey, reply: Reply, now_ms: int) -> None:
        """Keeps a final reply; a later one for the same request replaces it."""
        with self._lock:
            self._forget(key)
            self._kept[key] = _Kept(reply, now_ms + self._keep_ms)
            self._bytes += len(reply.body)
            self._evict(now_ms)

    def get(self, key: ResultKey, now_ms: int) -> Reply | None:
        """Returns the kept reply of a request, if there still is one."""
        with self._lock:
            self._evict(now_ms)
            kept = self._kept.get(key)
            return kept.reply if kept else None

    def _evict(self, now_ms: int) -> None:
        while self._kept:
            key, kept = next(iter(self._kept.items()))
            if kept.until_ms > now_ms and self._bytes <= self._max_bytes:
                return
            self._forget(key)

    def _forget(self, key: ResultKey) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._bytes -= len(kept.reply.body)
