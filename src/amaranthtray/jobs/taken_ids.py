"""Tells what has the id of a submitted job, if the store shows that it is taken."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.jobs.record import is_same_job
from . import keys

if TYPE_CHECKING:
    from ..domain.ids import PoolName
    from ..domain.jobs.model import JobSpec
    from ..store.contract import TransactionalStore, Versioned
    from .event_log import EventLog
    from .job_locator import JobLocator, LocatedJob


class TakenBy(Enum):
    """What has the id of a submitted job.

    Attributes:
        SAME: The job itself; it was submitted before.
        OTHER: A job with other content.
        CANCELLATION: A cancellation that came before the job.
        NOTHING: Nothing any more; the job may be stored.
        UNKNOWN: The store can't tell now.
    """

    SAME = 1
    OTHER = 2
    CANCELLATION = 3
    NOTHING = 4
    UNKNOWN = 5


class TakenIds:
    """Looks for what has an id; thread-safe.

    Args:
        store: The platform's store.
        log: Log of the entry.
        locator: Finds jobs that are stored.
    """

    def __init__(
        self, store: TransactionalStore, log: EventLog, locator: JobLocator
    ) -> None:
        self._store = store
        self._log = log
        self._locator = locator

    def find(self, spec: JobSpec, pool: PoolName) -> TakenBy:
        """Returns what has the id of a job that ``pool`` would get now.

        A former release removes ended jobs and leaves their location, which is removed
        here.
        """
        # Read before the job, so that a location of a later job is never removed.
        read = self._store.get(keys.location_key(spec.id))
        found = self._locator.find(spec.id, pool)
        if not (isinstance(read, Success) and isinstance(found, Success)):
            return TakenBy.UNKNOWN
        located, location = found.unwrap(), read.unwrap()
        if located is None:
            if location is not None:
                self._remove(location)
            return TakenBy.NOTHING
        if not located.is_stored:
            return TakenBy.CANCELLATION
        return self.compare(spec, located)

    def compare(self, spec: JobSpec, located: LocatedJob) -> TakenBy:
        """Returns whether a stored job is the submitted one."""
        read = self._store.get(keys.job_key(located.pool, spec.id, keys.SPEC))
        if not isinstance(read, Success):
            return TakenBy.UNKNOWN
        stored = read.unwrap()
        if stored is None:
            return TakenBy.NOTHING
        return TakenBy.SAME if is_same_job(stored.value, spec) else TakenBy.OTHER

    def _remove(self, location: Versioned) -> None:
        removed = self._store.delete(location.key, version=location.version)
        self._log.event("location-removed", key=location.key, outcome=repr(removed))
