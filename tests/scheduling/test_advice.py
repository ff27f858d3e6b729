"""Placement advice: only allowed hosts get a step, and requests are rare."""

from __future__ import annotations

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.model import JobId, Resources
from amaranthtray.domain.scheduling._backoff import FULL_BACKOFF_MS
from amaranthtray.domain.scheduling._vacating import TAKEOVER_PAUSE_MS
from amaranthtray.domain.scheduling.advice import (
    EXPIRY_MARGIN_MS,
    AdviceFailed,
    AdviceReceived,
    RequestAdvice,
)
from amaranthtray.domain.scheduling.advice_queue import (
    MAX_LISTED,
    MAX_SERVICE_PAUSE_MS,
    MAX_STEP_PAUSE_MS,
    SERVICE_PAUSE_MS,
    STEP_PAUSE_MS,
)
from amaranthtray.domain.scheduling.messages import (
    Effect,
    JobCancelled,
    StartOutcome,
    VacateRequested,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from scheduling.parts import SchedulerHarness, a_catalog, a_host, a_job, a_step

VALID_MS = 10_000
H1, H2 = HostId("h1"), HostId("h2")
FEW_CORES_LEFT = Resources(6_000, 1, 0)


def a_harness() -> SchedulerHarness:
    return SchedulerHarness(
        a_host("h1"), a_host("h2"), catalog=a_catalog(needs_advice=True)
    )


def advice_requests(effects: list[Effect]) -> list[RequestAdvice]:
    return [each for each in effects if isinstance(each, RequestAdvice)]


def allow(harness: SchedulerHarness, request: RequestAdvice, *hosts: HostId) -> None:
    tickets = {host: f"ticket-of-{host}" for host in hosts}
    harness.send(
        AdviceReceived(request.step, request.hosts, tickets, harness.now_ms + VALID_MS)
    )


def test_nothing_starts_before_the_advice_arrives() -> None:
    harness = a_harness()
    harness.submit(a_job())
    effects = harness.plan()
    assert not any(isinstance(each, StartRun) for each in effects)
    assert [set(each.hosts) for each in advice_requests(effects)] == [{H1, H2}]


def test_a_start_carries_the_ticket_of_an_allowed_host() -> None:
    harness = a_harness()
    harness.submit(a_job(a_step(3)))
    (request,) = advice_requests(harness.plan())
    allow(harness, request, H2)
    starts = harness.starts()
    assert {(each.host, each.ticket) for each in starts} == {(H2, "ticket-of-h2")}
    assert len(starts) == 3


def test_a_request_that_has_no_answer_yet_is_not_repeated() -> None:
    """Guards against a queue that feeds itself once its wait is longer than a pause."""
    harness = a_harness()
    harness.submit(a_job())
    assert advice_requests(harness.plan())
    for _ in range(20):
        harness.now_ms += 500
        assert not advice_requests(harness.plan())


def test_a_failed_request_is_repeated_after_a_pause_that_doubles() -> None:
    harness = a_harness()
    harness.submit(a_job())
    (request,) = advice_requests(harness.plan())
    for pause_ms in (STEP_PAUSE_MS, 2 * STEP_PAUSE_MS, 4 * STEP_PAUSE_MS):
        harness.send(AdviceFailed(request.step))
        harness.now_ms += pause_ms - 1
        assert not advice_requests(harness.plan())
        harness.now_ms += 1
        assert advice_requests(harness.plan())


def test_pauses_after_failures_are_bounded() -> None:
    harness = a_harness()
    harness.submit(a_job())
    (request,) = advice_requests(harness.plan())
    for _ in range(40):
        harness.send(AdviceFailed(request.step))
        harness.now_ms += MAX_STEP_PAUSE_MS
        assert advice_requests(harness.plan())
    assert MAX_SERVICE_PAUSE_MS < MAX_STEP_PAUSE_MS


def test_a_step_whose_requests_fail_does_not_hold_up_others() -> None:
    harness = a_harness()
    harness.submit(a_job(name="a"))
    (request,) = advice_requests(harness.plan())
    harness.submit(a_job(name="b"))
    harness.send(AdviceFailed(request.step))
    harness.now_ms += SERVICE_PAUSE_MS
    assert [each.step.job for each in advice_requests(harness.plan())] == ["b"]


def test_a_cancelled_job_is_not_asked_for() -> None:
    """Guards against calls for steps that need no advice any more."""
    harness = a_harness()
    for name in ("a", "b", "c"):
        harness.submit(a_job(name=name))
    (request,) = advice_requests(harness.plan())
    harness.send(JobCancelled(JobId("b")))
    effects = harness.send(
        AdviceReceived(request.step, request.hosts, {}, harness.now_ms + VALID_MS)
    )
    assert [each.step.job for each in advice_requests(effects)] == ["c"]


def test_an_answer_for_a_cancelled_job_lets_the_next_one_go() -> None:
    harness = a_harness()
    harness.submit(a_job(name="a"))
    (request,) = advice_requests(harness.plan())
    harness.submit(a_job(name="b"))
    harness.send(JobCancelled(JobId("a")))
    harness.plan()
    effects = harness.send(
        AdviceReceived(request.step, request.hosts, {}, harness.now_ms + VALID_MS)
    )
    assert [each.step.job for each in advice_requests(effects)] == ["b"]


def test_the_next_request_does_not_wait_for_a_store_write() -> None:
    harness = a_harness()
    for number in range(2 * MAX_LISTED):
        harness.submit(a_job(name=f"j{number:02}"))
    (request,) = advice_requests(harness.plan())
    harness.scheduler.state.is_storing = True
    asked = []
    while True:
        asked.append(request.step.job)
        effects = harness.send(
            AdviceReceived(request.step, request.hosts, {}, harness.now_ms + VALID_MS)
        )
        if not advice_requests(effects):
            break
        (request,) = advice_requests(effects)
    assert asked == [f"j{number:02}" for number in range(MAX_LISTED)]


def test_steps_that_find_room_now_are_asked_for_first() -> None:
    """Guards against a wait for answers on hosts that have no room anyway."""
    harness = a_harness()
    full = a_step(1, need=Resources(4_000, 64_000, 0)), a_step(1, need=FEW_CORES_LEFT)
    for number, step in enumerate(full):
        harness.submit(a_job(step, name=f"r{number}"))
        (request,) = advice_requests(harness.plan())
        allow(harness, request, H1, H2)
        assert len(harness.starts()) == 1
    for number in range(2 * MAX_LISTED):
        large = a_step(1, need=Resources(4_000, 1_000, 0))
        harness.submit(a_job(large, name=f"a{number:02}"))
    harness.submit(a_job(a_step(1, need=Resources(1_000, 1, 0)), name="small"))
    assert [each.step.job for each in advice_requests(harness.plan())] == ["small"]


def test_hosts_that_can_never_run_a_task_are_not_asked_for() -> None:
    harness = SchedulerHarness(
        a_host("h1"), a_host("h2", cores=2), catalog=a_catalog(needs_advice=True)
    )
    harness.submit(a_job(a_step(1, need=Resources(4_000, 1, 0))))
    assert [each.hosts for each in advice_requests(harness.plan())] == [(H1,)]


def test_advice_on_a_denied_host_is_not_requested_again() -> None:
    harness = a_harness()
    harness.submit(a_job(a_step(20)))
    (request,) = advice_requests(harness.plan())
    allow(harness, request, H1)
    assert len(harness.starts()) == 8
    harness.now_ms += VALID_MS // 2
    assert not advice_requests(harness.plan())


def test_a_ticket_that_expires_soon_is_not_used() -> None:
    harness = a_harness()
    harness.submit(a_job())
    (request,) = advice_requests(harness.plan())
    allow(harness, request, H1)
    harness.now_ms += VALID_MS - EXPIRY_MARGIN_MS
    assert not harness.starts()


def test_advice_on_a_host_that_refused_a_ticket_is_requested_again() -> None:
    harness = a_harness()
    harness.submit(a_job())
    (request,) = advice_requests(harness.plan())
    allow(harness, request, H1)
    (order,) = harness.starts()
    harness.reply_to_start(order, StartOutcome.NO_TICKET)
    harness.now_ms += FULL_BACKOFF_MS
    assert [each.hosts for each in advice_requests(harness.plan())] == [(H1,)]


def a_lasting_task(*allowed: HostId) -> tuple[SchedulerHarness, StartRun]:
    """Returns a pool with a lasting task whose tickets have expired, and its start."""
    harness = a_harness()
    harness.submit(a_job(a_step(1, is_lasting=True, may_miss=1)))
    (request,) = advice_requests(harness.plan())
    allow(harness, request, *allowed)
    (start,) = harness.starts()
    harness.now_ms += 2 * VALID_MS
    harness.report(start.host, running=((start.name, start.number),))
    harness.plan()
    harness.now_ms += TAKEOVER_PAUSE_MS
    return harness, start


def test_a_lasting_task_stays_where_the_policy_allows_no_other_host() -> None:
    """Guards against a task that is stopped for a host that it may not use."""
    harness, start = a_lasting_task(H1)
    harness.submit(a_job(name="b"))
    harness.send(VacateRequested(frozenset({start.host})))
    for _ in range(20):
        effects = harness.plan()
        assert not any(isinstance(each, StopRun) for each in effects)
        harness.now_ms += 100


def test_a_lasting_task_leaves_its_host_once_another_one_gives_a_ticket() -> None:
    harness, start = a_lasting_task(H1, H2)
    harness.send(VacateRequested(frozenset({start.host})))
    effects = harness.plan()
    assert not any(isinstance(each, StopRun) for each in effects)
    (request,) = advice_requests(effects)
    (other,) = request.hosts
    assert other != start.host
    allow(harness, request, other)
    harness.now_ms += 100
    assert any(isinstance(each, StopRun) for each in harness.plan())


def test_a_request_for_a_move_waits_for_its_turn() -> None:
    """Guards against a host that is never emptied while many jobs need advice."""
    harness, start = a_lasting_task(H1, H2)
    for number in range(3):
        harness.submit(a_job(name=f"j{number}"))
    (request,) = advice_requests(harness.plan())
    harness.send(VacateRequested(frozenset({start.host})))
    for _ in range(3):
        harness.plan()
        harness.now_ms += 10
    answer = AdviceReceived(request.step, request.hosts, {}, 0)
    assert [each.step.job for each in advice_requests(harness.send(answer))] == ["a"]
