"""Max-min fair allocation of whole units."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

Claimant = TypeVar("Claimant", bound=str)


def fair_split(
    total: int, demands: Mapping[Claimant, int], *, rotation: int = 0
) -> dict[Claimant, int]:
    """Allocates ``total`` units by max-min fairness.

    No claimant's allocation can grow without shrinking one that is not larger,
    apart from the remainder that does not divide evenly.

    Args:
        total: Units to allocate.
        demands: Units demanded by each claimant.
        rotation: Offset of the claimant, by name, that is first to receive one of
            the units that do not divide evenly.

    Returns:
        Units of each claimant, at most its demand; any surplus stays unallocated.
    """
    allocations = dict.fromkeys(demands, 0)
    left = max(0, total)
    order = sorted(demands, key=lambda claimant: (demands[claimant], claimant))
    for position, claimant in enumerate(order):
        level = left // (len(order) - position)
        if demands[claimant] > level:
            return _split_evenly(allocations, order[position:], level, left, rotation)
        allocations[claimant] = max(0, demands[claimant])
        left -= allocations[claimant]
    return allocations


def _split_evenly(
    allocations: dict[Claimant, int],
    unsatisfied: list[Claimant],
    level: int,
    left: int,
    rotation: int,
) -> dict[Claimant, int]:
    """Allocates ``level`` units to each claimant and the remainder one by one."""
    ordered = sorted(unsatisfied)
    extra = left - level * len(ordered)
    first = rotation % len(ordered)
    for offset, claimant in enumerate(ordered[first:] + ordered[:first]):
        allocations[claimant] = level + (offset < extra)
    return allocations


def equal_part(total: int, members: int, position: int) -> int:
    """Returns the units of member number ``position`` in an equal split."""
    if members <= 0:
        return 0
    return total // members + (position < total % members)
