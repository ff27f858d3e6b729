"""Finds where a job is stored, whatever the configuration says now."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from ..domain.ids import PoolName
from . import keys

if TYPE_CHECKING:
    from ..domain.jobs.model import JobId
    from ..store.contract import StoreFailure, TransactionalStore
    from .event_log import EventLog
    from .ledger_view import LedgerView

MARKED_CHECK_MS = 30_000
"""Time between checks while all ledgers have the mark; an entry of the former release
may conduct a pool again during a rolling restart."""

UNMARKED_CHECK_MS = 1_000
"""Time between checks while a ledger lacks the mark."""


class JobLocation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Stored location of a job; the first one of an id stays until the job's removal.

    Attributes:
        pool: Pool whose conductor has the job.
        is_cancelled: Whether the id was cancelled before a job was stored under it; a
            location of a stored job doesn't say if that is cancelled.
    """

    pool: PoolName
    is_cancelled: bool = False


def decode_location(data: bytes) -> JobLocation:
    """Returns the location stored as ``data``.

    Raises:
        msgspec.MsgspecError: ``data`` is not a location.
    """
    return msgspec.json.decode(data, type=JobLocation)


@dataclass(frozen=True, slots=True)
class LocatedJob:
    """A job that is stored, or whose id was cancelled before that.

    Attributes:
        pool: Pool whose conductor has it.
        spec_version: Version of its specification; 0 if it isn't stored.
        is_cancelled: Whether its cancellation is stored.
    """

    pool: PoolName
    spec_version: int
    is_cancelled: bool

    @property
    def is_stored(self) -> bool:
        """Returns whether the job itself is stored."""
        return self.spec_version > 0


Located: TypeAlias = "Result[LocatedJob | None, StoreFailure]"


class JobLocator:
    """Finds jobs by id; thread-safe.

    Jobs that a former release has stored have no location until a conductor of this
    release gives them one. Ledgers without its mark show in which pools there may be
    such jobs.

    Args:
        store: The platform's store.
        log: Log of the entry.
        ledgers: Ledgers of all pools.
    """

    def __init__(
        self, store: TransactionalStore, log: EventLog, ledgers: LedgerView
    ) -> None:
        self._store = store
        self._log = log
        self._ledgers = ledgers

    def find(self, job: JobId, pool: PoolName) -> Located:
        """Returns a job by its id, or None if nothing is stored of it.

        Args:
            job: The job.
            pool: Pool in which it is looked for first.
        """
        found = self._find_in(job, pool)
        if not isinstance(found, Success) or found.unwrap() is not None:
            return found
        read = self._store.get(keys.location_key(job))
        if not isinstance(read, Success):
            return Failure(read.failure())
        stored = read.unwrap()
        if stored is None:
            return self.find_unlocated(job, pool)
        location = decode_location(stored.value)
        if location.pool != pool:
            self._log.event("job-in-other-pool", job=job, pool=location.pool)
        if location.is_cancelled:
            return Success(LocatedJob(location.pool, 0, is_cancelled=True))
        return self._find_in(job, location.pool)

    def find_unlocated(self, job: JobId, tried: PoolName) -> Located:
        """Returns a job that a former release stored in another pool than ``tried``.

        It needs no call while the ledgers of all pools have the mark.
        """
        max_age_ms = UNMARKED_CHECK_MS if self._ledgers.unmarked else MARKED_CHECK_MS
        read = self._ledgers.read(max_age_ms)
        if not isinstance(read, Success):
            return Failure(read.failure())
        for pool in sorted(self._ledgers.unmarked - {tried}):
            found = self._find_in(job, pool)
            if not isinstance(found, Success):
                return found
            if found.unwrap() is not None:
                self._log.event("job-without-location", job=job, pool=pool)
                return found
        return Success(None)

    def _find_in(self, job: JobId, pool: PoolName) -> Located:
        prefix = keys.job_parts_prefix(pool, job)
        listed = self._store.list(prefix)
        if not isinstance(listed, Success):
            return Failure(listed.failure())
        items = listed.unwrap().items
        versions = {item.key.removeprefix(prefix): item.version for item in items}
        if keys.SPEC not in versions:
            return Success(None)
        is_cancelled = keys.CANCEL in versions
        return Success(LocatedJob(pool, versions[keys.SPEC], is_cancelled))
