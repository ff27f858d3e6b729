"""Seeded schedules of one pool: no promise breaks, and all jobs come to an end."""

from __future__ import annotations

import os

import pytest

from scheduling.world import World, random_job

SCHEDULES = int(os.environ.get("SCHEDULES", "60"))
DAY_MS = 20_000
CALM_MS = 40_000


def play(seed: int) -> World:
    """Plays a troubled day, then a calm one in which everything is to end."""
    world = World(seed, trouble=0.06)
    rng = world.rng
    world.take_over()
    for number in range(8):
        job = random_job(rng, number)
        world.at(rng.randint(0, DAY_MS), lambda job=job: world.submit(job))
        if rng.random() < 0.2:
            world.at(
                rng.randint(DAY_MS // 2, DAY_MS),
                lambda job=job: job.id in world.specs and world.cancel(job.id),
            )
    for _ in range(rng.randint(1, 5)):
        disturb(world)
    world.run_until(world.now_ms + DAY_MS)
    world.trouble = 0.0
    for host in world.hosts.values():
        host.is_cut = False
        if not host.is_up:
            host.reborn()
    world.run_until(world.now_ms + CALM_MS)
    return world


def disturb(world: World) -> None:
    rng = world.rng
    host = rng.choice(list(world.hosts.values()))
    begin_ms, length_ms = rng.randint(0, DAY_MS), rng.randint(500, 9_000)
    match rng.choice(("crash", "cut", "take over", "pause")):
        case "crash":
            world.at(begin_ms, host.crash)
            world.at(begin_ms + length_ms, lambda: host.is_up or host.reborn())
        case "cut":
            world.at(begin_ms, lambda: setattr(host, "is_cut", True))
            world.at(begin_ms + length_ms, lambda: setattr(host, "is_cut", False))
        case "take over":
            world.at(begin_ms, world.take_over)
        case "pause":

            def kill() -> None:
                if world.conductor is not None:
                    world.conductor.is_alive = False

            world.at(begin_ms, kill)
            world.at(begin_ms + rng.randint(1_000, 4_000), world.take_over)


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_promises_hold_on_a_seeded_schedule(seed: int) -> None:
    world = play(seed)
    assert not world.promises.broken
    unfinished = [job for job in world.specs if not world.state(job).is_final]
    assert not unfinished
