"""Stores submitted jobs, several in a transaction, each exactly once."""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.ids import PoolName
from ..domain.jobs.model import JobSpec
from ..domain.jobs.record import encode_spec, is_same_job
from ..store.contract import Conflicts, EffectUnknown, Put, Rejected, Transaction
from . import keys
from .clock import steady_ms
from .job_locator import JobLocation
from .steps import run_step
from .unsettled_submissions import UnsettledSubmissions

if TYPE_CHECKING:
    from ..store.contract import StoreFailure, TransactionalStore
    from .event_log import EventLog

JOBS_PER_WRITE = 7
"""A transaction allows 32 keys: four for each job and one for the configuration."""

MAX_TRIES = 3
"""Tries of a write whose outcome is unknown or that conflicts."""

WRITER_THREADS = 2
"""Concurrent writes; submissions that arrive meanwhile share the next one."""


class SubmissionOutcome(Enum):
    """Outcome of a submission.

    Attributes:
        STORED: The job is stored.
        OUTDATED: The configuration has changed; nothing was written.
        NOT_STORED: The job is certainly not stored and never will be.
        UNKNOWN: The job may be stored, or may still be written.
        TAKEN: The id has a location, and no job of it is in this pool.
        OTHER_JOB: The id has a job with other content; this one is not stored.
    """

    STORED = 1
    OUTDATED = 2
    NOT_STORED = 3
    UNKNOWN = 4
    TAKEN = 5
    OTHER_JOB = 6


@dataclass(slots=True)
class Submission:
    """A job that waits to be stored.

    Attributes:
        pool: Pool that runs it.
        spec: The job.
        config_version: Store version of the configuration that allowed it.
        outcome: Final once ``done`` is set.
        may_be_stored: Whether an earlier try may have written the job.
        unsettled: Records the submission until its outcome is final; None if nothing
            does.
    """

    pool: PoolName
    spec: JobSpec
    config_version: int
    outcome: SubmissionOutcome = SubmissionOutcome.UNKNOWN
    done: threading.Event = field(default_factory=threading.Event)
    may_be_stored: bool = False
    unsettled: UnsettledSubmissions | None = None

    @property
    def key(self) -> str:
        """Returns the key of the job's location, which guards its id."""
        return keys.location_key(self.spec.id)

    @property
    def spec_key(self) -> str:
        """Returns the key of the job's specification."""
        return keys.job_key(self.pool, self.spec.id, keys.SPEC)

    def outcome_of(self, conflicts: Conflicts) -> SubmissionOutcome | None:
        """Returns what a conflict decides; None if it doesn't show the job."""
        values = {item.key: item.value for item in conflicts.found}
        stored = values.get(self.spec_key)
        if stored is not None:
            is_same = is_same_job(stored, self.spec)
            return SubmissionOutcome.STORED if is_same else SubmissionOutcome.OTHER_JOB
        return SubmissionOutcome.TAKEN if self.key in values else None

    def finish(self, outcome: SubmissionOutcome) -> None:
        """Sets the outcome and wakes the waiting thread."""
        self.outcome = outcome
        if self.unsettled is not None:
            is_unknown = outcome is SubmissionOutcome.UNKNOWN
            self.unsettled.end(self.key, steady_ms(), is_unknown=is_unknown)
        self.done.set()


class SubmissionWriter:
    """Groups submissions into transactions.

    Each transaction expects the configuration's version, so that a job is stored
    only while the configuration that allowed it is the newest.

    Args:
        store: The platform's store.
        configuration_key: Key of the configuration.
        log: Log of the entry.

    Attributes:
        unsettled: Jobs that are being written or whose outcome is unknown.
    """

    def __init__(
        self, store: TransactionalStore, configuration_key: str, log: EventLog
    ) -> None:
        self._store = store
        self._configuration_key = configuration_key
        self._log = log
        self.unsettled = UnsettledSubmissions()
        self._queue: queue.SimpleQueue[Submission] = queue.SimpleQueue()

    def start(self) -> None:
        """Starts the writer threads."""
        for _ in range(WRITER_THREADS):
            threading.Thread(target=self._run, daemon=True).start()

    def submit(self, submission: Submission, timeout_s: float) -> SubmissionOutcome:
        """Stores a job; returns UNKNOWN if that takes longer than ``timeout_s``."""
        submission.unsettled = self.unsettled
        self.unsettled.begin(submission.key)
        self._queue.put(submission)
        submission.done.wait(timeout_s)
        return submission.outcome

    def _run(self) -> None:
        while True:
            group = [self._queue.get()]
            deferred: list[Submission] = []
            while len(group) < JOBS_PER_WRITE and not self._queue.empty():
                submission = self._queue.get_nowait()
                fits = submission.config_version == group[0].config_version
                is_new = submission.key not in {other.key for other in group}
                (group if fits and is_new else deferred).append(submission)
            for submission in deferred:
                self._queue.put(submission)
            store = partial(self.store_group, group)
            run_step(self._log, "submissions", store, otherwise=None)
            for submission in group:
                if not submission.done.is_set():
                    submission.finish(SubmissionOutcome.UNKNOWN)

    def store_group(self, group: list[Submission]) -> None:
        """Stores jobs that one configuration version allowed; sets their outcomes."""
        for _ in range(MAX_TRIES):
            written = self._store.commit(self._transaction(group))
            if isinstance(written, Success):
                for submission in group:
                    submission.finish(SubmissionOutcome.STORED)
                return
            failure = written.failure()
            group = self._resolve_failure(group, failure)
            if not group:
                return
        for submission in group:
            submission.finish(
                SubmissionOutcome.UNKNOWN
                if submission.may_be_stored
                else SubmissionOutcome.NOT_STORED
            )

    def _resolve_failure(
        self, group: list[Submission], failure: StoreFailure
    ) -> list[Submission]:
        """Finishes submissions that a failed write decides; returns those to retry."""
        match failure:
            case Conflicts():
                return self._resolve_conflicts(group, failure)
            case EffectUnknown():
                for submission in group:
                    submission.may_be_stored = True
                return group
            case Rejected() if len(group) > 1:
                for submission in group:
                    self.store_group([submission])
                return []
        self._log.event("jobs-not-stored", why=repr(failure), jobs=len(group))
        for submission in group:
            submission.finish(
                SubmissionOutcome.UNKNOWN
                if submission.may_be_stored
                else SubmissionOutcome.NOT_STORED
            )
        return []

    def _resolve_conflicts(
        self, group: list[Submission], conflicts: Conflicts
    ) -> list[Submission]:
        absent: list[Submission] = []
        for submission in group:
            outcome = submission.outcome_of(conflicts)
            if outcome is None:
                absent.append(submission)
            else:
                submission.finish(outcome)
        config_version = conflicts.version_of(self._configuration_key)
        if absent and config_version != absent[0].config_version:
            for submission in absent:
                submission.finish(SubmissionOutcome.OUTDATED)
            return []
        return absent

    def _transaction(self, group: list[Submission]) -> Transaction:
        expect = [(self._configuration_key, group[0].config_version)]
        puts: list[Put] = []
        for submission in group:
            location = JobLocation(pool=submission.pool)
            spec = replace(submission.spec, has_location=True)
            expect += [(submission.key, 0), (submission.spec_key, 0)]
            puts += [
                Put(submission.key, msgspec.json.encode(location)),
                Put(submission.spec_key, encode_spec(spec)),
            ]
        return Transaction(expect=tuple(expect), puts=tuple(puts))
