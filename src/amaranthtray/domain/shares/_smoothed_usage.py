"""Exponential moving average of each team's use of one pool."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..ids import TeamName

REBASE_HORIZONS = 20
"""Age of the reference time, in horizons, from which it is set anew."""


class SmoothedUsage:
    """Slots in use per unit of weight, smoothed over time, for each team.

    The average approaches ``slots / weight`` with the horizon as its time constant.
    Between two changes of a team's slots it is ``current + offset * decay(now)``,
    where ``decay`` is the same for all teams. So a change updates one team only, and
    a comparison takes two operations per team.
    """

    def __init__(self, *, horizon_ms: int, lookahead_ms: int, now_ms: int) -> None:
        self._horizon_ms = horizon_ms
        self._lookahead_decay = math.exp(-lookahead_ms / horizon_ms)
        self._reference_ms = now_ms
        self._current: dict[TeamName, float] = {}
        self._offset: dict[TeamName, float] = {}

    def set_slots(self, team: TeamName, slots: float, weight: int, now_ms: int) -> None:
        """Records that the team uses this many slots from now on."""
        decay = self._decay(now_ms)
        current = slots / weight
        offset = self._offset.get(team, 0.0)
        smoothed = self._current.get(team, 0.0) + offset * decay
        self._current[team] = current
        self._offset[team] = (smoothed - current) / decay

    def rescale(self, team: TeamName, before: int, after: int) -> None:
        """Converts the team's use per weight to a new weight."""
        if team in self._current:
            self._current[team] *= before / after
            self._offset[team] *= before / after

    def lowest_projected(
        self, teams: Collection[TeamName], now_ms: int
    ) -> TeamName | None:
        """Returns the team whose average will be lowest after the lookahead.

        A team that never used the pool comes first.
        """
        current = self._current
        offset = self._offset
        for team in teams:
            if team not in current:
                return team
        decay = self._decay(now_ms) * self._lookahead_decay
        return min(teams, key=lambda t: current[t] + offset[t] * decay, default=None)

    def current(self, team: TeamName) -> float:
        """Returns the team's current slots per weight, not smoothed."""
        return self._current.get(team, 0.0)

    def smoothed(self, team: TeamName, now_ms: int) -> float:
        """Returns the team's smoothed slots per weight."""
        return self.current(team) + self._offset.get(team, 0.0) * self._decay(now_ms)

    def teams(self) -> Iterable[TeamName]:
        """Returns the teams that have used the pool."""
        return self._current.keys()

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
