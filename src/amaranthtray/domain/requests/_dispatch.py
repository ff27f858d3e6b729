"""Starts waiting requests on open slots, urgent work first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ids import AttemptId, Millis
from .messages import CheckpointTask, StartAttempt
from .model import NotRun, NotRunReason, UnknownReason, WorkClass
from .timers import TimerKind
from .tracked import Attempt, Phase

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import PoolName, TeamName
    from ..workers.worker import Worker
    from ._state import DeskState, PoolQueue
    from .line import Line
    from .tracked import Tracked

BURST_WAITING = 2
"""Waiting urgent requests that show a burst."""


class Dispatcher:
    """Matches waiting requests with open slots.

    Args:
        state: State of the desk.
    """

    def __init__(self, state: DeskState) -> None:
        self._state = state

    def pump(self, pool: PoolName, now_ms: Millis) -> None:
        """Starts what can start in a pool, then asks patient tasks to make room."""
        queue = self._state.pools.get(pool)
        if queue is None:
            return
        if queue.urgent.size:
            self._drain(queue, queue.urgent, now_ms)
        if queue.urgent.size >= BURST_WAITING:
            self._note_burst(queue, now_ms)
        if queue.patient.size and queue.burst_until_ms <= now_ms:
            self._drain(queue, queue.patient, now_ms)
        if queue.urgent.size and queue.preemptable:
            self._make_room(queue, now_ms)

    def _note_burst(self, queue: PoolQueue, now_ms: Millis) -> None:
        """Keeps slots that urgent work leaves for the urgent work that follows."""
        hold_ms = self._state.cfg.burst_hold_ms
        if not hold_ms:
            return
        if queue.burst_until_ms <= now_ms:
            self._state.timers.add(now_ms + hold_ms, TimerKind.POOL, queue.name)
        queue.burst_until_ms = now_ms + hold_ms

    def expire(self, item: Tracked, now_ms: Millis) -> None:
        """Ends a request that does not run at its deadline."""
        queue = self._state.pool(item.request.pool)
        self._state.give_up(
            item, self._why_late(queue, item, now_ms), UnknownReason.DEADLINE_PASSED
        )

    def _drain(self, queue: PoolQueue, line: Line, now_ms: Millis) -> None:
        is_patient = line is queue.patient
        skipped = self._at_limit(queue, line, now_ms)
        while line.size and self._state.book.available_slots(queue.name) > 0:
            teams: Collection[TeamName] = line.teams
            if skipped:
                teams = [team for team in teams if team not in skipped]
            team = self._state.shares.pick(queue.name, teams, now_ms)
            if team is None:
                return
            item = line.head(team)
            is_crowded = line.waiting(team) > 1
            if self._is_too_late(queue, item, now_ms, is_crowded=is_crowded):
                line.pop(team)
                self.expire(item, now_ms)
            elif (
                is_patient and not self._has_room(queue, item)
            ) or not self._try_start(queue, line, item, now_ms):
                skipped.add(team)

    def _is_too_late(
        self, queue: PoolQueue, item: Tracked, now_ms: Millis, *, is_crowded: bool
    ) -> bool:
        """Returns whether a request that had to wait is unlikely to end in time."""
        left_ms = item.request.deadline_ms - now_ms
        if item.queued_ms >= now_ms or left_ms <= 0:
            return left_ms <= 0
        mean_ms = queue.times(item.request.work_class).mean_ms
        cfg = self._state.cfg
        share = cfg.crowded_time_share if is_crowded else cfg.least_time_share
        return left_ms < mean_ms * share

    def _at_limit(self, queue: PoolQueue, line: Line, now_ms: Millis) -> set[TeamName]:
        if not queue.recheck_ms:
            return set()
        waits = queue.recheck_ms
        return {team for team in line.teams if waits.get(team, now_ms) > now_ms}

    def _has_room(self, queue: PoolQueue, item: Tracked) -> bool:
        """Returns whether a patient request may take a slot from urgent work."""
        book = self._state.book
        cfg = self._state.cfg
        reserve = book.total_slots(queue.name) * cfg.reserve_share
        if reserve and book.available_slots(queue.name) <= reserve:
            return False
        if item.is_preemptable or not cfg.checkpoints_patient:
            return True
        fixed = max(1.0, book.fair_slots(queue.name) * cfg.fixed_patient_share)
        return queue.fixed_running < fixed

    def _try_start(
        self, queue: PoolQueue, line: Line, item: Tracked, now_ms: Millis
    ) -> bool:
        state = self._state
        team = item.key.team
        worker = state.book.choose(item.request, item.failed_on, now_ms)
        if worker is None:
            return False
        if not state.limits.try_take(team, now_ms):
            self._wait_for_limit(queue, team, now_ms)
            return False
        line.pop(team)
        self._start(queue, item, worker, now_ms)
        return True

    def _wait_for_limit(self, queue: PoolQueue, team: TeamName, now_ms: Millis) -> None:
        state = self._state
        waiting = queue.urgent.waiting(team) + queue.patient.waiting(team)
        state.limits.note_demand(team, waiting, now_ms)
        recheck_ms = now_ms + state.cfg.limit_recheck_ms
        if queue.recheck_ms.get(team, 0) <= now_ms:
            state.timers.add(recheck_ms, TimerKind.POOL, queue.name)
        queue.recheck_ms[team] = recheck_ms

    def _start(
        self, queue: PoolQueue, item: Tracked, worker: Worker, now_ms: Millis
    ) -> None:
        state = self._state
        req = item.request
        state.attempt_count += 1
        attempt_id = AttemptId(f"{state.attempt_prefix}-{state.attempt_count}")
        attempt = Attempt(attempt_id, item, req, worker, now_ms)
        attempt.is_probe = state.book.acquire_slot(worker, now_ms)
        state.attempts[attempt_id] = attempt
        state.units[req.team] += 1
        item.attempt = attempt
        item.phase = Phase.RUNNING
        if req.work_class is WorkClass.URGENT:
            queue.urgent_running += 1
        else:
            queue.patient_running += 1
            if item.is_preemptable and item.checkpoints < state.cfg.max_checkpoints:
                queue.preemptable[attempt_id] = attempt
        queue.recheck_ms.pop(item.key.team, None)
        state.leases.start(attempt_id, worker.host.host_id, now_ms)
        state.shares.started(queue.name, item.key.team, now_ms)
        if item.retries == 0 and item.moves == 0:
            queue.budget.note_fresh_attempt()
        state.counters.started += 1
        state.effects.append(self._start_effect(item, attempt, now_ms))

    def _start_effect(
        self, item: Tracked, attempt: Attempt, now_ms: Millis
    ) -> StartAttempt:
        state = self._state
        req = item.request
        give_up_ms: int = req.deadline_ms
        if req.repeatable:
            give_up_ms = min(give_up_ms, now_ms + state.cfg.attempt_ms(req.work_class))
        send_by_ms = min(now_ms + state.cfg.send_within_ms, req.deadline_ms)
        return StartAttempt(
            req,
            attempt.attempt_id,
            attempt.worker.host.host_id,
            Millis(give_up_ms),
            Millis(send_by_ms),
            item.resumes,
            state.leases.ttl_ms,
        )

    def _make_room(self, queue: PoolQueue, now_ms: Millis) -> None:
        """Asks as many patient tasks to checkpoint as urgent requests wait for."""
        state = self._state
        if not state.cfg.checkpoints_patient:
            return
        at_limit = self._at_limit(queue, queue.urgent, now_ms)
        for team in at_limit:
            self._make_room_in_team(queue, team, now_ms)
        limited = sum(queue.urgent.waiting(team) for team in at_limit)
        wanted = queue.urgent.size - limited - len(queue.making_room)
        while wanted > 0 and queue.preemptable:
            _, attempt = queue.preemptable.popitem()
            self._ask_checkpoint(queue, attempt, now_ms)
            wanted -= 1

    def _make_room_in_team(
        self, queue: PoolQueue, team: TeamName, now_ms: Millis
    ) -> None:
        """Lets a team's urgent work have the limit units of its patient work."""
        asked = sum(att.request.team == team for att in queue.making_room.values())
        wanted = queue.urgent.waiting(team) - asked
        own = [att for att in queue.preemptable.values() if att.request.team == team]
        for attempt in own[-wanted:] if wanted > 0 else []:
            del queue.preemptable[attempt.attempt_id]
            self._ask_checkpoint(queue, attempt, now_ms)

    def _ask_checkpoint(
        self, queue: PoolQueue, attempt: Attempt, now_ms: Millis
    ) -> None:
        state = self._state
        attempt.checkpoint_asked = True
        queue.making_room[attempt.attempt_id] = attempt
        state.counters.checkpoints += 1
        timeout_ms = now_ms + state.cfg.checkpoint_timeout_ms
        state.timers.add(timeout_ms, TimerKind.CHECKPOINT, attempt)
        host = attempt.worker.host.host_id
        state.effects.append(CheckpointTask(attempt.attempt_id, host))

    def _why_late(self, queue: PoolQueue, item: Tracked, now_ms: Millis) -> NotRun:
        state = self._state
        if not state.book.has_hosts(queue.name):
            return state.no_host("no live host until the deadline")
        if queue.recheck_ms.get(item.key.team, 0) >= now_ms:
            detail = "the team was at its limit until the deadline"
            return NotRun(
                NotRunReason.LIMIT_REACHED, detail, state.cfg.retry_after_floor_ms
            )
        times = queue.times(item.request.work_class)
        retry_after_ms = state.retry_after_ms(times.mean_ms)
        detail = "no slot before the deadline"
        return NotRun(NotRunReason.DEADLINE_TOO_CLOSE, detail, retry_after_ms)
