"""What tells the threads of a duty's work whether they may go on."""

from __future__ import annotations

import pytest

from amaranthtray.domain.ids import Term
from amaranthtray.jobs import clock
from amaranthtray.jobs.term_guard import TermGuard
from amaranthtray.jobs.times import RENEWAL_GRACE_MS

TERM = Term(1)


class Site:
    """A guard on a manual clock, and the term that its duty's task holds."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now_ms = 1_000
        self.held_term: Term | None = TERM
        patch.setattr(clock, "steady_ms", lambda: self.now_ms)
        self.guard = TermGuard(TERM, lambda: self.held_term)


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Site:
    return Site(monkeypatch)


def test_work_pauses_while_its_term_is_uncertain(site: Site) -> None:
    site.held_term = None
    site.now_ms += RENEWAL_GRACE_MS - 1
    assert not site.guard.may_order()
    assert site.guard.may_continue()
    site.held_term = TERM
    assert site.guard.may_order()


def test_work_of_which_one_thread_has_ended_does_not_resume(site: Site) -> None:
    """Guards against a conductor that goes on without the thread that reads jobs."""
    site.held_term = None
    site.now_ms += RENEWAL_GRACE_MS
    assert not site.guard.may_continue()
    site.held_term = TERM
    assert not site.guard.may_continue()
    assert not site.guard.may_order()


def test_a_thread_that_is_paused_in_its_check_gains_no_time(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    def pause_after_reading() -> Term:
        site.now_ms += RENEWAL_GRACE_MS
        return TERM

    monkeypatch.setattr(site.guard, "_held_term", pause_after_reading)
    assert site.guard.may_order()
    monkeypatch.setattr(site.guard, "_held_term", lambda: None)
    assert not site.guard.may_continue()
