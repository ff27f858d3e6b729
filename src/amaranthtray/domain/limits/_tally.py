"""Sums of one team's figures over the entries of a zone, kept up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .split import fair_split

if TYPE_CHECKING:
    from ..ids import Incarnation


class EntryPart(NamedTuple):
    """One entry's figures of one team.

    Attributes:
        units: Units of the latest grant.
        used: Units in use at the last report.
        need: Units that the entry's work could use.
        charge: Most tasks that can be running from the entry.
    """

    units: int
    used: int
    need: int
    charge: int

    @property
    def excess(self) -> int:
        """Returns the tasks that run beyond the units."""
        return max(0, self.used - self.units)

    @property
    def is_lacking(self) -> bool:
        """Returns whether the entry could use more units."""
        return self.need > self.units


NO_PART = EntryPart(0, 0, 0, 0)


class _Targets(NamedTuple):
    """Fair parts and what they were computed from."""

    usable: int
    turn: int
    parts: dict[Incarnation, int]


class TeamTally:
    """One team's figures, entry by entry and in sum.

    Attributes:
        need: Units that the work of all entries could use.
        charge: Most tasks that can be running from all entries.
        excess: Tasks that run beyond the units of their entries.
        lacking: Entries that could use more units.
    """

    def __init__(self) -> None:
        self.need = 0
        self.charge = 0
        self.excess = 0
        self.lacking = 0
        self._parts: dict[Incarnation, EntryPart] = {}
        self._targets: _Targets | None = None

    def part(self, incarnation: Incarnation) -> EntryPart:
        """Returns an entry's figures."""
        return self._parts.get(incarnation, NO_PART)

    def put(self, incarnation: Incarnation, part: EntryPart) -> None:
        """Replaces an entry's figures."""
        before = self._parts.get(incarnation, NO_PART)
        if part == before:
            return
        self._targets = None
        self.need += part.need - before.need
        self.charge += part.charge - before.charge
        self.excess += part.excess - before.excess
        self.lacking += part.is_lacking - before.is_lacking
        if part == NO_PART:
            del self._parts[incarnation]
        else:
            self._parts[incarnation] = part

    def target(self, incarnation: Incarnation, usable: int, turn: int) -> int:
        """Returns an entry's fair part, with an equal part of what nobody needs."""
        known = self._targets
        if known is None or known.usable != usable or known.turn != turn:
            known = self._targets = _Targets(usable, turn, self._split(usable, turn))
        return known.parts.get(incarnation, 0)

    def _split(self, usable: int, turn: int) -> dict[Incarnation, int]:
        wants = {name: part.need for name, part in self._parts.items()}
        parts = fair_split(usable, wants, turn=turn)
        spare = max(0, usable - sum(parts.values()))
        extra = spare // max(1, len(parts))
        return {name: count + extra for name, count in parts.items()}
