"""Which jobs a team hands in beyond its share.

A team's weight is the number of jobs a second that it is owed when all is full. What
comes beyond that runs too, but after what others are owed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import TeamName
from ..jobs.model import NO_TEAM, JobId

if TYPE_CHECKING:
    from ..jobs.catalog import Catalog
    from ..jobs.model import JobSpec

WINDOW_S = 5
"""Shares hold on average over this time: jobs come in bursts."""


@dataclass(slots=True)
class _Bucket:
    left: float
    filled_ms: int


@dataclass(slots=True)
class ShareMeter:
    """Meters the submissions of each team against its weight.

    Attributes:
        excess: Jobs beyond their team's share.
    """

    excess: set[JobId] = field(default_factory=set)
    _buckets: dict[TeamName, _Bucket] = field(default_factory=dict)

    def note(self, spec: JobSpec, catalog: Catalog, now_ms: int) -> None:
        """Takes a job that was just submitted."""
        team = catalog.teams.get(spec.team)
        if team is None or spec.team == NO_TEAM:
            return
        most = float(WINDOW_S * max(team.weight, 1))
        bucket = self._buckets.setdefault(spec.team, _Bucket(most, now_ms))
        gained = max(team.weight, 1) * (now_ms - bucket.filled_ms) / 1_000
        bucket.left = min(most, bucket.left + gained)
        bucket.filled_ms = now_ms
        if bucket.left < 1:
            self.excess.add(spec.id)
        else:
            bucket.left -= 1

    def forget(self, job: JobId) -> None:
        """Drops a job that has ended."""
        self.excess.discard(job)
