"""Writes the progress records of a pool's jobs, in order and under one term."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import msgspec

from ..domain.jobs.model import JobId
from ..domain.jobs.record_limits import DEFAULT_VALUE_BYTES
from ..store.contract import Put
from . import keys
from .clock import wall_ms
from .fenced_ledger import FencedLedger
from .ledger import PoolLedger, PoolReport

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from ..domain.scheduling.messages import StoreJobs
    from ..store.contract import TransactionalStore
    from .event_log import EventLog

Row: TypeAlias = tuple[JobId, bytes]
"""A job and its record."""

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
        value_bytes: Maximum size of a value of the store; a transaction has no more
            bytes of records.

    Attributes:
        set_apart: Jobs of the last batch whose record the store has rejected; the
            others are stored.
    """

    def __init__(
        self,
        pool: PoolName,
        term: Term,
        *,
        store: TransactionalStore,
        log: EventLog,
        value_bytes: int = DEFAULT_VALUE_BYTES,
    ) -> None:
        self.set_apart: tuple[JobId, ...] = ()
        self._pool = pool
        self._log = log
        self._value_bytes = value_bytes
        self._ledger = FencedLedger(keys.ledger_key(pool), term, store=store, log=log)
        self._term = term
        self._report: PoolReport | None = None
        self._last = PoolLedger()
        self._has_locations = False

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later term has written."""
        return self._ledger.is_superseded

    def write(self, batch: StoreJobs) -> bool:
        """Writes a batch; returns whether all of it is certainly stored.

        A record that the store rejects is left out, and ``set_apart`` names its job.
        """
        self.set_apart = ()
        if not self._ledger.is_loaded and not self.fence_older_terms():
            return False
        learned: tuple[Put, ...] = ()
        if batch.run_times:
            learned = (Put(keys.run_times_key(self._pool), batch.run_times),)
        first, *others = self._chunks(list(batch.records), len(learned))
        is_stored = self._write_chunk(first, batch, learned) and all(
            self._write_chunk(chunk, batch) for chunk in others
        )
        return is_stored and self._remove(batch)

    def fence_older_terms(self) -> bool:
        """Writes the term into the ledger, after which older terms can't write.

        Returns whether that is certainly stored.
        """
        last = self._ledger.load(PoolLedger())
        if last is None:
            return False
        self._last, self._has_locations = last, last.has_locations
        return last.term == self._term or self._commit((), last)

    def mark_located(self) -> bool:
        """Marks in the ledger that all jobs that were read have a location.

        Returns whether that is certainly stored.
        """
        if self._has_locations:
            return True
        if not self._ledger.is_loaded and not self.fence_older_terms():
            return False
        self._last.has_locations = True
        self._has_locations = self._commit((), self._last)
        return self._has_locations

    def _chunks(self, rows: list[Row], first_keys: int) -> list[list[Row]]:
        """Returns the rows of each transaction; the first one has other keys, too."""
        chunks: list[list[Row]] = [[]]
        left, left_bytes = RECORDS_PER_WRITE - first_keys, self._value_bytes
        for row in rows:
            if not left or (chunks[-1] and len(row[1]) > left_bytes):
                chunks.append([])
                left, left_bytes = RECORDS_PER_WRITE, self._value_bytes
            chunks[-1].append(row)
            left, left_bytes = left - 1, left_bytes - len(row[1])
        return chunks

    def _write_chunk(
        self, rows: list[Row], batch: StoreJobs, more: tuple[Put, ...] = ()
    ) -> bool:
        """Writes records; one that the store rejects is set apart from the others."""
        if self._write_rows(rows, batch, more):
            return True
        if not rows or not self._ledger.was_rejected:
            return False
        if len(rows) > 1:
            middle = len(rows) // 2
            return self._write_chunk(rows[:middle], batch, more) and self._write_chunk(
                rows[middle:], batch
            )
        ((job, record),) = rows
        # Once more, as a job must not fail because of a single reply.
        if self._write_rows(rows, batch, more):
            return True
        if not self._ledger.was_rejected:
            return False
        self.set_apart += (job,)
        self._log.event("record-set-apart", job=job, bytes=len(record))
        return self._write_rows([], batch, more)

    def _write_rows(
        self, rows: list[Row], batch: StoreJobs, more: tuple[Put, ...]
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
        is_stored = self._commit(puts, _ledger_of(batch))
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
                keys.location_key(job),
                *(keys.job_key(self._pool, job, part) for part in parts),
            )
        )
        return self._commit((), _ledger_of(batch), removes)

    def _commit(
        self, puts: tuple[Put, ...], ledger: PoolLedger, removes: tuple[str, ...] = ()
    ) -> bool:
        ledger.written_ms = wall_ms()
        ledger.has_locations |= self._has_locations
        return self._ledger.commit(ledger, puts, removes)


def _ledger_of(batch: StoreJobs) -> PoolLedger:
    return PoolLedger(pending=batch.pending, displaced=batch.displaced)
