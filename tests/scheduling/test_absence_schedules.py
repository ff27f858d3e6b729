"""Seeded fault schedules in which hosts with lasting tasks are emptied and leave."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest

from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources, StepSpec
from scheduling.test_schedules import FAULTY_MS, inject_fault
from scheduling.world import QUEUE, TEAM, World

if TYPE_CHECKING:
    from scheduling.world import SimHost

SCHEDULES = int(os.environ.get("SCHEDULES", "100"))
FOUND = (197, 234, 252, 342, 462, 526, 627, 672, 865, 996, 1390, 1671, 1762, 1794, 1955)
MAINTENANCE_MS = 2_000
CHECK_MS = 100
SETTLE_MS = 4_000
"""Time in which all tasks start before the faults begin."""


def a_service(number: int, *, count: int, may_miss: int) -> JobSpec:
    """Returns a job of lasting tasks."""
    step = StepSpec(
        count=count,
        need=Resources(1_000, 500, 0),
        estimated_ms=800,
        is_lasting=True,
        may_miss=may_miss,
    )
    return JobSpec(
        id=JobId(f"{number:016x}"),
        queue=QUEUE,
        team=TEAM,
        payload="p",
        steps=(step,),
        accepted_ms=1_000_000,
        max_attempts=3,
    )


def maintain(world: World, hosts: list[SimHost]) -> None:
    """Empties and restarts the hosts one after the other, while some are left."""
    if not hosts or not hosts[0].is_up:
        world.vacate()
        if hosts:
            world.schedule(CHECK_MS, lambda: maintain(world, hosts))
        return
    host = hosts[0]
    world.vacate(host.id)
    if host.id not in world.vacant or host.running:
        world.schedule(CHECK_MS, lambda: maintain(world, hosts))
        return
    host.crash()

    def give_back() -> None:
        if not host.is_up:
            host.restart()
        world.vacate()
        world.schedule(CHECK_MS, lambda: maintain(world, hosts[1:]))

    world.schedule(MAINTENANCE_MS, give_back)


def leave(world: World, host: SimHost) -> None:
    """Lets a host say that it leaves, and comes back as another incarnation."""
    host.is_draining, host.leaves_in_ms = True, world.rng.randint(1_000, 3_000)
    if world.conductor is not None:
        world.conductor.list_hosts()

    def go() -> None:
        if host.is_up:
            host.crash()

    def come_back() -> None:
        host.is_draining = False
        if not host.is_up:
            host.restart()
        if world.conductor is not None:
            world.conductor.list_hosts()

    world.schedule(host.leaves_in_ms, go)
    world.schedule(6_000, come_back)


def run_services(seed: int, faults: int = 3) -> World:
    """Simulates services on hosts that are emptied while others fail or leave."""
    world = World(seed, fault_rate=0.0)
    rng = world.rng
    world.take_over()
    for number in range(2):
        service = a_service(number, count=rng.randint(2, 4), may_miss=rng.randint(1, 2))
        world.submit(service)
    world.run_until(world.now_ms + SETTLE_MS)
    world.fault_rate = 0.08
    hosts = list(world.hosts.values())
    for _ in range(faults):
        inject_fault(world)
    for _ in range(rng.randint(0, 2)):
        host = rng.choice(hosts)
        world.schedule(rng.randint(0, FAULTY_MS), lambda h=host: leave(world, h))
    rng.shuffle(hosts)
    world.schedule(500, lambda: maintain(world, hosts))
    world.run_until(world.now_ms + FAULTY_MS)
    return world


@pytest.mark.parametrize("seed", [*range(SCHEDULES), *FOUND])
def test_no_order_takes_more_tasks_away_than_their_step_may_miss(seed: int) -> None:
    """Guards against stops that don't count the tasks of a step that are away."""
    world = run_services(seed)
    assert not world.promises.broken
    assert not world.absences.broken
