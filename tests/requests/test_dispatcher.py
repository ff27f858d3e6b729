"""RequestDispatcher: queueing, cancellation, duplicates and early refusals."""

from __future__ import annotations

import pytest

from amaranthtray.domain.ids import AttemptId, Millis
from amaranthtray.domain.requests.messages import (
    AttemptEnded,
    Cancel,
    Checkpointed,
    CheckpointTask,
    DispatcherEffect,
    Finish,
    StartAttempt,
    Submit,
    Tick,
    WholeAnswer,
)
from amaranthtray.domain.requests.model import (
    Answered,
    Needs,
    NotRun,
    NotRunReason,
    Outcome,
    WorkClass,
)
from amaranthtray.domain.requests.settings import DispatcherSettings
from builders import host, request, request_dispatcher

LONG_WAIT = DispatcherSettings(urgent_max_wait_ms=10_000)


def at(now: int) -> Millis:
    return Millis(now)


def starts(effects: list[DispatcherEffect]) -> list[StartAttempt]:
    return [item for item in effects if isinstance(item, StartAttempt)]


def outcomes(effects: list[DispatcherEffect]) -> list[Outcome]:
    return [item.outcome for item in effects if isinstance(item, Finish)]


def test_answer_of_the_attempt_ends_the_request() -> None:
    dispatcher = request_dispatcher(hosts=(host(1),))
    (start,) = starts(dispatcher.handle(Submit(request()), at(0)))
    ended = dispatcher.handle(AttemptEnded(start.attempt_id, WholeAnswer()), at(5))
    assert outcomes(ended) == [Answered(start.attempt_id, start.host)]
    assert dispatcher.in_flight == dispatcher.open_attempts == 0


def test_slot_that_is_freed_starts_the_next_request() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),), cfg=LONG_WAIT)
    (first,) = starts(dispatcher.handle(Submit(request(1)), at(0)))
    assert starts(dispatcher.handle(Submit(request(2)), at(0))) == []
    ended = dispatcher.handle(AttemptEnded(first.attempt_id, WholeAnswer()), at(5))
    assert [item.request.request_id for item in starts(ended)] == ["q2"]


def test_late_result_is_discarded_and_frees_the_slot() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),))
    (start,) = starts(dispatcher.handle(Submit(request(deadline_ms=100)), at(0)))
    assert len(outcomes(dispatcher.handle(Tick(), at(100)))) == 1
    assert dispatcher.running(start.request.pool) == 1
    late = dispatcher.handle(AttemptEnded(start.attempt_id, WholeAnswer()), at(200))
    assert late == []
    assert dispatcher.running(start.request.pool) == 0
    again = dispatcher.handle(AttemptEnded(start.attempt_id, WholeAnswer()), at(201))
    assert again == []
    assert dispatcher.counters.late_results == 2


def test_orphan_holds_its_slot_until_its_lease_has_certainly_expired() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),))
    (start,) = starts(dispatcher.handle(Submit(request(deadline_ms=100)), at(0)))
    dispatcher.handle(Tick(), at(100))
    freed_ms = 100
    while dispatcher.open_attempts:
        assert dispatcher.running(start.request.pool) == 1
        freed_ms = dispatcher.next_wake_ms() or 0
        dispatcher.handle(Tick(), at(freed_ms))
    assert dispatcher.counters.lease_expiries == 1
    assert freed_ms >= 100 + start.lease_ttl_ms


def test_duplicate_in_flight_joins() -> None:
    dispatcher = request_dispatcher(hosts=(host(1),))
    assert len(dispatcher.handle(Submit(request()), at(0))) == 1
    assert dispatcher.handle(Submit(request()), at(1)) == []
    assert dispatcher.counters.joined == 1


def test_ten_thousand_cancellations_leave_nothing_behind() -> None:
    dispatcher = request_dispatcher(
        hosts=(host(1, slots=1),), cfg=DispatcherSettings(urgent_max_wait_ms=10**9)
    )
    dispatcher.handle(Submit(request(0, deadline_ms=10**9)), at(0))
    waiting = [request(number, deadline_ms=10**9) for number in range(1, 10_001)]
    for item in waiting:
        dispatcher.handle(Submit(item), at(0))
    for item in waiting:
        (ended,) = dispatcher.handle(Cancel(item.team, item.request_id), at(1))
        assert isinstance(ended, Finish)
        assert ended.outcome == NotRun(NotRunReason.CANCELLED)
    assert dispatcher.in_flight == 1
    assert dispatcher.waiting(waiting[0].pool, WorkClass.URGENT) == 0


@pytest.mark.parametrize(
    ("submitted", "reason"),
    [
        (request(deadline_ms=0), NotRunReason.DEADLINE_TOO_CLOSE),
        (request(pool="void"), NotRunReason.NO_HOST),
        (request(needs=Needs(cores=999)), NotRunReason.CAN_NEVER_RUN),
    ],
)
def test_what_cannot_run_is_refused_at_once(
    submitted: object, reason: NotRunReason
) -> None:
    dispatcher = request_dispatcher(hosts=(host(1),))
    (outcome,) = outcomes(dispatcher.handle(Submit(submitted), at(0)))  # type: ignore[arg-type]
    assert isinstance(outcome, NotRun)
    assert outcome.reason is reason


def test_wait_queue_is_bounded_by_its_implied_wait() -> None:
    cfg = DispatcherSettings(urgent_max_wait_ms=1_000, first_urgent_service_ms=500)
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),), cfg=cfg)
    ends = [outcomes(dispatcher.handle(Submit(request(n)), at(0))) for n in range(5)]
    assert ends[:3] == [[], [], []]
    (refused,) = ends[3]
    assert isinstance(refused, NotRun)
    assert refused.reason is NotRunReason.QUEUE_FULL
    assert refused.retry_after_ms == 500


def test_urgent_work_gets_the_slot_of_checkpointed_patient_work() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),))
    patient = request(1, work_class=WorkClass.PATIENT)
    (held,) = starts(dispatcher.handle(Submit(patient), at(0)))
    asked = dispatcher.handle(Submit(request(2)), at(10))
    assert asked == [CheckpointTask(held.attempt_id, held.host)]
    moved = dispatcher.handle(AttemptEnded(held.attempt_id, Checkpointed()), at(20))
    (urgent,) = starts(moved)
    assert urgent.request.request_id == "q2"
    ended = dispatcher.handle(AttemptEnded(urgent.attempt_id, WholeAnswer()), at(30))
    (resumed,) = starts(ended)
    assert resumed.resumes == held.attempt_id
    assert AttemptId("a-3") == resumed.attempt_id
