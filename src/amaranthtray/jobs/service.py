"""Operations on jobs that callers can request, independent of the protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.jobs.job import JobState
from ..domain.jobs.model import NO_TEAM, JobId, JobSpec
from ..domain.jobs.record import decode_state, spec_problem
from ..domain.jobs.record_limits import RecordLimits
from . import keys
from .cancellation_writer import CancellationWriter, CancelOutcome
from .clock import wall_ms
from .requests import (
    Accepted,
    AdmittedRequest,
    CallerRequest,
    JobStateReply,
    KeyRefused,
    NeverRun,
    NoSuchJob,
    NoSuchQueue,
    OutcomeUnknown,
    PendingReply,
    Reply,
    RetryLater,
)
from .submission_writer import Submission, SubmissionOutcome
from .taken_ids import TakenBy, TakenIds

if TYPE_CHECKING:
    from ..domain.ids import PoolName
    from ..domain.jobs.model import Recurrence, StepSpec
    from .admission_controller import AdmissionController
    from .config_follower import ConfigFollower
    from .context import JobEntryContext
    from .job_locator import JobLocator
    from .pending_counter import PendingCounter
    from .submission_writer import SubmissionWriter

MAX_VIEW_AGE_SHARE = 0.4
"""Age at which the view of the configuration counts as stale.

It is a share of the time within which a withdrawn key must stop working.
"""

STORE_AWAY = "the store is unavailable"
ID_TAKEN = "another job has this id"

MAX_CONFIGURATION_CHECKS = 4
"""Most checks of one submission while the configuration keeps changing."""


class JobService:
    """Accepts jobs, returns their state and cancels them.

    Args:
        context: Objects that all tasks of the entry share.
        config: Holds the configuration in force.
        submissions: Stores submitted jobs.
        admission: Refuses jobs that their pool can't serve.
        locator: Finds jobs that are stored.
        counter: Counts waiting jobs.
    """

    def __init__(
        self,
        context: JobEntryContext,
        config: ConfigFollower,
        submissions: SubmissionWriter,
        admission: AdmissionController,
        locator: JobLocator,
        counter: PendingCounter,
    ) -> None:
        self._context = context
        self._config = config
        self._submissions = submissions
        self._admission = admission
        self._locator = locator
        self._pending_counter = counter
        self._cancellations = CancellationWriter(context, locator)
        self._taken_ids = TakenIds(context.store, context.log, locator)

    def admit(self, request: CallerRequest) -> AdmittedRequest | Reply:
        """Finds the queue of a request and checks its key."""
        catalog = self._config.catalog()
        if catalog is None:
            return RetryLater("no configuration yet")
        queue = catalog.route(request.host_header, request.path)
        if queue is None:
            return self._if_view_is_fresh(NoSuchQueue())
        team = catalog.team_of_key(request.key) if request.key else None
        if team is None and not queue.is_open:
            return self._if_view_is_fresh(KeyRefused())
        if not queue.is_open and self._is_view_stale():
            return RetryLater("configuration not confirmed lately")
        subpath = request.path[len(queue.path_prefix) :]
        return AdmittedRequest(catalog, queue, team or NO_TEAM, subpath)

    def submit(
        self,
        request: CallerRequest,
        payload: str,
        steps: tuple[StepSpec, ...],
        recurrence: Recurrence | None,
    ) -> Reply:
        """Stores a job, which then runs exactly once."""
        for _ in range(MAX_CONFIGURATION_CHECKS):
            admitted = self.admit(request)
            if not isinstance(admitted, AdmittedRequest):
                return admitted
            spec = JobSpec(
                id=JobId(admitted.subpath),
                queue=admitted.queue.name,
                team=admitted.team,
                payload=payload,
                steps=steps,
                recurrence=recurrence,
                accepted_ms=wall_ms(),
                max_attempts=admitted.queue.max_attempts,
                terms=admitted.queue.terms,
            )
            known = (
                self._find_unlocated(admitted, spec)
                or self._size_refusal(admitted, spec)
                or self._refusal(admitted, spec)
            )
            if known is not None:
                return known
            outcome = self._store(admitted, spec, request)
            if outcome is SubmissionOutcome.TAKEN:
                taken_by = self._taken_ids.find(spec, admitted.queue.pool)
                if taken_by is not TakenBy.NOTHING:
                    return self._taken_reply(spec, taken_by)
            elif outcome is not SubmissionOutcome.OUTDATED:
                return self._submission_reply(spec, outcome)
            else:
                self._config.refresh()
        return RetryLater("the configuration changes too often")

    def state(self, request: CallerRequest) -> Reply:
        """Returns the state of a job."""
        admitted = self.admit(request)
        if not isinstance(admitted, AdmittedRequest):
            return admitted
        pool, job = admitted.queue.pool, JobId(admitted.subpath)
        recorded = self._read_record(job, pool)
        if recorded is not None:
            return recorded
        found = self._locator.find(job, pool)
        if not isinstance(found, Success):
            return RetryLater(STORE_AWAY)
        located = found.unwrap()
        if located is None or not located.is_stored:
            return NoSuchJob()
        if located.pool != pool:
            recorded = self._read_record(job, located.pool)
            if recorded is not None:
                return recorded
        state = JobState.CANCELLED if located.is_cancelled else JobState.QUEUED
        return JobStateReply(state)

    def cancel(self, request: CallerRequest) -> Reply:
        """Cancels a job; a job that has ended keeps its state."""
        admitted = self.admit(request)
        if not isinstance(admitted, AdmittedRequest):
            return admitted
        outcome = self._cancellations.cancel(
            JobId(admitted.subpath), admitted.queue.pool, request.timeout_s
        )
        match outcome:
            case CancelOutcome.CANCELLED:
                return JobStateReply(JobState.CANCELLED)
            case CancelOutcome.NO_JOB:
                return NoSuchJob()
            case CancelOutcome.TOO_MANY:
                return RetryLater("too many unknown jobs have been cancelled")
            case CancelOutcome.NOT_STORED:
                return RetryLater(STORE_AWAY)
        return OutcomeUnknown("the store did not answer")

    def pending(self, request: CallerRequest) -> Reply:
        """Returns how many jobs of the queue's path have not started."""
        admitted = self.admit(request)
        if not isinstance(admitted, AdmittedRequest):
            return admitted
        counted = self._pending_counter.count(admitted.queue)
        if not isinstance(counted, Success):
            return RetryLater(STORE_AWAY)
        return PendingReply(counted.unwrap())

    def _size_refusal(
        self, admitted: AdmittedRequest, spec: JobSpec
    ) -> Accepted | NeverRun | RetryLater | None:
        """Returns the reply to a job whose record could outgrow a value of the store.

        A former version may have stored such a job, and its caller may ask again.
        """
        limits = RecordLimits(self._context.settings.store.max_value_bytes)
        why = spec_problem(spec, limits)
        if why is None:
            return None
        found = self._locator.find(spec.id, admitted.queue.pool)
        if not isinstance(found, Success):
            return RetryLater(STORE_AWAY)
        self._context.log.event(
            "submit", job=spec.id, queue=spec.queue, outcome="too_large", why=why
        )
        located = found.unwrap()
        is_stored = located is not None and located.is_stored
        return Accepted() if is_stored else NeverRun(why)

    def _refusal(self, admitted: AdmittedRequest, spec: JobSpec) -> RetryLater | None:
        """Returns the refusal of a job; None if it is to be stored.

        Nothing is refused under a configuration that may be outdated.
        """
        if self._is_view_stale():
            return None
        refused = self._admission.refusal(spec, admitted.queue)
        if refused is None:
            return None
        why = f"not stored: the pool is too full for the job ({refused.why})"
        return RetryLater(why, refused.return_s)

    def _store(
        self, admitted: AdmittedRequest, spec: JobSpec, request: CallerRequest
    ) -> SubmissionOutcome:
        submission = Submission(
            admitted.queue.pool, spec, admitted.catalog.store_version
        )
        return self._submissions.submit(submission, request.timeout_s)

    def _submission_reply(self, spec: JobSpec, outcome: SubmissionOutcome) -> Reply:
        self._context.log.event(
            "submit",
            job=spec.id,
            queue=spec.queue,
            team=spec.team,
            outcome=outcome.name.lower(),
        )
        match outcome:
            case SubmissionOutcome.STORED:
                return Accepted()
            case SubmissionOutcome.OTHER_JOB:
                return NeverRun(ID_TAKEN)
            case SubmissionOutcome.NOT_STORED:
                return RetryLater(STORE_AWAY)
        return OutcomeUnknown("the store did not answer")

    def _read_record(self, job: JobId, pool: PoolName) -> Reply | None:
        """Returns the state in a job's record; None if the pool has no such record."""
        read = self._context.store.get(keys.record_key(pool, job))
        if not isinstance(read, Success):
            return RetryLater(STORE_AWAY)
        record = read.unwrap()
        return JobStateReply(_decode_state(record.value)) if record else None

    def _find_unlocated(self, admitted: AdmittedRequest, spec: JobSpec) -> Reply | None:
        """Returns the reply to a job that a former release stored in another pool."""
        found = self._locator.find_unlocated(spec.id, admitted.queue.pool)
        if not isinstance(found, Success):
            return RetryLater(STORE_AWAY)
        located = found.unwrap()
        if located is None:
            return None
        return self._taken_reply(spec, self._taken_ids.compare(spec, located))

    def _taken_reply(self, spec: JobSpec, taken_by: TakenBy) -> Reply:
        self._context.log.event(
            "submit",
            job=spec.id,
            queue=spec.queue,
            outcome=f"id_{taken_by.name.lower()}",
        )
        match taken_by:
            case TakenBy.SAME:
                return Accepted()
            case TakenBy.OTHER:
                return NeverRun(ID_TAKEN)
            case TakenBy.CANCELLATION:
                return NoSuchJob("the job was cancelled before it was submitted")
        return OutcomeUnknown("the store did not answer")

    def _is_view_stale(self) -> bool:
        age_ms = self._config.age_ms()
        limit_ms = self._context.settings.jobs.key_withdrawal_ms * MAX_VIEW_AGE_SHARE
        return age_ms is None or age_ms > limit_ms

    def _if_view_is_fresh(self, reply: Reply) -> Reply:
        """Returns a final refusal only if the view of the configuration is fresh."""
        if self._is_view_stale() and not self._config.refresh():
            return RetryLater("configuration not confirmed lately")
        return reply


def _decode_state(record: bytes) -> JobState:
    try:
        return decode_state(record)
    except msgspec.MsgspecError:
        # The job exists; only its conductor may repair or replace the record.
        return JobState.RUNNING
