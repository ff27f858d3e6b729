"""What a link says of its host counts only for the incarnation that it led to."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from amaranthtray.domain.ids import HostId, Term
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.scheduling.lease import HostLease
from amaranthtray.domain.scheduling.losses import LossCause
from amaranthtray.domain.scheduling.messages import (
    HostReport,
    HostRunsEnded,
    HostSilent,
    Message,
    StartOutcome,
    StopReplied,
)
from amaranthtray.jobs import clock
from amaranthtray.jobs.event_log import EventLog
from amaranthtray.jobs.host_links import HostLinks, LinkMessage
from amaranthtray.jobs.ports import AddressReused, OrderFenced
from amaranthtray.jobs.term_guard import TermGuard
from jobs.test_host_link import FakeHost, a_link, an_order
from scheduling.parts import a_host

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = HostId("h")


class PolledHost(FakeHost):
    """A host whose polls the test answers."""

    def __init__(self, answer: Callable[[], Any]) -> None:
        super().__init__(lambda: StartOutcome.STARTED)
        self.answer = answer

    def poll(self, *args: object) -> Any:
        return self.answer()


def some_links(posted: list[LinkMessage], api: FakeHost) -> HostLinks:
    log = EventLog({}, write=lambda data: None)
    context = SimpleNamespace(
        settings=SimpleNamespace(hosts=SimpleNamespace(max_lease_ms=10_000)),
        platform=SimpleNamespace(host_api=lambda info, term: api),
        log=log,
    )
    guard = TermGuard(Term(1), lambda: Term(1))
    guard.mark_superseded()
    post: Any = posted.append
    return HostLinks(context, guard, post, log, lambda: None)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "message",
    [HostRunsEnded(HOST), HostSilent(HOST), HostReport(HOST, 7, 0, 1, (), ())],
)
def test_a_replaced_link_no_longer_speaks_for_its_host(message: Message) -> None:
    """Guards against runs given up that the next incarnation has begun."""
    links = some_links([], FakeHost(lambda: StartOutcome.STARTED))
    links.open(a_host())
    former = links._links[HOST]
    sent: list[LinkMessage] = []
    links._post = sent.append  # type: ignore[assignment]
    former._post(message)
    assert links.receive(sent[0]) == message
    links.open(a_host())
    assert links.receive(sent[0]) is None
    links._links[HOST]._post(message)
    assert links.receive(sent[1]) == message


def test_replies_to_orders_of_a_replaced_link_still_count() -> None:
    """Guards against a run that stays ordered for ever."""
    links = some_links([], FakeHost(lambda: StartOutcome.STARTED))
    links.open(a_host())
    reply = StopReplied(HOST, TaskName(JobId("a"), 0, 0, 0), 1, 5)
    links.close(HOST)
    assert links.receive(LinkMessage(1, reply)) == reply


def test_a_link_at_another_address_waits_for_the_lease_of_the_former_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs given up at the first silence of the new address."""
    now_ms = clock.steady_ms()
    monkeypatch.setattr(clock, "steady_ms", lambda: now_ms)
    links = some_links([], FakeHost(lambda: StartOutcome.STARTED))
    links.earlier_leases_until_ms = 0
    links.open(a_host())
    former = links._links[HOST]._lease
    former.record_answer(500, 7, now_ms)
    links.open(a_host())
    lease = links._links[HOST]._lease
    assert not lease.is_expired(now_ms + 10_000)
    assert lease.is_expired(former.expires_by_ms())


def test_the_time_by_which_a_lease_expires_is_the_first_one() -> None:
    lease = HostLease(lease_ms=5_000, max_lease_ms=9_000, earlier_leases_until_ms=3)
    assert lease.expires_by_ms() == 3
    lease.record_answer(1_000, 1, 10)
    lease.next_expiry_ms(7_000)
    expires_ms = lease.expires_by_ms()
    assert lease.is_expired(expires_ms + 1)
    assert not lease.is_expired(expires_ms - 2)


def test_a_reused_address_ends_no_runs_of_a_host_that_was_not_reached() -> None:
    """Guards against runs given up that go on at another address of the host."""
    link, posted = a_link(PolledHost(AddressReused))
    link._born = None
    link._poll(0, 0)
    assert [type(each) for each in posted] == [HostSilent]


def test_a_start_at_a_reused_address_ends_only_runs_of_its_incarnation() -> None:
    """Guards against the end of runs on an incarnation that was found meanwhile."""
    api: Any = FakeHost(AddressReused)  # type: ignore[arg-type]
    link, posted = a_link(api)
    link.start_run(an_order())
    ended = HostRunsEnded(HOST, LossCause.ADDRESS_REUSED, an_order().host_born)
    assert posted[-1] == ended


def test_a_poll_that_a_newer_token_of_its_host_fences_off_ends_no_conductor() -> None:
    """Guards against a conductor that its own next order supersedes."""

    def overtaken() -> OrderFenced:
        api.increment_fencing_token()
        return OrderFenced()

    api = PolledHost(overtaken)
    link, _ = a_link(api)
    link._poll(0, 0)
    assert link._guard.may_order()
    api.answer = OrderFenced
    link._poll(0, 0)
    assert not link._guard.may_order()
