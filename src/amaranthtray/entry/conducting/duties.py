"""Which entry tries for which pool's conductor."""

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

LOOK_MS = 3_000
TURN_MS = 1_000
HOLDER = "/holder"


class DutyBoard:
    """One slow listing of all holders, and the turns of the entries.

    Args:
        store: The platform's store.
        entry: This entry.
    """

    def __init__(self, store: Store, entry: EntryId) -> None:
        self._store = store
        self._entry = entry
        self._held: frozenset[str] = frozenset()
        self._free_since: dict[PoolName, int] = {}
        self._look_at_ms = 0

    def look(self, now_ms: int) -> None:
        """Reads the holders if that is due."""
        if now_ms < self._look_at_ms:
            return
        self._look_at_ms = now_ms + LOOK_MS
        listed = self._store.list(PREFIX + conductor_duty(PoolName("")))
        if isinstance(listed, Success):
            items = listed.unwrap().items
            self._held = frozenset(item.key for item in items)

    def is_turn(self, pool: PoolName, entries: Iterable[EntryId], now_ms: int) -> bool:
        """Returns whether this entry should try for a pool that nobody holds."""
        if PREFIX + conductor_duty(pool) + HOLDER in self._held:
            self._free_since.pop(pool, None)
            return False
        since_ms = self._free_since.setdefault(pool, now_ms)
        return now_ms >= since_ms + TURN_MS * rank(self._entry, entries, pool)


def rank(entry: EntryId, entries: Iterable[EntryId], pool: PoolName) -> int:
    """Returns the place of an entry in the order of a pool, by rendezvous hash."""
    own = _weight(entry, pool)
    return sum(_weight(one, pool) > own for one in set(entries) - {entry})


def _weight(entry: EntryId, pool: PoolName) -> bytes:
    return hashlib.blake2b(f"{entry}/{pool}".encode(), digest_size=8).digest()
