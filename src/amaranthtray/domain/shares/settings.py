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
        news_lag_ms: How long the use of others may take to be known here.
        full_part: Part of the pool's slots in use from which the pool is full.
        correction: Part of a team's smoothed surplus that is taken off its slots.
        refresh_ms: How long the computed share of a full pool is used.
    """

    horizon_ms: int = 2_000
    lookahead_ms: int = 300
    period_ms: int = 250
    repeat_ms: int = 2_000
    fresh_ms: int = 1_500
    news_lag_ms: int = 1_500
    full_part: float = 0.9
    correction: float = 1.5
    refresh_ms: int = 20
