"""Stores the location of jobs that a former release has stored without one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Result, Success

from ..store.contract import Conflicts, Put, Transaction
from . import keys
from .job_locator import JobLocation

if TYPE_CHECKING:
    from ..domain.ids import PoolName
    from ..domain.jobs.model import JobId
    from ..store.contract import StoreFailure, TransactionalStore
    from .event_log import EventLog

JOBS_PER_WRITE = 10
"""A transaction allows 32 keys, and each job takes three."""


class LocationWriter:
    """Stores the locations of one pool's jobs; not thread-safe.

    Args:
        pool: The pool.
        store: The platform's store.
        log: Log of the entry.
    """

    def __init__(
        self, pool: PoolName, store: TransactionalStore, log: EventLog
    ) -> None:
        self._pool = pool
        self._store = store
        self._log = log
        self._versions: dict[JobId, int] = {}

    def add(self, job: JobId, version: int) -> None:
        """Adds a job whose specification is stored at a version."""
        self._versions[job] = version

    def write(self) -> bool:
        """Stores the locations of the added jobs; returns whether none is left."""
        while self._versions:
            batch = dict(list(self._versions.items())[:JOBS_PER_WRITE])
            written = self._store.commit(self._transaction(batch))
            settled = self._settled(batch, written)
            self._log.event(
                "locations",
                pool=self._pool,
                jobs=len(batch),
                settled=len(settled),
                outcome=repr(written),
            )
            if not settled:
                return False
            for job in settled:
                del self._versions[job]
        return True

    def _settled(
        self, batch: dict[JobId, int], written: Result[int, StoreFailure]
    ) -> set[JobId]:
        """Returns jobs that have a location, or whose specification was removed."""
        if isinstance(written, Success):
            return set(batch)
        conflicts = written.failure()
        if not isinstance(conflicts, Conflicts):
            return set()
        return {
            job
            for job, version in batch.items()
            if conflicts.version_of(keys.location_key(job))
            or conflicts.version_of(self._spec_key(job)) != version
        }

    def _spec_key(self, job: JobId) -> str:
        return keys.job_key(self._pool, job, keys.SPEC)

    def _transaction(self, batch: dict[JobId, int]) -> Transaction:
        value = msgspec.json.encode(JobLocation(pool=self._pool))
        absent = tuple((keys.location_key(job), 0) for job in batch)
        specs = tuple((self._spec_key(job), batch[job]) for job in batch)
        puts = tuple(Put(keys.location_key(job), value) for job in batch)
        return Transaction(expect=(*absent, *specs), puts=puts)
