"""Stores cancellations, also of jobs that are not stored yet."""

from __future__ import annotations

import threading
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..store.contract import Conflicts, EffectUnknown, Put, Transaction
from . import keys
from .clock import steady_ms, wall_ms
from .job_locator import JobLocation

if TYPE_CHECKING:
    from ..domain.ids import PoolName
    from ..domain.jobs.model import JobId
    from .context import JobEntryContext
    from .job_locator import JobLocator, LocatedJob

MAX_TRIES = 3
"""Tries of a write whose outcome is unknown, or that met another one of the job."""

MAX_EARLY = 10_000
"""Most cancellations of unknown jobs that one entry has stored and that are kept, about
3 MB of the store."""

REMOVAL_MARGIN_MS = 60_000
"""Time after the retention until the conductor has removed them."""


class EarlyCancellation(msgspec.Struct, frozen=True):
    """Stored form of a cancellation before its job; others are a wall-clock time.

    Attributes:
        at_ms: Wall-clock time of the cancellation.
    """

    at_ms: int


def early_cancellation_ms(data: bytes) -> int | None:
    """Returns the time of a cancellation before its job; None for any other one."""
    try:
        return msgspec.json.decode(data, type=EarlyCancellation).at_ms
    except msgspec.MsgspecError:
        return None


class CancelOutcome(Enum):
    """Outcome of a cancellation.

    Attributes:
        CANCELLED: The job's cancellation is stored.
        NO_JOB: No job is stored under the id, and none will be.
        NOT_STORED: Nothing was stored.
        TOO_MANY: Nothing was stored, as too many unknown jobs have been cancelled.
        UNKNOWN: The cancellation may be stored, or may still be written.
    """

    CANCELLED = 1
    NO_JOB = 2
    NOT_STORED = 3
    TOO_MANY = 4
    UNKNOWN = 5


class CancellationWriter:
    """Stores cancellations; thread-safe.

    A cancellation of a job that isn't stored takes the job's id, so that a submission
    under way, here or elsewhere, can't store it any more.

    Args:
        context: Objects that all tasks of the entry share.
        locator: Finds jobs that are stored.
    """

    def __init__(self, context: JobEntryContext, locator: JobLocator) -> None:
        self._context = context
        self._locator = locator
        self._lock = threading.Lock()
        self._early_ms: deque[int] = deque()

    def cancel(self, job: JobId, pool: PoolName, timeout_s: float) -> CancelOutcome:
        """Cancels a job.

        Args:
            job: The job.
            pool: Pool that would get the job now.
            timeout_s: Time until which a write is repeated.
        """
        until_ms = steady_ms() + timeout_s * 1_000
        otherwise = CancelOutcome.NOT_STORED
        for _ in range(MAX_TRIES):
            found = self._locator.find(job, pool)
            if not isinstance(found, Success):
                break
            located = found.unwrap()
            if located is not None and located.is_cancelled:
                return _outcome(located)
            if located is None and not self._begin_early():
                self._context.log.event("cancel", job=job, outcome="too_many")
                return CancelOutcome.TOO_MANY
            transaction = _transaction(job, pool, located)
            written = self._context.store.commit(transaction)
            self._context.log.event(
                "cancel", job=job, is_early=located is None, outcome=repr(written)
            )
            if isinstance(written, Success):
                return _outcome(located)
            failure = written.failure()
            if isinstance(failure, EffectUnknown):
                otherwise = CancelOutcome.UNKNOWN
            elif not isinstance(failure, Conflicts):
                break
            if steady_ms() >= until_ms:
                break
        return otherwise

    def _begin_early(self) -> bool:
        """Counts a cancellation of an unknown job; returns False if there are many."""
        kept_s = self._context.settings.jobs.kept_after_end_s
        now_ms = steady_ms()
        with self._lock:
            first_ms = now_ms - kept_s * 1_000 - REMOVAL_MARGIN_MS
            while self._early_ms and self._early_ms[0] < first_ms:
                self._early_ms.popleft()
            if len(self._early_ms) >= MAX_EARLY:
                return False
            self._early_ms.append(now_ms)
            return True


def _outcome(located: LocatedJob | None) -> CancelOutcome:
    is_stored = located is not None and located.is_stored
    return CancelOutcome.CANCELLED if is_stored else CancelOutcome.NO_JOB


def _transaction(job: JobId, pool: PoolName, located: LocatedJob | None) -> Transaction:
    """Returns the write of a cancellation; it fails if the job changes before."""
    if located is not None:
        key = keys.job_key(located.pool, job, keys.CANCEL)
        spec_key = keys.job_key(located.pool, job, keys.SPEC)
        put = Put(key, str(wall_ms()).encode())
        return Transaction(
            expect=((key, 0), (spec_key, located.spec_version)), puts=(put,)
        )
    key, spec_key = (keys.job_key(pool, job, part) for part in (keys.CANCEL, keys.SPEC))
    location = JobLocation(pool=pool, is_cancelled=True)
    return Transaction(
        expect=((keys.location_key(job), 0), (key, 0), (spec_key, 0)),
        puts=(
            Put(keys.location_key(job), msgspec.json.encode(location)),
            Put(key, msgspec.json.encode(EarlyCancellation(wall_ms()))),
        ),
    )
