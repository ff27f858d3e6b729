"""Slow hosts get little work and recover, and runs leave them."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.model import JobId, StepKey
from amaranthtray.domain.jobs.task import RunPhase
from amaranthtray.domain.scheduling._late_runs import place_copies
from amaranthtray.domain.scheduling.host import Host
from amaranthtray.domain.scheduling.host_speed import (
    FIRST_PAUSE_MS,
    TRIAL_RUNS,
    HostSpeeds,
    SlowHost,
    SpeedSample,
)
from amaranthtray.domain.scheduling.messages import StartOutcome
from amaranthtray.domain.scheduling.orders import StopRun
from amaranthtray.domain.scheduling.run_time_events import HostSlow, RunMoved
from scheduling.parts import SchedulerHarness, a_host, a_job, a_step
from scheduling.test_run_times import learned

HOSTS = [HostId(f"h{number}") for number in range(10)]


def review(
    speeds: HostSpeeds, factors: dict[HostId, list[float]], now_ms: int = 1_000
) -> list[HostSlow]:
    """Reviews hosts whose runs, each of another step, took multiples of their time."""
    running = {
        host: [
            SpeedSample(
                StepKey(JobId(f"{host}-{now_ms}-{number}"), 0, 0),
                math.log(factor),
                0.5,
                now_ms,
                now_ms,
            )
            for number, factor in enumerate(factors.get(host, [1.0] * 4))
        ]
        for host in HOSTS
    }
    return speeds.review(running, len(HOSTS), now_ms)


def test_a_host_whose_runs_all_take_long_is_slow() -> None:
    speeds = HostSpeeds()
    (change,) = review(speeds, {HOSTS[0]: [9.0, 8.0, 10.0]})
    assert change.host == HOSTS[0]
    assert speeds.is_avoided(HOSTS[0], 0, 1_000)
    assert speeds.slowness(HOSTS[0]) == pytest.approx(9.0, rel=0.1)


@pytest.mark.parametrize("factors", [[7.0], [7.0, 1.0], [1.0, 7.0, 0.9, 7.0, 1.1]])
def test_runs_of_the_tail_do_not_make_a_host_slow(factors: list[float]) -> None:
    """Load: three of a hundred tasks take seven times as long as the others."""
    assert not review(HostSpeeds(), {HOSTS[0]: factors})


def test_tasks_that_became_longer_everywhere_make_no_host_slow() -> None:
    """Guards against a pool that is avoided because its queue has changed."""
    assert not review(HostSpeeds(), dict.fromkeys(HOSTS, [4.0] * 4))


def test_at_most_a_share_of_the_pool_is_avoided() -> None:
    """Guards against a pool without hosts when many of them are slow at once."""
    speeds = HostSpeeds()
    review(speeds, dict.fromkeys(HOSTS[:5], [9.0] * 4))
    assert len(speeds.slow) == 3


def test_a_host_that_has_recovered_returns_with_a_few_runs() -> None:
    speeds, host = HostSpeeds(), HOSTS[0]
    review(speeds, {host: [9.0] * 4})
    tried_ms = 1_000 + FIRST_PAUSE_MS
    assert speeds.is_avoided(host, 0, tried_ms - 1)
    assert not speeds.is_avoided(host, TRIAL_RUNS - 1, tried_ms)
    assert speeds.is_avoided(host, TRIAL_RUNS, tried_ms)
    (change,) = review(speeds, {}, tried_ms + 500)
    assert change.until_ms == 0
    assert not speeds.slow


def test_a_host_that_is_still_slow_is_avoided_for_longer() -> None:
    speeds, host = HostSpeeds(), HOSTS[0]
    review(speeds, {host: [9.0] * 4})
    tried_ms = 1_500 + FIRST_PAUSE_MS
    (change,) = review(speeds, {host: [9.0] * 4}, tried_ms)
    assert change.until_ms == tried_ms + 2 * FIRST_PAUSE_MS


class SlowHostPool(SchedulerHarness):
    """A pool with evidence, whose host ``slow`` takes nine times the usual time."""

    def __init__(self, *, other_cores: int = 8) -> None:
        slow, other = a_host("slow"), a_host("other", cores=other_cores)
        super().__init__(slow, other, learn=True)
        self.state = self.scheduler.state
        self.state.run_times = learned(1.0)
        self.slow = {HostId("slow"): SlowHost(9.0, 1_000_000, 4_000)}
        self.now_ms = 3_000

    def start_on_slow_host(self, **fields: Any) -> tuple[RunMoved, ...]:
        """Starts a task on the slow host; returns the moves after some seconds."""
        self.state.hosts[HostId("other")].avoid_until_ms = self.now_ms + 1
        self.submit(a_job(a_step(**fields)))
        (order,) = self.starts()
        assert order.host == "slow"
        self.reply_to_start(order, StartOutcome.STARTED)
        self.state.run_times.speeds.slow.update(self.slow)
        (placed,) = self.state.hosts[HostId("slow")].placed_runs()
        self.now_ms += 2_000
        for percent in (1, 12):
            self.now_ms += 1_000
            placed.run.percent, placed.run.progress_ms = percent, self.now_ms
            if placed.run.first_report_ms is None:
                placed.run.first_report_ms = self.now_ms
                placed.run.first_percent = percent
        self.state.hosts[HostId("slow")].seen_ms = self.now_ms
        self.effects = self.plan()
        return tuple(each for each in self.effects if isinstance(each, RunMoved))


def test_a_task_waits_for_a_usual_host_that_is_free_soon() -> None:
    pool = SlowHostPool(other_cores=1)
    pool.state.run_times.speeds.slow.update(pool.slow)
    pool.submit(a_job(a_step(count=2)))
    (order,) = pool.starts()
    assert order.host == "other"


def test_a_task_goes_to_a_slow_host_if_it_ends_sooner_there() -> None:
    """Guards against work that waits for longer than a slow host would take."""
    pool = SlowHostPool(other_cores=1)
    pool.state.run_times.speeds.slow.update(pool.slow)
    pool.submit(a_job(a_step(count=30)))
    hosts = [order.host for order in pool.starts()]
    assert hosts.count(HostId("other")) == 1
    assert 0 < hosts.count(HostId("slow")) <= 8


def test_a_run_with_a_checkpoint_leaves_a_slow_host() -> None:
    pool = SlowHostPool()
    (moved,) = pool.start_on_slow_host(is_checkpointing=True)
    assert moved.kind == "moved"
    assert moved.remaining_ms > moved.elsewhere_ms
    assert [each.host for each in pool.effects if isinstance(each, StopRun)] == ["slow"]


def test_a_run_that_allows_copies_gets_one_elsewhere() -> None:
    pool = SlowHostPool()
    (moved,) = pool.start_on_slow_host(allows_copies=True)
    assert moved.kind == "copied"
    assert [order.host for order in pool.starts()] == []
    runs = pool.state.jobs[JobId("a")].tasks(0, 0)[0].runs
    assert [run.host for run in runs] == ["slow", "other"]


def test_a_copy_does_not_share_the_machine_of_its_run() -> None:
    """Guards against a copy that is as late as its run, and fills its host twice."""
    pool = SlowHostPool()
    pool.start_on_slow_host(allows_copies=True)
    job, hosts = pool.state.jobs[JobId("a")], list(pool.state.hosts.values())
    key = StepKey(JobId("a"), 0, 0)
    assert len(hosts) == 2
    assert place_copies(pool.state, job, key, [0], hosts) == []
    free = Host(a_host("free"), born=1)
    (placement,) = place_copies(pool.state, job, key, [0], [*hosts, free])
    assert placement.host is free


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"is_checkpointing": True, "is_gang": True},
        {"is_checkpointing": True, "is_lasting": True},
        {"is_checkpointing": True, "fills": True},
    ],
    ids=["neither", "gang", "lasting", "filler"],
)
def test_runs_that_must_not_be_moved_stay(fields: dict[str, bool]) -> None:
    assert not SlowHostPool().start_on_slow_host(**fields)


def test_a_run_of_a_suspect_is_not_moved() -> None:
    """Guards against a task that crashes its host and is spread by copies."""
    pool = SlowHostPool()
    pool.start_on_slow_host()
    (placed,) = pool.state.hosts[HostId("slow")].placed_runs()
    placed.run.prior_crashes = 1
    object.__setattr__(placed.step, "is_checkpointing", True)
    pool.now_ms += 1_000
    assert not [each for each in pool.plan() if isinstance(each, RunMoved)]
    assert placed.run.phase is RunPhase.RUNNING


def test_runs_are_moved_one_by_one_in_a_small_pool() -> None:
    """Guards against a burst of stops when a host becomes slow."""
    pool = SlowHostPool()
    assert len(pool.start_on_slow_host(is_checkpointing=True)) == 1
    host = pool.state.hosts[HostId("slow")]
    (placed,) = host.placed_runs()
    for number in (1, 2):
        twin = replace(placed.run, number=number + 5, is_moved=False)
        twin.phase, twin.confirmed_ms = RunPhase.RUNNING, 3_000
        host.add(placed.name, placed.step, twin)
    pool.now_ms += 600
    assert not [each for each in pool.plan() if isinstance(each, RunMoved)]
