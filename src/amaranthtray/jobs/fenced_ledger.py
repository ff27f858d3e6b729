"""A key whose version fences all writes of a duty's holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
from returns.result import Success

from ..store.contract import Conflicts, Put, Rejected, Transaction

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..domain.ids import Term
    from ..store.contract import TransactionalStore, Versioned
    from .event_log import EventLog


class LedgerHeader(msgspec.Struct, kw_only=True):
    """Fields of every ledger.

    Attributes:
        term: Term of the writer.
        batch: Number of the write within its term.
    """

    term: int = 0
    batch: int = 0


L = TypeVar("L", bound=LedgerHeader)


class FleetLedger(LedgerHeader, kw_only=True):
    """Ledger that each write of the holder updates.

    Attributes:
        ordered: Machines for which this holder or an earlier one may recently have
            sent an order.
    """

    ordered: list[str] = msgspec.field(default_factory=list)


class FencedLedger:
    """Writes transactions that are fenced by one ledger key; not thread-safe.

    Each transaction expects the ledger's version after the last one. A delayed
    write, or one of an older term, therefore fails.

    Args:
        key: Key of the ledger.
        term: Term of the holder.
        store: The platform's store.
        log: Log of the entry.

    Attributes:
        is_superseded: Whether a later term has written.
        was_rejected: Whether the store has rejected the last write as such.
    """

    def __init__(
        self, key: str, term: Term, *, store: TransactionalStore, log: EventLog
    ) -> None:
        self.is_superseded = False
        self.was_rejected = False
        self._key = key
        self._term = term
        self._store = store
        self._log = log
        self._version: int | None = None
        self._last_batch = 0

    @property
    def is_loaded(self) -> bool:
        """Returns whether the version of the ledger is known."""
        return self._version is not None

    def load(self, empty: L) -> L | None:
        """Reads the ledger; None if that fails or a later term has written it.

        Older terms can still write until the first write under this one.

        Args:
            empty: Returned if the ledger does not exist yet.
        """
        read = self._store.get(self._key)
        if not isinstance(read, Success):
            return None
        stored = read.unwrap()
        last = msgspec.json.decode(stored.value, type=type(empty)) if stored else empty
        if last.term > self._term:
            self.is_superseded = True
            return None
        self._version = stored.version if stored else 0
        if last.term == self._term:
            self._last_batch = last.batch
        return last

    def commit(
        self, ledger: LedgerHeader, puts: Iterable[Put], removes: tuple[str, ...] = ()
    ) -> bool:
        """Writes the ledger and other keys in one transaction.

        Returns whether the transaction is certainly stored.

        Args:
            ledger: New state of the ledger; term and batch are filled in.
            puts: Other keys to write.
            removes: Keys to delete.
        """
        if self._version is None:
            return False
        self._last_batch += 1
        self.was_rejected = False
        ledger.term, ledger.batch = self._term, self._last_batch
        transaction = Transaction(
            expect=((self._key, self._version),),
            puts=(Put(self._key, msgspec.json.encode(ledger)), *puts),
            removes=removes,
        )
        written = self._store.commit(transaction)
        if isinstance(written, Success):
            self._version = written.unwrap()
            return True
        failure = written.failure()
        self._log.event(
            "records-not-stored", ledger=self._key, term=self._term, why=repr(failure)
        )
        self.was_rejected = isinstance(failure, Rejected)
        if isinstance(failure, Conflicts):
            stored = next((i for i in failure.found if i.key == self._key), None)
            self._resolve_version(stored)
        return False

    def _resolve_version(self, stored: Versioned | None) -> None:
        """Derives the version from a conflict; an earlier write may have taken effect.

        That write had an older state; the caller writes the newer one next.
        """
        if stored is None:
            self._version = 0
            return
        term = msgspec.json.decode(stored.value, type=LedgerHeader).term
        self.is_superseded = term > self._term
        # An older term has written since the ledger was loaded: load it again.
        self._version = stored.version if term == self._term else None
