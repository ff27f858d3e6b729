"""Priority of urgent requests, team limits, and clean-up of queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthtray.domain.ids import Millis, TeamName
from amaranthtray.domain.requests.messages import (
    AttemptEnded,
    CheckpointTask,
    DispatcherEffect,
    Finish,
    RefusedByHost,
    SlotsFreed,
    StartAttempt,
    Submit,
    Tick,
    WholeAnswer,
)
from amaranthtray.domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Request,
    WorkClass,
)
from amaranthtray.domain.requests.ports import Unlimited
from amaranthtray.domain.requests.settings import DispatcherSettings
from amaranthtray.domain.requests.timers import TimerKind, Timers
from amaranthtray.domain.requests.tracked_request import (
    Phase,
    RequestKey,
    TrackedRequest,
)
from amaranthtray.domain.requests.wait_queue import MIN_REMOVED_TO_COMPACT, WaitQueue
from builders import host, request, request_dispatcher

if TYPE_CHECKING:
    from amaranthtray.domain.requests.dispatcher import RequestDispatcher

LONG_WAIT = DispatcherSettings(urgent_max_wait_ms=10**6, burst_hold_ms=500)
RED = TeamName("red")


class OneUnit(Unlimited):
    """Limits with one unit for team red and any number for other teams."""

    def __init__(self) -> None:
        self.left = 1

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        if team != RED:
            return True
        self.left -= 1
        if self.left < 0:
            self.left = 0
            return False
        return True

    def release(self, team: TeamName, now_ms: Millis) -> None:
        self.left += team == RED


def submit(
    dispatcher: RequestDispatcher, *requests: Request, now: int = 0
) -> list[DispatcherEffect]:
    effects: list[DispatcherEffect] = []
    for item in requests:
        effects += dispatcher.handle(Submit(item), Millis(now))
    return effects


def starts(effects: list[DispatcherEffect]) -> list[StartAttempt]:
    return [item for item in effects if isinstance(item, StartAttempt)]


def answer(
    dispatcher: RequestDispatcher, start: StartAttempt, now: int
) -> list[DispatcherEffect]:
    ended = AttemptEnded(start.attempt_id, WholeAnswer())
    return dispatcher.handle(ended, Millis(now))


def patient_request(
    number: int, *, team: str = "red", repeatable: bool = True
) -> Request:
    return request(
        number,
        team=team,
        work_class=WorkClass.PATIENT,
        repeatable=repeatable,
        deadline_ms=10**6,
    )


def test_team_at_its_limit_does_not_block_other_teams() -> None:
    dispatcher = request_dispatcher(hosts=(host(1),), cfg=LONG_WAIT, limits=OneUnit())
    red = [request(number, team="red") for number in range(3)]
    effects = submit(dispatcher, *red, request(9, team="blue"))
    assert [item.request.request_id for item in starts(effects)] == ["q0", "q9"]


def test_team_at_its_limit_continues_when_a_unit_is_released() -> None:
    dispatcher = request_dispatcher(hosts=(host(1),), cfg=LONG_WAIT, limits=OneUnit())
    (first,) = starts(submit(dispatcher, request(1), request(2)))
    (second,) = starts(answer(dispatcher, first, 5))
    assert second.request.request_id == "q2"


def test_team_at_its_limit_continues_when_its_limit_grows() -> None:
    limits = OneUnit()
    dispatcher = request_dispatcher(hosts=(host(1),), cfg=LONG_WAIT, limits=limits)
    submit(dispatcher, request(1), request(2))
    limits.left = 1
    wake = dispatcher.next_wake_ms()
    assert wake is not None
    assert len(starts(dispatcher.handle(Tick(), Millis(wake)))) == 1


def test_urgent_request_preempts_a_patient_task_of_its_team_at_the_limit() -> None:
    dispatcher = request_dispatcher(hosts=(host(1),), cfg=LONG_WAIT, limits=OneUnit())
    (held,) = starts(submit(dispatcher, patient_request(1)))
    effects = submit(dispatcher, request(2))
    assert effects == [CheckpointTask(held.attempt_id, held.host)]


def test_non_preemptable_patient_tasks_hold_few_slots() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=8),), cfg=LONG_WAIT)
    non_preemptable = [patient_request(number, repeatable=False) for number in range(8)]
    assert (
        len(starts(submit(dispatcher, *non_preemptable)))
        == 8 * LONG_WAIT.fixed_patient_share
    )


def test_slots_are_held_for_urgent_requests_after_a_burst() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),), cfg=LONG_WAIT)
    urgent = [request(number) for number in range(3)]
    (first,) = starts(submit(dispatcher, *urgent, patient_request(8)))
    (second,) = starts(answer(dispatcher, first, 10))
    (third,) = starts(answer(dispatcher, second, 20))
    assert starts(answer(dispatcher, third, 30)) == []
    dispatcher.handle(Tick(), Millis(400))
    (late,) = starts(dispatcher.handle(Tick(), Millis(30 + LONG_WAIT.burst_hold_ms)))
    assert late.request.request_id == "q8"


def test_expired_request_is_not_started_even_if_the_tick_is_late() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),), cfg=LONG_WAIT)
    expiring = request(2, deadline_ms=1_000)
    (first,) = starts(submit(dispatcher, request(1), expiring))
    effects = answer(dispatcher, first, 1_000)
    assert starts(effects) == []
    assert [e.request for e in effects if isinstance(e, Finish)][-1] is expiring


def test_slot_that_the_host_reports_free_is_used_before_the_answer_arrives() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),), cfg=LONG_WAIT)
    (first,) = starts(submit(dispatcher, request(1), request(2)))
    freed = SlotsFreed(first.host, (first.attempt_id,))
    (second,) = starts(dispatcher.handle(freed, Millis(5)))
    assert second.request.request_id == "q2"
    (done,) = answer(dispatcher, first, 6)
    assert isinstance(done, Finish)
    assert done.outcome == Answered(first.attempt_id, first.host)
    assert dispatcher.running(first.request.pool) == 1


def test_backlog_of_cancelled_requests_is_compacted() -> None:
    line, timers = WaitQueue(), Timers()
    items = [_tracked(number) for number in range(10_000)]
    for item in items:
        line.push(item)
        timers.add(10**9, TimerKind.DEADLINE, item)
    keep = items.pop(5_000)
    for item in items:
        line.discard(item, Phase.DONE)
        timers.mark_finished()
    assert line.size == 1
    assert line.head(RED) is keep
    assert len(timers) < 1_000
    assert line.stored(RED) <= 2 * MIN_REMOVED_TO_COMPACT


def _tracked(number: int) -> TrackedRequest:
    req = request(number)
    return TrackedRequest(req, RequestKey(req.team, req.request_id), 0)


def test_pool_without_hosts_refuses_immediately() -> None:
    dispatcher = request_dispatcher(hosts=(host(1),), cfg=LONG_WAIT)
    dispatcher.update_hosts({}, Millis(1))
    (refused,) = submit(dispatcher, request(1), now=2)
    assert isinstance(refused, Finish)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.reason is NotRunReason.NO_HOST


def test_request_that_would_wait_too_long_for_its_teams_limit_is_refused() -> None:
    dispatcher = request_dispatcher(hosts=(host(1),), cfg=LONG_WAIT, limits=OneUnit())
    service_ms = LONG_WAIT.first_urgent_service_ms
    within_ms = 4 * service_ms
    effects = submit(dispatcher, *[request(n, deadline_ms=within_ms) for n in range(9)])
    refused = [item.outcome for item in effects if isinstance(item, Finish)]
    assert dispatcher.waiting(request().pool, WorkClass.URGENT) == 3
    assert [item.reason for item in refused if isinstance(item, NotRun)] == [
        NotRunReason.LIMIT_REACHED
    ] * 5


def test_request_that_waited_is_not_started_if_it_would_miss_its_deadline() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),), cfg=LONG_WAIT)
    service_ms = LONG_WAIT.first_urgent_service_ms
    (first,) = starts(
        submit(dispatcher, request(1), request(2, deadline_ms=2 * service_ms))
    )
    effects = dispatcher.handle(
        SlotsFreed(first.host, (first.attempt_id,)), Millis(400)
    )
    (late,) = effects
    assert isinstance(late, Finish)
    assert isinstance(late.outcome, NotRun)
    assert late.outcome.reason is NotRunReason.DEADLINE_TOO_CLOSE


def test_patient_requests_are_not_refused_while_other_entries_hold_the_slots() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=4),), cfg=LONG_WAIT)
    (start,) = starts(submit(dispatcher, patient_request(1)))
    refused = AttemptEnded(start.attempt_id, RefusedByHost())
    assert starts(dispatcher.handle(refused, Millis(1))) == []
    long_deadline_ms = 30 * LONG_WAIT.first_patient_service_ms
    waiting = [
        request(number, work_class=WorkClass.PATIENT, deadline_ms=long_deadline_ms)
        for number in range(10, 40)
    ]
    assert submit(dispatcher, *waiting, now=2) == []


def test_slot_goes_to_a_request_with_more_time_left_while_the_team_queues() -> None:
    dispatcher = request_dispatcher(hosts=(host(1, slots=1),), cfg=LONG_WAIT)
    mean_ms = LONG_WAIT.first_urgent_service_ms
    long_deadline_ms = 20 * mean_ms
    (first,) = starts(
        submit(
            dispatcher,
            request(1, deadline_ms=long_deadline_ms),
            request(2, deadline_ms=400 + mean_ms),
            request(3, deadline_ms=long_deadline_ms),
        )
    )
    effects = dispatcher.handle(
        SlotsFreed(first.host, (first.attempt_id,)), Millis(400)
    )
    (late,) = [item for item in effects if isinstance(item, Finish)]
    assert isinstance(late.outcome, NotRun)
    assert late.outcome.reason is NotRunReason.DEADLINE_TOO_CLOSE
    assert len(starts(effects)) == 1
