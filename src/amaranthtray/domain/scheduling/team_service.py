"""How many jobs of each team end in time, and which teams are served worst.

The load that this addresses: a team floods the pools, and the sums over all teams hide
that others are served late because of it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..ids import TeamName
from ..jobs.job import JobState
from ..jobs.model import NO_TEAM

if TYPE_CHECKING:
    from ..jobs.job import Job

WINDOW_S = 60
"""Time for which an ended job counts."""

REPORT_EVERY_MS = 10_000
"""Time between reports."""

LEAST_JOBS = 5
"""Jobs that a team must have in the window; the share of fewer says little."""

REPORTED_PART = 10
"""One of so many teams is reported, at least one."""


class TeamEnds(NamedTuple):
    """Jobs of a team that ended within the window."""

    team: TeamName
    ended: int
    in_time: int


@dataclass(frozen=True, slots=True)
class WorstTeams:
    """Reports the worst-served tenth of a pool's teams.

    Attributes:
        teams: Those teams, the worst first.
        compared: Number of teams with enough jobs.
    """

    teams: tuple[TeamEnds, ...]
    compared: int

    @property
    def share(self) -> float:
        """Returns the share of these teams' jobs that ended in time."""
        ended = sum(each.ended for each in self.teams)
        return sum(each.in_time for each in self.teams) / ended


@dataclass(slots=True)
class _Ends:
    """Numbers of ended jobs, and of those in time, by second of the steady clock."""

    ended: dict[int, int] = field(default_factory=dict)
    in_time: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class TeamService:
    """Counts the ended jobs of each team of one pool."""

    _teams: dict[TeamName, _Ends] = field(default_factory=dict)
    _reported_ms: int | None = None
    _has_new: bool = False

    def record_end(self, job: Job, objective_ms: float, now_ms: int) -> None:
        """Counts a job that has ended; a failed one is not in time.

        Jobs that were cancelled, are lasting or recur have no end to compare.

        Args:
            job: The job, with its end.
            objective_ms: Time after its acceptance until which it is in time.
            now_ms: Steady-clock time.
        """
        spec = job.spec
        if spec.team == NO_TEAM or job.state is JobState.CANCELLED:
            return
        if spec.recurrence or any(step.is_lasting for step in spec.steps):
            return
        took_ms = job.ended_ms - spec.accepted_ms
        is_in_time = job.state is JobState.COMPLETED and took_ms <= objective_ms
        ends, second = self._teams.setdefault(spec.team, _Ends()), now_ms // 1_000
        ends.ended[second] = ends.ended.get(second, 0) + 1
        ends.in_time[second] = ends.in_time.get(second, 0) + is_in_time
        self._has_new = True

    def report(self, now_ms: int) -> list[WorstTeams]:
        """Returns the report that is due, if jobs have ended since the last one."""
        if self._reported_ms is None:
            self._reported_ms = now_ms
        if not self._has_new or now_ms - self._reported_ms < REPORT_EVERY_MS:
            return []
        self._reported_ms, self._has_new = now_ms, False
        self._forget_old(now_ms)
        teams = [
            TeamEnds(team, sum(each.ended.values()), sum(each.in_time.values()))
            for team, each in self._teams.items()
        ]
        compared = [each for each in teams if each.ended >= LEAST_JOBS]
        if not compared:
            return []
        compared.sort(key=lambda each: (each.in_time / each.ended, each.team))
        count = math.ceil(len(compared) / REPORTED_PART)
        return [WorstTeams(tuple(compared[:count]), len(compared))]

    def _forget_old(self, now_ms: int) -> None:
        oldest = now_ms // 1_000 - WINDOW_S + 1
        for team, ends in list(self._teams.items()):
            for counts in (ends.ended, ends.in_time):
                for second in [each for each in counts if each < oldest]:
                    del counts[second]
            if not ends.ended:
                del self._teams[team]
