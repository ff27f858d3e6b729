"""State shared by the parts of the request dispatcher."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .counters import DispatcherCounters
from .messages import Finish, StopTask
from .model import Answered, NotRun, NotRunReason, Unknown, UnknownReason, WorkClass
from .retries import RetryBudget
from .service_times import ServiceTimes
from .timers import Timers
from .tracked_request import Phase
from .wait_queue import WaitQueue

if TYPE_CHECKING:
    import random

    from ..ids import AttemptId, Millis, PoolName, TeamName
    from ..workers.leases import LeaseTracker
    from ..workers.registry import WorkerRegistry
    from .messages import DispatcherEffect
    from .model import Outcome
    from .ports import Limits, Shares
    from .settings import DispatcherSettings
    from .tracked_request import Attempt, RequestKey, TrackedRequest


class PoolQueues:
    """Wait queues, slot counts and retry budget of one pool.

    Attributes:
        name: The pool.
        urgent: Waiting urgent requests.
        patient: Waiting patient requests, queued apart from urgent ones.
        urgent_times: Mean slot time of urgent tasks.
        patient_times: Mean slot time of patient tasks.
        budget: Retry budget.
        urgent_running: Slots held by urgent attempts, including orphans.
        patient_running: The same for patient attempts.
        preemptable: Patient attempts that may be preempted, oldest first.
        checkpointing: Attempts that were requested to checkpoint and still hold
            their slot.
        burst_until_ms: Time before which no patient request starts, since urgent
            requests recently had to queue.
        recheck_ms: When each team that reached its limit is tried again.
    """

    __slots__ = (
        "budget",
        "burst_until_ms",
        "checkpointing",
        "name",
        "patient",
        "patient_running",
        "patient_times",
        "preemptable",
        "recheck_ms",
        "urgent",
        "urgent_running",
        "urgent_times",
    )

    def __init__(self, name: PoolName, cfg: DispatcherSettings) -> None:
        self.name = name
        self.urgent = WaitQueue()
        self.patient = WaitQueue()
        self.urgent_times = ServiceTimes(cfg.first_service_ms(WorkClass.URGENT))
        self.patient_times = ServiceTimes(cfg.first_service_ms(WorkClass.PATIENT))
        self.budget = RetryBudget(cfg)
        self.urgent_running = 0
        self.patient_running = 0
        self.preemptable: dict[AttemptId, Attempt] = {}
        self.checkpointing: dict[AttemptId, Attempt] = {}
        self.burst_until_ms = 0
        self.recheck_ms: dict[TeamName, int] = {}

    def wait_queue(self, work_class: WorkClass) -> WaitQueue:
        """Returns the wait queue of a work class."""
        return self.urgent if work_class is WorkClass.URGENT else self.patient

    def times(self, work_class: WorkClass) -> ServiceTimes:
        """Returns the mean slot time of a work class."""
        if work_class is WorkClass.URGENT:
            return self.urgent_times
        return self.patient_times

    @property
    def non_preemptable_running(self) -> int:
        """Slots held by patient attempts that cannot be preempted."""
        return self.patient_running - len(self.preemptable) - len(self.checkpointing)


class DispatcherState:
    """Requests, attempts and queues of one entry; makes no decisions."""

    def __init__(
        self,
        cfg: DispatcherSettings,
        limits: Limits,
        shares: Shares,
        rng: random.Random,
        workers: WorkerRegistry,
        leases: LeaseTracker,
        attempt_prefix: str,
    ) -> None:
        self.cfg = cfg
        self.limits = limits
        self.shares = shares
        self.rng = rng
        self.workers = workers
        self.leases = leases
        self.attempt_prefix = attempt_prefix
        self.timers = Timers()
        self.counters = DispatcherCounters()
        self.in_flight: dict[RequestKey, TrackedRequest] = {}
        self.attempts: dict[AttemptId, Attempt] = {}
        self.pools: dict[PoolName, PoolQueues] = {}
        self.team_units: Counter[TeamName] = Counter()
        self.effects: list[DispatcherEffect] = []
        self.attempt_count = 0

    def pool(self, name: PoolName) -> PoolQueues:
        """Returns the queues of a pool, which are created when first used."""
        queues = self.pools.get(name)
        if queues is None:
            queues = self.pools[name] = PoolQueues(name, self.cfg)
        return queues

    def finish(self, tracked: TrackedRequest, outcome: Outcome) -> None:
        """Ends a request with its outcome; it must not be in a wait queue."""
        tracked.phase = Phase.DONE
        tracked.attempt = None
        del self.in_flight[tracked.key]
        self.timers.mark_finished()
        self.effects.append(Finish(tracked.request, outcome))
        self._count(outcome)

    def finish_without_answer(
        self,
        tracked: TrackedRequest,
        not_run: NotRun,
        unknown: UnknownReason,
        detail: str = "",
    ) -> None:
        """Ends a request as ``unknown`` if it may have run, else as ``not_run``."""
        if tracked.may_have_run:
            self.finish(tracked, Unknown(unknown, detail))
        else:
            self.finish(tracked, not_run)

    def abandon(self, attempt: Attempt, now_ms: Millis) -> None:
        """Abandons an attempt; its slot is held until its task has certainly ended."""
        attempt.tracked = None
        if not attempt.holds_slot:
            del self.attempts[attempt.attempt_id]
            return
        self.counters.orphans += 1
        self.pool(attempt.request.pool).preemptable.pop(attempt.attempt_id, None)
        host = attempt.worker.host.host_id
        self.leases.abandon(attempt.attempt_id, host, now_ms)
        self.effects.append(StopTask(attempt.attempt_id, host))

    def close_attempt(self, attempt: Attempt, now_ms: Millis) -> None:
        """Removes an attempt whose task has certainly ended and frees its slot."""
        self.attempts.pop(attempt.attempt_id, None)
        self.free_slot(attempt, now_ms)

    def free_slot(self, attempt: Attempt, now_ms: Millis) -> None:
        """Releases the slot and the limit unit of a task that has certainly ended."""
        if not attempt.holds_slot:
            return
        attempt.holds_slot = False
        req = attempt.request
        queues = self.pool(req.pool)
        if req.work_class is WorkClass.URGENT:
            queues.urgent_running -= 1
        else:
            queues.patient_running -= 1
            queues.preemptable.pop(attempt.attempt_id, None)
            queues.checkpointing.pop(attempt.attempt_id, None)
        self.leases.end(attempt.attempt_id, attempt.worker.host.host_id)
        self.workers.release_slot(
            attempt.worker, was_probe=attempt.is_probe, now_ms=now_ms
        )
        self.team_units[req.team] -= 1
        self.limits.release(req.team, now_ms)
        queues.recheck_ms.pop(req.team, None)
        self.shares.record_end(req.pool, req.team, now_ms - attempt.started_ms)

    def retry_after_ms(self, wait_ms: float) -> int:
        """Returns the retry delay to suggest for an expected wait."""
        return max(self.cfg.retry_after_floor_ms, int(wait_ms))

    def no_host_refusal(self, detail: str) -> NotRun:
        """Returns the refusal for a pool without a usable host."""
        return NotRun(NotRunReason.NO_HOST, detail, self.cfg.no_host_retry_ms)

    def _count(self, outcome: Outcome) -> None:
        match outcome:
            case Answered():
                self.counters.answered += 1
            case NotRun(reason=reason):
                self.counters.not_run[reason] += 1
            case Unknown(reason=unknown):
                self.counters.unknown[unknown] += 1
