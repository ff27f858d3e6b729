"""Max-min fair division of whole units."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

Claimant = TypeVar("Claimant", bound=str)


def fair_split(
    total: int, wants: Mapping[Claimant, int], *, turn: int = 0
) -> dict[Claimant, int]:
    """Divides ``total`` so that nobody gains but from one who has more.

    Args:
        total: Units to divide.
        wants: Units wanted by each claimant.
        turn: Which claimant comes first for the units that do not divide evenly.

    Returns:
        Units of each claimant, at most what it wants; the rest stays undivided.
    """
    parts = dict.fromkeys(wants, 0)
    left = max(0, total)
    order = sorted(wants, key=lambda claimant: (wants[claimant], claimant))
    for position, claimant in enumerate(order):
        level = left // (len(order) - position)
        if wants[claimant] > level:
            return _level_out(parts, order[position:], level, left, turn)
        parts[claimant] = max(0, wants[claimant])
        left -= parts[claimant]
    return parts


def _level_out(
    parts: dict[Claimant, int],
    hungry: list[Claimant],
    level: int,
    left: int,
    turn: int,
) -> dict[Claimant, int]:
    """Gives each of ``hungry`` the same, and the remainder to some in turn."""
    ring = sorted(hungry)
    extra = left - level * len(ring)
    first = turn % len(ring)
    for offset, claimant in enumerate(ring[first:] + ring[:first]):
        parts[claimant] = level + (offset < extra)
    return parts


def equal_part(total: int, members: int, position: int) -> int:
    """Returns the part of member number ``position`` in an equal split."""
    if members <= 0:
        return 0
    return total // members + (position < total % members)
