"""A pool of three racks, one of which has the data of many jobs."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import HostId, RackId
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from scheduling import load

if TYPE_CHECKING:
    import random

    from amaranthtray.domain.scheduling.orders import StartRun

WEIGH = SchedulingPolicy(weigh_remote_hosts=True)
REMOTE_FACTOR = 2
RACKS, HOSTS_PER_RACK = ("r0", "r1", "r2"), 4
DATA_RACK = RackId("r0")
OTHER_LOAD = 0.3
"""Load of the pool by jobs without a rack, relative to its capacity."""
LOAD_MS, DRAIN_MS = 12_000, 8_000


@dataclass
class RackPool(load.LoadedPool):
    """A pool whose tasks take longer in another rack than their data.

    Attributes:
        near_share: Share of the jobs whose data is in the busy rack.
        runs_ms: Time of each run of a task with a rack.
        remote: Number of these runs in other racks.
    """

    near_share: float = 0.0
    runs_ms: list[int] = field(default_factory=list)
    remote: int = 0

    def __post_init__(self) -> None:
        self.make_job = self._a_job
        super().__post_init__()

    def _a_job(self, rng: random.Random, at_ms: int, error: float) -> load.Submitted:
        job = load.a_job(rng, at_ms, error)
        if rng.random() >= self.near_share:
            return job
        steps = tuple(replace(each, data_rack=DATA_RACK) for each in job.spec.steps)
        return replace(job, spec=replace(job.spec, steps=steps))

    def rack_of(self, host: HostId) -> RackId:
        return RackId(host[:2])

    def length_ms(self, order: StartRun) -> int:
        rack = self.jobs[order.name.job].spec.steps[order.name.step].data_rack
        length_ms = super().length_ms(order)
        if not rack:
            return length_ms
        is_remote = rack != self.rack_of(order.host)
        self.remote += is_remote
        self.runs_ms.append(length_ms * (REMOTE_FACTOR if is_remote else 1))
        return self.runs_ms[-1]


@dataclass(frozen=True)
class RackOutcome:
    """What callers got.

    Attributes:
        run_ms: Mean run time of the tasks with a rack.
        remote: Share of them that ran in another rack.
        near: Share of the jobs with a rack that were in time.
        other: Share of the jobs without a rack that were in time.
        near_s: Mean time from the submission to the end of the jobs with a rack in s.
        other_s: The same of the others.
    """

    run_ms: float
    remote: float
    near: float
    other: float
    near_s: float
    other_s: float


def play(
    seed: int, multiple: float, policy: SchedulingPolicy, error: float = 0.5
) -> RackOutcome:
    """Plays a load of the busy rack by a multiple of what it can run.

    Args:
        seed: Seed of the arrivals.
        multiple: Work of the jobs with a rack, relative to the rack's capacity.
        policy: Optional decisions.
        error: Largest relative error of estimates.
    """
    near, other = multiple, OTHER_LOAD * len(RACKS)
    pool = RackPool(
        load.Timeline(),
        seed,
        estimate_error=error,
        policy=policy,
        near_share=near / (near + other),
    )
    names = [f"{rack}-{n}" for rack in RACKS for n in range(HOSTS_PER_RACK)]
    pool.add_hosts(*map(HostId, names))
    rack_cores = HOSTS_PER_RACK * load.HOST.cpu / 1_000
    per_s = (near + other) * rack_cores / load.mean_core_s()
    pool.submit_bursts(load.Burst(0, LOAD_MS, per_s))
    load.run_pool(pool, LOAD_MS + DRAIN_MS)
    jobs = list(pool.jobs.values())
    with_rack = [job for job in jobs if job.spec.steps[0].data_rack]
    others = [job for job in jobs if not job.spec.steps[0].data_rack]
    return RackOutcome(
        sum(pool.runs_ms) / len(pool.runs_ms),
        pool.remote / len(pool.runs_ms),
        _in_time(with_rack),
        _in_time(others),
        _mean_s(with_rack, pool.time.now_ms),
        _mean_s(others, pool.time.now_ms),
    )


def _in_time(jobs: list[load.Submitted]) -> float:
    return sum(job.lateness <= 1 for job in jobs) / len(jobs)


def _mean_s(jobs: list[load.Submitted], now_ms: int) -> float:
    times = [(job.ended_ms or now_ms) - job.submitted_ms for job in jobs]
    return sum(times) / len(times) / 1_000
