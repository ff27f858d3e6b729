"""Reports of hosts that list only the first of many ends."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from amaranthtray.domain.ids import HostId, Term
from amaranthtray.domain.jobs.job import JobState
from amaranthtray.domain.jobs.record import decode_state
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import (
    EndReport,
    HostReport,
    HostsListed,
    StartOutcome,
)
from amaranthtray.jobs.ports import HostStatus
from amaranthtray.platform.host_client import MAX_ENDS, HostClient
from amaranthtray.web.http_channel import HttpChannel
from amaranthtray.web.http_peer import Response
from scheduling.parts import BORN, SchedulerHarness, a_host, a_job, a_step

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.orders import StartRun

TASKS = 4


def a_harness_with_runs() -> tuple[SchedulerHarness, list[StartRun]]:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job(a_step(count=TASKS)))
    orders = harness.starts()
    assert len(orders) == TASKS
    return harness, orders


def report_ends(
    harness: SchedulerHarness, orders: list[StartRun], *, has_all_ends: bool
) -> None:
    """Sends a report in which nothing runs and the runs of ``orders`` are done."""
    harness.now_ms += 1_000
    ends = tuple(
        EndReport(number, order.name, order.number, RunOutcome.DONE, "")
        for number, order in enumerate(orders, 1)
    )
    now_ms = harness.now_ms
    host = orders[0].host
    harness.send(HostReport(host, BORN, now_ms, now_ms, (), ends, has_all_ends))


def check_completed(harness: SchedulerHarness, order: StartRun) -> None:
    assert harness.starts() == []
    assert decode_state(harness.records[order.name.job]) is JobState.COMPLETED


def test_a_run_whose_end_is_not_listed_yet_does_not_start_again() -> None:
    """Guards against a second run of a task while many tasks of a host end."""
    harness, orders = a_harness_with_runs()
    for order in orders:
        harness.reply_to_start(order, StartOutcome.STARTED)
    report_ends(harness, orders[:2], has_all_ends=False)
    assert harness.starts() == []
    report_ends(harness, orders, has_all_ends=True)
    check_completed(harness, orders[0])


def test_after_a_takeover_a_run_whose_end_is_not_listed_yet_does_not_start_again() -> (
    None
):
    """Guards against a second run while a new conductor reads the ends of a host."""
    former, orders = a_harness_with_runs()
    spec = former.scheduler.state.jobs[orders[0].name.job].spec
    harness = SchedulerHarness()
    harness.submit(spec, record=former.records[spec.id])
    harness.send(HostsListed((a_host(),)))
    report_ends(harness, orders[:2], has_all_ends=False)
    assert harness.starts() == []
    report_ends(harness, orders, has_all_ends=True)
    check_completed(harness, orders[0])


def test_a_run_that_is_in_no_complete_report_starts_again() -> None:
    harness, orders = a_harness_with_runs()
    for order in orders:
        harness.reply_to_start(order, StartOutcome.STARTED)
    report_ends(harness, orders[:2], has_all_ends=True)
    assert [order.number for order in harness.starts()] == [2, 2]


@pytest.mark.parametrize(
    ("count", "has_all_ends"), [(0, True), (MAX_ENDS - 1, True), (MAX_ENDS, False)]
)
def test_a_full_list_of_ends_may_lack_some(
    count: int, *, has_all_ends: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = HostClient(HostId("h"), "127.0.0.1:80", Term(1))
    rows = [
        [number, f"a.0.0.{number}", 1, "done", ""] for number in range(1, count + 1)
    ]
    body = json.dumps({"clockMs": 1, "running": [], "finished": rows}).encode()
    monkeypatch.setattr(HttpChannel, "open", lambda *_: None)
    monkeypatch.setattr(HttpChannel, "call", lambda *_, **__: Response(200, body))
    status = client.poll(None, 0, 0)
    assert isinstance(status, HostStatus)
    assert status.has_all_ends is has_all_ends
