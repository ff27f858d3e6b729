"""Random schedules of faults, demand and limit changes for the limits simulation."""

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
FLEET_SIZES = ((1, 2), (1, 3), (2, 1), (2, 2), (2, 2), (3, 1), (3, 2))
"""Numbers of zones and of entries per zone; a schedule uses one pair."""

FAULT_KINDS = ("crash", "pause", "zone", "store", "entry", "limit")
MEAN_STEPS_BETWEEN_FAULTS = 8


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """Result of one schedule.

    Attributes:
        overruns: Descriptions of task starts that exceeded a limit.
        started: Number of tasks that hosts started.
    """

    overruns: tuple[str, ...]
    started: int


def run_schedule(seed: int, *, steps: int = STEPS) -> ScheduleResult:
    """Runs one schedule; the same seed gives the same result."""
    rng = random.Random(seed)
    checker = LimitsHold()
    overruns: list[str] = []

    def observe(observation: Observation) -> None:
        violation = checker.observe(observation)
        if violation is not None:
            overruns.append(violation)

    zones, entries = rng.choice(FLEET_SIZES)
    simulation = LimitsSimulation(
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
    fault_kinds = rng.sample(FAULT_KINDS, rng.choice((1, 2, 2, 3)))
    for _ in range(steps):
        simulation.step(rng.uniform(60, 180))
        _set_random_backlogs(simulation)
        if rng.random() < 1 / MEAN_STEPS_BETWEEN_FAULTS:
            _inject_fault(simulation, rng.choice(fault_kinds))
        elif rng.random() < 1 / (4 * MEAN_STEPS_BETWEEN_FAULTS):
            simulation.heal()
    return ScheduleResult(tuple(overruns), sum(simulation.started.values()))


def _set_random_backlogs(simulation: LimitsSimulation) -> None:
    """Changes the number of waiting tasks of a random team at some entries."""
    for process in simulation.processes:
        if simulation.rng.random() < 0.3:
            process.backlog[simulation.rng.choice(TEAMS)] = simulation.rng.choice(
                (0, 1, 4, 20)
            )


def _inject_fault(simulation: LimitsSimulation, kind: str) -> None:
    rng = simulation.rng
    if not simulation.processes:
        return
    process = rng.choice(simulation.processes)
    match kind:
        case "crash":
            after_ms = rng.choice((0.0, 300.0, 2_000.0))
            simulation.crash(process, replace_after_ms=after_ms)
        case "pause":
            simulation.pause(process, rng.choice((150, 700, 2_500, 6_000)))
        case "zone":
            simulation.zones_without_store.add(process.zone)
        case "store":
            simulation.is_store_down = True
        case "entry":
            process.is_cut_off = True
        case _:
            simulation.set_limit(rng.choice(TEAMS), rng.choice((0, 1, 3, 6, 12)))
