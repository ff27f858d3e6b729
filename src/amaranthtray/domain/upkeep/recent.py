"""Machines with recent orders, for which a new holder of the duty has to wait.

The platform may not fence machine orders, and requires a pause between the orders of
two holders for one machine. The machines concerned are stored before each order, so a
new holder waits only for those.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .model import MachineName

if TYPE_CHECKING:
    from collections.abc import Iterable


class RecentOrders:
    """Machines with recent orders of this holder and of earlier ones.

    Args:
        quiet_ms: Pause that the platform requires, plus a margin for clocks and calls.
    """

    def __init__(self, quiet_ms: int) -> None:
        self._quiet_ms = quiet_ms
        self._own: dict[MachineName, int] = {}
        self._inherited: frozenset[MachineName] = frozenset()
        self._inherited_until_ms = 0

    def inherit(self, names: Iterable[str], now_ms: int) -> None:
        """Sets the machines stored by earlier terms, once these can no longer write."""
        self._inherited = frozenset(MachineName(name) for name in names)
        self._inherited_until_ms = now_ms + self._quiet_ms

    def record(self, names: Iterable[MachineName], now_ms: int) -> None:
        """Records machines for which orders are about to be sent."""
        self._own.update(dict.fromkeys(names, now_ms))

    def in_quiet_period(self, now_ms: int) -> frozenset[MachineName]:
        """Returns machines that an earlier holder may have ordered too recently."""
        return self._inherited if now_ms < self._inherited_until_ms else frozenset()

    def names(self, now_ms: int) -> list[str]:
        """Returns the machines for which the next holder has to wait, sorted."""
        since_ms = now_ms - self._quiet_ms
        self._own = {name: at for name, at in self._own.items() if at >= since_ms}
        return sorted({*self._own, *self.in_quiet_period(now_ms)})
