"""Seeded schedules in which hosts restart under their ids and are then cut off."""

from __future__ import annotations

import os

import pytest

from scheduling.world import World, random_job

SCHEDULES = int(os.environ.get("SCHEDULES", "100")) // 10
FOUND = (32, 44, 49, 72, 82, 98, 388, 595, 640, 678, 889, 1009, 1073)
POLL_WAIT_MS = 2_000
LONGEST_RUN_MS = 8_000
FAULTY_MS = 40_000
FAULT_FREE_MS = 100_000
JOBS = 16
FOUND_WITH_LATE_ORDERS = (3, 15, 23, 27, 33, 179, 260, 275, 279)
LATE_FAULT_RATE = 0.15


def restart_and_cut(world: World, at_ms: int) -> None:
    """Restarts a host within a poll, and cuts it off before or after that has ended."""
    rng = world.rng
    host = rng.choice(list(world.hosts.values()))
    down_ms, up_ms = rng.randint(50, 900), rng.randint(200, 2_500)
    cut_ms = at_ms + down_ms + up_ms
    world.schedule(at_ms, host.crash)
    world.schedule(at_ms + down_ms, lambda: host.is_up or host.restart())
    world.schedule(cut_ms, lambda: setattr(host, "is_partitioned", True))
    back_ms = cut_ms + rng.randint(5_000, 9_000)
    world.schedule(back_ms, lambda: setattr(host, "is_partitioned", False))


def run_schedule(
    seed: int, fault_rate: float = 0.02, *, late_orders_outlive_hosts: bool = False
) -> World:
    """Simulates restarts and cuts under a steady load, then a time without faults."""
    world = World(seed, fault_rate=fault_rate)
    world.late_orders_outlive_hosts = late_orders_outlive_hosts
    world.poll_wait_ms, world.longest_run_ms = POLL_WAIT_MS, LONGEST_RUN_MS
    world.take_over()
    for number in range(JOBS):
        job, at_ms = random_job(world.rng, number), world.rng.randint(0, FAULTY_MS)
        world.schedule(at_ms, lambda job=job: world.submit(job))
    for at_ms in range(2_000, FAULTY_MS - 10_000, 4_000):
        restart_and_cut(world, at_ms + world.rng.randint(0, 3_000))
    if world.rng.random() < 0.5:
        world.schedule(world.rng.randint(0, FAULTY_MS), world.take_over)
    world.run_until(world.now_ms + FAULTY_MS)
    world.fault_rate = 0.0
    for host in world.hosts.values():
        host.is_partitioned = False
        if not host.is_up:
            host.restart()
    world.run_until(world.now_ms + FAULT_FREE_MS)
    return world


@pytest.mark.parametrize("seed", [*range(SCHEDULES), *FOUND])
def test_hosts_that_restart_within_a_poll_and_are_cut_off_run_no_task_twice(
    seed: int,
) -> None:
    """Guards against orders for a former incarnation that the next one carries out."""
    world = run_schedule(seed)
    assert not world.promises.broken
    assert all(world.state(job).is_final for job in world.specs)


@pytest.mark.parametrize("seed", FOUND_WITH_LATE_ORDERS)
def test_no_task_runs_twice_if_a_restarted_host_carries_out_late_orders(
    seed: int,
) -> None:
    """Guards against runs given up while a late start has a lease on the next clock."""
    world = run_schedule(seed, LATE_FAULT_RATE, late_orders_outlive_hosts=True)
    assert not world.promises.broken
