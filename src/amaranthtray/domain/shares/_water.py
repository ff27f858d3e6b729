"""Level to which a full pool fills its teams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Claim(NamedTuple):
    """What one team can use of a pool.

    Attributes:
        weight: The team's share.
        slots: Slots that it can use; infinite for a team with waiting work.
    """

    weight: int
    slots: float


def water_level(slots: float, claims: Iterable[Claim]) -> float:
    """Returns the slots per weight at which the claims fill ``slots``.

    A team that can use less than its share leaves the rest to the others. Infinite
    if all claims fit.
    """
    ordered = sorted(claims, key=lambda claim: claim.slots / claim.weight)
    weights = sum(claim.weight for claim in ordered)
    left = slots
    for claim in ordered:
        if claim.slots * weights > left * claim.weight:
            return left / weights
        left -= claim.slots
        weights -= claim.weight
    return float("inf")
