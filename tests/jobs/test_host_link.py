"""Orders to a host: repeated until stopped, never sent to another incarnation."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import HostId, Term
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.scheduling.absence import StopUnconfirmed
from amaranthtray.domain.scheduling.lease import HostLease
from amaranthtray.domain.scheduling.messages import (
    Message,
    StartOutcome,
    StartReplied,
    StopReplied,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from amaranthtray.domain.scheduling.start_check import StartHindrance
from amaranthtray.jobs.clock import steady_ms
from amaranthtray.jobs.event_log import EventLog
from amaranthtray.jobs.host_link import (
    MAX_START_TRIES,
    MAX_VOLUNTARY_WAIT_MS,
    HostLink,
)
from amaranthtray.jobs.host_links import HostLinks
from amaranthtray.jobs.ports import NoUsableReply
from amaranthtray.jobs.term_guard import TermGuard
from amaranthtray.platform.host_client import HostClient
from scheduling.parts import a_host

if TYPE_CHECKING:
    from collections.abc import Callable

NAME = TaskName(JobId("a"), 0, 0, 0)
INCARNATION = 7


class FakeHost:
    """A host that replies to starts as the test sets it up."""

    def __init__(self, answer: Callable[[], StartOutcome]) -> None:
        self.fencing_token = 1_000
        self.starts = self.stops = self.unanswered_stops = 0
        self._answer = answer
        self.on_start: Callable[[], object] = lambda: None
        self.on_stop: Callable[[], object] = lambda: None

    def prepare_start(self, born: int) -> None:
        """Leads to the incarnation."""

    def start(self, order: StartRun, until_ms: int) -> StartOutcome:
        self.starts += 1
        self.on_start()
        return self._answer()

    def stop(self, name: TaskName, number: int) -> bool:
        self.stops += 1
        self.on_stop()
        return self.stops > self.unanswered_stops

    def increment_fencing_token(self) -> None:
        self.fencing_token += 1

    def continue_fencing_tokens(self, token: int) -> None:
        self.fencing_token = max(self.fencing_token, token)

    def poll(self, *args: object) -> NoUsableReply:
        return NoUsableReply("lost")

    def close(self) -> None:
        """Does nothing."""


def a_link(
    api: FakeHost,
    *,
    born: int = INCARNATION,
    is_silent: bool = False,
    held_term: Callable[[], Term | None] = lambda: Term(1),
    hindrance: Callable[[int], StartHindrance | None] = lambda waited_ms: None,
) -> tuple[HostLink, list[Message]]:
    lease = HostLease(lease_ms=5_000, max_lease_ms=9_000, earlier_leases_until_ms=0)
    lease.record_answer(0, born, 0)
    if is_silent:
        lease.record_no_answer()
    posted: list[Message] = []
    link = HostLink(
        a_host(),
        api=api,  # type: ignore[arg-type]
        lease=lease,
        guard=TermGuard(Term(1), held_term),
        post=posted.append,
        log=EventLog({}, write=lambda data: None),
        hindrance=hindrance,
    )
    link.record_incarnation(born)
    return link, posted


def an_order(born: int = INCARNATION) -> StartRun:
    return StartRun(HostId("h"), born, NAME, 1, "p", "")


def test_a_start_without_a_reply_is_repeated() -> None:
    api = FakeHost(lambda: StartOutcome.NO_REPLY)
    link, posted = a_link(api)
    link.start_run(an_order())
    assert api.starts == MAX_START_TRIES
    assert [type(each) for each in posted] == [StartReplied]


def test_a_start_of_a_task_under_which_hosts_crashed_is_not_repeated() -> None:
    """Guards against a host that is back at once and starts the same run again."""
    api = FakeHost(lambda: StartOutcome.NO_REPLY)
    link, posted = a_link(api)
    link.start_run(replace(an_order(), prior_crashes=1))
    assert api.starts == 1
    reply = posted[0]
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.NO_REPLY


def test_a_start_is_not_repeated_once_its_run_is_stopped() -> None:
    def answer() -> StartOutcome:
        link.order(StopRun(HostId("h"), NAME, 1))
        return StartOutcome.NO_REPLY

    api = FakeHost(answer)
    link, _ = a_link(api)
    link.start_run(an_order())
    assert api.starts == 1


def test_a_start_that_is_not_sent_without_a_certain_term_does_not_stay_pending() -> (
    None
):
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, posted = a_link(api, held_term=lambda: None)
    link.start_run(an_order())
    assert api.starts == 0
    reply = posted[0]
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.REFUSED
    assert not reply.was_repeated


def test_a_start_without_a_reply_is_resolved_although_the_term_became_uncertain() -> (
    None
):
    terms = iter((Term(1), None))
    api = FakeHost(lambda: StartOutcome.NO_REPLY)
    link, posted = a_link(api, held_term=lambda: next(terms))
    link.start_run(an_order())
    reply = posted[0]
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.NO_REPLY


def test_a_stop_is_sent_once_the_term_is_certain_again() -> None:
    terms = iter((None, None, Term(1)))
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, posted = a_link(api, held_term=lambda: next(terms))
    link.stop_run(StopRun(HostId("h"), NAME, 1))
    assert [type(each) for each in posted] == [StopReplied]


def test_an_order_to_a_former_incarnation_is_not_sent() -> None:
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, posted = a_link(api)
    link.start_run(an_order(born=INCARNATION - 1))
    assert api.starts == 0
    reply = posted[0]
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.REFUSED
    assert not reply.was_repeated


def test_a_start_for_a_silent_host_is_returned_at_once() -> None:
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, posted = a_link(api, is_silent=True)
    link.start_run(an_order())
    assert api.starts == 0
    reply = posted[0]
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.UNHEALTHY
    assert not reply.was_repeated


def test_a_start_that_was_queued_before_an_evacuation_is_not_sent() -> None:
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, posted = a_link(api, hindrance=lambda _: StartHindrance.EVACUATED)
    link.start_run(an_order())
    assert api.starts == 0
    reply = posted[0]
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.WITHHELD


def test_a_start_without_a_reply_is_not_resent_into_an_evacuated_zone() -> None:
    api = FakeHost(lambda: StartOutcome.NO_REPLY)
    evacuated = StartHindrance.EVACUATED
    link, posted = a_link(api, hindrance=lambda _: evacuated if api.starts else None)
    link.start_run(an_order())
    assert api.starts == 1
    reply = posted[0]
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.NO_REPLY
    assert reply.was_repeated


def test_a_voluntary_stop_without_a_reply_is_left_to_a_new_decision() -> None:
    """Guards against an order that is repeated although its reason has gone away."""
    api = FakeHost(lambda: StartOutcome.STARTED)
    api.unanswered_stops = 1
    link, posted = a_link(api)
    link.stop_run(StopRun(HostId("h"), NAME, 1, is_voluntary=True))
    assert api.stops == 1
    (lost,) = posted
    assert isinstance(lost, StopUnconfirmed)
    assert lost.was_sent


def test_a_voluntary_stop_that_waited_for_others_is_not_sent() -> None:
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, posted = a_link(api)
    ordered_ms = steady_ms() - MAX_VOLUNTARY_WAIT_MS - 1
    link.stop_run(StopRun(HostId("h"), NAME, 1, is_voluntary=True), ordered_ms)
    assert api.stops == 0
    (unsent,) = posted
    assert isinstance(unsent, StopUnconfirmed)
    assert not unsent.was_sent


def test_another_stop_is_repeated_until_its_host_replies() -> None:
    api = FakeHost(lambda: StartOutcome.STARTED)
    api.unanswered_stops = 2
    link, posted = a_link(api)
    link.stop_run(StopRun(HostId("h"), NAME, 1))
    assert api.stops == 3
    assert [type(each) for each in posted] == [StopReplied]


def test_the_first_call_after_a_silence_fences_off_the_orders_before_it() -> None:
    """Guards against a late start on a host that restarted and knows no token yet."""
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, _ = a_link(api)
    for _ in range(2):
        link._poll(0, 0)
    assert api.fencing_token == 1_001


def test_a_stop_that_a_newer_token_of_its_link_has_fenced_off_is_repeated() -> None:
    """Guards against a run that goes on although its stop counts as accepted."""
    api = FakeHost(lambda: StartOutcome.STARTED)
    link, posted = a_link(api)
    api.on_stop = lambda: api.stops == 1 and api.increment_fencing_token()
    link.stop_run(StopRun(HostId("h"), NAME, 1))
    assert api.stops == 2
    assert [type(each) for each in posted] == [StopReplied]


def test_a_start_of_a_replaced_link_that_is_fenced_off_ends_no_conductor() -> None:
    api = FakeHost(lambda: StartOutcome.FENCED)
    link, posted = a_link(api)
    api.on_start = link.close
    link.start_run(an_order())
    (reply,) = posted
    assert isinstance(reply, StartReplied)
    assert reply.outcome is StartOutcome.REFUSED


def test_the_tokens_of_a_term_end_before_those_of_the_next() -> None:
    client = HostClient(HostId("h"), "127.0.0.1:9", Term(3))
    for _ in range(2_000):
        client.increment_fencing_token()
    assert (
        client.fencing_token
        < HostClient(HostId("h"), "127.0.0.1:9", Term(4)).fencing_token
    )


def test_a_new_link_to_a_host_goes_on_with_the_tokens_of_the_last_one() -> None:
    """Guards against a conductor that its own newer token of a host ends."""
    api = FakeHost(lambda: StartOutcome.STARTED)
    context = SimpleNamespace(
        settings=SimpleNamespace(hosts=SimpleNamespace(max_lease_ms=10_000)),
        platform=SimpleNamespace(host_api=lambda info, term: api),
        log=EventLog({}, write=lambda data: None),
    )
    guard = TermGuard(Term(1), lambda: Term(1))
    guard.mark_superseded()
    links = HostLinks(context, guard, lambda message: None, None, lambda: None)  # type: ignore[arg-type]
    links.open(a_host())
    api.fencing_token = 1_007
    api = FakeHost(lambda: StartOutcome.STARTED)
    links.open(a_host())
    assert api.fencing_token == 1_007
    links.close_all()
