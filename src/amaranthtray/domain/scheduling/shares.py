"""Fair shares: which jobs a team submits beyond its share.

A team's weight is the rate in jobs per second to which it is entitled in a full pool.
Jobs beyond that rate run too, but after the jobs to which other teams are entitled.
A pool meters a team by its weight, or by the pool's portion of it (share_portions.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..ids import TeamName
from ..jobs.model import NO_TEAM, JobId

if TYPE_CHECKING:
    from ..jobs.catalog import Catalog
    from ..jobs.model import JobSpec

WINDOW_S = 5
"""Averaging window of the shares, as jobs arrive in bursts."""


class Portion(NamedTuple):
    """A pool's portion of a team's weight.

    Attributes:
        rate: Jobs per second that count as within the team's share.
        left: Jobs that one bucket for all pools would still hold for this pool; it
            limits the pool's bucket when ``rate`` falls below the weight.
    """

    rate: float
    left: float


def weight_of(catalog: Catalog, team: TeamName) -> int:
    """Returns the weight of a team in the configuration, at least 1."""
    return max(catalog.teams[team].weight, 1)


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_ms: int
    rate: float


@dataclass(slots=True)
class ShareMeter:
    """Token buckets that meter the submissions of each team against its weight.

    Attributes:
        excess: Jobs beyond their team's share.
    """

    excess: set[JobId] = field(default_factory=set)
    _buckets: dict[TeamName, _Bucket] = field(default_factory=dict)

    def record_submission(
        self,
        spec: JobSpec,
        catalog: Catalog,
        now_ms: int,
        portion: Portion | None = None,
    ) -> None:
        """Meters a new job; marks it as excess if its team's bucket is empty.

        Args:
            spec: The job.
            catalog: Configuration in force.
            now_ms: Steady-clock time.
            portion: What the pool may count as within the share; the team's whole
                weight if None.
        """
        team = catalog.teams.get(spec.team)
        if team is None or spec.team == NO_TEAM:
            return
        weight = weight_of(catalog, spec.team)
        rate = weight if portion is None else portion.rate
        # A bucket that can't hold one token would never let a job pass.
        capacity = max(float(WINDOW_S * rate), 1.0)
        bucket = self._buckets.setdefault(spec.team, _Bucket(capacity, now_ms, rate))
        gained = rate * (now_ms - bucket.refilled_ms) / 1_000
        bucket.tokens = min(capacity, bucket.tokens + gained)
        if portion is not None and portion.rate < weight <= bucket.rate:
            bucket.tokens = min(bucket.tokens, portion.left)
        bucket.refilled_ms, bucket.rate = now_ms, rate
        if bucket.tokens < 1:
            self.excess.add(spec.id)
        else:
            bucket.tokens -= 1

    def remove_job(self, job: JobId) -> None:
        """Removes a job that has ended."""
        self.excess.discard(job)
