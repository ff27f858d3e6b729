"""A job is pending until a host has started one of its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from amaranthtray.domain.jobs.record import encode_job, restore
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import HostsListed, StartOutcome
from scheduling.parts import QUEUE, SchedulerHarness, a_host, a_job, an_end

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.orders import StartRun


def a_harness_with_an_order() -> tuple[SchedulerHarness, StartRun]:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    return harness, harness.starts()[0]


def pending(harness: SchedulerHarness) -> int:
    return harness.scheduler.state.pending()[QUEUE]


@pytest.mark.parametrize(
    "outcome", [StartOutcome.UNHEALTHY, StartOutcome.NO_ROOM, StartOutcome.NO_REPLY]
)
def test_a_job_whose_starts_were_all_refused_is_pending(outcome: StartOutcome) -> None:
    """Guards against a queue that shows no waiting jobs while its hosts refuse all."""
    harness, order = a_harness_with_an_order()
    assert pending(harness) == 1
    harness.reply_to_start(order, outcome)
    assert pending(harness) == 1


def test_a_job_is_not_pending_once_its_host_confirms_the_start() -> None:
    harness, order = a_harness_with_an_order()
    harness.reply_to_start(order, StartOutcome.STARTED)
    assert pending(harness) == 0


def test_a_job_is_not_pending_once_its_host_reports_the_run() -> None:
    harness, order = a_harness_with_an_order()
    harness.report(order.host, running=((order.name, order.number),))
    assert pending(harness) == 0


def test_a_job_whose_run_has_failed_is_not_pending_again() -> None:
    harness, order = a_harness_with_an_order()
    harness.report(order.host, ends=(an_end(order, RunOutcome.FAILED),))
    assert pending(harness) == 0


@pytest.mark.parametrize(("is_running", "count"), [(True, 0), (False, 1)])
def test_after_a_takeover_the_hosts_report_decides(
    *, is_running: bool, count: int
) -> None:
    former, order = a_harness_with_an_order()
    spec = former.scheduler.state.jobs[order.name.job].spec
    harness = SchedulerHarness()
    harness.submit(spec, record=former.records[spec.id])
    harness.send(HostsListed((a_host(),)))
    assert pending(harness) == 0
    running = ((order.name, order.number),) if is_running else ()
    harness.report(order.host, running=running)
    assert pending(harness) == count


def test_a_job_that_has_begun_stays_so_in_its_record() -> None:
    harness, order = a_harness_with_an_order()
    harness.report(order.host, ends=(an_end(order, RunOutcome.STOPPED),))
    job = harness.scheduler.state.jobs[order.name.job]
    assert restore(job.spec, encode_job(job)).has_started


def test_a_running_job_of_an_earlier_version_has_begun() -> None:
    harness, order = a_harness_with_an_order()
    job = harness.scheduler.state.jobs[order.name.job]
    record = msgspec.json.decode(encode_job(job))
    del record["has_started"]
    assert restore(job.spec, msgspec.json.encode(record)).has_started
