"""Unrepeatable requests sent to several entries run once, over real links and HTTP."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from amaranthtray.demo.call_log import CallLog
from amaranthtray.demo.callers import Call, Callers, CallResult
from amaranthtray.demo.fleet import Fleet, wait_until
from amaranthtray.demo.script import BOOKINGS, DemoScript
from amaranthtray.standins.faults import Faults

if TYPE_CHECKING:
    from collections.abc import Iterator

E1, E2, E3 = range(3)
STORE_UNAVAILABLE = Faults(cut=True)


class Cluster:
    """Three entries in two zones, configured as in the demo."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.fleet.start()
        self.script = DemoScript(self.fleet, lambda line: None)
        self.script.configure()
        urls = [self.fleet.caller_url(number) for number in range(3)]
        self.callers = Callers(urls, CallLog())
        self.key = self.script.red.text

    def call(
        self, request_id: str, entry: int, *, work: str = "sleep:50"
    ) -> CallResult:
        body = f"{work} {request_id}".encode()
        call = Call(request_id, BOOKINGS, body, self.key, repeatable=False)
        return self.callers.send(call, entry)

    def issue(self, entry: int) -> str:
        return self.callers.issue_ids(self.key, 1, entry)[0]

    def runs(self, request_id: str) -> int:
        counts = Counter(
            run.request_id
            for server in self.fleet.servers.values()
            for run in server.runs
        )
        return counts[request_id]


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    cluster = Cluster()
    yield cluster
    cluster.fleet.stop()


@pytest.fixture(autouse=True)
def _clear_faults(cluster: Cluster) -> Iterator[None]:
    yield
    for platform in cluster.fleet.platforms.values():
        platform.fault_plan.clear_faults()


@pytest.mark.parametrize("entry", [E1, E2, E3])
def test_issued_id_runs_once_whichever_entry_receives_it(
    cluster: Cluster, entry: int
) -> None:
    request_id = cluster.issue(E1)
    result = cluster.call(request_id, entry)
    assert (result.status, result.outcome) == (200, "answered")
    assert result.body.startswith(request_id.encode() + b"|")
    assert cluster.runs(request_id) == 1


def test_copies_in_flight_at_all_entries_run_once(cluster: Cluster) -> None:
    for request_id in (cluster.issue(E2), "sweep-17"):
        with ThreadPoolExecutor(6) as executor:
            calls = [
                executor.submit(cluster.call, request_id, number % 3, work="sleep:200")
                for number in range(6)
            ]
            results = [call.result() for call in calls]
        assert cluster.runs(request_id) == 1
        assert {result.outcome for result in results} == {"answered"}
        assert len({result.body for result in results}) == 1


def test_copy_after_the_end_gets_the_stored_answer(cluster: Cluster) -> None:
    first = cluster.call("sweep-18", E1)
    again = cluster.call("sweep-18", E3)
    assert again.body == first.body
    assert cluster.runs("sweep-18") == 1


def test_same_id_with_other_content_is_refused(cluster: Cluster) -> None:
    cluster.call("sweep-19", E1)
    other = cluster.call("sweep-19", E1, work="sleep:51")
    assert other.status == 422
    assert cluster.runs("sweep-19") == 1


def test_without_store_chosen_id_is_unknown_and_issued_id_runs(
    cluster: Cluster,
) -> None:
    issued = cluster.issue(E1)
    for platform in cluster.fleet.platforms.values():
        platform.fault_plan.set(STORE_UNAVAILABLE)
    refused = cluster.call("sweep-20", E1)
    assert (refused.status, refused.outcome) == (503, "unknown")
    assert cluster.runs("sweep-20") == 0
    assert cluster.call(issued, E1).outcome == "answered"


def test_lost_reply_of_the_claim_is_resolved(cluster: Cluster) -> None:
    zone = cluster.fleet.entries[E1].settings.entry.zone
    platform = next(p for z, p in cluster.fleet.platforms.items() if z == zone)
    platform.fault_plan.lose_next_replies(1)
    result = cluster.call("sweep-21", E1)
    assert result.outcome in ("answered", "unknown")
    assert cluster.runs("sweep-21") == (1 if result.outcome == "answered" else 0)


def test_outcome_is_unknown_while_the_home_is_unreachable(cluster: Cluster) -> None:
    issued = cluster.issue(E1)
    assert cluster.call(issued, E1).outcome == "answered"
    home, other = cluster.fleet.entries[E1], cluster.fleet.entries[E2]
    other.links.hub.block(home.links.hub.settings.entry)
    try:
        copy = Call(
            issued,
            BOOKINGS,
            f"sleep:50 {issued}".encode(),
            cluster.key,
            repeatable=False,
            deadline_ms=700,
        )
        assert cluster.callers.send(copy, E2).outcome == "unknown"
    finally:
        other.links.hub.unblock(home.links.hub.settings.entry)
    assert cluster.runs(issued) == 1
    wait_until(
        lambda: cluster.call(issued, E2).outcome == "answered", "the link is up again"
    )


def test_copy_does_not_wait_beyond_its_own_deadline(cluster: Cluster) -> None:
    issued = cluster.issue(E1)
    body = f"sleep:1500 {issued}".encode()
    first = Call(issued, BOOKINGS, body, cluster.key, repeatable=False)
    short_deadline = replace(first, deadline_ms=200)
    with ThreadPoolExecutor(2) as executor:
        running = executor.submit(cluster.callers.send, first, E1)
        wait_until(lambda: cluster.runs(issued) == 1, "the first request runs")
        assert cluster.callers.send(short_deadline, E1).outcome == "unknown"
        assert not running.done()
        assert running.result().outcome == "answered"
    assert cluster.runs(issued) == 1
