"""Tasks that crash the hosts that start them, and the tasks beside them."""

from __future__ import annotations

import random

import pytest

from amaranthtray.domain.jobs.job import JobState
from amaranthtray.domain.jobs.model import JobId, Resources, TaskName
from scheduling.crashing_pool import CrashingPool
from scheduling.parts import a_job, a_step

MAX_STARTS = 5
"""Two more starts are allowed after three hosts have crashed."""


def deadly_task(job: str, step: int = 0, number: int = 0) -> TaskName:
    """Returns the name of a task of a job's only occurrence."""
    return TaskName(JobId(job), 0, step, number)


def load(pool: CrashingPool, *, seconds: int, per_s: int, deadly_every: int) -> None:
    """Submits jobs at a steady rate; one in ``deadly_every`` has a deadly task."""
    count = 0
    for _ in range(seconds):
        for _ in range(per_s):
            count += 1
            spec = a_job(a_step(6, need=Resources(1_000, 500, 0)), name=f"j{count}")
            is_deadly = bool(deadly_every) and count % deadly_every == 0
            pool.submit(spec, *[deadly_task(spec.id)] * is_deadly)
            pool.run(1_000 // per_s)


@pytest.mark.parametrize("keeps_id", [False, True])
@pytest.mark.parametrize("confirms", [False, True])
def test_a_task_that_crashes_its_hosts_is_not_restarted_for_ever(
    *, confirms: bool, keeps_id: bool
) -> None:
    pool = CrashingPool(confirms=confirms, keeps_id=keeps_id)
    load(pool, seconds=10, per_s=2, deadly_every=10)
    pool.run(40_000)
    deadly = {name.job for name in pool.deadly}
    assert all(len(pool.starts[name]) <= MAX_STARTS for name in pool.deadly)
    for job in pool.specs:
        expected = JobState.FAILED if job in deadly else JobState.COMPLETED
        assert pool.state(job) is expected


def test_crashes_are_counted_across_conductors() -> None:
    pool = CrashingPool()
    pool.submit(a_job(), deadly_task("a"))
    for _ in range(60):
        pool.run(1_000)
        pool.take_over()
    assert len(pool.starts[deadly_task("a")]) <= MAX_STARTS
    assert pool.state(JobId("a")) is JobState.FAILED


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_crash_by_themselves_fail_no_job(seed: int) -> None:
    rng = random.Random(seed)
    pool = CrashingPool(hosts=6, keeps_id=bool(seed % 2))
    for number in range(40):
        pool.submit(a_job(a_step(6), name=f"j{number}"))
        pool.run(250)
        hosts = pool.up_hosts()
        if len(hosts) > 3 and rng.random() < 0.3:
            pool.crash(rng.choice(hosts))
    pool.run(30_000)
    assert {pool.state(job) for job in pool.specs} == {JobState.COMPLETED}
