"""Renewals in batches and the moment at which a lapse is certain."""

from __future__ import annotations

from amaranthtray.domain.ids import AttemptId, HostId
from amaranthtray.domain.workers.leases import LeaseTracker, Renewal
from amaranthtray.domain.workers.settings import LeaseSettings

CFG = LeaseSettings()
ONE, TWO, YOUNG = AttemptId("a-1"), AttemptId("a-2"), AttemptId("a-3")
HERE, THERE = HostId("h1"), HostId("h2")


def test_one_batch_a_host_without_young_tasks() -> None:
    book = LeaseTracker(CFG)
    book.start(ONE, HERE, 0)
    book.start(TWO, HERE, 10)
    book.start(YOUNG, HERE, CFG.renew_every_ms - 1)
    book.start(AttemptId("b-1"), THERE, 0)
    due = book.pop_due(CFG.renew_every_ms)
    assert due == [Renewal(HERE, (ONE, TWO)), Renewal(THERE, (AttemptId("b-1"),))]
    assert book.pop_due(CFG.renew_every_ms) == []
    assert book.next_due_ms() == 2 * CFG.renew_every_ms


def test_tasks_that_are_over_are_not_renewed() -> None:
    book = LeaseTracker(CFG)
    book.start(ONE, HERE, 0)
    book.end(ONE, HERE)
    assert book.pop_due(CFG.renew_every_ms) == []
    assert book.next_due_ms() is None


def test_lapse_is_counted_from_the_end_of_the_connection() -> None:
    book = LeaseTracker(CFG)
    book.start(ONE, HERE, 0)
    lapse_ms = book.abandon(ONE, HERE, 1_000)
    assert lapse_ms == 1_000 + CFG.ttl_ms + CFG.margin_ms
    assert book.pop_due(CFG.renew_every_ms) == []
    assert book.pop_expired(lapse_ms - 1) == []
    assert book.pop_expired(lapse_ms) == [ONE]
    assert book.pop_expired(lapse_ms) == []


def test_lapse_is_counted_from_a_renewal_that_may_be_on_its_way() -> None:
    book = LeaseTracker(CFG)
    book.start(ONE, HERE, 0)
    renewed_ms = CFG.renew_every_ms
    book.pop_due(renewed_ms)
    lapse_ms = book.abandon(ONE, HERE, renewed_ms + 1)
    assert lapse_ms == renewed_ms + CFG.call_ms + CFG.ttl_ms + CFG.margin_ms


def test_renewal_after_a_pause_does_not_shorten_the_wait() -> None:
    book = LeaseTracker(CFG)
    book.start(ONE, HERE, 0)
    paused_ms = 60_000
    assert book.pop_due(paused_ms) == [Renewal(HERE, (ONE,))]
    assert book.abandon(ONE, HERE, paused_ms) > paused_ms + CFG.ttl_ms
