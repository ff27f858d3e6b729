"""Retries stay within budget and deadline; faulty requests eject no host."""

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


class DispatcherHarness:
    """A dispatcher all of whose attempts end with the same result."""

    def __init__(self, dispatcher: RequestDispatcher, result: AttemptResult) -> None:
        self.dispatcher = dispatcher
        self.result = result
        self.now = 0
        self.started: list[StartAttempt] = []
        self.outcomes: list[Outcome] = []

    def submit(self, req: Request) -> None:
        self.apply_effects(self.dispatcher.handle(Submit(req), Millis(self.now)))

    def apply_effects(self, effects: list[DispatcherEffect]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.started.append(effect)
                ended = AttemptEnded(effect.attempt_id, self.result)
                self.apply_effects(self.dispatcher.handle(ended, Millis(self.now)))
            if isinstance(effect, Finish):
                self.outcomes.append(effect.outcome)

    def run_until(self, until_ms: int) -> None:
        while self.now < until_ms:
            self.now += STEP_MS
            self.apply_effects(self.dispatcher.handle(Tick(), Millis(self.now)))


def test_retries_stay_within_the_budget_of_the_pool() -> None:
    hosts = tuple(host(number, slots=1_000) for number in range(30))
    harness = DispatcherHarness(request_dispatcher(hosts=hosts), ERROR)
    for number in range(500):
        harness.submit(request(number, deadline_ms=60_000))
    harness.run_until(20_000)
    retries = len(harness.started) - 500
    trickled = CFG.retry_trickle_per_s * 20
    assert retries <= CFG.retry_burst + 500 * CFG.retry_ratio + trickled
    assert harness.dispatcher.counters.retries_denied > 0
    assert len(harness.outcomes) == 500


def test_retry_that_would_miss_the_deadline_is_not_made() -> None:
    harness = DispatcherHarness(
        request_dispatcher(hosts=(host(1), host(2))), BrokeAfterSend()
    )
    harness.submit(request(1, deadline_ms=CFG.first_urgent_service_ms))
    assert harness.outcomes == [Unknown(UnknownReason.CONNECTION_BROKE)]


def test_retry_backoff_is_jittered() -> None:
    retry_times = set()
    for seed in range(20):
        dispatcher = request_dispatcher(hosts=(host(1), host(2)), seed=seed)
        harness = DispatcherHarness(dispatcher, ERROR)
        harness.submit(request(1, deadline_ms=60_000))
        harness.result = WholeAnswer()
        assert len(harness.started) == 1
        harness.run_until(CFG.backoff_first_ms + STEP_MS)
        assert isinstance(harness.outcomes[0], Answered)
        retry_times.add(harness.started[1].give_up_ms)
    assert len(retry_times) > 3


def test_faulty_requests_end_with_their_own_answer_and_eject_no_host() -> None:
    hosts = tuple(host(number) for number in range(9))
    cfg = DispatcherSettings(retry_burst=1_000, retry_ratio=3.0)
    harness = DispatcherHarness(request_dispatcher(hosts=hosts, cfg=cfg), ERROR)
    for number in range(60):
        harness.submit(request(number, deadline_ms=60_000))
        harness.run_until(harness.now + 1_000)
    assert len(harness.outcomes) == 60
    assert all(isinstance(outcome, Answered) for outcome in harness.outcomes)
    assert harness.dispatcher.counters.bad_jobs == 60
    harness.result = WholeAnswer()
    harness.started.clear()
    for number in range(100, 172):
        harness.submit(request(number, deadline_ms=100_000))
    assert {start.host for start in harness.started} == {item.host_id for item in hosts}


def test_leaving_hosts_are_skipped_and_the_pool_refuses_when_all_leave() -> None:
    harness = DispatcherHarness(
        request_dispatcher(hosts=(host(1), host(2))), RefusedByHost(is_leaving=True)
    )
    harness.submit(request(1, deadline_ms=2_000))
    assert len({start.host for start in harness.started}) == len(harness.started) == 2
    harness.submit(request(2))
    (refused,) = harness.outcomes
    assert isinstance(refused, NotRun)
    assert refused.reason is NotRunReason.NO_HOST
