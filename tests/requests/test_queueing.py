"""Urgent over patient work, limits, and queues that leave nothing behind."""

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
from amaranthtray.domain.requests.wait_queue import COMPACT_FROM, WaitQueue
from builders import host, request, request_dispatcher

if TYPE_CHECKING:
    from amaranthtray.domain.requests.dispatcher import RequestDispatcher

ROOMY = DispatcherSettings(urgent_max_wait_ms=10**6, burst_hold_ms=500)
RED = TeamName("red")


class OneUnit(Unlimited):
    """Red may run one task, all others as many as they like."""

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


def give(
    made: RequestDispatcher, *requests: Request, now: int = 0
) -> list[DispatcherEffect]:
    effects: list[DispatcherEffect] = []
    for item in requests:
        effects += made.handle(Submit(item), Millis(now))
    return effects


def starts(effects: list[DispatcherEffect]) -> list[StartAttempt]:
    return [item for item in effects if isinstance(item, StartAttempt)]


def answer(
    made: RequestDispatcher, start: StartAttempt, now: int
) -> list[DispatcherEffect]:
    ended = AttemptEnded(start.attempt_id, WholeAnswer())
    return made.handle(ended, Millis(now))


def patient(number: int, *, team: str = "red", repeatable: bool = True) -> Request:
    return request(
        number,
        team=team,
        work_class=WorkClass.PATIENT,
        repeatable=repeatable,
        deadline_ms=10**6,
    )


def test_team_at_its_limit_blocks_no_other() -> None:
    made = request_dispatcher(hosts=(host(1),), cfg=ROOMY, limits=OneUnit())
    red = [request(number, team="red") for number in range(3)]
    effects = give(made, *red, request(9, team="blue"))
    assert [item.request.request_id for item in starts(effects)] == ["q0", "q9"]


def test_team_at_its_limit_goes_on_when_a_unit_returns() -> None:
    made = request_dispatcher(hosts=(host(1),), cfg=ROOMY, limits=OneUnit())
    (first,) = starts(give(made, request(1), request(2)))
    (second,) = starts(answer(made, first, 5))
    assert second.request.request_id == "q2"


def test_team_at_its_limit_goes_on_when_its_limit_grows() -> None:
    limits = OneUnit()
    made = request_dispatcher(hosts=(host(1),), cfg=ROOMY, limits=limits)
    give(made, request(1), request(2))
    limits.left = 1
    wake = made.next_wake_ms()
    assert wake is not None
    assert len(starts(made.handle(Tick(), Millis(wake)))) == 1


def test_urgent_work_gets_the_limit_unit_of_its_teams_patient_work() -> None:
    made = request_dispatcher(hosts=(host(1),), cfg=ROOMY, limits=OneUnit())
    (held,) = starts(give(made, patient(1)))
    effects = give(made, request(2))
    assert effects == [CheckpointTask(held.attempt_id, held.host)]


def test_patient_work_that_makes_no_room_holds_few_slots() -> None:
    made = request_dispatcher(hosts=(host(1, slots=8),), cfg=ROOMY)
    fixed = [patient(number, repeatable=False) for number in range(8)]
    assert len(starts(give(made, *fixed))) == 8 * ROOMY.fixed_patient_share


def test_slots_are_kept_for_urgent_work_for_a_moment_after_it_queued() -> None:
    made = request_dispatcher(hosts=(host(1, slots=1),), cfg=ROOMY)
    urgent = [request(number) for number in range(3)]
    (first,) = starts(give(made, *urgent, patient(8)))
    (second,) = starts(answer(made, first, 10))
    (third,) = starts(answer(made, second, 20))
    assert starts(answer(made, third, 30)) == []
    made.handle(Tick(), Millis(400))
    (late,) = starts(made.handle(Tick(), Millis(30 + ROOMY.burst_hold_ms)))
    assert late.request.request_id == "q8"


def test_expired_request_is_not_started_although_the_tick_is_late() -> None:
    made = request_dispatcher(hosts=(host(1, slots=1),), cfg=ROOMY)
    waits = request(2, deadline_ms=1_000)
    (first,) = starts(give(made, request(1), waits))
    effects = answer(made, first, 1_000)
    assert starts(effects) == []
    assert [e.request for e in effects if isinstance(e, Finish)][-1] is waits


def test_slot_that_the_host_says_is_free_is_used_while_the_answer_travels() -> None:
    made = request_dispatcher(hosts=(host(1, slots=1),), cfg=ROOMY)
    (first,) = starts(give(made, request(1), request(2)))
    freed = SlotsFreed(first.host, (first.attempt_id,))
    (second,) = starts(made.handle(freed, Millis(5)))
    assert second.request.request_id == "q2"
    (done,) = answer(made, first, 6)
    assert isinstance(done, Finish)
    assert done.outcome == Answered(first.attempt_id, first.host)
    assert made.running(first.request.pool) == 1


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
    assert line.stored(RED) <= 2 * COMPACT_FROM


def _tracked(number: int) -> TrackedRequest:
    req = request(number)
    return TrackedRequest(req, RequestKey(req.team, req.request_id), 0)


def test_pool_whose_hosts_all_leave_refuses_at_once() -> None:
    made = request_dispatcher(hosts=(host(1),), cfg=ROOMY)
    made.update_hosts({}, Millis(1))
    (refused,) = give(made, request(1), now=2)
    assert isinstance(refused, Finish)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.reason is NotRunReason.NO_HOST


def test_request_that_waits_too_long_for_its_teams_limit_is_refused_at_once() -> None:
    made = request_dispatcher(hosts=(host(1),), cfg=ROOMY, limits=OneUnit())
    service_ms = ROOMY.first_urgent_service_ms
    within_ms = 4 * service_ms
    effects = give(made, *[request(n, deadline_ms=within_ms) for n in range(9)])
    refused = [item.outcome for item in effects if isinstance(item, Finish)]
    assert made.waiting(request().pool, WorkClass.URGENT) == 3
    assert [item.reason for item in refused if isinstance(item, NotRun)] == [
        NotRunReason.LIMIT_REACHED
    ] * 5


def test_request_that_waited_is_not_started_too_late_to_end_in_time() -> None:
    made = request_dispatcher(hosts=(host(1, slots=1),), cfg=ROOMY)
    service_ms = ROOMY.first_urgent_service_ms
    (first,) = starts(give(made, request(1), request(2, deadline_ms=2 * service_ms)))
    effects = made.handle(SlotsFreed(first.host, (first.attempt_id,)), Millis(400))
    (late,) = effects
    assert isinstance(late, Finish)
    assert isinstance(late.outcome, NotRun)
    assert late.outcome.reason is NotRunReason.DEADLINE_TOO_CLOSE


def test_patient_work_is_not_refused_while_others_hold_the_slots_for_a_moment() -> None:
    made = request_dispatcher(hosts=(host(1, slots=4),), cfg=ROOMY)
    (start,) = starts(give(made, patient(1)))
    refused = AttemptEnded(start.attempt_id, RefusedByHost())
    assert starts(made.handle(refused, Millis(1))) == []
    far_ms = 30 * ROOMY.first_patient_service_ms
    waiting = [
        request(number, work_class=WorkClass.PATIENT, deadline_ms=far_ms)
        for number in range(10, 40)
    ]
    assert give(made, *waiting, now=2) == []


def test_a_slot_goes_to_one_with_time_left_while_others_of_the_team_wait() -> None:
    made = request_dispatcher(hosts=(host(1, slots=1),), cfg=ROOMY)
    mean_ms = ROOMY.first_urgent_service_ms
    far_ms = 20 * mean_ms
    (first,) = starts(
        give(
            made,
            request(1, deadline_ms=far_ms),
            request(2, deadline_ms=400 + mean_ms),
            request(3, deadline_ms=far_ms),
        )
    )
    effects = made.handle(SlotsFreed(first.host, (first.attempt_id,)), Millis(400))
    (late,) = [item for item in effects if isinstance(item, Finish)]
    assert isinstance(late.outcome, NotRun)
    assert late.outcome.reason is NotRunReason.DEADLINE_TOO_CLOSE
    assert len(starts(effects)) == 1
