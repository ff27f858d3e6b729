"""The ledgers of all pools, as an entry has last read them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..store.contract import Unavailable
from . import keys
from .clock import steady_ms
from .ledger import PoolLedger, decode_ledger

if TYPE_CHECKING:
    from ..domain.ids import PoolName
    from ..store.contract import StoreFailure, TransactionalStore
    from .event_log import EventLog

RETRY_MS = 1_000
"""Time after which a failed reading is repeated."""


class LedgerView:
    """Reads all ledgers on demand and keeps them; thread-safe.

    Args:
        store: The platform's store.
        log: Log of the entry.

    Attributes:
        unmarked: Pools whose ledger a former release has written, by the last reading;
            their jobs may have no location.
    """

    def __init__(self, store: TransactionalStore, log: EventLog) -> None:
        self.unmarked: frozenset[PoolName] = frozenset()
        self._store = store
        self._log = log
        self._lock = threading.Lock()
        self._known: Success[dict[PoolName, PoolLedger]] | None = None
        self._failed: Result[dict[PoolName, PoolLedger], StoreFailure]
        self._failed = Failure(Unavailable("list", "store", "not read yet"))
        self._read_ms: int | None = None
        self._tried_ms: int | None = None

    def read(self, max_age_ms: int) -> Result[dict[PoolName, PoolLedger], StoreFailure]:
        """Returns the ledgers, read anew if they are older and the store answers.

        A caller waits for the reading of another one only while nothing is known.
        """
        must_wait = self._known is None
        if self._is_due(max_age_ms) and self._lock.acquire(blocking=must_wait):
            try:
                if self._is_due(max_age_ms):
                    self._read()
            finally:
                self._lock.release()
        return self._known or self._failed

    def _is_due(self, max_age_ms: int) -> bool:
        now_ms, read_ms, tried_ms = steady_ms(), self._read_ms, self._tried_ms
        if tried_ms is not None and tried_ms != read_ms:
            return now_ms - tried_ms >= RETRY_MS
        return read_ms is None or now_ms - read_ms >= max_age_ms

    def _read(self) -> None:
        self._tried_ms = steady_ms()
        listed = self._store.list(keys.LEDGERS_PREFIX)
        if not isinstance(listed, Success):
            self._failed = Failure(listed.failure())
            return
        ledgers = {
            keys.pool_of_ledger(item.key): decode_ledger(item.value)
            for item in listed.unwrap().items
        }
        unmarked = frozenset(
            pool for pool, ledger in ledgers.items() if not ledger.has_locations
        )
        if unmarked != self.unmarked:
            self._log.event("pools-without-locations", pools=sorted(unmarked))
        self.unmarked, self._known = unmarked, Success(ledgers)
        self._read_ms = self._tried_ms
