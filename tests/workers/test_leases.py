"""Batched renewals and the moment at which the expiry of a lease is certain."""

from __future__ import annotations

from amaranthtray.domain.ids import AttemptId, HostId
from amaranthtray.domain.workers.leases import LeaseTracker, Renewal
from amaranthtray.domain.workers.settings import LeaseSettings

CFG = LeaseSettings()
FIRST, SECOND, RECENT = AttemptId("a-1"), AttemptId("a-2"), AttemptId("a-3")
HOST, OTHER_HOST = HostId("h1"), HostId("h2")


def test_each_host_gets_one_renewal_without_recent_tasks() -> None:
    tracker = LeaseTracker(CFG)
    tracker.start(FIRST, HOST, 0)
    tracker.start(SECOND, HOST, 10)
    tracker.start(RECENT, HOST, CFG.renew_every_ms - 1)
    tracker.start(AttemptId("b-1"), OTHER_HOST, 0)
    due = tracker.pop_due(CFG.renew_every_ms)
    assert due == [
        Renewal(HOST, (FIRST, SECOND)),
        Renewal(OTHER_HOST, (AttemptId("b-1"),)),
    ]
    assert tracker.pop_due(CFG.renew_every_ms) == []
    assert tracker.next_due_ms() == 2 * CFG.renew_every_ms


def test_tasks_that_are_over_are_not_renewed() -> None:
    tracker = LeaseTracker(CFG)
    tracker.start(FIRST, HOST, 0)
    tracker.end(FIRST, HOST)
    assert tracker.pop_due(CFG.renew_every_ms) == []
    assert tracker.next_due_ms() is None


def test_expiry_is_counted_from_the_end_of_the_connection() -> None:
    tracker = LeaseTracker(CFG)
    tracker.start(FIRST, HOST, 0)
    expiry_ms = tracker.abandon(FIRST, HOST, 1_000)
    assert expiry_ms == 1_000 + CFG.ttl_ms + CFG.margin_ms
    assert tracker.pop_due(CFG.renew_every_ms) == []
    assert tracker.pop_expired(expiry_ms - 1) == []
    assert tracker.pop_expired(expiry_ms) == [FIRST]
    assert tracker.pop_expired(expiry_ms) == []


def test_expiry_is_counted_from_a_renewal_that_may_be_in_flight() -> None:
    tracker = LeaseTracker(CFG)
    tracker.start(FIRST, HOST, 0)
    renewed_ms = CFG.renew_every_ms
    tracker.pop_due(renewed_ms)
    expiry_ms = tracker.abandon(FIRST, HOST, renewed_ms + 1)
    assert expiry_ms == renewed_ms + CFG.call_ms + CFG.ttl_ms + CFG.margin_ms


def test_renewal_after_a_pause_does_not_shorten_the_wait() -> None:
    tracker = LeaseTracker(CFG)
    tracker.start(FIRST, HOST, 0)
    paused_ms = 60_000
    assert tracker.pop_due(paused_ms) == [Renewal(HOST, (FIRST,))]
    assert tracker.abandon(FIRST, HOST, paused_ms) > paused_ms + CFG.ttl_ms
