"""The time at which the runs of a host have certainly ended."""

from __future__ import annotations

from amaranthtray.domain.scheduling.lease import HostLease
from amaranthtray.jobs.host_link import POLL_WAIT_MS
from amaranthtray.jobs.times import LEASE_MS
from amaranthtray.platform.host_client import ORDER_TIMEOUT_MS


def a_lease() -> HostLease:
    return HostLease(lease_ms=5_000, max_lease_ms=10_000, earlier_leases_until_ms=8_000)


def test_the_lease_of_an_unreached_host_expires_with_those_of_earlier_terms() -> None:
    lease = a_lease()
    assert not lease.is_expired(7_999)
    assert lease.is_expired(8_000)


def test_expiry_allows_for_a_slow_host_clock() -> None:
    lease = a_lease()
    lease.record_answer(1_000, 1, 0)
    assert lease.next_expiry_ms(0) == 6_000
    assert not lease.is_expired(10_200)
    assert lease.is_expired(10_210)


def test_a_lease_expires_after_the_last_call_not_the_last_response() -> None:
    lease = a_lease()
    lease.record_answer(0, 1, 0)
    lease.next_expiry_ms(6_000)
    assert not lease.is_expired(11_000)
    assert lease.is_expired(11_300)


def test_an_order_to_an_earlier_incarnation_may_extend_the_lease_far() -> None:
    lease = a_lease()
    lease.record_answer(900_000, 1, 0)
    lease.record_answer(100, 2, 1_000)
    assert not lease.is_expired(11_000)
    assert lease.is_expired(11_300)


def test_an_earlier_term_may_have_extended_the_lease_as_far_as_the_host_allows() -> (
    None
):
    """Guards against a late order of an earlier term to a former incarnation."""
    lease = a_lease()
    lease.record_answer(100, 2, 0)
    lease.next_expiry_ms(0)
    assert not lease.is_expired(10_000)
    assert lease.is_expired(10_300)


def test_calls_to_a_silent_host_do_not_extend_its_lease() -> None:
    lease = a_lease()
    lease.record_answer(0, 1, 0)
    lease.next_expiry_ms(6_000)
    lease.record_no_answer()
    for now_ms in range(6_500, 11_000, 500):
        assert lease.next_expiry_ms(now_ms) is None
    assert lease.is_expired(11_300)


def test_a_host_that_responds_again_gets_its_lease_extended() -> None:
    lease = a_lease()
    lease.record_answer(0, 1, 0)
    lease.record_no_answer()
    lease.record_answer(4_000, 1, 4_000)
    assert lease.next_expiry_ms(4_000) == 9_000


def test_a_silent_host_is_asked_for_no_lease_as_it_may_have_restarted() -> None:
    """Guards against a lease that is longer than the next conductor assumes."""
    lease = a_lease()
    lease.record_answer(900_000, 1, 0)
    lease.next_expiry_ms(0)
    lease.record_no_answer()
    assert lease.next_expiry_ms(3_900) is None


def test_one_lost_renewal_leaves_time_for_the_next() -> None:
    """Guards against runs that lapse on a healthy host after one lost reply."""
    lost_ms = POLL_WAIT_MS + ORDER_TIMEOUT_MS
    assert POLL_WAIT_MS + lost_ms < LEASE_MS
