"""Writes the progress records of a pool's jobs, in order and under one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..store.contract import Put
from . import keys
from .clock import wall_ms
from .fenced_ledger import FencedLedger
from .ledger import PoolLedger, PoolReport

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from ..domain.jobs.model import JobId
    from ..domain.scheduling.messages import StoreJobs
    from ..store.contract import TransactionalStore
    from .event_log import EventLog

RECORDS_PER_WRITE = 29
"""A transaction allows 32 keys; the ledger uses two, the report one.

The first transaction of a batch with run times has one record less.
"""


class RecordWriter:
    """Writes records and the ledger of one pool under one term; not thread-safe.

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
        self._pool = pool
        self._ledger = FencedLedger(keys.ledger_key(pool), term, store=store, log=log)
        self._term = term
        self._report: PoolReport | None = None

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later term has written."""
        return self._ledger.is_superseded

    def write(self, batch: StoreJobs) -> bool:
        """Writes a batch; returns whether all of it is certainly stored."""
        if not self._ledger.is_loaded and not self.fence_older_terms():
            return False
        rows = list(batch.records)
        learned: tuple[Put, ...] = ()
        if batch.run_times:
            learned = (Put(keys.run_times_key(self._pool), batch.run_times),)
        first = RECORDS_PER_WRITE - len(learned)
        chunks = [
            rows[start : start + RECORDS_PER_WRITE]
            for start in range(first, len(rows), RECORDS_PER_WRITE)
        ]
        is_stored = self._write_chunk(rows[:first], batch, learned) and all(
            self._write_chunk(chunk, batch) for chunk in chunks
        )
        return is_stored and self._remove(batch)

    def fence_older_terms(self) -> bool:
        """Writes the term into the ledger, after which older terms can't write.

        Returns whether that is certainly stored.
        """
        last = self._ledger.load(PoolLedger())
        if last is None:
            return False
        return last.term == self._term or self._commit((), last.pending)

    def _write_chunk(
        self,
        rows: list[tuple[JobId, bytes]],
        batch: StoreJobs,
        more: tuple[Put, ...] = (),
    ) -> bool:
        records = tuple(
            Put(keys.record_key(self._pool, job), record) for job, record in rows
        )
        puts = (*records, *more)
        report = PoolReport(
            vacant=sorted(batch.vacant),
            vacate_number=batch.vacate_number or msgspec.UNSET,
            load=batch.load,
            forecast=batch.forecast or msgspec.UNSET,
        )
        if report != self._report:
            value = msgspec.json.encode(report)
            puts = (*puts, Put(keys.report_key(self._pool), value))
        is_stored = self._commit(puts, batch.pending)
        self._report = report if is_stored else None
        return is_stored

    def _remove(self, batch: StoreJobs) -> bool:
        """Deletes records and parts of jobs whose retention has expired."""
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
        ledger = PoolLedger(pending=pending, written_ms=wall_ms())
        return self._ledger.commit(ledger, puts, removes)
