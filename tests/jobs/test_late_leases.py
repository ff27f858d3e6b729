"""Bounds of leases that a conductor or a link has not seen itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthtray.domain.scheduling.lease import SLOWEST_CLOCK_RATE
from amaranthtray.domain.scheduling.messages import StartOutcome
from amaranthtray.jobs import clock
from amaranthtray.jobs.ports import HostStatus
from jobs.test_host_link import FakeHost, a_link
from jobs.test_replaced_links import HOST, PolledHost, some_links
from scheduling.parts import a_host

if TYPE_CHECKING:
    import pytest


def test_a_host_that_no_term_has_reached_since_may_have_the_longest_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs given up under a late order of the last conductor."""
    now_ms = clock.steady_ms()
    monkeypatch.setattr(clock, "steady_ms", lambda: now_ms)
    links = some_links([], FakeHost(lambda: StartOutcome.STARTED))
    links.open(a_host())
    lease = links._links[HOST]._lease
    longest_ms = int(links._max_lease_ms / SLOWEST_CLOCK_RATE)
    assert not lease.is_expired(now_ms + longest_ms)


def test_the_end_of_a_closed_link_s_lease_does_not_change() -> None:
    """Guards against runs given up at another address while their lease lasts."""
    reborn = HostStatus(clock_ms=100, born=8, running=(), ends=())
    ends: list[int] = []

    def answer_after_close() -> HostStatus:
        link.close()
        ends.append(link.lease_expires_by_ms)
        api.answer = lambda: reborn
        return reborn

    api = PolledHost(answer_after_close)
    link, _ = a_link(api)
    link._poll(0, 0)
    assert link.lease_expires_by_ms == ends[0]
