"""Settings of the shares."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """How past use weighs and how entries hold back for each other.

    Attributes:
        horizon_ms: Time constant with which past use is forgotten.
        lookahead_ms: How far ahead the present use is projected when teams are
            compared; this charges tasks that have just begun.
        period_ms: Time between two frames of usage sums.
        repeat_ms: How long a changed sum is repeated in frames.
        fresh_ms: Silence after which a source counts as idle.
        full_part: Part of the pool's slots in use from which the pool is full.
        slack: How far a team may be ahead of one that waits elsewhere, as a part.
    """

    horizon_ms: int = 4_000
    lookahead_ms: int = 1_000
    period_ms: int = 250
    repeat_ms: int = 2_000
    fresh_ms: int = 1_500
    full_part: float = 0.9
    slack: float = 0.02
