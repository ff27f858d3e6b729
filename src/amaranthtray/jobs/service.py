"""What callers can ask of jobs, whatever protocol they speak."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import msgspec
from returns.result import Success

from ..domain.ids import TeamName
from ..domain.jobs.catalog import Catalog, JobQueue
from ..domain.jobs.job import JobState
from ..domain.jobs.model import NO_TEAM, JobId, JobSpec
from ..domain.jobs.record import decode_state
from ..store.contract import Conflicts, EffectUnknown, Put, Transaction
from . import keys
from .acceptance import Outcome, Submission
from .clock import wall_ms
from .ledger import decode_ledger

if TYPE_CHECKING:
    from ..domain.jobs.model import Recurrence, StepSpec
    from .acceptance import Acceptance
    from .config_follower import ConfigFollower
    from .context import Context

STALE_VIEW_SHARE = 0.4
"""Part of the time for withdrawing a key after which the view no longer counts."""

RETRY_AFTER_S = 1
"""A store that is away or spent is asked again after this."""

OUTDATED_TRIES = 4
"""Times that a submission is checked anew because the configuration changed."""


@dataclass(frozen=True, slots=True)
class Call:
    """Who asks for what.

    Attributes:
        host_header: Host that the caller named.
        path: Path of the call.
        key: Key that came with it, if any.
        timeout_s: Time that the caller waits.
    """

    host_header: str
    path: str
    key: str | None
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclass(frozen=True, slots=True)
class StateIs:
    """The state of a job."""

    state: JobState


@dataclass(frozen=True, slots=True)
class PendingIs:
    """Jobs of a queue that have not begun."""

    count: int


@dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """No queue takes the path."""


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No such job is known."""


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key opens nothing."""


@dataclass(frozen=True, slots=True)
class NotTaken:
    """Nothing was done; it may be tried again later."""

    why: str
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Unclear:
    """It may have been done."""

    why: str


Reply: TypeAlias = (
    Accepted
    | StateIs
    | PendingIs
    | NoSuchQueue
    | NoSuchJob
    | KeyRefused
    | NotTaken
    | Unclear
)


@dataclass(frozen=True, slots=True)
class Admitted:
    """A call that may go on.

    Attributes:
        catalog: Configuration that allowed it.
        queue: Its queue.
        team: Its team.
        rest: What follows the queue's prefix in the path.
    """

    catalog: Catalog
    queue: JobQueue
    team: TeamName
    rest: str


class JobService:
    """Takes jobs, tells their state and cancels them.

    Args:
        context: What all tasks of the entry share.
        config: Follows the configuration.
        acceptance: Stores jobs.
    """

    def __init__(
        self, context: Context, config: ConfigFollower, acceptance: Acceptance
    ) -> None:
        self._context = context
        self._config = config
        self._acceptance = acceptance

    def admit(self, call: Call) -> Admitted | Reply:
        """Finds a call's queue and checks its key."""
        catalog = self._config.catalog()
        if catalog is None:
            return NotTaken("no configuration yet")
        queue = catalog.route(call.host_header, call.path)
        if queue is None:
            return self._unless_stale(NoSuchQueue())
        team = catalog.team_of_key(call.key) if call.key else None
        if team is None and not queue.is_open:
            return self._unless_stale(KeyRefused())
        if not queue.is_open and self._is_stale():
            return NotTaken("configuration not confirmed lately")
        rest = call.path[len(queue.path_prefix) :]
        return Admitted(catalog, queue, team or NO_TEAM, rest)

    def submit(
        self,
        call: Call,
        payload: str,
        steps: tuple[StepSpec, ...],
        recurrence: Recurrence | None,
    ) -> Reply:
        """Stores a job, which then runs exactly once."""
        for _ in range(OUTDATED_TRIES):
            admitted = self.admit(call)
            if not isinstance(admitted, Admitted):
                return admitted
            spec = JobSpec(
                id=JobId(admitted.rest),
                queue=admitted.queue.name,
                team=admitted.team,
                payload=payload,
                steps=steps,
                recurrence=recurrence,
                accepted_ms=wall_ms(),
                max_attempts=admitted.queue.max_attempts,
            )
            outcome = self._store(admitted, spec, call)
            if outcome is not Outcome.OUTDATED:
                return self._submitted(spec, outcome)
            self._config.refresh()
        return NotTaken("the configuration changes too often")

    def state(self, call: Call) -> Reply:
        """Tells the state of a job."""
        admitted = self.admit(call)
        if not isinstance(admitted, Admitted):
            return admitted
        pool, job = admitted.queue.pool, JobId(admitted.rest)
        read = self._context.store.get(keys.record_key(pool, job))
        if not isinstance(read, Success):
            return NotTaken("the store is away")
        record = read.unwrap()
        if record is not None:
            return StateIs(_state_of(record.value))
        parts = self._read(admitted)
        if isinstance(parts, NotTaken):
            return parts
        if keys.SPEC not in parts:
            return NoSuchJob()
        is_cancelled = keys.CANCEL in parts
        return StateIs(JobState.CANCELLED if is_cancelled else JobState.QUEUED)

    def cancel(self, call: Call) -> Reply:
        """Cancels a job; a job that is over stays as it is."""
        admitted = self.admit(call)
        if not isinstance(admitted, Admitted):
            return admitted
        parts = self._read(admitted)
        if isinstance(parts, NotTaken):
            return parts
        if keys.SPEC not in parts:
            return NoSuchJob()
        job = JobId(admitted.rest)
        if keys.CANCEL in parts:
            return StateIs(JobState.CANCELLED)
        key = keys.job_key(admitted.queue.pool, job, keys.CANCEL)
        put = Put(key, str(wall_ms()).encode())
        written = self._context.store.commit(
            Transaction(expect=((key, 0),), puts=(put,))
        )
        self._context.log.event("cancel", job=job, outcome=repr(written))
        if isinstance(written, Success) or isinstance(written.failure(), Conflicts):
            return StateIs(JobState.CANCELLED)
        if isinstance(written.failure(), EffectUnknown):
            return Unclear("the store did not answer")
        return NotTaken("the store is away")

    def pending(self, call: Call) -> Reply:
        """Tells how many jobs of a queue have not begun."""
        admitted = self.admit(call)
        if not isinstance(admitted, Admitted):
            return admitted
        read = self._context.store.get(keys.ledger_key(admitted.queue.pool))
        if not isinstance(read, Success):
            return NotTaken("the store is away")
        found = read.unwrap()
        if found is None:
            return PendingIs(0)
        ledger = decode_ledger(found.value)
        return PendingIs(ledger.pending.get(admitted.queue.name, 0))

    def _store(self, admitted: Admitted, spec: JobSpec, call: Call) -> Outcome:
        submission = Submission(
            admitted.queue.pool, spec, admitted.catalog.store_version
        )
        return self._acceptance.submit(submission, call.timeout_s)

    def _submitted(self, spec: JobSpec, outcome: Outcome) -> Reply:
        self._context.log.event(
            "submit",
            job=spec.id,
            queue=spec.queue,
            team=spec.team,
            outcome=outcome.name.lower(),
        )
        match outcome:
            case Outcome.STORED:
                return Accepted()
            case Outcome.NOT_STORED:
                return NotTaken("the store is away")
        return Unclear("the store did not answer")

    def _read(self, admitted: Admitted) -> dict[str, bytes] | NotTaken:
        prefix = keys.job_prefix(admitted.queue.pool, JobId(admitted.rest))
        listed = self._context.store.list(prefix)
        if not isinstance(listed, Success):
            return NotTaken("the store is away")
        return {
            item.key.removeprefix(prefix): item.value for item in listed.unwrap().items
        }

    def _is_stale(self) -> bool:
        age_ms = self._config.age_ms()
        limit_ms = self._context.settings.jobs.key_withdrawal_ms * STALE_VIEW_SHARE
        return age_ms is None or age_ms > limit_ms

    def _unless_stale(self, reply: Reply) -> Reply:
        """Refuses for good only by a view that is surely new."""
        if self._is_stale() and not self._config.refresh():
            return NotTaken("configuration not confirmed lately")
        return reply


def _state_of(record: bytes) -> JobState:
    try:
        return decode_state(record)
    except msgspec.MsgspecError:
        # The job exists; its conductor is the one to mend or replace the record.
        return JobState.RUNNING
