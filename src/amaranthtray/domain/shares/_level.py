"""Use of one pool by each team, as an exponentially forgetting sum."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..ids import TeamName

REBASE_HORIZONS = 20
"""Age of the reference time, in horizons, at which it is moved."""


class PoolLevels:
    """Level of each team: slots in use per unit of weight, smoothed over time.

    A level moves towards ``slots / weight`` with the horizon as its time constant.
    Between two changes of a team's slots it is ``goal + offset * decay(now)``,
    where ``decay`` is the same for all teams; so a change costs one team and a
    comparison costs two operations a team.
    """

    def __init__(self, *, horizon_ms: int, lookahead_ms: int, now_ms: int) -> None:
        self._horizon_ms = horizon_ms
        self._projection = math.exp(-lookahead_ms / horizon_ms)
        self._reference_ms = now_ms
        self._goal: dict[TeamName, float] = {}
        self._offset: dict[TeamName, float] = {}

    def set_slots(self, team: TeamName, slots: float, weight: int, now_ms: int) -> None:
        """Records how many slots the team uses from now on."""
        decay = self._decay(now_ms)
        goal = slots / weight
        offset = self._offset.get(team, 0.0)
        level = self._goal.get(team, 0.0) + offset * decay
        self._goal[team] = goal
        self._offset[team] = (level - goal) / decay

    def rescale(self, team: TeamName, before: int, after: int) -> None:
        """Keeps the team's use when its weight changes."""
        if team in self._goal:
            self._goal[team] *= before / after
            self._offset[team] *= before / after

    def lowest(self, teams: Collection[TeamName], now_ms: int) -> TeamName | None:
        """Returns the team that will be lowest after the lookahead."""
        goal = self._goal
        offset = self._offset
        for team in teams:
            if team not in goal:
                return team
        decay = self._decay(now_ms) * self._projection
        return min(teams, key=lambda t: goal[t] + offset[t] * decay, default=None)

    def goal(self, team: TeamName) -> float:
        """Returns the team's present slots per weight."""
        return self._goal.get(team, 0.0)

    def level(self, team: TeamName, now_ms: int) -> float:
        """Returns the team's smoothed slots per weight."""
        return self.goal(team) + self._offset.get(team, 0.0) * self._decay(now_ms)

    def teams(self) -> Iterable[TeamName]:
        """Returns the teams that have used the pool."""
        return self._goal.keys()

    def _decay(self, now_ms: int) -> float:
        age = (now_ms - self._reference_ms) / self._horizon_ms
        if age > REBASE_HORIZONS:
            self._rebase(now_ms, math.exp(-age))
            return 1.0
        return math.exp(-age)

    def _rebase(self, now_ms: int, decay: float) -> None:
        self._reference_ms = now_ms
        for team in self._offset:
            self._offset[team] *= decay
