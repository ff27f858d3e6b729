"""Settings of the fair shares."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """How past use counts and when entries hold back for each other.

    Attributes:
        horizon_ms: Time constant with which past use decays.
        lookahead_ms: How far ahead current use is projected when teams are compared,
            so that tasks that have just started count.
        period_ms: Interval between two usage frames.
        repeat_ms: How long frames repeat a sum after its last change.
        fresh_ms: Time without frames after which a source counts as idle.
        news_lag_ms: Longest time until use at other entries is known here.
        full_part: Fraction of a pool's slots in use from which it counts as full.
        correction: Factor of a team's smoothed surplus, subtracted from its slots.
        refresh_ms: How long the computed fair level of a full pool is used.
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
