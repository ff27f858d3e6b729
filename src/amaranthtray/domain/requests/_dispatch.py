"""Starts attempts for waiting requests, urgent ones first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ids import AttemptId, Millis
from .messages import CheckpointTask, StartAttempt
from .model import NotRun, NotRunReason, UnknownReason, WorkClass
from .timers import TimerKind
from .tracked_request import Attempt, Phase

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import PoolName, TeamName
    from ..workers.worker import Worker
    from ._state import DispatcherState, PoolQueues
    from .tracked_request import TrackedRequest
    from .wait_queue import WaitQueue

BURST_WAITING = 2
"""Number of waiting urgent requests that counts as a burst."""


class AttemptStarter:
    """Starts attempts for waiting requests on available slots.

    Args:
        state: State of the request dispatcher.
    """

    def __init__(self, state: DispatcherState) -> None:
        self._state = state

    def start_waiting(self, pool: PoolName, now_ms: Millis) -> None:
        """Starts all requests of a pool that can start, then preempts patient tasks."""
        queues = self._state.pools.get(pool)
        if queues is None:
            return
        if queues.urgent.size:
            self._start_from(queues, queues.urgent, now_ms)
        if queues.urgent.size >= BURST_WAITING:
            self._extend_burst(queues, now_ms)
        if queues.patient.size and queues.burst_until_ms <= now_ms:
            self._start_from(queues, queues.patient, now_ms)
        if queues.urgent.size and queues.preemptable:
            self._preempt(queues, now_ms)

    def _extend_burst(self, queues: PoolQueues, now_ms: Millis) -> None:
        """Extends the time for which free slots are kept for more urgent requests."""
        hold_ms = self._state.cfg.burst_hold_ms
        if not hold_ms:
            return
        if queues.burst_until_ms <= now_ms:
            self._state.timers.add(now_ms + hold_ms, TimerKind.POOL, queues.name)
        queues.burst_until_ms = now_ms + hold_ms

    def expire(self, tracked: TrackedRequest, now_ms: Millis) -> None:
        """Ends a request that is not running at its deadline."""
        queues = self._state.pool(tracked.request.pool)
        self._state.finish_without_answer(
            tracked,
            self._missed_deadline_refusal(queues, tracked, now_ms),
            UnknownReason.DEADLINE_PASSED,
        )

    def _start_from(
        self, queues: PoolQueues, wait_queue: WaitQueue, now_ms: Millis
    ) -> None:
        is_patient = wait_queue is queues.patient
        skipped = self._teams_at_limit(queues, wait_queue, now_ms)
        while wait_queue.size and self._state.workers.available_slots(queues.name) > 0:
            teams: Collection[TeamName] = wait_queue.teams
            if skipped:
                teams = [team for team in teams if team not in skipped]
            team = self._state.shares.pick(queues.name, teams, now_ms)
            if team is None:
                return
            tracked = wait_queue.head(team)
            is_crowded = wait_queue.waiting(team) > 1
            if self._will_miss_deadline(queues, tracked, now_ms, is_crowded=is_crowded):
                wait_queue.pop(team)
                self.expire(tracked, now_ms)
            elif (
                is_patient and not self._may_use_slot(queues, tracked)
            ) or not self._try_start(queues, wait_queue, tracked, now_ms):
                skipped.add(team)

    def _will_miss_deadline(
        self,
        queues: PoolQueues,
        tracked: TrackedRequest,
        now_ms: Millis,
        *,
        is_crowded: bool,
    ) -> bool:
        """Returns whether a request that had to wait is unlikely to end in time."""
        left_ms = tracked.request.deadline_ms - now_ms
        if tracked.queued_ms >= now_ms or left_ms <= 0:
            return left_ms <= 0
        mean_ms = queues.times(tracked.request.work_class).mean_ms
        cfg = self._state.cfg
        share = cfg.crowded_time_share if is_crowded else cfg.least_time_share
        return left_ms < mean_ms * share

    def _teams_at_limit(
        self, queues: PoolQueues, wait_queue: WaitQueue, now_ms: Millis
    ) -> set[TeamName]:
        if not queues.recheck_ms:
            return set()
        recheck_ms = queues.recheck_ms
        return {
            team for team in wait_queue.teams if recheck_ms.get(team, now_ms) > now_ms
        }

    def _may_use_slot(self, queues: PoolQueues, tracked: TrackedRequest) -> bool:
        """Returns whether a patient request may occupy a slot beside urgent ones."""
        workers = self._state.workers
        cfg = self._state.cfg
        reserve = workers.total_slots(queues.name) * cfg.reserve_share
        if reserve and workers.available_slots(queues.name) <= reserve:
            return False
        if tracked.is_preemptable or not cfg.checkpoints_patient:
            return True
        fixed = max(1.0, workers.fair_slots(queues.name) * cfg.fixed_patient_share)
        return queues.non_preemptable_running < fixed

    def _try_start(
        self,
        queues: PoolQueues,
        wait_queue: WaitQueue,
        tracked: TrackedRequest,
        now_ms: Millis,
    ) -> bool:
        state = self._state
        team = tracked.key.team
        worker = state.workers.choose(tracked.request, tracked.failed_on, now_ms)
        if worker is None:
            return False
        if not state.limits.try_acquire(team, now_ms):
            self._schedule_limit_recheck(queues, team, now_ms)
            return False
        wait_queue.pop(team)
        self._start(queues, tracked, worker, now_ms)
        return True

    def _schedule_limit_recheck(
        self, queues: PoolQueues, team: TeamName, now_ms: Millis
    ) -> None:
        state = self._state
        waiting = queues.urgent.waiting(team) + queues.patient.waiting(team)
        state.limits.record_demand(team, waiting, now_ms)
        recheck_ms = now_ms + state.cfg.limit_recheck_ms
        if queues.recheck_ms.get(team, 0) <= now_ms:
            state.timers.add(recheck_ms, TimerKind.POOL, queues.name)
        queues.recheck_ms[team] = recheck_ms

    def _start(
        self,
        queues: PoolQueues,
        tracked: TrackedRequest,
        worker: Worker,
        now_ms: Millis,
    ) -> None:
        state = self._state
        req = tracked.request
        state.attempt_count += 1
        attempt_id = AttemptId(f"{state.attempt_prefix}-{state.attempt_count}")
        attempt = Attempt(attempt_id, tracked, req, worker, now_ms)
        attempt.is_probe = state.workers.acquire_slot(worker, now_ms)
        state.attempts[attempt_id] = attempt
        state.team_units[req.team] += 1
        tracked.attempt = attempt
        tracked.phase = Phase.RUNNING
        if req.work_class is WorkClass.URGENT:
            queues.urgent_running += 1
        else:
            queues.patient_running += 1
            if (
                tracked.is_preemptable
                and tracked.checkpoints < state.cfg.max_checkpoints
            ):
                queues.preemptable[attempt_id] = attempt
        queues.recheck_ms.pop(tracked.key.team, None)
        state.leases.start(attempt_id, worker.host.host_id, now_ms)
        state.shares.record_start(queues.name, tracked.key.team, now_ms)
        if tracked.retries == 0 and tracked.moves == 0:
            queues.budget.record_first_attempt()
        state.counters.started += 1
        state.effects.append(self._start_effect(tracked, attempt, now_ms))

    def _start_effect(
        self, tracked: TrackedRequest, attempt: Attempt, now_ms: Millis
    ) -> StartAttempt:
        state = self._state
        req = tracked.request
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
            tracked.resumes,
            state.leases.ttl_ms,
        )

    def _preempt(self, queues: PoolQueues, now_ms: Millis) -> None:
        """Requests a checkpoint of one patient task for each waiting urgent request."""
        state = self._state
        if not state.cfg.checkpoints_patient:
            return
        at_limit = self._teams_at_limit(queues, queues.urgent, now_ms)
        for team in at_limit:
            self._preempt_in_team(queues, team, now_ms)
        waiting_at_limit = sum(queues.urgent.waiting(team) for team in at_limit)
        wanted = queues.urgent.size - waiting_at_limit - len(queues.checkpointing)
        while wanted > 0 and queues.preemptable:
            _, attempt = queues.preemptable.popitem()
            self._request_checkpoint(queues, attempt, now_ms)
            wanted -= 1

    def _preempt_in_team(
        self, queues: PoolQueues, team: TeamName, now_ms: Millis
    ) -> None:
        """Preempts a team's patient tasks to free limit units for its urgent ones."""
        requested = sum(
            att.request.team == team for att in queues.checkpointing.values()
        )
        wanted = queues.urgent.waiting(team) - requested
        preemptable = [
            att for att in queues.preemptable.values() if att.request.team == team
        ]
        for attempt in preemptable[-wanted:] if wanted > 0 else []:
            del queues.preemptable[attempt.attempt_id]
            self._request_checkpoint(queues, attempt, now_ms)

    def _request_checkpoint(
        self, queues: PoolQueues, attempt: Attempt, now_ms: Millis
    ) -> None:
        state = self._state
        attempt.checkpoint_requested = True
        queues.checkpointing[attempt.attempt_id] = attempt
        state.counters.checkpoints += 1
        timeout_ms = now_ms + state.cfg.checkpoint_timeout_ms
        state.timers.add(timeout_ms, TimerKind.CHECKPOINT, attempt)
        host = attempt.worker.host.host_id
        state.effects.append(CheckpointTask(attempt.attempt_id, host))

    def _missed_deadline_refusal(
        self, queues: PoolQueues, tracked: TrackedRequest, now_ms: Millis
    ) -> NotRun:
        state = self._state
        if not state.workers.has_hosts(queues.name):
            return state.no_host_refusal("no live host until the deadline")
        if queues.recheck_ms.get(tracked.key.team, 0) >= now_ms:
            detail = "the team was at its limit until the deadline"
            return NotRun(
                NotRunReason.LIMIT_REACHED, detail, state.cfg.retry_after_floor_ms
            )
        times = queues.times(tracked.request.work_class)
        retry_after_ms = state.retry_after_ms(times.mean_ms)
        detail = "no slot before the deadline"
        return NotRun(NotRunReason.DEADLINE_TOO_CLOSE, detail, retry_after_ms)
