"""Max-min fair division of a full pool, by water-filling."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Demand(NamedTuple):
    """Slots of a pool that one team can use, and its weight.

    Attributes:
        weight: Weight of the team.
        slots: Slots that it can use; infinite for a team with waiting work.
    """

    weight: int
    slots: float


def water_level(slots: float, demands: Iterable[Demand]) -> float:
    """Returns the slots per weight at which the demands use up ``slots``.

    A team that can use less than its share leaves the rest to the others. Infinite
    if all demands fit.
    """
    ordered = sorted(demands, key=lambda demand: demand.slots / demand.weight)
    weights = sum(demand.weight for demand in ordered)
    left = slots
    for demand in ordered:
        if demand.slots * weights > left * demand.weight:
            return left / weights
        left -= demand.slots
        weights -= demand.weight
    return float("inf")
