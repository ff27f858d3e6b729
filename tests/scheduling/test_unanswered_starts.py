"""A start that had no reply may be carried out later, whatever a repetition shows."""

from __future__ import annotations

import pytest

from amaranthtray.domain.scheduling.messages import StartOutcome, StopReplied
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from scheduling.parts import SchedulerHarness, a_host, a_job

REFUSALS = [
    StartOutcome.UNHEALTHY,
    StartOutcome.NO_ROOM,
    StartOutcome.NO_TICKET,
    StartOutcome.REFUSED,
]


def a_harness_with_an_order() -> tuple[SchedulerHarness, StartRun]:
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    return harness, harness.starts()[0]


@pytest.mark.parametrize("outcome", [*REFUSALS, StartOutcome.NO_REPLY])
def test_a_start_without_a_reply_is_stopped_although_its_repetition_was_refused(
    outcome: StartOutcome,
) -> None:
    """Guards against a second run beside a first order that is carried out late."""
    harness, order = a_harness_with_an_order()
    harness.now_ms = 1_000
    stops = harness.reply_to_start(order, outcome, repeated=True)
    assert stops == [StopRun(order.host, order.name, order.number)]
    harness.now_ms = 3_000
    harness.report(order.host)
    assert harness.starts() == []
    harness.send(StopReplied(order.host, order.name, order.number, 3_100))
    harness.report(order.host, sent_ms=3_050)
    assert harness.starts() == []
    harness.now_ms = 5_000
    harness.report(order.host)
    assert [again.number for again in harness.starts()] == [2]


@pytest.mark.parametrize("outcome", REFUSALS)
def test_a_start_whose_only_try_was_refused_starts_elsewhere_at_once(
    outcome: StartOutcome,
) -> None:
    harness, order = a_harness_with_an_order()
    assert harness.reply_to_start(order, outcome) == []
    harness.now_ms = 600
    assert [again.number for again in harness.starts()] == [2]


@pytest.mark.parametrize("outcome", [*REFUSALS, StartOutcome.NO_REPLY])
def test_a_run_that_its_host_reports_goes_on_although_a_repetition_was_refused(
    outcome: StartOutcome,
) -> None:
    """Guards against the stop of a run whose reply alone was lost."""
    harness, order = a_harness_with_an_order()
    harness.report(order.host, running=((order.name, order.number),))
    assert harness.reply_to_start(order, outcome, repeated=True) == []
    assert harness.starts() == []


def test_a_run_that_is_being_stopped_is_not_stopped_again_by_a_late_refusal() -> None:
    harness, order = a_harness_with_an_order()
    harness.reply_to_start(order, StartOutcome.NO_REPLY, repeated=True)
    refused = StartOutcome.UNHEALTHY
    assert harness.reply_to_start(order, refused, repeated=True) == []
    harness.now_ms = 1_000
    harness.report(order.host)
    assert harness.starts() == []
