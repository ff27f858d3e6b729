"""Work of open queues, which has no team whose limit could bind it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..requests.model import OPEN_TEAM

if TYPE_CHECKING:
    from ..ids import Millis, TeamName
    from ..requests.ports import Limits


class OpenWorkExempt:
    """Passes on to the limits of teams; open work is bound by slots and share only.

    Args:
        limits: Units of the teams.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Takes one unit; always true for open work."""
        return team == OPEN_TEAM or self._limits.try_acquire(team, now_ms)

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Returns one unit."""
        if team != OPEN_TEAM:
            self._limits.release(team, now_ms)

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Records how many requests of the team wait."""
        if team != OPEN_TEAM:
            self._limits.record_demand(team, waiting, now_ms)
