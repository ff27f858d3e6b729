"""What callers get while jobs arrive faster than a pool can run them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.catalog import JobTeam
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import StartOutcome
from scheduling.load import (
    HOST,
    Burst,
    LoadedPool,
    Outcome,
    Timeline,
    mean_core_s,
    mean_slack_s,
    run_pool,
)
from scheduling.parts import (
    TEAM,
    SchedulerHarness,
    a_catalog,
    a_host,
    a_job,
    a_step,
    an_end,
)

HOSTS = 14
BURST_MS, CYCLE_MS = 5_000, 12_000
SEEDS = (1, 2, 3)
CAPACITY_PER_S = HOSTS * HOST.cpu / 1_000 / mean_core_s()
"""Jobs a second that the pool can run."""
IN_TIME_CATALOG = a_catalog(weights={TEAM: 1_000}, slowdown_factor=2.0, target_ms=500)


def play_bursts(seed: int, overload: float) -> Outcome:
    """Plays two bursts of a multiple of the pool's capacity, with pauses."""
    pool = LoadedPool(Timeline(), seed)
    pool.add_hosts(*(HostId(f"h{number:02}") for number in range(HOSTS)))
    for begin_ms in (0, CYCLE_MS):
        end_ms = begin_ms + BURST_MS
        pool.submit_bursts(
            Burst(begin_ms, end_ms, CAPACITY_PER_S * overload),
            Burst(end_ms, begin_ms + CYCLE_MS, CAPACITY_PER_S * 0.1),
        )
    return run_pool(pool, 2 * CYCLE_MS + 10_000)


@pytest.mark.parametrize("overload", [1.8, 2.5])
def test_burst_beyond_the_pool_earns_what_its_hosts_can_run_in_time(
    overload: float,
) -> None:
    """Load: five seconds of 1.8 and 2.5 times the capacity, estimates off by half.

    A pool that wastes nothing runs the work that fits into the burst and into the time
    that the last callers can wait.
    """
    outcomes = [play_bursts(seed, overload) for seed in SEEDS]
    possible = (BURST_MS / 1_000 + mean_slack_s()) / (BURST_MS / 1_000 * overload)
    assert sum(each.worth for each in outcomes) / len(SEEDS) >= possible


@pytest.mark.parametrize("overload", [1.3, 1.8, 2.5])
def test_largest_jobs_are_served_at_least_half_as_often_as_all(
    overload: float,
) -> None:
    """Load: as above. Small jobs go first, but not at the cost of the large ones."""
    outcomes = [play_bursts(seed, overload) for seed in SEEDS]
    for size in (1, 2):
        share = sum(each.by_size[size] for each in outcomes)
        assert share >= sum(each.in_time for each in outcomes) / 2


def test_job_that_has_begun_precedes_a_more_urgent_one() -> None:
    harness = SchedulerHarness(a_host(cores=2), catalog=IN_TIME_CATALOG)
    harness.now_ms = 300
    harness.submit(replace(a_job(a_step(count=3), name="begun"), accepted_ms=300))
    first, second = harness.starts()
    harness.submit(a_job(a_step(need=Resources(100)), name="urgent"))
    harness.reply_to_start(first, StartOutcome.STARTED)
    harness.reply_to_start(second, StartOutcome.STARTED)
    harness.now_ms = 310
    harness.report(running=((second.name, 1),), ends=(an_end(first, RunOutcome.DONE),))
    assert [order.name.job for order in harness.starts()] == ["begun"]


def test_job_without_a_margin_does_not_begin_before_one_in_time() -> None:
    harness = SchedulerHarness(a_host(cores=1), catalog=IN_TIME_CATALOG)
    # Estimated at 500 ms, the objective is 1,500 ms: 100 ms of slack are left.
    harness.now_ms = 900
    harness.submit(a_job(name="nearly-late"))
    harness.submit(replace(a_job(name="new"), accepted_ms=900))
    assert [order.name.job for order in harness.starts()] == ["new"]


def test_job_too_late_to_count_does_not_precede_others_beyond_their_share() -> None:
    catalog = replace(IN_TIME_CATALOG, teams={TEAM: JobTeam(name=TEAM, weight=1)})
    harness = SchedulerHarness(a_host(cores=1), catalog=catalog)
    harness.now_ms = 60_000
    for number in range(5):
        harness.submit(a_job(name=f"lost{number}"))
    harness.submit(replace(a_job(name="excess"), accepted_ms=60_000))
    assert [order.name.job for order in harness.starts()] == ["excess"]
