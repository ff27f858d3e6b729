"""Machines that were ordered so lately that another holder has to wait; pure.

Machine orders may not be fenced by the platform, which asks for a pause between the
orders of two holders for one machine. Which machines that concerns is stored before
each order, so a new holder waits for those only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .model import MachineName

if TYPE_CHECKING:
    from collections.abc import Iterable


class RecentOrders:
    """The orders of the last while, those of former holders included.

    Args:
        quiet_ms: Pause that the platform asks for, with what clocks and calls may add.
    """

    def __init__(self, quiet_ms: int) -> None:
        self._quiet_ms = quiet_ms
        self._own: dict[MachineName, int] = {}
        self._inherited: frozenset[MachineName] = frozenset()
        self._inherited_until_ms = 0

    def inherit(self, names: Iterable[str], now_ms: int) -> None:
        """Takes what was stored when older terms could no longer write."""
        self._inherited = frozenset(MachineName(name) for name in names)
        self._inherited_until_ms = now_ms + self._quiet_ms

    def record(self, names: Iterable[MachineName], now_ms: int) -> None:
        """Notes that orders are about to be given."""
        self._own.update(dict.fromkeys(names, now_ms))

    def in_quiet_period(self, now_ms: int) -> frozenset[MachineName]:
        """Returns the machines that only a former holder may have ordered yet."""
        return self._inherited if now_ms < self._inherited_until_ms else frozenset()

    def names(self, now_ms: int) -> list[str]:
        """Returns what the next holder has to wait for."""
        since_ms = now_ms - self._quiet_ms
        self._own = {name: at for name, at in self._own.items() if at >= since_ms}
        return sorted({*self._own, *self.in_quiet_period(now_ms)})
