"""Reservations of hosts for large tasks that wait, and what they cost others."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from amaranthtray.domain.ids import HostId, TeamName
from amaranthtray.domain.jobs.catalog import JobTeam
from amaranthtray.domain.jobs.model import JobSpec, Resources, StepSpec
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import (
    HostSilent,
    HostsListed,
    StartOutcome,
    VacateRequested,
)
from amaranthtray.domain.scheduling.orders import StartRun
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from amaranthtray.domain.scheduling.reservations import (
    HORIZON_MS,
    MAX_SLIP_MS,
    SLIP_MS,
    ReservationDropped,
    Reserved,
)
from scheduling import load
from scheduling.mixed_load import AHEAD, a_mixed_pool, play
from scheduling.parts import TEAM, SchedulerHarness, a_catalog, a_host, a_job, an_end

if TYPE_CHECKING:
    import random

    from amaranthtray.domain.jobs.catalog import Catalog

OFF = SchedulingPolicy()
RELAXED = a_catalog(weights={TEAM: 1_000}, slowdown_factor=20, target_ms=60_000)
LARGE = Resources(6_000, 100, 0)
HOLD_LIMIT_MS = HORIZON_MS + MAX_SLIP_MS + SLIP_MS
SLACK_S = 1.2
"""Time that a usual job of the load can wait and still end in time."""


def small(estimated_ms: int = 1_000, need: Resources | None = None) -> StepSpec:
    need = need or Resources(2_000, 100, 0)
    return StepSpec(count=1, need=need, estimated_ms=estimated_ms)


def large(**fields: Any) -> StepSpec:
    values = {"count": 1, "need": LARGE, "estimated_ms": 1_000, **fields}
    return StepSpec(**values)


class FullPool(SchedulerHarness):
    """Hosts of eight cores, full of small runs that end when they are told to."""

    def __init__(self, hosts: int = 4, catalog: Catalog = RELAXED) -> None:
        self.infos = [a_host(f"h{number}") for number in range(hosts)]
        super().__init__(*self.infos, catalog=catalog, policy=AHEAD)
        self.specs: list[JobSpec] = []
        self.running: list[StartRun] = []
        self.ends = 0
        for number in range(4 * hosts):
            self.submit(a_job(small(900 + 100 * number), name=f"first{number:02}"))
        self.step()

    def submit(self, spec: JobSpec, **fields: Any) -> None:
        self.specs.append(spec)
        super().submit(spec, **fields)

    def step(self, elapsed_ms: int = 10) -> list[str]:
        """Plans and starts; returns the jobs that were started."""
        self.now_ms += elapsed_ms
        effects = self.plan()
        orders = [each for each in effects if isinstance(each, StartRun)]
        for order in orders:
            self.reply_to_start(order, StartOutcome.STARTED)
        self.running += orders
        self.dropped = [e.reason for e in effects if isinstance(e, ReservationDropped)]
        return [str(order.name.job) for order in orders]

    def listed(self, host: str) -> tuple[Any, ...]:
        return tuple((e.name, e.number) for e in self.running if e.host == host)

    def end(self, host: str) -> None:
        """Ends the oldest run of a host."""
        ended = next(each for each in self.running if each.host == host)
        self.running.remove(ended)
        self.ends += 1
        ends = (an_end(ended, RunOutcome.DONE, self.ends),)
        self.report(host, running=self.listed(host), ends=ends)

    def reserved(self) -> list[str]:
        return sorted(self.scheduler.state.reservations.by_host)


def a_waiting_pool(hosts: int = 4) -> FullPool:
    """Returns a full pool with a large job that has a reservation."""
    pool = FullPool(hosts)
    pool.submit(a_job(large(), name="large"))
    pool.step()
    assert len(pool.reserved()) == 1
    return pool


@pytest.mark.parametrize("multiple", [1.0, 1.5])
def test_neither_large_nor_small_tasks_starve_under_mixed_load(multiple: float) -> None:
    """Load: 6 s at 1.0 and 1.5 times a pool's capacity, a tenth of large jobs.

    Reserved room must not stay unused: it may cost a twentieth of the pool at most.
    """
    for seed in (1, 2):
        old, got = (
            play(a_mixed_pool(seed, multiple, policy, hosts=8, load_ms=6_000))
            for policy in (OFF, AHEAD)
        )
        assert got.large[0] <= min(SLACK_S, old.large[0])
        assert got.small[0] <= SLACK_S
        assert min(got.in_time[1:]) >= 0.5
        assert got.used >= old.used - 0.05


def test_estimates_off_by_a_factor_of_three_starve_no_size() -> None:
    """Load: 6 s at the capacity; estimates are off by up to three, either way."""
    pool = a_mixed_pool(3, 1.0, AHEAD, estimate_error=2.0, hosts=8, load_ms=6_000)
    got = play(pool)
    assert max(got.large[0], got.small[0]) <= SLACK_S
    assert min(got.in_time[1:]) >= 0.5


def a_uniform_job(rng: random.Random, at_ms: int, error: float) -> load.Submitted:
    """Returns a job whose tasks have the shape of all others."""
    job = load.a_job(rng, at_ms, error)
    steps = tuple(replace(s, need=Resources(2_300, 2_000, 0)) for s in job.spec.steps)
    return replace(job, spec=replace(job.spec, steps=steps))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_plans_do_not_differ_where_nothing_large_waits(seed: int) -> None:
    """Load: 3 s of 1.5 times the capacity by tasks of one shape."""
    ends = []
    for policy in (OFF, AHEAD):
        pool = load.LoadedPool(
            load.Timeline(), seed, policy=policy, make_job=a_uniform_job
        )
        pool.add_hosts(*(HostId(f"h{number}") for number in range(6)))
        pool.submit_bursts(load.Burst(0, 3_000, 9.0))
        load.run_pool(pool, 6_000)
        ends.append({job: each.ended_ms for job, each in pool.jobs.items()})
    assert len(ends[0]) > 10
    assert ends[0] == ends[1]


def test_large_task_gets_the_room_that_small_ones_would_take() -> None:
    pool = a_waiting_pool()
    (host,) = pool.reserved()
    begun: list[str] = []
    for number in range(3):
        pool.submit(a_job(small(5_000), name=f"late{number}"))
        pool.end(host)
        begun += pool.step()
    assert begun == ["large"]
    assert pool.dropped == ["started"]


def test_small_task_that_ends_before_the_reservation_is_backfilled() -> None:
    pool = a_waiting_pool()
    (host,) = pool.reserved()
    pool.end(host)
    pool.submit(a_job(small(100), name="short"))
    pool.submit(a_job(small(5_000), name="long"))
    assert pool.step() == ["short"]


def test_higher_priority_is_not_bound_by_a_reservation() -> None:
    urgent = replace(RELAXED.queues[0], name="urgent", priority=-1)
    catalog = replace(RELAXED, queues=(*RELAXED.queues, urgent))
    pool = FullPool(catalog=catalog)
    pool.submit(a_job(large(), name="large"))
    pool.step()
    pool.end(pool.reserved()[0])
    pool.submit(replace(a_job(small(5_000), name="urgent"), queue=urgent.name))
    assert pool.step() == ["urgent"]


@pytest.mark.parametrize("fault", ["silent", "draining", "shrunk", "vacated", "gone"])
def test_reservation_does_not_stay_on_a_host_that_is_lost(fault: str) -> None:
    pool = a_waiting_pool()
    (host,) = pool.reserved()
    others = [info for info in pool.infos if info.id != host]
    info = next(info for info in pool.infos if info.id == host)
    match fault:
        case "silent":
            pool.send(HostSilent(HostId(host)))
        case "draining":
            pool.send(HostsListed((*others, replace(info, is_draining=True))))
        case "shrunk":
            less = replace(info, capacity=Resources(5_000, 64_000, 0))
            pool.send(HostsListed((*others, less)))
        case "vacated":
            pool.send(VacateRequested(frozenset({HostId(host)})))
        case "gone":
            pool.send(HostsListed(tuple(others)))
    pool.step()
    assert "host-lost" in pool.dropped
    assert host not in pool.reserved()
    assert len(pool.reserved()) == 1


def test_reservation_that_slips_ends_and_leaves_the_room_to_others() -> None:
    """Failure: runs that last far longer than estimated would hold room for ever."""
    pool = a_waiting_pool(1)
    pool.end("h0")
    pool.end("h0")
    pool.submit(a_job(small(60_000, Resources(3_000, 100, 0)), name="other"))
    assert pool.step() == []
    for _ in range(HOLD_LIMIT_MS // 100):
        if "other" in pool.step(100):
            return
    raise AssertionError(pool.reserved())


def test_no_two_reservations_hold_one_host() -> None:
    """Failure: two large tasks wait for the room that the other one holds."""
    pool = FullPool(8)
    for name in ("large-a", "large-b"):
        pool.submit(a_job(large(), name=name))
    pool.step()
    reservations = pool.scheduler.state.reservations.all()
    hosts = [host for each in reservations for host in each.hosts]
    assert len(hosts) == len(set(hosts)) == 2


def test_gangs_that_need_the_whole_pool_do_not_wait_for_each_other() -> None:
    """Failure: each of two gangs holds hosts that the other one needs."""
    pool = FullPool(3)
    for name in ("gang-a", "gang-b"):
        pool.submit(a_job(large(count=2, is_gang=True), name=name))
    begun: list[str] = []
    for _ in range(60):
        begun += pool.step(100)
        for host in ("h0", "h1", "h2"):
            if pool.listed(host):
                pool.end(host)
    assert begun.count("gang-a") == begun.count("gang-b") == 2


def test_step_beyond_its_cap_reserves_nothing() -> None:
    """Failure: a step that may not start keeps room from others."""
    capped = JobTeam(name=TeamName("capped"), weight=9, cap=Resources(1_000, 1_000, 0))
    catalog = replace(RELAXED, teams={**RELAXED.teams, capped.name: capped})
    pool = FullPool(catalog=catalog)
    pool.submit(a_job(large(), name="large", team="capped"))
    pool.step()
    assert not pool.reserved()


def test_step_with_advice_reserves_only_allowed_hosts() -> None:
    """Failure: a host is held for a step that the policy keeps from it."""
    strict = replace(RELAXED.queues[0], name="strict", needs_advice=True)
    pool = FullPool(catalog=replace(RELAXED, queues=(*RELAXED.queues, strict)))
    pool.submit(replace(a_job(large(), name="large"), queue=strict.name))
    pool.step()
    assert not pool.reserved()


def test_new_conductor_plans_reservations_anew() -> None:
    """Failure: a conductor is lost; its reservations are not stored."""
    pool = a_waiting_pool()
    successor = SchedulerHarness(*pool.infos, catalog=RELAXED, policy=AHEAD)
    successor.now_ms = pool.now_ms
    for spec in pool.specs:
        successor.submit(spec, record=pool.records.get(spec.id))
    for info in pool.infos:
        successor.report(info.id, running=pool.listed(info.id))
    assert [e.step.job for e in successor.plan() if isinstance(e, Reserved)] == [
        "large"
    ]
