"""Seeded schedules of faults, demand and operators' changes for the limit escrow."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.ids import TeamName
from ..domain.invariants.running import LimitsHold
from ._limits_parts import FaultProbabilities
from ._limits_simulation import LimitsSimulation

if TYPE_CHECKING:
    from ..domain.invariants.observations import Observation

TEAMS = (TeamName("red"), TeamName("blue"))
STEPS = 42
FLEETS = ((1, 2), (1, 3), (2, 1), (2, 2), (2, 2), (3, 1), (3, 2))
"""Zones, and entries in each, of which a schedule draws one."""

KINDS = ("crash", "pause", "zone", "store", "entry", "limit")
MEAN_STEPS_BETWEEN_FAULTS = 8


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """What one schedule showed.

    Attributes:
        overruns: Starts that broke a limit.
        started: Tasks that ran.
    """

    overruns: tuple[str, ...]
    started: int


def run_schedule(seed: int, *, steps: int = STEPS) -> ScheduleResult:
    """Runs one schedule; the same seed gives the same result."""
    rng = random.Random(seed)
    checker = LimitsHold()
    overruns: list[str] = []

    def observe(seen: Observation) -> None:
        broken = checker.observe(seen)
        if broken is not None:
            overruns.append(broken)

    zones, entries = rng.choice(FLEETS)
    world = LimitsSimulation(
        rng,
        observe,
        zones=zones,
        entries=entries,
        limits={team: rng.choice((0, 1, 2, 5, 12)) for team in TEAMS},
        faults=rng.choice(
            (
                FaultProbabilities(),
                FaultProbabilities(0.3, 0.2, 0.2),
                FaultProbabilities(0, 0, 0, 800, 0.3),
            )
        ),
    )
    kinds = rng.sample(KINDS, rng.choice((1, 2, 2, 3)))
    for _ in range(steps):
        world.step(rng.uniform(60, 180))
        _demand(world)
        if rng.random() < 1 / MEAN_STEPS_BETWEEN_FAULTS:
            _fault(world, rng.choice(kinds))
        elif rng.random() < 1 / (4 * MEAN_STEPS_BETWEEN_FAULTS):
            world.heal()
    return ScheduleResult(tuple(overruns), sum(world.started.values()))


def _demand(world: LimitsSimulation) -> None:
    """Lets each team's work wait at some entries."""
    for process in world.processes:
        if world.rng.random() < 0.3:
            process.backlog[world.rng.choice(TEAMS)] = world.rng.choice((0, 1, 4, 20))


def _fault(world: LimitsSimulation, kind: str) -> None:
    rng = world.rng
    if not world.processes:
        return
    process = rng.choice(world.processes)
    match kind:
        case "crash":
            after_ms = rng.choice((0.0, 300.0, 2_000.0))
            world.crash(process, replace_after_ms=after_ms)
        case "pause":
            world.pause(process, rng.choice((150, 700, 2_500, 6_000)))
        case "zone":
            world.zones_without_store.add(process.zone)
        case "store":
            world.is_store_down = True
        case "entry":
            process.is_cut_off = True
        case _:
            world.set_limit(rng.choice(TEAMS), rng.choice((0, 1, 3, 6, 12)))
