"""Fair shares: which jobs a team submits beyond its share.

A team's weight is the rate in jobs per second to which it is entitled in a full pool.
Jobs beyond that rate run too, but after the jobs to which other teams are entitled.
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
"""Averaging window of the shares, as jobs arrive in bursts."""


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_ms: int


@dataclass(slots=True)
class ShareMeter:
    """Token buckets that meter the submissions of each team against its weight.

    Attributes:
        excess: Jobs beyond their team's share.
    """

    excess: set[JobId] = field(default_factory=set)
    _buckets: dict[TeamName, _Bucket] = field(default_factory=dict)

    def record_submission(self, spec: JobSpec, catalog: Catalog, now_ms: int) -> None:
        """Meters a new job; marks it as excess if its team's bucket is empty."""
        team = catalog.teams.get(spec.team)
        if team is None or spec.team == NO_TEAM:
            return
        capacity = float(WINDOW_S * max(team.weight, 1))
        bucket = self._buckets.setdefault(spec.team, _Bucket(capacity, now_ms))
        gained = max(team.weight, 1) * (now_ms - bucket.refilled_ms) / 1_000
        bucket.tokens = min(capacity, bucket.tokens + gained)
        bucket.refilled_ms = now_ms
        if bucket.tokens < 1:
            self.excess.add(spec.id)
        else:
            bucket.tokens -= 1

    def remove_job(self, job: JobId) -> None:
        """Removes a job that has ended."""
        self.excess.discard(job)
