"""Writes of a duty's holder are fenced by the version of its ledger."""

from __future__ import annotations

from amaranthtray.domain.ids import Term
from amaranthtray.jobs.fenced_ledger import FencedLedger, LedgerHeader
from amaranthtray.store.contract import Put
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite

KEY, OTHER = "ledger", "other"


def a_ledger(site: StoreSite, term: int) -> FencedLedger:
    ledger = FencedLedger(KEY, Term(term), store=site.store, log=site.log)
    assert ledger.load(LedgerHeader()) is not None
    return ledger


def write(ledger: FencedLedger, value: bytes) -> bool:
    return ledger.commit(LedgerHeader(), (Put(OTHER, value),))


def stored(site: StoreSite) -> bytes | None:
    versioned = site.platform.read(OTHER)
    return versioned.value if versioned else None


def test_an_older_term_is_fenced_by_the_first_write() -> None:
    site = StoreSite()
    old = a_ledger(site, 1)
    assert write(old, b"old")
    assert write(a_ledger(site, 2), b"new")
    assert not write(old, b"late")
    assert old.is_superseded
    assert stored(site) == b"new"


def test_a_write_of_an_older_term_after_loading_requires_loading_again() -> None:
    site = StoreSite()
    old = a_ledger(site, 1)
    new = a_ledger(site, 2)
    assert write(old, b"old")
    assert not write(new, b"new")
    assert not new.is_superseded
    assert not new.is_loaded
    last = new.load(LedgerHeader())
    assert last is not None
    assert last.term == 1
    assert write(new, b"new")


def test_a_delayed_write_does_not_undo_a_later_one() -> None:
    site = StoreSite()
    ledger = a_ledger(site, 1)
    site.plan_faults("commit", Fault.LATE_EFFECT)
    assert not write(ledger, b"1")
    assert write(ledger, b"2")
    site.platform.apply_delayed_writes()
    assert stored(site) == b"2"


def test_a_lost_reply_is_resolved_by_the_next_write() -> None:
    site = StoreSite()
    ledger = a_ledger(site, 1)
    site.plan_faults("commit", Fault.LOST_REPLY)
    assert not write(ledger, b"1")
    assert not write(ledger, b"2")
    assert write(ledger, b"3")
    assert stored(site) == b"3"
