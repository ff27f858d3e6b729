"""What callers get whose declared run times are off, and beside slow hosts."""

from __future__ import annotations

import random
from functools import cache

import pytest

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from amaranthtray.domain.scheduling.run_time_events import RunMoved
from scheduling.load import HOST, Timeline, outcome_of, run_pool
from scheduling.misdeclared import MisdeclaredPool, a_misdeclared_job

HOSTS = [HostId(f"h{number:02}") for number in range(10)]
SEEDS = (1, 2, 3)
LOAD_MS, DRAIN_MS = 8_000, 5_000
SLOW_FROM_MS, DETECTED_MS = 2_500, 5_000
OFF, ACCURATE = 1.0, 0.05
"""Standard deviations of the logarithm of the declared error."""


def a_pool(
    seed: int, load: float, deviation: float, *, learn: bool, hosts: int = len(HOSTS)
) -> MisdeclaredPool:
    """Returns a pool with arrivals of a multiple of the capacity of all hosts."""
    rng = random.Random(1)
    works = [a_misdeclared_job(rng, 0, deviation).core_s for _ in range(2_000)]
    pool = MisdeclaredPool(
        Timeline(),
        seed,
        policy=SchedulingPolicy(learn_run_times=learn),
        deviation=deviation,
    )
    pool.add_hosts(*HOSTS[:hosts])
    capacity_per_s = len(HOSTS) * HOST.cpu / 1_000 / (sum(works) / len(works))
    pool.submit_for(LOAD_MS, capacity_per_s * load)
    pool.report_hosts()
    return pool


@cache
def share_in_time(load: float, deviation: float, *, learn: bool) -> float:
    pools = [a_pool(seed, load, deviation, learn=learn) for seed in SEEDS]
    shares = [run_pool(pool, LOAD_MS + DRAIN_MS).in_time for pool in pools]
    return sum(shares) / len(shares)


@pytest.mark.parametrize("load", [0.8, 1.3, 1.8])
def test_callers_who_declare_badly_get_nearly_what_accurate_ones_get(
    load: float,
) -> None:
    """Load: 0.8, 1.3 and 1.8 times the capacity, declared errors of 1.0.

    What callers need is what a pool can do whose callers declare accurately.
    """
    needed = share_in_time(load, ACCURATE, learn=False)
    assert share_in_time(load, OFF, learn=True) >= 0.9 * needed


@pytest.mark.parametrize("load", [0.8, 1.3, 1.8])
def test_callers_who_declare_accurately_are_not_served_worse(load: float) -> None:
    """Load: as above, with declared errors of 0.05."""
    needed = share_in_time(load, ACCURATE, learn=False)
    assert share_in_time(load, ACCURATE, learn=True) >= needed - 0.01


def test_two_slow_hosts_of_ten_cost_little_more_than_their_loss() -> None:
    """Load: 0.6 times the capacity; two hosts become nine times slower.

    What callers need after that is what the other eight hosts give them.
    """
    shares: dict[bool, list[float]] = {True: [], False: []}
    for seed in SEEDS:
        for is_slow in shares:
            count = len(HOSTS) - (0 if is_slow else 2)
            pool = a_pool(seed, 0.6, OFF, learn=True, hosts=count)
            if is_slow:
                slowness = dict.fromkeys(HOSTS[:2], 9.0)
                pool.time.after(
                    SLOW_FROM_MS,
                    lambda pool=pool, slow=slowness: pool.set_slowness(slow),
                )
            run_pool(pool, LOAD_MS + DRAIN_MS)
            later = [
                job for job in pool.jobs.values() if job.submitted_ms > DETECTED_MS
            ]
            shares[is_slow].append(outcome_of(later).in_time)
    assert sum(shares[True]) >= 0.9 * sum(shares[False])


def test_moves_from_slow_hosts_throw_no_work_away() -> None:
    """Load: as above, with checkpoints. Guards against moves to and fro."""
    pool = a_pool(1, 0.6, OFF, learn=True)
    pool.fields["is_checkpointing"] = True
    pool.time.after(
        SLOW_FROM_MS, lambda: pool.set_slowness(dict.fromkeys(HOSTS[:2], 9.0))
    )
    run_pool(pool, LOAD_MS + DRAIN_MS)
    moves = [each.name for each in pool.effects if isinstance(each, RunMoved)]
    assert len(moves) == len(set(moves))
    assert not pool.thrown_away_ms
