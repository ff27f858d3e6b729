"""The request dispatcher: admission, queueing, attempts and outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers.leases import LeaseTracker
from ._admission import admission_refusal
from ._dispatch import AttemptStarter
from ._results import ResultHandler
from ._state import DispatcherState
from .messages import (
    AttemptEnded,
    Cancel,
    Finish,
    RenewLeases,
    SlotsFreed,
    Submit,
    Tick,
)
from .model import NotRun, NotRunReason, Unknown, UnknownReason
from .settings import DispatcherSettings
from .timers import Timer, TimerKind
from .tracked_request import Attempt, Phase, RequestKey, TrackedRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from ..ids import AttemptId, Millis, PoolName, TeamName
    from ..inventory import Host
    from ..workers.registry import WorkerRegistry
    from .counters import DispatcherCounters
    from .messages import DispatcherEffect, DispatcherMessage
    from .model import Outcome, Request, WorkClass
    from .ports import Limits, Shares


class RequestDispatcher:
    """Queues the requests of one entry and dispatches them to backend servers.

    Every submitted request that does not join one in flight gets one ``Finish``.

    Args:
        limits: Units of the teams' upper limits that this entry holds.
        shares: Decides which waiting team gets the next slot.
        rng: Source of randomness for choices and jitter.
        workers: Backend servers of each pool.
        cfg: Settings.
        leases: Worker leases of running tasks.
        attempt_prefix: Makes attempt ids unique among all incarnations of all entries.
    """

    def __init__(
        self,
        *,
        limits: Limits,
        shares: Shares,
        rng: random.Random,
        workers: WorkerRegistry,
        cfg: DispatcherSettings | None = None,
        leases: LeaseTracker | None = None,
        attempt_prefix: str = "a",
    ) -> None:
        self._state = DispatcherState(
            cfg or DispatcherSettings(),
            limits,
            shares,
            rng,
            workers,
            leases or LeaseTracker(),
            attempt_prefix,
        )
        self._starter = AttemptStarter(self._state)
        self._result_handler = ResultHandler(self._state)

    @property
    def counters(self) -> DispatcherCounters:
        """Totals since the dispatcher was created."""
        return self._state.counters

    @property
    def in_flight(self) -> int:
        """Requests that were accepted and have no outcome yet."""
        return len(self._state.in_flight)

    @property
    def open_attempts(self) -> int:
        """Number of attempts without a result, or whose task may still run."""
        return len(self._state.attempts)

    def waiting(self, pool: PoolName, work_class: WorkClass) -> int:
        """Returns how many requests of a class wait for a slot of the pool."""
        return self._state.pool(pool).wait_queue(work_class).size

    def running(self, pool: PoolName) -> int:
        """Returns the slots of the pool that this entry's attempts hold."""
        queues = self._state.pool(pool)
        return queues.urgent_running + queues.patient_running

    def handle(
        self, message: DispatcherMessage, now_ms: Millis
    ) -> list[DispatcherEffect]:
        """Handles a message and returns the effects to carry out, in order.

        Args:
            message: What happened.
            now_ms: Current time on the entry's monotonic clock.
        """
        match message:
            case Submit(request=request):
                self._submit(request, now_ms)
            case AttemptEnded():
                self._end_attempt(message, now_ms)
            case Cancel():
                self._cancel(RequestKey(message.team, message.request_id), now_ms)
            case SlotsFreed():
                self._free_slots(message, now_ms)
            case Tick():
                self._tick(now_ms)
        return self._take_effects()

    def update_hosts(
        self, hosts_by_pool: Mapping[PoolName, Sequence[Host]], now_ms: Millis
    ) -> list[DispatcherEffect]:
        """Replaces the hosts of each pool and returns the effects to carry out."""
        self._state.workers.update(hosts_by_pool, now_ms)
        for pool in list(self._state.pools):
            self._starter.start_waiting(pool, now_ms)
        return self._take_effects()

    def redispatch(self, now_ms: Millis) -> list[DispatcherEffect]:
        """Tries to start all waiting requests after limits or shares have changed."""
        for pool, queues in list(self._state.pools.items()):
            queues.recheck_ms.clear()
            self._starter.start_waiting(pool, now_ms)
        return self._take_effects()

    def waiting_teams(self) -> dict[PoolName, tuple[TeamName, ...]]:
        """Returns the teams that wait for a slot and not for their limit, by pool."""
        found = {}
        for name, queues in self._state.pools.items():
            teams = {*queues.urgent.teams, *queues.patient.teams}
            teams -= queues.recheck_ms.keys()
            if teams:
                found[name] = tuple(sorted(teams))
        return found

    def demand(self) -> dict[TeamName, int]:
        """Returns how many requests of each team wait, over all pools."""
        found: dict[TeamName, int] = {}
        for queues in self._state.pools.values():
            for wait_queue in (queues.urgent, queues.patient):
                for team in wait_queue.teams:
                    found[team] = found.get(team, 0) + wait_queue.waiting(team)
        return found

    def attempts_by_team(self) -> dict[TeamName, list[AttemptId]]:
        """Returns the attempts of each team that hold a slot, oldest first."""
        found: dict[TeamName, list[AttemptId]] = {}
        for attempt_id, attempt in self._state.attempts.items():
            if attempt.holds_slot:
                found.setdefault(attempt.request.team, []).append(attempt_id)
        return found

    def next_wake_ms(self) -> int | None:
        """Returns when the next ``Tick`` is due; None if no timer is set."""
        state = self._state
        times = (
            state.timers.next_due_ms(),
            state.workers.next_wake_ms(),
            state.leases.next_due_ms(),
        )
        return min((when for when in times if when is not None), default=None)

    def _submit(self, req: Request, now_ms: Millis) -> None:
        state = self._state
        key = RequestKey(req.team, req.request_id)
        if key in state.in_flight:
            state.counters.joined += 1
            return
        state.counters.accepted += 1
        refused = admission_refusal(state, req, now_ms)
        if refused is not None:
            state.counters.not_run[refused.reason] += 1
            state.effects.append(Finish(req, refused))
            return
        tracked = TrackedRequest(req, key, now_ms)
        state.in_flight[key] = tracked
        state.timers.add(req.deadline_ms, TimerKind.DEADLINE, tracked)
        state.pool(req.pool).wait_queue(req.work_class).push(tracked)
        self._starter.start_waiting(req.pool, now_ms)

    def _end_attempt(self, message: AttemptEnded, now_ms: Millis) -> None:
        attempt = self._state.attempts.get(message.attempt_id)
        if attempt is None:
            self._state.counters.late_results += 1
            return
        self._result_handler.handle(attempt, message.result, now_ms)
        if message.free_slots is not None:
            worker = attempt.worker
            self._state.workers.record_free_slots(worker, message.free_slots, now_ms)
        self._starter.start_waiting(attempt.request.pool, now_ms)

    def _cancel(self, key: RequestKey, now_ms: Millis) -> None:
        tracked = self._state.in_flight.get(key)
        if tracked is None:
            return
        was_running = tracked.phase is Phase.RUNNING
        cancelled = NotRun(NotRunReason.CANCELLED)
        self._end_without_answer(tracked, cancelled, UnknownReason.CANCELLED, now_ms)
        if was_running:
            self._starter.start_waiting(tracked.request.pool, now_ms)

    def _free_slots(self, message: SlotsFreed, now_ms: Millis) -> None:
        pools = set()
        for attempt_id in message.attempt_ids:
            attempt = self._state.attempts.get(attempt_id)
            if attempt is None or attempt.worker.host.host_id != message.host:
                continue
            pools.add(attempt.request.pool)
            if attempt.tracked is None:
                self._state.close_attempt(attempt, now_ms)
            else:
                self._state.free_slot(attempt, now_ms)
        for pool in sorted(pools):
            self._starter.start_waiting(pool, now_ms)

    def _tick(self, now_ms: Millis) -> None:
        state = self._state
        pools = state.workers.wake(now_ms)
        for attempt_id in state.leases.pop_expired(now_ms):
            pools |= self._expire_lease(attempt_id, now_ms)
        for timer in state.timers.pop_due(now_ms):
            pools.add(self._handle_timer(timer, now_ms))
        for renewal in state.leases.pop_due(now_ms):
            ttl_ms = state.leases.ttl_ms
            state.effects.append(RenewLeases(renewal.host, renewal.attempt_ids, ttl_ms))
        for pool in sorted(pools):
            self._starter.start_waiting(pool, now_ms)

    def _expire_lease(self, attempt_id: AttemptId, now_ms: Millis) -> set[PoolName]:
        attempt = self._state.attempts.get(attempt_id)
        if attempt is None:
            return set()
        self._state.counters.lease_expiries += 1
        self._state.close_attempt(attempt, now_ms)
        return {attempt.request.pool}

    def _handle_timer(self, timer: Timer, now_ms: Millis) -> PoolName:
        subject = timer.subject
        match timer.kind, subject:
            case TimerKind.DEADLINE, TrackedRequest():
                self._pass_deadline(subject, now_ms)
                return subject.request.pool
            case TimerKind.BACKOFF, TrackedRequest():
                self._result_handler.end_backoff(subject)
                return subject.request.pool
            case TimerKind.CHECKPOINT, Attempt():
                queues = self._state.pool(subject.request.pool)
                queues.checkpointing.pop(subject.attempt_id, None)
                return subject.request.pool
            case TimerKind.POOL, str():
                return self._extend_pool_timer(subject, now_ms)
        raise TypeError(f"timer {timer.kind} has subject {type(subject).__name__}")

    def _extend_pool_timer(self, pool: PoolName, now_ms: Millis) -> PoolName:
        """Sets the timer again if a burst is not over.

        Waiting requests of the pool are started in either case.
        """
        until_ms = self._state.pool(pool).burst_until_ms
        if until_ms > now_ms:
            self._state.timers.add(until_ms, TimerKind.POOL, pool)
        return pool

    def _pass_deadline(self, tracked: TrackedRequest, now_ms: Millis) -> None:
        if tracked.phase is Phase.RUNNING:
            self._abandon_running(tracked, UnknownReason.DEADLINE_PASSED, now_ms)
            return
        self._leave_wait_queue(tracked)
        self._starter.expire(tracked, now_ms)

    def _end_without_answer(
        self,
        tracked: TrackedRequest,
        not_run: NotRun,
        unknown: UnknownReason,
        now_ms: Millis,
    ) -> None:
        if tracked.phase is Phase.RUNNING:
            self._abandon_running(tracked, unknown, now_ms)
            return
        self._leave_wait_queue(tracked)
        self._state.finish_without_answer(tracked, not_run, unknown)

    def _abandon_running(
        self, tracked: TrackedRequest, reason: UnknownReason, now_ms: Millis
    ) -> None:
        if tracked.attempt is not None:
            self._state.abandon(tracked.attempt, now_ms)
        outcome: Outcome = Unknown(reason)
        self._state.finish(tracked, outcome)

    def _leave_wait_queue(self, tracked: TrackedRequest) -> None:
        if tracked.phase is Phase.WAITING:
            req = tracked.request
            self._state.pool(req.pool).wait_queue(req.work_class).discard(
                tracked, Phase.DONE
            )

    def _take_effects(self) -> list[DispatcherEffect]:
        effects = self._state.effects
        self._state.effects = []
        return effects
