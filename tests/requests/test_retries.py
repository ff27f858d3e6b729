"""Retries stay within their budget and deadline; bad jobs take no host down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthtray.domain.ids import Millis
from amaranthtray.domain.requests.messages import (
    AttemptEnded,
    AttemptResult,
    BrokeAfterSend,
    DispatcherEffect,
    Finish,
    RefusedByHost,
    StartAttempt,
    Submit,
    Tick,
    WholeAnswer,
)
from amaranthtray.domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Request,
    Unknown,
    UnknownReason,
)
from amaranthtray.domain.requests.settings import DispatcherSettings
from builders import host, request, request_dispatcher

if TYPE_CHECKING:
    from amaranthtray.domain.requests.dispatcher import RequestDispatcher

ERROR = WholeAnswer(is_error=True)
CFG = DispatcherSettings()
STEP_MS = 10


class Run:
    """A desk whose every attempt ends with one result."""

    def __init__(self, made: RequestDispatcher, result: AttemptResult) -> None:
        self.request_dispatcher = made
        self.result = result
        self.now = 0
        self.started: list[StartAttempt] = []
        self.outcomes: list[Outcome] = []

    def submit(self, req: Request) -> None:
        self.take(self.request_dispatcher.handle(Submit(req), Millis(self.now)))

    def take(self, effects: list[DispatcherEffect]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.started.append(effect)
                ended = AttemptEnded(effect.attempt_id, self.result)
                self.take(self.request_dispatcher.handle(ended, Millis(self.now)))
            if isinstance(effect, Finish):
                self.outcomes.append(effect.outcome)

    def settle(self, until_ms: int) -> None:
        while self.now < until_ms:
            self.now += STEP_MS
            self.take(self.request_dispatcher.handle(Tick(), Millis(self.now)))


def test_retries_stay_within_the_budget_of_the_pool() -> None:
    hosts = tuple(host(number, slots=1_000) for number in range(30))
    run = Run(request_dispatcher(hosts=hosts), ERROR)
    for number in range(500):
        run.submit(request(number, deadline_ms=60_000))
    run.settle(20_000)
    retries = len(run.started) - 500
    trickled = CFG.retry_trickle_per_s * 20
    assert retries <= CFG.retry_burst + 500 * CFG.retry_ratio + trickled
    assert run.request_dispatcher.counters.retries_denied > 0
    assert len(run.outcomes) == 500


def test_retry_that_cannot_make_its_deadline_is_not_tried() -> None:
    run = Run(request_dispatcher(hosts=(host(1), host(2))), BrokeAfterSend())
    run.submit(request(1, deadline_ms=CFG.first_urgent_service_ms))
    assert run.outcomes == [Unknown(UnknownReason.CONNECTION_BROKE)]


def test_retry_waits_a_jittered_while() -> None:
    waits = set()
    for seed in range(20):
        made = request_dispatcher(hosts=(host(1), host(2)), seed=seed)
        run = Run(made, ERROR)
        run.submit(request(1, deadline_ms=60_000))
        run.result = WholeAnswer()
        assert len(run.started) == 1
        run.settle(CFG.backoff_first_ms + STEP_MS)
        assert isinstance(run.outcomes[0], Answered)
        waits.add(run.started[1].give_up_ms)
    assert len(waits) > 3


def test_bad_jobs_end_with_their_own_answer_and_eject_no_host() -> None:
    hosts = tuple(host(number) for number in range(9))
    cfg = DispatcherSettings(retry_burst=1_000, retry_ratio=3.0)
    run = Run(request_dispatcher(hosts=hosts, cfg=cfg), ERROR)
    for number in range(60):
        run.submit(request(number, deadline_ms=60_000))
        run.settle(run.now + 1_000)
    assert len(run.outcomes) == 60
    assert all(isinstance(outcome, Answered) for outcome in run.outcomes)
    assert run.request_dispatcher.counters.bad_jobs == 60
    run.result = WholeAnswer()
    run.started.clear()
    for number in range(100, 172):
        run.submit(request(number, deadline_ms=100_000))
    assert {start.host for start in run.started} == {item.host_id for item in hosts}


def test_leaving_hosts_are_left_out_and_the_pool_refuses_when_all_leave() -> None:
    run = Run(
        request_dispatcher(hosts=(host(1), host(2))), RefusedByHost(is_leaving=True)
    )
    run.submit(request(1, deadline_ms=2_000))
    assert len({start.host for start in run.started}) == len(run.started) == 2
    run.submit(request(2))
    (refused,) = run.outcomes
    assert isinstance(refused, NotRun)
    assert refused.reason is NotRunReason.NO_HOST
