"""Which hosts stay empty while the machine service can't be read."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..ids import HostId
    from .model import Machine, MachineName, Wave

MAX_UNREAD_MS = 3_000
"""Longest time without a list of the machines in which emptied hosts wait."""


class MachineOutage:
    """Follows whether the list of machines can be read.

    A host that is emptied for an order which can't be sent is of no use to anyone.
    After a while it gets runs again, and is emptied anew once the service is back.
    """

    def __init__(self) -> None:
        self._machines: Mapping[MachineName, Machine] = {}
        self._failing_since_ms: int | None = None
        self._is_long = False

    def record_read(self, machines: Mapping[MachineName, Machine]) -> bool:
        """Records a list; returns whether it ends a long outage."""
        was_long, self._is_long = self._is_long, False
        self._machines, self._failing_since_ms = machines, None
        return was_long

    def record_failure(self, now_ms: int) -> bool:
        """Records that no list was read; returns whether a long outage begins."""
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        was_long = self._is_long
        self._is_long = now_ms - self._failing_since_ms >= MAX_UNREAD_MS
        return self._is_long and not was_long

    @property
    def is_long(self) -> bool:
        """Returns whether hosts need no longer wait for orders."""
        return self._is_long

    def hosts_to_keep(
        self, waves: Iterable[Wave], ordered: Iterable[MachineName]
    ) -> frozenset[HostId]:
        """Returns the hosts that an order may end at any moment.

        Args:
            waves: All waves; each knows the machines with an order without outcome.
            ordered: Further machines for which orders may be under way.
        """
        known = [self._machines[name] for name in ordered if name in self._machines]
        down = (host for wave in waves for host in wave.down.values())
        return frozenset(
            host for host in (*down, *(each.host for each in known)) if host
        )
