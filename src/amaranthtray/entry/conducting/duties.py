"""Decides which entry tries to acquire the conductor duty of which pool."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from returns.result import Success

from ...domain.duties import conductor_duty
from ...domain.ids import PoolName
from ...store.duties import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...domain.ids import EntryId
    from ...store.contract import Store

HOLDERS_REFRESH_MS = 3_000
TURN_INTERVAL_MS = 1_000
HOLDER_SUFFIX = "/holder"


class AcquisitionTurns:
    """Staggers the attempts of the entries to acquire a free conductor duty.

    It lists the holders of all duties once in ``HOLDERS_REFRESH_MS``, as an attempt of
    each entry for each pool would cost entries times pools calls. The entries try for a
    free duty one after the other, in an order that differs by pool.

    Args:
        store: The platform's store.
        entry: This entry.
    """

    def __init__(self, store: Store, entry: EntryId) -> None:
        self._store = store
        self._entry = entry
        self._holder_keys: frozenset[str] = frozenset()
        self._free_since: dict[PoolName, int] = {}
        self._refresh_due_ms = 0

    def refresh_holders(self, now_ms: int) -> None:
        """Lists the holders if that is due."""
        if now_ms < self._refresh_due_ms:
            return
        self._refresh_due_ms = now_ms + HOLDERS_REFRESH_MS
        listed = self._store.list(PREFIX + conductor_duty(PoolName("")))
        if isinstance(listed, Success):
            items = listed.unwrap().items
            self._holder_keys = frozenset(item.key for item in items)

    def is_turn(self, pool: PoolName, entries: Iterable[EntryId], now_ms: int) -> bool:
        """Returns whether the duty is free and this entry may try to acquire it."""
        if PREFIX + conductor_duty(pool) + HOLDER_SUFFIX in self._holder_keys:
            self._free_since.pop(pool, None)
            return False
        since_ms = self._free_since.setdefault(pool, now_ms)
        return now_ms >= since_ms + TURN_INTERVAL_MS * rank(self._entry, entries, pool)


def rank(entry: EntryId, entries: Iterable[EntryId], pool: PoolName) -> int:
    """Returns the place of an entry, from 0, in a pool's rendezvous hash order."""
    own = _weight(entry, pool)
    return sum(_weight(other, pool) > own for other in set(entries) - {entry})


def _weight(entry: EntryId, pool: PoolName) -> bytes:
    return hashlib.blake2b(f"{entry}/{pool}".encode(), digest_size=8).digest()
