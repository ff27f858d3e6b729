"""Each request for placement advice has exactly one outcome."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING, Any

import pytest

from amaranthtray.domain.ids import HostId, PoolName, Term
from amaranthtray.domain.jobs.model import JobId, StepKey
from amaranthtray.domain.scheduling.advice import (
    AdviceFailed,
    AdviceReceived,
    RequestAdvice,
)
from amaranthtray.jobs.advice_requester import AdviceRequester
from amaranthtray.jobs.call_turns import CallTurns
from amaranthtray.jobs.conductor_log import ConductorLog
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.ports import Advice, NoAdvice
from jobs.test_run_time_store import Log

if TYPE_CHECKING:
    from amaranthtray.jobs.ports import Adviser

STEP = StepKey(JobId("a"), 0, 0)
REQUEST = RequestAdvice(STEP, (HostId("h1"), HostId("h2")))


class FixedAdviser:
    """Gives one reply, or raises it."""

    def __init__(self, reply: Advice | NoAdvice | Exception) -> None:
        self.reply = reply

    def request(self, request: RequestAdvice) -> Advice | NoAdvice:
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def a_requester(adviser: Adviser | None) -> tuple[AdviceRequester, Any]:
    lines: Any = Log()
    log = ConductorLog(PoolName("pool"), Term(1), lines, MetricsRegistry())
    return AdviceRequester(adviser, lambda message: None, log, CallTurns()), lines


@pytest.mark.parametrize(
    "adviser", [None, FixedAdviser(NoAdvice("429")), FixedAdviser(RuntimeError())]
)
def test_a_call_without_an_answer_is_reported(adviser: Adviser | None) -> None:
    """Guards against a pool that waits for an answer that never comes."""
    requester, lines = a_requester(adviser)
    assert requester.carry_out(REQUEST) == AdviceFailed(STEP)
    assert [event for event, _ in lines.lines][-1] == "no-advice"


def test_an_answer_is_reported_with_its_tickets() -> None:
    advice = Advice({HostId("h2"): "ticket"}, 10_000)
    requester, lines = a_requester(FixedAdviser(advice))
    received = requester.carry_out(REQUEST)
    assert isinstance(received, AdviceReceived)
    assert (received.hosts, received.tickets) == (REQUEST.hosts, advice.tickets)
    assert [event for event, _ in lines.lines] == ["advice"]


class CountingAdviser:
    """Answers each call once it is let go on, and counts those under way."""

    def __init__(self) -> None:
        self.under_way = self.most = 0
        self.arrived: queue.SimpleQueue[StepKey] = queue.SimpleQueue()
        self.may_go_on = threading.Semaphore(0)

    def request(self, request: RequestAdvice) -> Advice:
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        self.arrived.put(request.step)
        self.may_go_on.acquire()
        self.under_way -= 1
        return Advice({}, 1_000)


def test_pools_of_an_entry_take_turns_at_the_service() -> None:
    """Guards against calls that time out while they wait for those of other pools."""
    adviser, turns = CountingAdviser(), CallTurns()
    outcomes: queue.SimpleQueue[Any] = queue.SimpleQueue()
    lines: Any = Log()
    log = ConductorLog(PoolName("pool"), Term(1), lines, MetricsRegistry())
    requesters = [AdviceRequester(adviser, outcomes.put, log, turns) for _ in range(4)]
    for number, requester in enumerate(requesters):
        requester.start()
        requester.request(RequestAdvice(StepKey(JobId(str(number)), 0, 0), ()))
    seen = set()
    for _ in requesters:
        seen.add(adviser.arrived.get(timeout=10).job)
        adviser.may_go_on.release()
        outcomes.get(timeout=10)
    for requester in requesters:
        requester.stop()
    assert seen == {"0", "1", "2", "3"}
    assert adviser.most == 1
