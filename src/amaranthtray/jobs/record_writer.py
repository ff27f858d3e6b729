"""Writes a conductor's records, in order and only under its term."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..store.contract import Conflicts, Put, Transaction
from . import keys
from .clock import wall_ms
from .ledger import Ledger, Report, decode_ledger

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from ..domain.jobs.model import JobId
    from ..domain.scheduling.messages import StoreJobs
    from ..store.contract import TransactionalStore
    from .event_log import EventLog

RECORDS_PER_WRITE = 29
"""A transaction takes 32 keys; the ledger takes two, the report one."""


class RecordWriter:
    """Owns the ledger of one pool under one term; use it from one thread.

    Each write names the ledger's version that the last one left. A write that is
    carried out late, or under an older term, therefore fails.

    Args:
        pool: The pool.
        term: Term of the conductor.
        store: The platform's store.
        log: Log of the entry.
    """

    def __init__(
        self,
        pool: PoolName,
        term: Term,
        *,
        store: TransactionalStore,
        log: EventLog,
    ) -> None:
        self.is_superseded = False
        self._pool = pool
        self._term = term
        self._store = store
        self._log = log
        self._key = keys.ledger_key(pool)
        self._version: int | None = None
        self._batch = 0
        self._tried = 0
        self._report: Report | None = None

    def write(self, batch: StoreJobs) -> bool:
        """Writes a batch; returns whether all of it is surely stored."""
        if self._version is None and not self.take():
            return False
        rows = list(batch.records)
        chunks = [
            rows[start : start + RECORDS_PER_WRITE]
            for start in range(0, len(rows), RECORDS_PER_WRITE)
        ]
        is_stored = all(self._write_chunk(chunk, batch) for chunk in chunks or [[]])
        return is_stored and self._remove(batch)

    def take(self) -> bool:
        """Writes the term into the ledger; from then on older terms can't write."""
        read = self._store.get(self._key)
        if not isinstance(read, Success):
            return False
        found = read.unwrap()
        last = decode_ledger(found.value) if found else Ledger()
        if last.term > self._term:
            self.is_superseded = True
            return False
        self._version = found.version if found else 0
        if last.term == self._term:
            self._batch = self._tried = last.batch
            return True
        return self._commit((), last.pending)

    def _write_chunk(self, rows: list[tuple[JobId, bytes]], batch: StoreJobs) -> bool:
        puts = tuple(
            Put(keys.record_key(self._pool, job), record) for job, record in rows
        )
        report = Report(vacant=sorted(batch.vacant), load=batch.load)
        if report != self._report:
            value = msgspec.json.encode(report)
            puts = (*puts, Put(keys.report_key(self._pool), value))
        is_stored = self._commit(puts, batch.pending)
        self._report = report if is_stored else None
        return is_stored

    def _remove(self, batch: StoreJobs) -> bool:
        """Deletes all that is known of jobs that ended long ago."""
        if not batch.removed:
            return True
        parts = (keys.SPEC, keys.CANCEL)
        removes = tuple(
            key
            for job in batch.removed
            for key in (
                keys.record_key(self._pool, job),
                *(keys.job_key(self._pool, job, part) for part in parts),
            )
        )
        return self._commit((), batch.pending, removes)

    def _commit(
        self,
        puts: tuple[Put, ...],
        pending: dict[str, int],
        removes: tuple[str, ...] = (),
    ) -> bool:
        if self._version is None:
            return False
        self._tried += 1
        ledger = Ledger(
            term=self._term, batch=self._tried, pending=pending, written_ms=wall_ms()
        )
        transaction = Transaction(
            expect=((self._key, self._version),),
            puts=(Put(self._key, msgspec.json.encode(ledger)), *puts),
            removes=removes,
        )
        written = self._store.commit(transaction)
        if isinstance(written, Success):
            self._version, self._batch = written.unwrap(), self._tried
            return True
        failure = written.failure()
        self._log.event(
            "records-not-stored", pool=self._pool, term=self._term, why=repr(failure)
        )
        if isinstance(failure, Conflicts):
            return self._settle(failure)
        return False

    def _settle(self, conflicts: Conflicts) -> bool:
        """Learns the ledger's version; an earlier try may have been carried out."""
        found = next((i for i in conflicts.found if i.key == self._key), None)
        if found is None:
            self._version = 0
            return False
        last = decode_ledger(found.value)
        if last.term != self._term:
            self.is_superseded = True
            return False
        self._version, self._batch = found.version, last.batch
        # The try that was carried out late held an older state of the same jobs;
        # the caller writes them again.
        return False
