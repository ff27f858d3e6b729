"""Entries of other writers in the list of hosts, and replies that can't be read."""

from __future__ import annotations

import json
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from adapter.test_documents import HOST_ENTRY
from amaranthtray.domain.ids import HostId, PoolName, Term
from amaranthtray.domain.scheduling.messages import (
    HostsListed,
    StartOutcome,
    StartReplied,
    WatchHost,
)
from amaranthtray.jobs.call_turns import CallTurns
from amaranthtray.jobs.host_list_follower import HostListFollower
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.pool_conductor import PoolConductor
from amaranthtray.jobs.ports import NoUsableReply
from amaranthtray.platform import documents
from amaranthtray.platform.host_client import HostClient
from amaranthtray.settings.job_entry import (
    HostsSection,
    SchedulingSection,
    StoreSection,
)
from amaranthtray.web.http_channel import HttpChannel
from amaranthtray.web.http_peer import Response
from jobs.store_site import StoreSite
from jobs.test_host_link import FakeHost, a_link, an_order
from jobs.test_run_time_store import Log
from scheduling.parts import a_host

POOL = PoolName(str(HOST_ENTRY["service"]))
PREFIX = documents.HOSTS_PREFIX


class Site(StoreSite):
    """A follower of the list of hosts, and what it posts for one pool."""

    def __init__(self) -> None:
        super().__init__()
        self.posted: list[Any] = []
        self.lines = Log()
        platform: Any = SimpleNamespace(
            hosts_prefix=PREFIX, decode_host=documents.decode_host
        )
        log: Any = self.lines
        hosts = HostsSection(max_lease_ms=9_000)
        self.follower = HostListFollower(self.store, platform, log, hosts)
        self.follower.subscribe(POOL, self.posted.append)

    def write(self, host: str, entry: dict[str, object]) -> None:
        key, value = f"{PREFIX}{host}", json.dumps(entry).encode()
        present = self.platform.read(key)
        version = present.version if present else 0
        self.platform.write(key, value, version, None, "").unwrap()

    def hosts(self) -> set[str]:
        """Returns the hosts of the pool as they were last posted."""
        last = self.posted[-1]
        assert isinstance(last, HostsListed)
        return {info.id for info in last.hosts}


@pytest.mark.parametrize("key", [key for key in HOST_ENTRY if key != "unknownField"])
def test_an_entry_of_another_writer_leaves_the_other_hosts(key: str) -> None:
    """Guards against a pool without hosts because of one entry on the list."""
    site = Site()
    site.write("a", HOST_ENTRY)
    assert site.follower._read()
    assert site.hosts() == {"a"}
    site.write("foreign", HOST_ENTRY | {key: ["?"]})
    site.write("b", HOST_ENTRY)
    assert site.follower._read()
    expected = {"a", "b", "foreign"} if key == "labels" else {"a", "b"}
    assert site.hosts() == expected


def test_a_fault_does_not_end_the_reading_of_the_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a list of hosts that is never read again."""
    site = Site()
    site.write("a", HOST_ENTRY)

    def fail(key: str, value: bytes) -> None:
        raise RecursionError

    monkeypatch.setattr(site.follower._platform, "decode_host", fail)
    assert not site.follower._read()
    monkeypatch.setattr(site.follower._platform, "decode_host", documents.decode_host)
    assert site.follower._read()
    assert site.hosts() == {"a"}
    assert [event for event, _ in site.lines.lines] == ["host-list-fault"]


class NoLink:
    """A client of a host that does nothing."""

    fencing_token = 0

    def continue_fencing_tokens(self, token: int) -> None:
        """Does nothing."""

    def poll(self, *_: object) -> None:
        raise OSError

    def close(self) -> None:
        """Does nothing."""


def test_a_host_that_no_client_can_be_made_for_does_not_end_the_conductor() -> None:
    """Guards against a conductor that ends at one host, and so does each next one."""
    lines: Any = Log()

    def host_api(info: Any, term: Term) -> NoLink:
        HostClient(info.id, info.address, term).close()
        return NoLink()

    context: Any = SimpleNamespace(
        store=StoreSite().store,
        log=lines,
        metrics=MetricsRegistry(),
        settings=SimpleNamespace(
            hosts=SimpleNamespace(max_lease_ms=9_000),
            store=StoreSection(address="127.0.0.1:1"),
            jobs=SimpleNamespace(cancellation_limit_ms=3_000),
            scheduling=SchedulingSection(),
        ),
        platform=SimpleNamespace(adviser=lambda: None, host_api=host_api),
        evacuations=SimpleNamespace(zones=frozenset()),
        advice_turns=CallTurns(),
    )
    conductor = PoolConductor(POOL, Term(1), lambda: Term(1), context)
    hosts = (
        replace(a_host("x"), address="127.0.0.1 :80"),
        replace(a_host("y"), address="127.0.0.1:80"),
    )
    conductor._apply_effects([WatchHost(info) for info in hosts])
    assert not conductor._links.has(HostId("x"))
    assert conductor._links.has(HostId("y"))
    conductor._links.close_all()
    assert ("host-unusable", "x") in [
        (event, fields.get("host")) for event, fields in lines.lines
    ]


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"reason":7}'])
def test_a_refusal_that_cannot_be_read_is_a_refusal(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a run that stays ordered for ever as its reply is unreadable."""
    client = HostClient(HostId("h"), "127.0.0.1:80", Term(1))
    order = an_order()
    client._starts.born = order.host_born
    monkeypatch.setattr(HttpChannel, "is_open", True)
    monkeypatch.setattr(HttpChannel, "call", lambda *_, **__: Response(409, body))
    assert client.start(order, 1_000) is StartOutcome.REFUSED


@pytest.mark.parametrize("rows", [[[7]], [[None] * 5], [5], [[1, 7, 1, "gone", ""]]])
def test_a_status_that_cannot_be_read_counts_as_no_reply(
    rows: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a poll that ends, after which leases lapse unnoticed."""
    client = HostClient(HostId("h"), "127.0.0.1:80", Term(1))
    body = json.dumps({"clockMs": 1, "running": [], "finished": rows}).encode()
    monkeypatch.setattr(HttpChannel, "open", lambda *_: None)
    monkeypatch.setattr(HttpChannel, "call", lambda *_, **__: Response(200, body))
    assert isinstance(client.poll(None, 0, 0), NoUsableReply)


def test_a_start_with_a_fault_is_resolved() -> None:
    """Guards against a task that never starts again as its start had no outcome."""

    def fail() -> StartOutcome:
        raise RuntimeError

    link, posted = a_link(FakeHost(fail))
    with pytest.raises(RuntimeError):
        link._send_start(an_order(), 0)
    (reply,) = posted
    assert isinstance(reply, StartReplied)
    assert (reply.outcome, reply.was_repeated) == (StartOutcome.NO_REPLY, True)


def test_a_poll_with_a_fault_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a host whose lease nobody renews any more."""
    link, _ = a_link(FakeHost(lambda: StartOutcome.STARTED))
    tries = 0

    def poll(acknowledged: int, wait_ms: int) -> None:
        nonlocal tries
        tries += 1
        if tries > 1:
            link.close()
        raise RuntimeError

    monkeypatch.setattr(link, "_poll", poll)
    monkeypatch.setattr(link._closing, "wait", lambda timeout: True)
    link._poll_loop()
    assert tries == 2
