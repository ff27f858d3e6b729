"""Seeded fault schedules of one pool: no invariant breaks, and all jobs end."""

from __future__ import annotations

import os
from dataclasses import replace

import pytest

from amaranthtray.domain.jobs.job import JobState
from amaranthtray.domain.jobs.model import TaskName
from amaranthtray.domain.jobs.record import restore
from amaranthtray.domain.scheduling import (
    _late_runs,
    host_speed,
    run_time_regression,
)
from scheduling.world import World, random_job

SCHEDULES = int(os.environ.get("SCHEDULES", "100"))
FAULTY_MS = 20_000
FAULT_FREE_MS = 40_000
MAX_STARTS = 5
"""Two more starts are allowed after three hosts have crashed."""


def run_schedule(
    seed: int,
    *,
    crashing_share: float = 0.0,
    evacuations: int = 0,
    learn: bool = False,
    unhealthy_share: float = 0.0,
    max_ends: int = 500,
) -> World:
    """Simulates a period with faults, then one without in which all jobs must end.

    Args:
        seed: Seed of the schedule.
        crashing_share: Share of the jobs whose first task crashes its hosts.
        evacuations: Number of times at which other zones are evacuated.
        learn: Whether run times are learned.
        unhealthy_share: Share of the starts that hosts refuse as unhealthy.
        max_ends: Number of ends that a host lists in one reply.
    """
    world = World(seed, fault_rate=0.06, learn=learn)
    world.unhealthy_share, world.max_ends = unhealthy_share, max_ends
    rng = world.rng
    world.take_over()
    for number in range(8):
        job = random_job(rng, number)
        if learn:
            steps = [
                replace(step, is_checkpointing=not step.allows_copies)
                for step in job.steps
            ]
            job = replace(job, steps=tuple(steps))
        if crashing_share and rng.random() < crashing_share:
            world.crashing.add(TaskName(job.id, 0, 0, 0))
        world.schedule(rng.randint(0, FAULTY_MS), lambda job=job: world.submit(job))
        if rng.random() < 0.2:
            world.schedule(
                rng.randint(FAULTY_MS // 2, FAULTY_MS),
                lambda job=job: job.id in world.specs and world.cancel(job.id),
            )
    for _ in range(rng.randint(1, 5)):
        inject_fault(world)
    for _ in range(evacuations):
        zones = rng.sample([host[-1] for host in world.hosts], rng.randint(0, 2))
        world.schedule(rng.randint(0, FAULTY_MS), lambda z=zones: world.evacuate(*z))
    world.schedule(FAULTY_MS, world.evacuate)
    world.run_until(world.now_ms + FAULTY_MS)
    world.fault_rate = world.unhealthy_share = 0.0
    for host in world.hosts.values():
        host.is_partitioned = False
        if not host.is_up:
            host.restart()
    world.run_until(world.now_ms + FAULT_FREE_MS)
    return world


def inject_fault(world: World) -> None:
    rng = world.rng
    host = rng.choice(list(world.hosts.values()))
    begin_ms, length_ms = rng.randint(0, FAULTY_MS), rng.randint(500, 9_000)
    match rng.choice(("crash", "cut", "take over", "pause")):
        case "crash":
            world.schedule(begin_ms, host.crash)
            world.schedule(begin_ms + length_ms, lambda: host.is_up or host.restart())
        case "cut":
            world.schedule(begin_ms, lambda: setattr(host, "is_partitioned", True))
            world.schedule(
                begin_ms + length_ms, lambda: setattr(host, "is_partitioned", False)
            )
        case "take over":
            world.schedule(begin_ms, world.take_over)
        case "pause":

            def kill() -> None:
                if world.conductor is not None:
                    world.conductor.is_alive = False

            world.schedule(begin_ms, kill)
            world.schedule(begin_ms + rng.randint(1_000, 4_000), world.take_over)


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_invariants_hold_on_a_seeded_schedule(seed: int) -> None:
    world = run_schedule(seed)
    assert not world.promises.broken
    unfinished = [job for job in world.specs if not world.state(job).is_final]
    assert not unfinished


@pytest.mark.parametrize("seed", range(SCHEDULES // 2))
def test_late_starts_beside_refusals_run_once_on_a_seeded_schedule(seed: int) -> None:
    """Guards against a second run of a task whose first order arrives late."""
    world = run_schedule(seed, unhealthy_share=0.4)
    assert not world.promises.broken
    assert all(world.state(job).is_final for job in world.specs)


@pytest.mark.parametrize("seed", range(SCHEDULES // 2))
def test_ends_that_a_host_lists_in_parts_count_once_on_a_seeded_schedule(
    seed: int,
) -> None:
    """Guards against a second run of a task whose end comes with a later reply."""
    world = run_schedule(seed, max_ends=1)
    assert not world.promises.broken
    assert all(world.state(job).is_final for job in world.specs)


@pytest.mark.parametrize("seed", range(SCHEDULES // 2))
def test_crashing_tasks_are_given_up_and_no_others_on_a_seeded_schedule(
    seed: int,
) -> None:
    world = run_schedule(seed, crashing_share=0.25)
    assert not world.promises.broken
    assert all(world.starts[name] <= MAX_STARTS for name in world.crashing)
    crashing_jobs = {name.job for name in world.crashing}
    for job, spec in world.specs.items():
        restored = restore(spec, world.records.get(job))
        is_given_up = any(task.is_given_up for *_, task in restored.created_tasks())
        assert world.state(job).is_final
        assert job in crashing_jobs or not is_given_up
        if job in crashing_jobs:
            assert world.state(job) in (JobState.FAILED, JobState.CANCELLED)


@pytest.mark.parametrize("seed", range(SCHEDULES // 3))
def test_decisions_on_learned_run_times_keep_the_promises(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run by a move, and against work that is never placed.

    Two ended runs count as evidence here, any slower host is slow, and runs leave it
    without a gain.
    """
    monkeypatch.setattr(run_time_regression, "MIN_RUNS", 2)
    monkeypatch.setattr(run_time_regression, "CLEARLY_LARGER", 0.0)
    monkeypatch.setattr(host_speed, "MIN_DEVIATIONS", 0.1)
    monkeypatch.setattr(_late_runs, "MIN_RUN_MS", 100)
    monkeypatch.setattr(_late_runs, "MIN_GAIN_MS", -2_000)
    world = run_schedule(seed, learn=True)
    assert not world.promises.broken
    assert all(world.state(job).is_final for job in world.specs)
