"""Requests to evacuate zones are followed past broken watches, and only when needed."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from amaranthtray.domain.ids import HostId, Term, ZoneId
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.scheduling import evacuation
from amaranthtray.domain.scheduling.evacuation import ZonesEvacuated
from amaranthtray.domain.scheduling.start_check import StartHindrance
from amaranthtray.jobs.call_turns import CallTurns
from amaranthtray.jobs.conductor_log import ConductorLog
from amaranthtray.jobs.evacuation_follower import EvacuationFollower
from amaranthtray.jobs.evacuation_reporter import EvacuationReporter
from amaranthtray.jobs.event_log import EventLog
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.pool_conductor import PoolConductor
from amaranthtray.platform.documents import EVACUATIONS_PREFIX, decode_evacuation
from amaranthtray.settings.job_entry import StoreSection
from amaranthtray.store.contract import Put, Transaction
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite
from scheduling.parts import POOL

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.messages import Message

ROLE = "pool"
A, B = ZoneId("a"), ZoneId("b")


class FakePlatform:
    """The platform's names and decoding of requests."""

    evacuations_prefix = EVACUATIONS_PREFIX
    decode_evacuation = staticmethod(decode_evacuation)


class FakeLog:
    """A log that keeps its events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def names(self) -> list[str]:
        return [event for event, _ in self.events]


class EvacuationSite(StoreSite):
    """A store with requests, and one role that follows them."""

    def __init__(self) -> None:
        super().__init__()
        self.posted: list[Message] = []
        self.lines = FakeLog()
        self.follower = EvacuationFollower(
            self.store,
            FakePlatform(),  # type: ignore[arg-type]
            self.lines,  # type: ignore[arg-type]
            start_limit_ms=5_000,
            known_zones=lambda: frozenset({A, B}),
        )

    def request(self, zone: str, value: bytes = b"{}") -> None:
        put = Put(f"{EVACUATIONS_PREFIX}{zone}", value)
        self.store.commit(Transaction(puts=(put,))).unwrap()

    def withdraw(self, zone: str) -> None:
        key = f"{EVACUATIONS_PREFIX}{zone}"
        self.store.commit(Transaction(removes=(key,))).unwrap()

    def subscribe(self) -> bool:
        return self.follower.subscribe(ROLE, self.posted.append)


def test_a_role_knows_the_requests_before_it_acts() -> None:
    site = EvacuationSite()
    site.request("a")
    site.plan_faults("list", Fault.ERROR)
    assert not site.subscribe()
    assert not site.posted
    assert site.subscribe()
    assert site.posted[-1] == ZonesEvacuated(frozenset({A}))


def test_a_role_that_begins_later_reads_the_requests_anew() -> None:
    """The watch of the entry's other roles may be on a dead connection."""
    site = EvacuationSite()
    site.subscribe()
    site.request("a")
    posted: list[Message] = []
    assert site.follower.subscribe("other", posted.append)
    assert posted[-1] == site.posted[-1] == ZonesEvacuated(frozenset({A}))


def test_a_request_and_its_withdrawal_are_posted() -> None:
    site = EvacuationSite()
    site.subscribe()
    for change in (site.request, site.withdraw):
        change("a")
        site.follower.step()
    zones = [each.zones for each in site.posted if isinstance(each, ZonesEvacuated)]
    assert zones == [frozenset(), frozenset({A}), frozenset()]
    assert site.lines.names() == ["evacuation", "evacuation-ended"]


def test_a_request_removed_while_the_watch_was_broken_is_withdrawn() -> None:
    site = EvacuationSite()
    site.request("a")
    site.request("b")
    site.subscribe()
    site.withdraw("a")
    site.plan_faults("watch", Fault.ERROR)
    site.plan_faults("list", Fault.ERROR)
    for _ in range(2):
        assert not site.follower.step()
        assert site.follower.zones == {A, B}
    assert site.follower.step()
    assert site.follower.zones == {B}


def test_a_watch_that_began_before_a_list_does_not_undo_it() -> None:
    site = EvacuationSite()
    site.subscribe()
    watch = site.store.watch

    def list_meanwhile(*args: Any, **kwargs: Any) -> Any:
        reply = watch(*args, **kwargs)
        site.request("a")
        site.follower.subscribe("other", lambda message: None)
        site.withdraw("a")
        site.request("b")
        site.follower.subscribe("other", lambda message: None)
        return reply

    site.request("a")
    site.store.watch = list_meanwhile  # type: ignore[method-assign]
    site.follower.step()
    assert site.follower.zones == {B}


def test_zones_are_read_only_while_a_role_is_held() -> None:
    site = EvacuationSite()
    site.request("a")
    site.subscribe()
    site.follower.unsubscribe(ROLE, site.posted.append)
    assert site.follower.zones == frozenset()


@pytest.mark.parametrize(
    ("zone", "value"),
    [("", b"{}"), ("a/b", b"{}"), ("b", b"["), ("b", b"[]"), ("a", b"")],
)
def test_an_unreadable_request_is_logged_once_and_changes_nothing(
    zone: str, value: bytes
) -> None:
    site = EvacuationSite()
    site.request("a")
    site.subscribe()
    site.request(zone, value)
    for _ in range(2):
        assert site.subscribe()
    assert site.follower.zones == {A}
    lines = [fields for name, fields in site.lines.events if "unreadable" in name]
    assert len(lines) == 1
    assert lines[0]["why"]


def test_a_zone_without_hosts_is_logged() -> None:
    site = EvacuationSite()
    site.request("nowhere")
    site.subscribe()
    site.follower.step()
    site.follower.step()
    assert site.lines.names().count("evacuation-unknown-zone") == 1


def test_reports_are_counted_by_cause() -> None:
    metrics, task = MetricsRegistry(), TaskName(JobId("a"), 0, 0, 0)
    lines: Any = FakeLog()
    reporter = EvacuationReporter(ConductorLog(POOL, Term(1), lines, metrics))
    reporter.record(evacuation.StartWithheld(HostId("h"), task, 1))
    reporter.count_unsent_start(StartHindrance.EVACUATED)
    reporter.count_unsent_start(StartHindrance.LEAVING)
    kind = evacuation.RunKind.LASTING
    reporter.record(evacuation.RunsMoved(A, kind, (task, task), 5))
    reporter.record(evacuation.EvacuationHosts(has_hosts=False))
    assert metrics.totals("starts_withheld") == {"held": 1, "queued": 1, "leaving": 1}
    assert metrics.totals("runs_moved") == {"evacuation_lasting": 2}
    assert reporter.lacks_hosts
    assert lines.names() == ["start-withheld", "runs-moved", "evacuation-no-host"]


def test_a_conductor_that_cannot_read_the_requests_does_not_plan() -> None:
    """It must not even ask for hosts, which the context of this test lacks."""
    site, log = EvacuationSite(), EventLog({}, write=lambda data: None)
    context: Any = SimpleNamespace(store=site.store, log=log, metrics=MetricsRegistry())
    context.settings = SimpleNamespace(
        hosts=SimpleNamespace(max_lease_ms=9_000),
        store=StoreSection(address="127.0.0.1:1"),
        jobs=SimpleNamespace(cancellation_limit_ms=3_000),
    )
    context.platform = SimpleNamespace(adviser=lambda: None)
    context.advice_turns = CallTurns()
    stop = SimpleNamespace(subscribe=lambda role, post: conductor.stop())
    context.evacuations = stop
    conductor = PoolConductor(POOL, Term(1), lambda: Term(1), context)
    conductor._conduct()
    assert conductor._stopping.is_set()
