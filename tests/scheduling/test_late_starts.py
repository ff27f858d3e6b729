"""Starts without a reply that a later incarnation of their host may carry out."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from amaranthtray.domain.scheduling._late_starts import LATEST_START_MS
from amaranthtray.domain.scheduling.losses import LateStartAwaited
from amaranthtray.domain.scheduling.messages import (
    HostRunsEnded,
    HostsListed,
    StartOutcome,
)
from scheduling.parts import BORN, SchedulerHarness, a_host, a_job

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.orders import StartRun

LATER, LONGEST_MS = BORN + 1, 10_205


def an_unanswered_start(*, listed: int) -> tuple[SchedulerHarness, StartRun]:
    """Returns a start without a reply, and then an incarnation in the host's entry."""
    harness = SchedulerHarness(a_host(born=BORN), a_host("i", born=BORN))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.NO_REPLY)
    born = {"h": BORN, "i": BORN, order.host: listed}
    harness.send(HostsListed(tuple(a_host(name, born=born[name]) for name in "hi")))
    return harness, order


@pytest.mark.parametrize("listed", [LATER, 0])
def test_a_start_that_a_later_incarnation_may_carry_out_is_waited_for(
    listed: int,
) -> None:
    """Guards against two runs of a task, one of them by a late start."""
    harness, order = an_unanswered_start(listed=listed)
    ended = HostRunsEnded(order.host)
    (awaited,) = harness.send(ended)
    assert isinstance(awaited, LateStartAwaited)
    assert harness.send(ended) == []
    harness.now_ms = LATEST_START_MS + LONGEST_MS - 1
    harness.send(ended)
    assert harness.starts() == []
    harness.now_ms += 1
    harness.send(ended)
    assert [again.number for again in harness.starts()] == [2]


def test_a_report_of_the_later_incarnation_ends_the_wait_for_a_late_start() -> None:
    """Guards against a task that waits for a start which is fenced off."""
    harness, order = an_unanswered_start(listed=LATER)
    harness.send(HostRunsEnded(order.host))
    harness.report(order.host, born=LATER)
    assert [again.number for again in harness.starts()] == [2]


def test_a_confirmed_repetition_leaves_its_first_try_to_be_waited_for() -> None:
    """Guards against a second run by the first of two tries."""
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED, repeated=True)
    (awaited,) = harness.send(HostRunsEnded(order.host))
    assert isinstance(awaited, LateStartAwaited)


def test_runs_of_an_earlier_conductor_may_start_late() -> None:
    """Guards against runs given up after a takeover although a start may come."""
    former = SchedulerHarness(a_host(born=BORN))
    former.submit(job := a_job())
    order = former.starts()[0]
    harness = SchedulerHarness()
    harness.submit(job, record=former.records[job.id])
    harness.send(HostsListed((a_host(born=LATER), a_host("i", born=BORN))))
    harness.report("i")
    (awaited,) = harness.send(HostRunsEnded(order.host))
    assert isinstance(awaited, LateStartAwaited)
    assert harness.starts() == []
