"""A host that has said it is leaving gets no start, on whatever way the start comes."""

from __future__ import annotations

import json
import queue
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest
from returns.result import Failure, Success

from adapter.test_documents import HOST_ENTRY
from amaranthtray.domain.ids import HostId, Term
from amaranthtray.domain.scheduling.messages import StartOutcome, StartReplied
from amaranthtray.domain.scheduling.start_check import StartHindrance
from amaranthtray.jobs import host_link, host_list_follower
from amaranthtray.jobs.conductor_log import ConductorLog
from amaranthtray.jobs.host_link import HostLink
from amaranthtray.jobs.host_links import HostLinks, LinkMessage
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.term_guard import TermGuard
from amaranthtray.store.contract import (
    Listing,
    Unavailable,
    Versioned,
    WatchBatch,
    WatchEvent,
)
from jobs.test_foreign_host_entries import POOL, PREFIX, Site
from jobs.test_host_link import INCARNATION, FakeHost, an_order
from scheduling.parts import a_host

if TYPE_CHECKING:
    from collections.abc import Callable


HOST = HostId("h")
LEAVING_LIMIT_MS = 2_000
LIMIT_MS = 3_000
DRAINING = HOST_ENTRY | {"state": "draining", "remainingMs": 1_500}


class Orders:
    """One listed host, its link under a conductor, and a clock that tests move."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_ms = 50_000
        for module in (host_link, host_list_follower):
            monkeypatch.setattr(module, "steady_ms", lambda: self.now_ms)
        monkeypatch.setattr(HostLink, "start", lambda link: None)
        self.site = Site()
        self.site.write(HOST, HOST_ENTRY)
        assert self.site.follower._read()
        self.on_start: Callable[[], StartOutcome] = lambda: StartOutcome.STARTED
        self.api = FakeHost(lambda: self.on_start())
        self.posted: queue.Queue[LinkMessage] = queue.Queue()
        lines: Any = self.site.lines
        hosts = SimpleNamespace(
            max_lease_ms=9_000, leaving_start_limit_ms=LEAVING_LIMIT_MS
        )
        self.evacuations_age_ms, self.cancellations_age_ms = 0, 0
        context: Any = SimpleNamespace(
            platform=SimpleNamespace(host_api=lambda info, term: self.api),
            settings=SimpleNamespace(
                hosts=hosts,
                jobs=SimpleNamespace(cancellation_limit_ms=LIMIT_MS),
                evacuation=SimpleNamespace(start_limit_ms=LIMIT_MS),
            ),
            evacuations=SimpleNamespace(
                zones=frozenset(), age_ms=lambda: self.evacuations_age_ms
            ),
            hosts=self.site.follower,
            log=lines,
        )
        guard = TermGuard(Term(1), lambda: Term(1))
        log = ConductorLog(POOL, Term(1), lines, MetricsRegistry())
        links = HostLinks(
            context, guard, self.posted.put, log, lambda: self.cancellations_age_ms
        )
        links.open(a_host(HOST))
        self.link = links._links[HOST]
        self.link._lease.record_answer(0, INCARNATION, self.now_ms)
        self.link.record_incarnation(INCARNATION)

    def leave(self) -> None:
        """Lets the host say that it leaves, and the entry learn it."""
        self.site.write(HOST, DRAINING)
        assert self.site.follower._read()

    def reply(self) -> StartReplied:
        """Returns the next posted reply to a start."""
        message = self.posted.get(timeout=5).message
        assert isinstance(message, StartReplied)
        return message


def test_a_start_that_waited_for_others_is_not_sent_to_a_leaving_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts that wait in a queue while their host begins to leave."""
    orders = Orders(monkeypatch)

    def leave() -> StartOutcome:
        orders.leave()
        return StartOutcome.STARTED

    orders.on_start = leave
    first = an_order()
    orders.link.order(first)
    orders.link.order(replace(first, number=2))
    assert orders.reply().outcome is StartOutcome.STARTED
    assert orders.reply().outcome is not StartOutcome.STARTED
    assert orders.api.starts == 1


def test_a_start_without_a_reply_is_not_repeated_at_a_leaving_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a further try that reaches a host which began to leave."""
    orders = Orders(monkeypatch)

    def leave() -> StartOutcome:
        orders.leave()
        return StartOutcome.NO_REPLY

    orders.on_start = leave
    orders.link.start_run(an_order())
    assert orders.api.starts == 1
    # The first try may still be carried out, so the run has to be stopped.
    assert orders.reply().outcome is StartOutcome.NO_REPLY


@pytest.mark.parametrize(("age_ms", "starts"), [(500, 1), (LEAVING_LIMIT_MS, 0)])
def test_no_start_is_sent_under_a_list_of_hosts_that_stands_still(
    age_ms: int, starts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts on a host whose leaving the entry can't have learned."""
    orders = Orders(monkeypatch)
    orders.now_ms += age_ms
    orders.link.start_run(an_order())
    assert orders.api.starts == starts
    assert not orders.reply().was_repeated


def test_a_host_that_is_no_longer_listed_gets_no_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts on a host that has left."""
    orders = Orders(monkeypatch)
    orders.site.write(HOST, HOST_ENTRY | {"state": "gone"})
    assert orders.site.follower._read()
    orders.link.start_run(an_order())
    assert orders.api.starts == 0


@pytest.mark.parametrize("view", ["evacuations_age_ms", "cancellations_age_ms"])
@pytest.mark.parametrize(("age_ms", "starts"), [(900, 1), (LIMIT_MS, 0), (None, 0)])
def test_no_start_is_sent_while_what_forbids_it_cannot_be_known(
    view: str, age_ms: int | None, starts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts in evacuated zones, or of cancelled jobs."""
    orders = Orders(monkeypatch)
    setattr(orders, view, age_ms)
    orders.link.start_run(an_order())
    assert orders.api.starts == starts


def test_a_start_that_waited_long_for_others_is_planned_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts on a host that has shrunk since they were ordered."""
    orders = Orders(monkeypatch)
    orders.link.start_run(an_order(), orders.now_ms - LEAVING_LIMIT_MS - 1)
    assert orders.api.starts == 0
    assert orders.reply().hindrance is StartHindrance.DELAYED


class ScriptedStore:
    """A store whose lists and watches reply as the test says."""

    def __init__(self, lists: list[Any], watches: list[Any]) -> None:
        self._lists, self._watches = iter(lists), iter(watches)
        self.on_list: Callable[[], object] = lambda: None

    def list(self, prefix: str) -> Any:
        self.on_list()
        return next(self._lists)

    def watch(self, prefix: str, *, after_version: int, timeout_ms: int) -> Any:
        return next(self._watches)


def item(entry: dict[str, Any], version: int) -> Versioned:
    return Versioned(f"{PREFIX}{HOST}", json.dumps(entry).encode(), version, None)


def event(entry: dict[str, Any], version: int) -> WatchEvent:
    return WatchEvent(f"{PREFIX}{HOST}", json.dumps(entry).encode(), version)


def a_scripted_site(lists: list[Any], watches: list[Any]) -> tuple[Site, ScriptedStore]:
    site, store = Site(), ScriptedStore(lists, watches)
    site.follower._store = store  # type: ignore[assignment]
    return site, store


def is_leaving(site: Site) -> bool:
    (info,) = site.posted[-1].hosts
    return bool(info.is_draining)


def test_a_change_that_a_broken_watch_missed_is_read_again() -> None:
    """Guards against a host that stays ready as the watch went on after its change."""
    site, _ = a_scripted_site(
        [
            Success(Listing((item(HOST_ENTRY, 3),), 3)),
            Success(Listing((item(DRAINING, 5),), 6)),
        ],
        [Failure(Unavailable("watch", "store", "cut")), Success(WatchBatch((), 6))],
    )
    for _ in range(3):
        site.follower._read()
    assert is_leaving(site)


def test_an_older_change_does_not_undo_a_newer_one() -> None:
    """Guards against a host that is ready again as a watch repeats old changes."""
    site, _ = a_scripted_site(
        [Success(Listing((item(DRAINING, 9),), 3))],
        [Success(WatchBatch((event(HOST_ENTRY, 5),), 9))],
    )
    for _ in range(2):
        site.follower._read()
    assert is_leaving(site)


def test_a_list_read_while_the_last_conductor_ended_is_not_given_to_the_next() -> None:
    """Guards against a conductor that begins with a list of minutes ago."""
    site, store = a_scripted_site([Success(Listing((item(HOST_ENTRY, 3),), 3))], [])
    store.on_list = lambda: site.follower.unsubscribe(POOL, site.posted.append)
    site.follower._read()
    site.posted.clear()
    site.follower.subscribe(POOL, site.posted.append)
    assert site.posted == []
