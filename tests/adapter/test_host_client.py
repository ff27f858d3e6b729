"""Calls to a host reach only the incarnation for which they are meant."""

from __future__ import annotations

import threading
import time

import pytest

from amaranthtray.domain.ids import HostId, Term
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.scheduling.messages import StartOutcome
from amaranthtray.domain.scheduling.orders import StartRun
from amaranthtray.jobs.ports import HostStatus, NoUsableReply
from amaranthtray.platform.host_client import HostClient
from soak.wire import SILENCE, Call, Reply, StandInServer

FORMER, NEXT = 1_000, 2_000
FAR_UNTIL_MS = 900_000
LONG_WAIT_MS = 60_000
JOIN_S = 30


class RestartingHost:
    """A host that restarts without a word; a poll that waits is never answered."""

    def __init__(self) -> None:
        self.born = FORMER
        self.calls: list[tuple[int, Call]] = []
        self.waits = threading.Event()
        self.server = StandInServer(self._handle)

    def restart(self) -> None:
        """Is back at once; open connections are reset when they are used."""
        self.born, self.server.ended_before_s = NEXT, time.monotonic()

    def _handle(self, call: Call) -> Reply:
        self.calls.append((self.born, call))
        if call.body.get("waitMs"):
            self.waits.set()
            return SILENCE
        return Reply(200, {"clockMs": 100, "born": self.born})

    def calls_to(self, born: int, path: str) -> list[Call]:
        """Returns the calls that one incarnation has accepted."""
        return [call for to, call in self.calls if to == born and call.path == path]


@pytest.fixture
def host() -> RestartingHost:
    return RestartingHost()


@pytest.fixture
def client(host: RestartingHost) -> HostClient:
    return HostClient(HostId("h"), host.server.address, Term(1))


def a_start(number: int, born: int = FORMER) -> StartRun:
    name = TaskName(JobId("a"), 0, 0, number)
    return StartRun(HostId("h"), born, name, 1, "p", "")


def test_no_start_for_a_former_incarnation_reaches_the_next(
    host: RestartingHost, client: HostClient
) -> None:
    """Guards against runs under a lease that ends on the clock of another life."""
    assert client.start(a_start(0), FAR_UNTIL_MS) is StartOutcome.STARTED
    host.restart()
    outcomes = [client.start(a_start(1), FAR_UNTIL_MS) for _ in range(3)]
    assert outcomes[-1] is StartOutcome.REFUSED
    assert host.calls_to(NEXT, "/v1/run-start") == []
    for call in host.calls_to(NEXT, "/v1/hold"):
        assert "untilMs" not in call.body
    assert client.start(a_start(2, NEXT), 5_000) is StartOutcome.STARTED


def test_a_poll_of_a_former_incarnation_does_not_hide_the_next(
    host: RestartingHost, client: HostClient
) -> None:
    """Guards against a poll that waits for a host which has restarted meanwhile."""
    assert isinstance(client.poll(None, 0, 0), HostStatus)
    polled: list[object] = []
    poll = threading.Thread(
        target=lambda: polled.append(client.poll(5_000, 0, LONG_WAIT_MS)), daemon=True
    )
    poll.start()
    assert host.waits.wait(JOIN_S)
    host.restart()
    assert client.start(a_start(0), FAR_UNTIL_MS) is StartOutcome.REFUSED
    poll.join(JOIN_S)
    assert [type(each) for each in polled] == [NoUsableReply]


def test_the_first_poll_on_a_connection_asks_a_host_for_nothing(
    host: RestartingHost, client: HostClient
) -> None:
    """Guards against acknowledged ends that the next incarnation hasn't listed yet."""
    client.poll(None, 0, 0)
    client.poll(FAR_UNTIL_MS, 57, 0)
    assert host.calls_to(FORMER, "/v1/hold")[-1].body["acknowledged"] == 57
    host.restart()
    host.server.reset_connections()
    while not isinstance(client.poll(FAR_UNTIL_MS, 57, 0), HostStatus):
        continue
    first = host.calls_to(NEXT, "/v1/hold")[0].body
    assert (first["acknowledged"], first.get("untilMs"), first["waitMs"]) == (
        0,
        None,
        0,
    )
