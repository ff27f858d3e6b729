"""A pool under load whose entry may refuse jobs, with callers that return."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import HostId, QueueName, TeamName
from amaranthtray.domain.jobs.admission import Refuse, decide
from amaranthtray.domain.jobs.model import JobId
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from amaranthtray.domain.scheduling.pool import PoolScheduler
from scheduling.load import (
    HOST,
    LATE_FACTOR,
    POOL,
    SLOWDOWN,
    TARGET_MS,
    LoadedPool,
    Submitted,
    Timeline,
    a_job,
    mean_core_s,
    run_pool,
)
from scheduling.parts import QUEUE, TEAM, a_catalog

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.forecast import Forecast
    from amaranthtray.domain.scheduling.messages import StoreJobs

HOSTS = 14
CAPACITY_PER_S = HOSTS * HOST.cpu / 1_000 / mean_core_s()
"""Jobs a second that the pool can run."""
USUAL_SHARE = 0.6
"""Part of the capacity that the other teams use, all within their shares."""
OTHERS = tuple(TeamName(f"usual{number}") for number in range(3))
WEIGHTS = {
    TEAM: round(0.2 * CAPACITY_PER_S),
    **{team: round(0.25 * CAPACITY_PER_S) for team in OTHERS},
}
PATIENT = QueueName("patient")
"""Queue of the lower priority; each job goes to it or to the other one by chance."""
BURST_MS, END_MS = 12_000, 48_000
CALM = 0.4
"""Load after the burst, as a part of the capacity."""
READ_MS = 1_000
"""Time between an entry's reads of the reports."""
MAX_RETURNS = 2


@dataclass
class Caller:
    """A job as its caller sees it; returns have the same id.

    Attributes:
        first_ms: Time of the first submission.
        refusals: Refusals that it got.
        job: Last submission that was accepted.
    """

    first_ms: int
    team: TeamName
    refusals: list[Refuse] = field(default_factory=list)
    job: Submitted | None = None

    @property
    def lateness(self) -> float:
        """Returns the time to the end, since the accepted submission, by objective."""
        return self.job.lateness if self.job else float("inf")


@dataclass
class RefusingPool(LoadedPool):
    """A pool whose entry reads the forecast once a second.

    Attributes:
        refuses: Whether the switch is on.
        obeys: Whether refusals take effect; if not they are only recorded.
    """

    refuses: bool = True
    obeys: bool = True
    callers: dict[JobId, Caller] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.catalog = a_catalog(
            weights=WEIGHTS, slowdown_factor=SLOWDOWN, target_ms=TARGET_MS
        )
        urgent = self.catalog.queues[0]
        patient = replace(urgent, name=PATIENT, path_prefix="/p/", priority=1)
        self.catalog = replace(self.catalog, queues=(urgent, patient))
        policy = SchedulingPolicy(refuse_late_jobs=self.refuses)
        self.scheduler = PoolScheduler(POOL, self.catalog, 0, policy=policy)
        self._stored_forecast: Forecast | None = None
        self._read_forecast: Forecast | None = None

    def submit_as(
        self, team: TeamName, from_ms: int, until_ms: int, per_s: float
    ) -> None:
        """Schedules a team's submissions."""
        rng = random.Random(f"{self.seed}/{team}/{from_ms}")
        at_ms = from_ms + rng.expovariate(per_s / 1_000)
        while at_ms < until_ms:
            job = a_job(rng, int(at_ms), self.estimate_error)
            queue = rng.choice((QUEUE, PATIENT))
            job.spec = replace(job.spec, team=team, queue=queue)
            self.time.after(
                int(at_ms) - self.time.now_ms, lambda job=job: self._submit(job)
            )
            at_ms += rng.expovariate(per_s / 1_000)

    def read_reports(self) -> None:
        """Reads the stored forecast, and again after the interval."""
        self._read_forecast = self._stored_forecast
        self.time.after(READ_MS, self.read_reports)

    def _stored(self, batch: StoreJobs) -> None:
        self._stored_forecast = batch.forecast
        super()._stored(batch)

    def _submit(self, job: Submitted) -> None:
        now_ms, spec = self.time.now_ms, job.spec
        caller = self.callers.setdefault(spec.id, Caller(now_ms, spec.team))
        queue = self.catalog.queue(spec.queue)
        decision = decide(spec, queue, self._read_forecast)
        if isinstance(decision, Refuse):
            caller.refusals.append(decision)
            if self.obeys:
                if len(caller.refusals) <= MAX_RETURNS:
                    at_ms = now_ms + decision.return_s * 1_000
                    again = replace(
                        job, spec=replace(spec, accepted_ms=at_ms), submitted_ms=at_ms
                    )
                    self.time.after(at_ms - now_ms, lambda: self._submit(again))
                return
        caller.job = job
        super()._submit(job)


def play(
    seed: int, overload: float, *, refuses: bool = True, obeys: bool = True
) -> RefusingPool:
    """Plays a burst of a multiple of the capacity, most of it from one team."""
    pool = RefusingPool(Timeline(), seed, refuses=refuses, obeys=obeys)
    pool.add_hosts(*(HostId(f"h{number:02}") for number in range(HOSTS)))
    others_per_s = USUAL_SHARE * CAPACITY_PER_S / len(OTHERS)
    for team in OTHERS:
        pool.submit_as(team, 0, BURST_MS, others_per_s)
        pool.submit_as(team, BURST_MS, END_MS - 10_000, others_per_s * CALM)
    excess_per_s = (overload - USUAL_SHARE) * CAPACITY_PER_S
    pool.submit_as(TEAM, 0, BURST_MS, excess_per_s)
    pool.read_reports()
    run_pool(pool, END_MS)
    return pool


def count_worthless(callers: list[Caller]) -> int:
    """Returns the number of jobs that were accepted and are worthless."""
    return sum(each.job is not None and each.lateness > LATE_FACTOR for each in callers)
