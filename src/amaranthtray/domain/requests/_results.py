"""Handles the results of attempts as specified in docs/design/outcomes.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._admission import implied_wait_ms
from .messages import (
    AnswerCut,
    BrokeAfterSend,
    Checkpointed,
    NothingSent,
    RefusedByHost,
    TimedOut,
    WholeAnswer,
)
from .model import Answered, NotRun, NotRunReason, Unknown, UnknownReason
from .retries import backoff_ms
from .timers import TimerKind
from .tracked_request import Phase

if TYPE_CHECKING:
    from ..ids import Millis
    from ._state import DispatcherState
    from .messages import AttemptResult
    from .model import Outcome
    from .tracked_request import Attempt, TrackedRequest


class ResultHandler:
    """Turns attempt results into outcomes, retries and moves.

    Args:
        state: State of the request dispatcher.
    """

    def __init__(self, state: DispatcherState) -> None:
        self._state = state

    def handle(self, attempt: Attempt, result: AttemptResult, now_ms: Millis) -> None:
        """Handles the result of an attempt, which may have been abandoned."""
        tracked = attempt.tracked
        if tracked is None:
            self._handle_late_result(attempt, result, now_ms)
            return
        match result:
            case WholeAnswer(is_error=is_error):
                self._handle_answer(attempt, tracked, now_ms, is_error=is_error)
            case RefusedByHost():
                self._handle_refusal(attempt, tracked, result, now_ms)
            case NothingSent():
                self._handle_unsent(attempt, tracked, result, now_ms)
            case BrokeAfterSend(detail=detail):
                self._handle_broken(
                    attempt, tracked, UnknownReason.CONNECTION_BROKE, detail, now_ms
                )
            case AnswerCut(detail=detail):
                self._handle_broken(
                    attempt, tracked, UnknownReason.ANSWER_CUT, detail, now_ms
                )
            case TimedOut():
                self._handle_timeout(attempt, tracked, now_ms)
            case Checkpointed():
                self._handle_checkpointed(attempt, tracked, now_ms)

    def _handle_late_result(
        self, attempt: Attempt, result: AttemptResult, now_ms: Millis
    ) -> None:
        """Frees the slot if the task certainly ended; the result is discarded."""
        state = self._state
        state.counters.late_results += 1
        match result:
            case WholeAnswer() | Checkpointed():
                self._record_slot_time(attempt, now_ms)
                state.close_attempt(attempt, now_ms)
            case RefusedByHost() | NothingSent():
                state.close_attempt(attempt, now_ms)

    def _handle_answer(
        self,
        attempt: Attempt,
        tracked: TrackedRequest,
        now_ms: Millis,
        *,
        is_error: bool,
    ) -> None:
        state = self._state
        self._record_slot_time(attempt, now_ms)
        state.close_attempt(attempt, now_ms)
        state.workers.record_task_run(attempt.worker)
        answered = Answered(attempt.attempt_id, attempt.worker.host.host_id)
        if not is_error:
            state.workers.record_success(attempt.worker, now_ms)
            state.finish(tracked, answered)
            return
        self._record_failure(tracked, attempt, now_ms)
        tracked.may_have_run = True
        self._retry_or_finish(tracked, answered, now_ms)

    def _handle_refusal(
        self,
        attempt: Attempt,
        tracked: TrackedRequest,
        result: RefusedByHost,
        now_ms: Millis,
    ) -> None:
        state = self._state
        state.close_attempt(attempt, now_ms)
        if result.is_leaving:
            state.counters.refused_leaving += 1
            state.workers.record_leaving(attempt.worker, now_ms)
        else:
            state.counters.refused_full += 1
            state.workers.record_full(attempt.worker, result.retry_after_ms, now_ms)
        state.counters.moves += 1
        self._requeue(tracked)

    def _handle_unsent(
        self,
        attempt: Attempt,
        tracked: TrackedRequest,
        result: NothingSent,
        now_ms: Millis,
    ) -> None:
        state = self._state
        state.close_attempt(attempt, now_ms)
        if result.is_host_fault:
            self._record_failure(tracked, attempt, now_ms)
        tracked.moves += 1
        if tracked.moves > state.cfg.max_moves:
            retry_after_ms = state.cfg.no_host_retry_ms
            spent = NotRun(NotRunReason.RETRIES_SPENT, result.detail, retry_after_ms)
            state.finish_without_answer(
                tracked, spent, UnknownReason.CONNECTION_BROKE, result.detail
            )
            return
        state.counters.moves += 1
        if tracked.moves == 1:
            self._requeue(tracked)
        else:
            self._back_off(tracked, tracked.moves - 2, now_ms)

    def _handle_broken(
        self,
        attempt: Attempt,
        tracked: TrackedRequest,
        reason: UnknownReason,
        detail: str,
        now_ms: Millis,
    ) -> None:
        self._state.abandon(attempt, now_ms)
        self._record_failure(tracked, attempt, now_ms)
        tracked.may_have_run = True
        self._retry_or_finish(tracked, Unknown(reason, detail), now_ms)

    def _handle_timeout(
        self, attempt: Attempt, tracked: TrackedRequest, now_ms: Millis
    ) -> None:
        state = self._state
        state.abandon(attempt, now_ms)
        mean_ms = (
            state.pool(tracked.request.pool).times(tracked.request.work_class).mean_ms
        )
        if now_ms - attempt.started_ms >= mean_ms * state.cfg.hang_factor:
            self._record_failure(tracked, attempt, now_ms)
        tracked.may_have_run = True
        self._retry_or_finish(tracked, Unknown(UnknownReason.DEADLINE_PASSED), now_ms)

    def _handle_checkpointed(
        self, attempt: Attempt, tracked: TrackedRequest, now_ms: Millis
    ) -> None:
        """Requeues a repeatable request that was preempted; this is no failure."""
        state = self._state
        state.close_attempt(attempt, now_ms)
        tracked.may_have_run = True
        if not tracked.request.repeatable:
            detail = "stopped at a checkpoint by the backend server"
            state.finish(tracked, Unknown(UnknownReason.CONNECTION_BROKE, detail))
            return
        tracked.checkpoints += 1
        tracked.resumes = attempt.attempt_id
        self._requeue(tracked)

    def _retry_or_finish(
        self, tracked: TrackedRequest, last: Outcome, now_ms: Millis
    ) -> None:
        """Schedules a retry if one is allowed, else ends the request with ``last``."""
        state = self._state
        if not tracked.request.repeatable:
            state.finish(tracked, last)
            return
        if len(tracked.failed_on) >= state.cfg.bad_job_hosts:
            self._finish_faulty_request(tracked, last)
            return
        delay_ms = backoff_ms(state.cfg, tracked.retries, state.rng)
        if not self._may_retry(tracked, delay_ms, now_ms):
            state.finish(tracked, last)
            return
        tracked.retries += 1
        state.counters.retries += 1
        self._schedule(tracked, now_ms + delay_ms)

    def _may_retry(
        self, tracked: TrackedRequest, delay_ms: int, now_ms: Millis
    ) -> bool:
        state = self._state
        req = tracked.request
        if tracked.retries >= state.cfg.max_retries:
            return False
        queues = state.pool(req.pool)
        wait_ms = implied_wait_ms(state, queues, req.work_class)
        mean_ms = queues.times(req.work_class).mean_ms
        if now_ms + delay_ms + wait_ms + mean_ms > req.deadline_ms:
            return False
        if queues.budget.try_spend(now_ms):
            return True
        state.counters.retries_denied += 1
        return False

    def _finish_faulty_request(self, tracked: TrackedRequest, last: Outcome) -> None:
        """Ends a faulty request; its failures are not counted against the hosts."""
        self._state.counters.bad_jobs += 1
        for worker in tracked.failed_on:
            self._state.workers.discard_failures(worker, tracked.key)
        self._state.finish(tracked, last)

    def _record_failure(
        self, tracked: TrackedRequest, attempt: Attempt, now_ms: Millis
    ) -> None:
        if attempt.worker not in tracked.failed_on:
            tracked.failed_on.append(attempt.worker)
        self._state.workers.record_failure(attempt.worker, tracked.key, now_ms)

    def _requeue(self, tracked: TrackedRequest) -> None:
        """Puts a request back at the front of its team's queue."""
        tracked.attempt = None
        req = tracked.request
        if not self._state.workers.has_alternative(req.pool, tracked.failed_on):
            tracked.failed_on.clear()
        queues = self._state.pool(req.pool)
        queues.wait_queue(req.work_class).push(tracked, front=True)

    def _back_off(self, tracked: TrackedRequest, tries: int, now_ms: Millis) -> None:
        delay_ms = backoff_ms(self._state.cfg, tries, self._state.rng)
        self._schedule(tracked, now_ms + delay_ms)

    def _schedule(self, tracked: TrackedRequest, when_ms: int) -> None:
        tracked.attempt = None
        tracked.phase = Phase.BACKING_OFF
        self._state.timers.add(when_ms, TimerKind.BACKOFF, tracked)

    def end_backoff(self, tracked: TrackedRequest) -> None:
        """Puts a request back into its wait queue when its backoff has ended."""
        self._requeue(tracked)

    def _record_slot_time(self, attempt: Attempt, now_ms: Millis) -> None:
        req = attempt.request
        times = self._state.pool(req.pool).times(req.work_class)
        times.record(now_ms - attempt.started_ms)
