"""A new holder waits for the machines that the last one may have ordered."""

from __future__ import annotations

from amaranthtray.domain.upkeep.model import MachineName
from amaranthtray.domain.upkeep.recent import RecentOrders

QUIET_MS = 3_500
A, B = MachineName("a"), MachineName("b")


def test_only_what_the_last_holder_ordered_is_waited_for() -> None:
    recent = RecentOrders(QUIET_MS)
    recent.inherit(["a"], now_ms=100)
    assert recent.in_quiet_period(100) == {A}
    assert recent.in_quiet_period(100 + QUIET_MS - 1) == {A}
    assert recent.in_quiet_period(100 + QUIET_MS) == frozenset()


def test_a_third_holder_waits_for_the_first_ones_orders_too() -> None:
    recent = RecentOrders(QUIET_MS)
    recent.inherit(["a"], now_ms=100)
    recent.record([B], now_ms=200)
    assert recent.names(300) == ["a", "b"]
    assert recent.names(100 + QUIET_MS) == ["b"]
    assert recent.names(201 + QUIET_MS) == []
