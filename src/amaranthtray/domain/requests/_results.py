"""What follows from the end of an attempt; docs/design/outcomes.md has the table."""

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
from .tracked import Phase

if TYPE_CHECKING:
    from ..ids import Millis
    from ._state import DeskState
    from .messages import AttemptResult
    from .model import Outcome
    from .tracked import Attempt, Tracked


class Results:
    """Turns attempt results into outcomes, retries and moves.

    Args:
        state: State of the desk.
    """

    def __init__(self, state: DeskState) -> None:
        self._state = state

    def end(self, attempt: Attempt, result: AttemptResult, now_ms: Millis) -> None:
        """Takes the result of an attempt, in time or late."""
        item = attempt.tracked
        if item is None:
            self._end_late(attempt, result, now_ms)
            return
        match result:
            case WholeAnswer(is_error=is_error):
                self._end_whole(attempt, item, now_ms, is_error=is_error)
            case RefusedByHost():
                self._end_refused(attempt, item, result, now_ms)
            case NothingSent():
                self._end_unsent(attempt, item, result, now_ms)
            case BrokeAfterSend(detail=detail):
                self._end_broken(
                    attempt, item, UnknownReason.CONNECTION_BROKE, detail, now_ms
                )
            case AnswerCut(detail=detail):
                self._end_broken(
                    attempt, item, UnknownReason.ANSWER_CUT, detail, now_ms
                )
            case TimedOut():
                self._end_timed_out(attempt, item, now_ms)
            case Checkpointed():
                self._end_checkpointed(attempt, item, now_ms)

    def _end_late(
        self, attempt: Attempt, result: AttemptResult, now_ms: Millis
    ) -> None:
        """Frees the slot if the task is over for sure; the result goes nowhere."""
        state = self._state
        state.counters.late_results += 1
        match result:
            case WholeAnswer() | Checkpointed():
                self._measure(attempt, now_ms)
                state.release(attempt, now_ms)
            case RefusedByHost() | NothingSent():
                state.release(attempt, now_ms)

    def _end_whole(
        self, attempt: Attempt, item: Tracked, now_ms: Millis, *, is_error: bool
    ) -> None:
        state = self._state
        self._measure(attempt, now_ms)
        state.release(attempt, now_ms)
        state.book.record_task_run(attempt.worker)
        answered = Answered(attempt.attempt_id, attempt.worker.host.host_id)
        if not is_error:
            state.book.record_success(attempt.worker, now_ms)
            state.finish(item, answered)
            return
        self._blame(item, attempt, now_ms)
        item.may_have_run = True
        self._retry_or(item, answered, now_ms)

    def _end_refused(
        self, attempt: Attempt, item: Tracked, result: RefusedByHost, now_ms: Millis
    ) -> None:
        state = self._state
        state.release(attempt, now_ms)
        if result.is_leaving:
            state.counters.refused_leaving += 1
            state.book.record_leaving(attempt.worker, now_ms)
        else:
            state.counters.refused_full += 1
            state.book.record_full(attempt.worker, result.retry_after_ms, now_ms)
        state.counters.moves += 1
        self._requeue(item)

    def _end_unsent(
        self, attempt: Attempt, item: Tracked, result: NothingSent, now_ms: Millis
    ) -> None:
        state = self._state
        state.release(attempt, now_ms)
        if result.is_host_fault:
            self._blame(item, attempt, now_ms)
        item.moves += 1
        if item.moves > state.cfg.max_moves:
            retry_after_ms = state.cfg.no_host_retry_ms
            spent = NotRun(NotRunReason.RETRIES_SPENT, result.detail, retry_after_ms)
            state.give_up(item, spent, UnknownReason.CONNECTION_BROKE, result.detail)
            return
        state.counters.moves += 1
        if item.moves == 1:
            self._requeue(item)
        else:
            self._back_off(item, item.moves - 2, now_ms)

    def _end_broken(
        self,
        attempt: Attempt,
        item: Tracked,
        reason: UnknownReason,
        detail: str,
        now_ms: Millis,
    ) -> None:
        self._state.abandon(attempt, now_ms)
        self._blame(item, attempt, now_ms)
        item.may_have_run = True
        self._retry_or(item, Unknown(reason, detail), now_ms)

    def _end_timed_out(self, attempt: Attempt, item: Tracked, now_ms: Millis) -> None:
        state = self._state
        state.abandon(attempt, now_ms)
        mean_ms = state.pool(item.request.pool).times(item.request.work_class).mean_ms
        if now_ms - attempt.started_ms >= mean_ms * state.cfg.hang_factor:
            self._blame(item, attempt, now_ms)
        item.may_have_run = True
        self._retry_or(item, Unknown(UnknownReason.DEADLINE_PASSED), now_ms)

    def _end_checkpointed(
        self, attempt: Attempt, item: Tracked, now_ms: Millis
    ) -> None:
        """Requeues a task that made room; it counts as no failure."""
        state = self._state
        state.release(attempt, now_ms)
        item.may_have_run = True
        if not item.request.repeatable:
            detail = "stopped at a checkpoint by the backend server"
            state.finish(item, Unknown(UnknownReason.CONNECTION_BROKE, detail))
            return
        item.checkpoints += 1
        item.resumes = attempt.attempt_id
        self._requeue(item)

    def _retry_or(self, item: Tracked, last: Outcome, now_ms: Millis) -> None:
        """Schedules a retry if that is allowed, else ends with the last outcome."""
        state = self._state
        if not item.request.repeatable:
            state.finish(item, last)
            return
        if len(item.failed_on) >= state.cfg.bad_job_hosts:
            self._end_bad_job(item, last)
            return
        delay_ms = backoff_ms(state.cfg, item.retries, state.rng)
        if not self._may_retry(item, delay_ms, now_ms):
            state.finish(item, last)
            return
        item.retries += 1
        state.counters.retries += 1
        self._schedule(item, now_ms + delay_ms)

    def _may_retry(self, item: Tracked, delay_ms: int, now_ms: Millis) -> bool:
        state = self._state
        req = item.request
        if item.retries >= state.cfg.max_retries:
            return False
        queue = state.pool(req.pool)
        wait_ms = implied_wait_ms(state, queue, req.work_class)
        mean_ms = queue.times(req.work_class).mean_ms
        if now_ms + delay_ms + wait_ms + mean_ms > req.deadline_ms:
            return False
        if queue.budget.try_spend(now_ms):
            return True
        state.counters.retries_denied += 1
        return False

    def _end_bad_job(self, item: Tracked, last: Outcome) -> None:
        """Ends a job that fails everywhere; its failures count against no host."""
        self._state.counters.bad_jobs += 1
        for worker in item.failed_on:
            self._state.book.discard_failures(worker, item.key)
        self._state.finish(item, last)

    def _blame(self, item: Tracked, attempt: Attempt, now_ms: Millis) -> None:
        if attempt.worker not in item.failed_on:
            item.failed_on.append(attempt.worker)
        self._state.book.record_failure(attempt.worker, item.key, now_ms)

    def _requeue(self, item: Tracked) -> None:
        """Puts a request back at the head of its team's line."""
        item.attempt = None
        req = item.request
        if not self._state.book.has_alternative(req.pool, item.failed_on):
            item.failed_on.clear()
        queue = self._state.pool(req.pool)
        queue.line(req.work_class).push(item, front=True)

    def _back_off(self, item: Tracked, tries: int, now_ms: Millis) -> None:
        delay_ms = backoff_ms(self._state.cfg, tries, self._state.rng)
        self._schedule(item, now_ms + delay_ms)

    def _schedule(self, item: Tracked, when_ms: int) -> None:
        item.attempt = None
        item.phase = Phase.BACKING_OFF
        self._state.timers.add(when_ms, TimerKind.BACKOFF, item)

    def back_off_ended(self, item: Tracked) -> None:
        """Puts a request whose pause is over back into its line."""
        self._requeue(item)

    def _measure(self, attempt: Attempt, now_ms: Millis) -> None:
        req = attempt.request
        times = self._state.pool(req.pool).times(req.work_class)
        times.measure(now_ms - attempt.started_ms)
