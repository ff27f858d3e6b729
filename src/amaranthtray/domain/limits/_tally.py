"""Usage of one team, summed incrementally over the entries of a zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .split import fair_split

if TYPE_CHECKING:
    from ..ids import Incarnation


class EntryUsage(NamedTuple):
    """Units and usage of one team at one entry.

    Attributes:
        units: Units of the latest grant.
        used: Units in use at the last report.
        need: Units that the entry's work could use.
        max_running: Maximum number of tasks that can be running from the entry.
    """

    units: int
    used: int
    need: int
    max_running: int

    @property
    def excess(self) -> int:
        """Returns how many more tasks run than there are units."""
        return max(0, self.used - self.units)

    @property
    def is_short(self) -> bool:
        """Returns whether the entry needs more units than it has."""
        return self.need > self.units


NO_USAGE = EntryUsage(0, 0, 0, 0)


class _Targets(NamedTuple):
    """Cached fair allocation and the arguments that it was computed from."""

    usable: int
    rotation: int
    allocations: dict[Incarnation, int]


class TeamTotals:
    """Usage of one team by entry, and its totals.

    Attributes:
        need: Units that the work of all entries could use.
        max_running: Maximum number of tasks that can be running from all entries.
        excess: Running tasks that exceed the units of their entries.
        short_entries: Number of entries that need more units than they have.
    """

    def __init__(self) -> None:
        self.need = 0
        self.max_running = 0
        self.excess = 0
        self.short_entries = 0
        self._usage: dict[Incarnation, EntryUsage] = {}
        self._targets: _Targets | None = None

    def usage(self, incarnation: Incarnation) -> EntryUsage:
        """Returns the usage of an entry."""
        return self._usage.get(incarnation, NO_USAGE)

    def update(self, incarnation: Incarnation, usage: EntryUsage) -> None:
        """Replaces the usage of an entry and adjusts the totals."""
        before = self._usage.get(incarnation, NO_USAGE)
        if usage == before:
            return
        self._targets = None
        self.need += usage.need - before.need
        self.max_running += usage.max_running - before.max_running
        self.excess += usage.excess - before.excess
        self.short_entries += usage.is_short - before.is_short
        if usage == NO_USAGE:
            del self._usage[incarnation]
        else:
            self._usage[incarnation] = usage

    def target(self, incarnation: Incarnation, usable: int, rotation: int) -> int:
        """Returns an entry's fair allocation, plus an equal part of the surplus."""
        cached = self._targets
        if cached is None or cached.usable != usable or cached.rotation != rotation:
            cached = self._targets = _Targets(
                usable, rotation, self._split(usable, rotation)
            )
        return cached.allocations.get(incarnation, 0)

    def _split(self, usable: int, rotation: int) -> dict[Incarnation, int]:
        demands = {name: usage.need for name, usage in self._usage.items()}
        allocations = fair_split(usable, demands, rotation=rotation)
        spare = max(0, usable - sum(allocations.values()))
        extra = spare // max(1, len(allocations))
        return {name: count + extra for name, count in allocations.items()}
