"""State that the parts of the request desk share."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .counters import DeskCounters
from .line import Line
from .messages import Finish, StopTask
from .model import Answered, NotRun, NotRunReason, Unknown, UnknownReason, WorkClass
from .retries import RetryBudget
from .timers import Timers
from .tracked import Phase
from .waits import ServiceTimes

if TYPE_CHECKING:
    import random

    from ..ids import AttemptId, Millis, PoolName, TeamName
    from ..workers.leases import LeaseTracker
    from ..workers.registry import WorkerRegistry
    from .messages import DeskEffect
    from .model import Outcome
    from .ports import Limits, Shares
    from .settings import DeskSettings
    from .tracked import Attempt, RequestKey, Tracked


class PoolQueue:
    """Everything the desk holds for one pool.

    Attributes:
        name: The pool.
        urgent: Waiting urgent work.
        patient: Waiting patient work; shares no queue with urgent work.
        urgent_times: Measured slot times of urgent work.
        patient_times: Measured slot times of patient work.
        budget: Retry budget.
        urgent_running: Slots held by urgent attempts, orphans included.
        patient_running: The same for patient attempts.
        preemptable: Patient attempts that may be asked to make room, oldest first.
        making_room: Attempts that were asked and hold their slot still.
        burst_until_ms: Until when patient work starts on no slot, since urgent
            work queued a moment ago.
        recheck_ms: When teams that reached their limit are tried again.
    """

    __slots__ = (
        "budget",
        "burst_until_ms",
        "making_room",
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

    def __init__(self, name: PoolName, cfg: DeskSettings) -> None:
        self.name = name
        self.urgent = Line()
        self.patient = Line()
        self.urgent_times = ServiceTimes(cfg.first_service_ms(WorkClass.URGENT))
        self.patient_times = ServiceTimes(cfg.first_service_ms(WorkClass.PATIENT))
        self.budget = RetryBudget(cfg)
        self.urgent_running = 0
        self.patient_running = 0
        self.preemptable: dict[AttemptId, Attempt] = {}
        self.making_room: dict[AttemptId, Attempt] = {}
        self.burst_until_ms = 0
        self.recheck_ms: dict[TeamName, int] = {}

    def line(self, work_class: WorkClass) -> Line:
        """Returns the line of a class."""
        return self.urgent if work_class is WorkClass.URGENT else self.patient

    def times(self, work_class: WorkClass) -> ServiceTimes:
        """Returns the measured slot times of a class."""
        if work_class is WorkClass.URGENT:
            return self.urgent_times
        return self.patient_times

    @property
    def fixed_running(self) -> int:
        """Patient slots that cannot be asked to make room."""
        return self.patient_running - len(self.preemptable) - len(self.making_room)


class DeskState:
    """Requests, attempts, lines and what they share; no decision is made here."""

    def __init__(
        self,
        cfg: DeskSettings,
        limits: Limits,
        shares: Shares,
        rng: random.Random,
        book: WorkerRegistry,
        leases: LeaseTracker,
        attempt_prefix: str,
    ) -> None:
        self.cfg = cfg
        self.limits = limits
        self.shares = shares
        self.rng = rng
        self.book = book
        self.leases = leases
        self.attempt_prefix = attempt_prefix
        self.timers = Timers()
        self.counters = DeskCounters()
        self.tracked: dict[RequestKey, Tracked] = {}
        self.attempts: dict[AttemptId, Attempt] = {}
        self.pools: dict[PoolName, PoolQueue] = {}
        self.units: Counter[TeamName] = Counter()
        self.effects: list[DeskEffect] = []
        self.attempt_count = 0

    def pool(self, name: PoolName) -> PoolQueue:
        """Returns the queue of a pool, empty at first."""
        queue = self.pools.get(name)
        if queue is None:
            queue = self.pools[name] = PoolQueue(name, self.cfg)
        return queue

    def finish(self, item: Tracked, outcome: Outcome) -> None:
        """Ends a request with its one outcome; it must not stand in a line."""
        item.phase = Phase.DONE
        item.attempt = None
        del self.tracked[item.key]
        self.timers.note_finished()
        self.effects.append(Finish(item.request, outcome))
        self._count(outcome)

    def give_up(
        self, item: Tracked, not_run: NotRun, unknown: UnknownReason, detail: str = ""
    ) -> None:
        """Ends a request without an answer, as not run only if that is true."""
        if item.may_have_run:
            self.finish(item, Unknown(unknown, detail))
        else:
            self.finish(item, not_run)

    def abandon(self, attempt: Attempt, now_ms: Millis) -> None:
        """Stops waiting for an attempt; its slot stays taken until freed for sure."""
        attempt.tracked = None
        if not attempt.holds_slot:
            del self.attempts[attempt.attempt_id]
            return
        self.counters.orphans += 1
        self.pool(attempt.request.pool).preemptable.pop(attempt.attempt_id, None)
        host = attempt.worker.host.host_id
        self.leases.abandon(attempt.attempt_id, host, now_ms)
        self.effects.append(StopTask(attempt.attempt_id, host))

    def release(self, attempt: Attempt, now_ms: Millis) -> None:
        """Forgets an attempt whose task is over for sure and frees its slot."""
        self.attempts.pop(attempt.attempt_id, None)
        self.free_slot(attempt, now_ms)

    def free_slot(self, attempt: Attempt, now_ms: Millis) -> None:
        """Returns the slot and the limit unit of a task that is over for sure."""
        if not attempt.holds_slot:
            return
        attempt.holds_slot = False
        req = attempt.request
        queue = self.pool(req.pool)
        if req.work_class is WorkClass.URGENT:
            queue.urgent_running -= 1
        else:
            queue.patient_running -= 1
            queue.preemptable.pop(attempt.attempt_id, None)
            queue.making_room.pop(attempt.attempt_id, None)
        self.leases.end(attempt.attempt_id, attempt.worker.host.host_id)
        self.book.release_slot(
            attempt.worker, was_probe=attempt.is_probe, now_ms=now_ms
        )
        self.units[req.team] -= 1
        self.limits.give_back(req.team, now_ms)
        queue.recheck_ms.pop(req.team, None)
        self.shares.ended(req.pool, req.team, now_ms - attempt.started_ms)

    def retry_after_ms(self, wait_ms: float) -> int:
        """Returns the advice to come back after ``wait_ms``."""
        return max(self.cfg.retry_after_floor_ms, int(wait_ms))

    def no_host(self, detail: str) -> NotRun:
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
