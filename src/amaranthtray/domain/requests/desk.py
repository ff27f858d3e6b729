"""The request desk of one entry: admission, queueing, attempts and outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers.leases import LeaseTracker
from ._admission import refusal
from ._dispatch import Dispatcher
from ._results import Results
from ._state import DeskState
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
from .settings import DeskSettings
from .timers import Timer, TimerKind
from .tracked import Attempt, Phase, RequestKey, Tracked

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from ..ids import AttemptId, Millis, PoolName, TeamName
    from ..inventory import Host
    from ..workers.registry import WorkerRegistry
    from .counters import DeskCounters
    from .messages import DeskEffect, DeskMessage
    from .model import Outcome, Request, WorkClass
    from .ports import Limits, Shares


class RequestDesk:
    """Decides what becomes of each request; every accepted one gets one ``Finish``.

    Args:
        limits: Units of the teams' upper limits that this entry holds.
        shares: Order among waiting teams.
        rng: Random source of choices and jitter.
        workers: Hosts of each pool.
        cfg: Bounds.
        leases: Worker leases of running tasks.
        attempt_prefix: Makes attempt ids unique over entries and their runs.
    """

    def __init__(
        self,
        *,
        limits: Limits,
        shares: Shares,
        rng: random.Random,
        workers: WorkerRegistry,
        cfg: DeskSettings | None = None,
        leases: LeaseTracker | None = None,
        attempt_prefix: str = "a",
    ) -> None:
        self._state = DeskState(
            cfg or DeskSettings(),
            limits,
            shares,
            rng,
            workers,
            leases or LeaseTracker(),
            attempt_prefix,
        )
        self._dispatcher = Dispatcher(self._state)
        self._results = Results(self._state)

    @property
    def counters(self) -> DeskCounters:
        """Totals since the start."""
        return self._state.counters

    @property
    def in_flight(self) -> int:
        """Requests that were accepted and have no outcome yet."""
        return len(self._state.tracked)

    @property
    def held_attempts(self) -> int:
        """Attempts that are under way or may still run."""
        return len(self._state.attempts)

    def waiting(self, pool: PoolName, work_class: WorkClass) -> int:
        """Returns how many requests of a class wait for a slot of the pool."""
        return self._state.pool(pool).line(work_class).size

    def running(self, pool: PoolName) -> int:
        """Returns the slots of the pool that this entry's attempts hold."""
        queue = self._state.pool(pool)
        return queue.urgent_running + queue.patient_running

    def handle(self, message: DeskMessage, now_ms: Millis) -> list[DeskEffect]:
        """Takes one message and returns what to do, in order.

        Args:
            message: What happened.
            now_ms: Now, on the entry's monotonic clock; it never goes back.
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
    ) -> list[DeskEffect]:
        """Takes over the hosts of each pool and returns what to do."""
        self._state.book.update(hosts_by_pool, now_ms)
        for pool in list(self._state.pools):
            self._dispatcher.pump(pool, now_ms)
        return self._take_effects()

    def reconsider(self, now_ms: Millis) -> list[DeskEffect]:
        """Looks again at all that wait, after limits or shares have changed."""
        for pool, queue in list(self._state.pools.items()):
            queue.recheck_ms.clear()
            self._dispatcher.pump(pool, now_ms)
        return self._take_effects()

    def waiting_teams(self) -> dict[PoolName, tuple[TeamName, ...]]:
        """Returns the teams that wait for a slot, of each pool that has any."""
        found = {}
        for name, queue in self._state.pools.items():
            teams = {*queue.urgent.teams, *queue.patient.teams}
            teams -= queue.recheck_ms.keys()
            if teams:
                found[name] = tuple(sorted(teams))
        return found

    def demand(self) -> dict[TeamName, int]:
        """Returns how many requests of each team wait, over all pools."""
        found: dict[TeamName, int] = {}
        for queue in self._state.pools.values():
            for line in (queue.urgent, queue.patient):
                for team in line.teams:
                    found[team] = found.get(team, 0) + line.waiting(team)
        return found

    def attempts_by_team(self) -> dict[TeamName, list[AttemptId]]:
        """Returns the attempts that may be running, oldest first, of each team."""
        found: dict[TeamName, list[AttemptId]] = {}
        for attempt_id, attempt in self._state.attempts.items():
            if attempt.holds_slot:
                found.setdefault(attempt.request.team, []).append(attempt_id)
        return found

    def next_wake_ms(self) -> int | None:
        """Returns when the next ``Tick`` is due; none while nothing is timed."""
        state = self._state
        times = (
            state.timers.next_ms(),
            state.book.next_wake_ms(),
            state.leases.next_due_ms(),
        )
        return min((when for when in times if when is not None), default=None)

    def _submit(self, req: Request, now_ms: Millis) -> None:
        state = self._state
        key = RequestKey(req.team, req.request_id)
        if key in state.tracked:
            state.counters.joined += 1
            return
        state.counters.accepted += 1
        refused = refusal(state, req, now_ms)
        if refused is not None:
            state.counters.not_run[refused.reason] += 1
            state.effects.append(Finish(req, refused))
            return
        item = Tracked(req, key, now_ms)
        state.tracked[key] = item
        state.timers.add(req.deadline_ms, TimerKind.DEADLINE, item)
        state.pool(req.pool).line(req.work_class).push(item)
        self._dispatcher.pump(req.pool, now_ms)

    def _end_attempt(self, message: AttemptEnded, now_ms: Millis) -> None:
        attempt = self._state.attempts.get(message.attempt_id)
        if attempt is None:
            self._state.counters.late_results += 1
            return
        self._results.end(attempt, message.result, now_ms)
        if message.free_slots is not None:
            worker = attempt.worker
            self._state.book.record_free_slots(worker, message.free_slots, now_ms)
        self._dispatcher.pump(attempt.request.pool, now_ms)

    def _cancel(self, key: RequestKey, now_ms: Millis) -> None:
        item = self._state.tracked.get(key)
        if item is None:
            return
        was_running = item.phase is Phase.RUNNING
        cancelled = NotRun(NotRunReason.CANCELLED)
        self._end_without_answer(item, cancelled, UnknownReason.CANCELLED, now_ms)
        if was_running:
            self._dispatcher.pump(item.request.pool, now_ms)

    def _free_slots(self, message: SlotsFreed, now_ms: Millis) -> None:
        pools = set()
        for attempt_id in message.attempt_ids:
            attempt = self._state.attempts.get(attempt_id)
            if attempt is None or attempt.worker.host.host_id != message.host:
                continue
            pools.add(attempt.request.pool)
            if attempt.tracked is None:
                self._state.release(attempt, now_ms)
            else:
                self._state.free_slot(attempt, now_ms)
        for pool in sorted(pools):
            self._dispatcher.pump(pool, now_ms)

    def _tick(self, now_ms: Millis) -> None:
        state = self._state
        pools = state.book.wake(now_ms)
        for attempt_id in state.leases.pop_expired(now_ms):
            pools |= self._lapse(attempt_id, now_ms)
        for timer in state.timers.due(now_ms):
            pools.add(self._fire(timer, now_ms))
        for renewal in state.leases.pop_due(now_ms):
            ttl_ms = state.leases.ttl_ms
            state.effects.append(RenewLeases(renewal.host, renewal.attempt_ids, ttl_ms))
        for pool in sorted(pools):
            self._dispatcher.pump(pool, now_ms)

    def _lapse(self, attempt_id: AttemptId, now_ms: Millis) -> set[PoolName]:
        attempt = self._state.attempts.get(attempt_id)
        if attempt is None:
            return set()
        self._state.counters.lapses += 1
        self._state.release(attempt, now_ms)
        return {attempt.request.pool}

    def _fire(self, timer: Timer, now_ms: Millis) -> PoolName:
        subject = timer.subject
        match timer.kind, subject:
            case TimerKind.DEADLINE, Tracked():
                self._pass_deadline(subject, now_ms)
                return subject.request.pool
            case TimerKind.BACKOFF, Tracked():
                self._results.back_off_ended(subject)
                return subject.request.pool
            case TimerKind.CHECKPOINT, Attempt():
                queue = self._state.pool(subject.request.pool)
                queue.making_room.pop(subject.attempt_id, None)
                return subject.request.pool
            case TimerKind.POOL, str():
                return self._look_again(subject, now_ms)
        raise TypeError(f"timer {timer.kind} of {type(subject).__name__}")

    def _look_again(self, pool: PoolName, now_ms: Millis) -> PoolName:
        """Keeps a timer while a burst is not over; the pool is pumped anyway."""
        until_ms = self._state.pool(pool).burst_until_ms
        if until_ms > now_ms:
            self._state.timers.add(until_ms, TimerKind.POOL, pool)
        return pool

    def _pass_deadline(self, item: Tracked, now_ms: Millis) -> None:
        if item.phase is Phase.RUNNING:
            self._abandon_running(item, UnknownReason.DEADLINE_PASSED, now_ms)
            return
        self._leave_line(item)
        self._dispatcher.expire(item, now_ms)

    def _end_without_answer(
        self, item: Tracked, not_run: NotRun, unknown: UnknownReason, now_ms: Millis
    ) -> None:
        if item.phase is Phase.RUNNING:
            self._abandon_running(item, unknown, now_ms)
            return
        self._leave_line(item)
        self._state.give_up(item, not_run, unknown)

    def _abandon_running(
        self, item: Tracked, reason: UnknownReason, now_ms: Millis
    ) -> None:
        if item.attempt is not None:
            self._state.abandon(item.attempt, now_ms)
        outcome: Outcome = Unknown(reason)
        self._state.finish(item, outcome)

    def _leave_line(self, item: Tracked) -> None:
        if item.phase is Phase.WAITING:
            req = item.request
            self._state.pool(req.pool).line(req.work_class).discard(item, Phase.DONE)

    def _take_effects(self) -> list[DeskEffect]:
        effects = self._state.effects
        self._state.effects = []
        return effects
