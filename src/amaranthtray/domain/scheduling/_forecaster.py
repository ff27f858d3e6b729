"""When a pool's forecast is made, and when there is none.

Load: bursts of some seconds, in which machines of other pools arrive. A forecast made
before they have arrived would refuse jobs that they will serve.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.job import JobState
from ..jobs.model import JobId, JobSpec
from ._arrivals import ArrivalRates
from ._outlook import make_forecast
from .forecast import Forecast
from .shares import weight_of

if TYPE_CHECKING:
    from ..ids import TeamName
    from ..jobs.job import Job
    from ._state import SchedulerState

FORECAST_EVERY_MS = 400
"""Shortest time between forecasts; the report of the load is written as often."""

SETTLING_MS = 2_500
"""Time after which the machines that a shortage draws have arrived: the report (0.4 s),
a round of the fleet manager (0.2 s), the move (1.5 s) and the host list (0.25 s)."""

MAX_EXPECTED = 2_000
"""Most jobs whose end is compared with the forecast; further ones are not."""

MAX_GROWTH = 1.1
"""Growth of the pool within ``SETTLING_MS`` beyond which more machines may follow."""


@dataclass(slots=True)
class Forecaster:
    """The forecast in force and what it depends on.

    Attributes:
        forecast: Newest forecast; None if no job waits, or while machines arrive.
        arrivals: Jobs and work that arrived lately.
        errors_ms: Time from the expected to the actual end of jobs that have ended,
            until they are taken.
    """

    forecast: Forecast | None = None
    arrivals: ArrivalRates = field(default_factory=ArrivalRates)
    errors_ms: list[int] = field(default_factory=list)
    _expected_ms: dict[JobId, int] = field(default_factory=dict)
    _checked_ms: int | None = None
    _waits_since_ms: int | None = None
    _sizes: deque[tuple[int, int]] = field(default_factory=deque)

    def marks_excess(self, state: SchedulerState, spec: JobSpec) -> bool:
        """Marks a new job as beyond its team's share if entries count it so.

        Returns:
            Whether it is marked; it takes nothing of the share then, which the others
            of its team use up.
        """
        if self.forecast is None or not self.forecast.is_beyond_share(spec):
            return False
        state.shares.excess.add(spec.id)
        return True

    def record_job(self, job: Job, priority: int, *, is_excess: bool) -> None:
        """Records a new job, and its expected end if there is a forecast."""
        spec = job.spec
        self.arrivals.record(spec, priority, is_excess=is_excess)
        if self.forecast is None or len(self._expected_ms) >= MAX_EXPECTED:
            return
        for row in self.forecast.outlooks:
            if row.priority == priority and spec.recurrence is None:
                outlook = row.beyond if is_excess else row.within
                begin_ms = self.forecast.made_ms + outlook.in_time_ms
                least_ms = max(begin_ms, spec.accepted_ms)
                end_ms = round(least_ms + job.estimate.critical_path_ms)
                self._expected_ms[spec.id] = end_ms

    def _compare_ends(self, state: SchedulerState) -> None:
        for job_id, expected_ms in list(self._expected_ms.items()):
            job = state.jobs.get(job_id)
            if job is None or job.ended_ms:
                del self._expected_ms[job_id]
                if job is not None and job.state is JobState.COMPLETED:
                    self.errors_ms.append(job.ended_ms - expected_ms)

    def update(self, state: SchedulerState) -> bool:
        """Makes a forecast if one is due; returns whether it changed."""
        now_ms = state.now_ms
        if self._checked_ms is not None and (
            now_ms - self._checked_ms < FORECAST_EVERY_MS
        ):
            return False
        self._checked_ms = now_ms
        self._compare_ends(state)
        old = self.forecast
        excess_teams = {
            state.jobs[job].spec.team for job in state.shares.excess & state.jobs.keys()
        }
        self.arrivals.forget_old(state.wall_ms)
        weights = {
            team: _weight(state, team)
            for team in sorted(excess_teams & state.catalog.teams.keys())
        }
        entitled = self.arrivals.entitled(weights)
        found = make_forecast(state, entitled)
        if found is None:
            self._waits_since_ms = None
        elif self._waits_since_ms is None:
            self._waits_since_ms = now_ms
        self.forecast = found if self._is_settled(state) else None
        return self.forecast != old

    def _is_settled(self, state: SchedulerState) -> bool:
        """Returns whether no more machines are expected for the present shortage."""
        now_ms, sizes = state.now_ms, self._sizes
        size = sum(host.is_listed for host in state.hosts.values())
        sizes.append((now_ms, size))
        while now_ms - sizes[0][0] > SETTLING_MS:
            sizes.popleft()
        since_ms = self._waits_since_ms
        least = min(each for _, each in sizes)
        is_growing = size > MAX_GROWTH * least
        return (
            since_ms is not None and now_ms - since_ms >= SETTLING_MS and not is_growing
        )


def _weight(state: SchedulerState, team: TeamName) -> float:
    """Returns the jobs per second of the pool that are within a team's share."""
    if not state.policy.share_over_pools:
        return weight_of(state.catalog, team)
    return state.share_portions.portion(
        team, state.catalog, state.now_ms, state.wall_ms
    ).rate
