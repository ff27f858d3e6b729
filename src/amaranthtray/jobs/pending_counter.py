"""Counts the waiting jobs of a path, also those of a queue that it belonged to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from . import keys
from .clock import steady_ms
from .ledger import decode_ledger

if TYPE_CHECKING:
    from ..domain.jobs.catalog import Catalog, JobQueue
    from ..store.contract import StoreFailure, TransactionalStore
    from .ledger_view import LedgerView

MOVED_MS = 10_000
"""Time after a path's change of queue within which all conductors know of it."""

QUIET_AGE_MS, MOVED_AGE_MS = 30_000, 1_000
"""Maximum age of other pools' ledgers, without and with jobs of a former queue."""


class PendingCounter:
    """Counts waiting jobs by the ledgers of the pools that have them; thread-safe.

    Args:
        store: The platform's store.
        ledgers: Ledgers of all pools.
    """

    def __init__(self, store: TransactionalStore, ledgers: LedgerView) -> None:
        self._store = store
        self._ledgers = ledgers
        self._catalog: Catalog | None = None
        self._moved_ms: dict[str, int] = {}

    def apply_catalog(self, catalog: Catalog) -> None:
        """Notes which paths get a queue of another pool by a newer configuration."""
        last, self._catalog = self._catalog, catalog
        if last is None:
            return
        now_ms = steady_ms()
        pools = {queue.address: queue.pool for queue in last.queues}
        for queue in catalog.queues:
            if pools.get(queue.address, queue.pool) != queue.pool:
                self._moved_ms[queue.address] = now_ms
        for address, moved_ms in list(self._moved_ms.items()):
            if now_ms - moved_ms >= MOVED_MS:
                self._moved_ms.pop(address, None)

    def count(self, queue: JobQueue) -> Result[int, StoreFailure]:
        """Returns how many jobs of a queue's path have not started."""
        read = self._store.get(keys.ledger_key(queue.pool))
        if not isinstance(read, Success):
            return Failure(read.failure())
        stored = read.unwrap()
        count = 0
        if stored is not None:
            ledger = decode_ledger(stored.value)
            count = ledger.pending.get(queue.name, 0)
            count += ledger.displaced.get(queue.address, 0)
        return Success(count + self._count_elsewhere(queue))

    def _count_elsewhere(self, queue: JobQueue) -> int:
        """Returns how many jobs of a former queue of the path wait in other pools."""
        count = self._sum(queue, QUIET_AGE_MS)
        moved_ms = self._moved_ms.get(queue.address)
        has_moved = moved_ms is not None and steady_ms() - moved_ms < MOVED_MS
        return self._sum(queue, MOVED_AGE_MS) if count or has_moved else 0

    def _sum(self, queue: JobQueue, max_age_ms: int) -> int:
        ledgers = self._ledgers.read(max_age_ms)
        if not isinstance(ledgers, Success):
            return 0
        return sum(
            ledger.displaced.get(queue.address, 0)
            for pool, ledger in ledgers.unwrap().items()
            if pool != queue.pool
        )
