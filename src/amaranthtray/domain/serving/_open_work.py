"""Exemption from limits for work of open queues, which belongs to no team."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..requests.model import OPEN_TEAM

if TYPE_CHECKING:
    from ..ids import Millis, TeamName
    from ..requests.ports import Limits


class OpenWorkExemptLimits:
    """Applies the limits of teams; only slots and its share limit open work.

    Args:
        limits: Limits that apply to the work of teams.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Acquires a unit; returns False if none is free. Open work needs no unit."""
        return team == OPEN_TEAM or self._limits.try_acquire(team, now_ms)

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Releases a unit; does nothing for open work."""
        if team != OPEN_TEAM:
            self._limits.release(team, now_ms)

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Records how many requests of a team wait; ignores open work."""
        if team != OPEN_TEAM:
            self._limits.record_demand(team, waiting, now_ms)
