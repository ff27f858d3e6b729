"""Calls to hosts that end connections, and orders that a new connection delays."""

from __future__ import annotations

import threading

import pytest

from adapter.test_host_client import FORMER, NEXT, RestartingHost, a_start
from amaranthtray.domain.ids import HostId, Term
from amaranthtray.domain.scheduling.lease import HostLease
from amaranthtray.domain.scheduling.messages import StartOutcome
from amaranthtray.domain.scheduling.start_check import StartHindrance
from amaranthtray.jobs.event_log import EventLog
from amaranthtray.jobs.host_link import HostLink
from amaranthtray.jobs.term_guard import TermGuard
from amaranthtray.platform.host_client import HostClient
from amaranthtray.web.http_channel import HttpChannel
from scheduling.parts import a_host
from soak import wire
from soak.wire import Call, Reply, StandInServer

POLLS = 3


class StatusHost:
    """A host that answers at once."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.asked = threading.Event()
        self.server = StandInServer(self._handle)

    def _handle(self, call: Call) -> Reply:
        self.calls.append(call)
        self.asked.set()
        return Reply(200, {"clockMs": 100, "born": FORMER})

    def paths(self) -> list[str]:
        return [call.path for call in self.calls]


@pytest.fixture
def closing_host(monkeypatch: pytest.MonkeyPatch) -> StatusHost:
    """A host that ends each connection with its first reply."""
    serve = wire._Handler.serve

    def serve_and_close(handler: wire._Handler) -> None:
        send_header = handler.send_header

        def with_close(name: str, value: str) -> None:
            if name == "Content-Length":
                send_header("Connection", "close")
            send_header(name, value)

        handler.send_header = with_close  # type: ignore[method-assign]
        serve(handler)

    monkeypatch.setattr(wire._Handler, "serve", serve_and_close)
    return StatusHost()


def test_a_host_that_ends_connections_has_its_lease_renewed(
    closing_host: StatusHost,
) -> None:
    """Guards against leases that lapse, and ends that stay listed, for ever."""
    client = HostClient(HostId("h"), closing_host.server.address, Term(1))
    for _ in range(POLLS):
        client.poll(5_000, 57, 0)
    assert any(call.body.get("untilMs") for call in closing_host.calls)


def test_a_host_that_ends_connections_gets_starts(closing_host: StatusHost) -> None:
    """Guards against a host that never gets a run."""
    client = HostClient(HostId("h"), closing_host.server.address, Term(1))
    outcomes = [client.start(a_start(0), 5_000) for _ in range(POLLS)]
    assert outcomes[-1] is StartOutcome.STARTED


def test_a_start_is_withheld_if_it_became_unwanted_while_its_connection_opened() -> (
    None
):
    """Guards against starts that are checked up to 1.2 s before they are sent."""
    host = StatusHost()
    lease = HostLease(lease_ms=5_000, max_lease_ms=9_000, earlier_leases_until_ms=0)
    lease.record_answer(0, FORMER, 0)
    lease._until_ms = 0
    link = HostLink(
        a_host(),
        api=HostClient(HostId("h"), host.server.address, Term(1)),
        lease=lease,
        guard=TermGuard(Term(1), lambda: Term(1)),
        post=lambda message: None,
        log=EventLog({}, write=lambda data: None),
        hindrance=lambda _: StartHindrance.LEAVING if host.asked.is_set() else None,
    )
    link.record_incarnation(FORMER)
    link.start_run(a_start(0))
    assert "/v1/run-start" not in host.paths()


def test_a_start_on_a_connection_that_ends_after_its_check_opens_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that is replaced between its check and its use."""
    host = RestartingHost()
    client = HostClient(HostId("h"), host.server.address, Term(1))
    assert client.start(a_start(0), 5_000) is StartOutcome.STARTED
    client._starts._channel._connection.close()
    host.restart()
    monkeypatch.setattr(HttpChannel, "is_open", True)
    client.start(a_start(1), 5_000)
    assert host.calls_to(NEXT, "/v1/run-start") == []


def test_a_start_for_the_next_incarnation_replaces_a_connection_to_the_former() -> None:
    """Guards against a host that gets no more runs as its old connection is silent."""
    host = RestartingHost()
    client = HostClient(HostId("h"), host.server.address, Term(1))
    assert client.start(a_start(0), 5_000) is StartOutcome.STARTED
    host.born = NEXT
    host.server.silence_connections()
    assert client.start(a_start(1, NEXT), 5_000) is StartOutcome.STARTED
