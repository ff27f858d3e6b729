"""A new holder waits for machines that the last one may have ordered."""

from __future__ import annotations

from amaranthtray.domain.upkeep.model import MachineName
from amaranthtray.domain.upkeep.recent import RecentOrders

QUIET_MS = 3_500
A, B = MachineName("a"), MachineName("b")


def test_a_new_holder_waits_only_for_machines_ordered_by_the_last_one() -> None:
    recent = RecentOrders(QUIET_MS)
    recent.inherit(["a"], now_ms=100)
    assert recent.in_quiet_period(100) == {A}
    assert recent.in_quiet_period(100 + QUIET_MS - 1) == {A}
    assert recent.in_quiet_period(100 + QUIET_MS) == frozenset()


def test_a_third_holder_also_waits_for_the_orders_of_the_first() -> None:
    recent = RecentOrders(QUIET_MS)
    recent.inherit(["a"], now_ms=100)
    recent.record([B], now_ms=200)
    assert recent.names(300) == ["a", "b"]
    assert recent.names(100 + QUIET_MS) == ["b"]
    assert recent.names(201 + QUIET_MS) == []
