"""Placement advice: only allowed hosts get a step, and requests are rare."""

from __future__ import annotations

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.scheduling.advice import (
    EXPIRY_MARGIN_MS,
    REQUEST_RETRY_MS,
    AdviceReceived,
    RequestAdvice,
)
from amaranthtray.domain.scheduling.messages import Effect, StartOutcome
from amaranthtray.domain.scheduling.orders import StartRun
from scheduling.parts import SchedulerHarness, a_catalog, a_host, a_job, a_step

VALID_MS = 10_000
H1, H2 = HostId("h1"), HostId("h2")


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


def test_a_request_without_a_response_is_repeated_after_a_delay() -> None:
    harness = a_harness()
    harness.submit(a_job())
    assert advice_requests(harness.plan())
    harness.now_ms += REQUEST_RETRY_MS - 1
    assert not advice_requests(harness.plan())
    harness.now_ms += 1
    assert advice_requests(harness.plan())


def test_advice_on_a_denied_host_is_not_requested_again() -> None:
    harness = a_harness()
    harness.submit(a_job(a_step(20)))
    (request,) = advice_requests(harness.plan())
    allow(harness, request, H1)
    assert len(harness.starts()) == 8
    harness.now_ms += 2 * REQUEST_RETRY_MS
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
    harness.now_ms += REQUEST_RETRY_MS
    assert [each.hosts for each in advice_requests(harness.plan())] == [(H1,)]
