"""Limits: overruns under faults, usable units, stranded units and traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.ids import TeamName
from ..domain.limits import EscrowTiming
from ..domain.limits.split import equal_part
from ._limits_meter import MeteredSimulation, team_names
from ._limits_schedule import run_schedule
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

SCHEDULES = 6_000
RED = TeamName("red")
LIMIT = 100
SETTLE_MS = 10_000
CRASH_SAMPLES_S = (10, 30, 60)

TWO_YEAR_ZONES = 17
TWO_YEAR_TEAMS = 140
ENTRIES_PER_ZONE = 3
BURST_EVERY_S = 25
BURST_S = 5
BURST_WAITING = 25
WARM_UP_MS = 10_000
MEASURED_MS = 20_000


def figures() -> Iterator[Figure]:
    """Yields the figures of this group."""
    yield from _usable()
    yield from _stranded()
    yield from _traffic()
    yield from _overruns()


def _overruns() -> Iterator[Figure]:
    results = [run_schedule(seed) for seed in range(SCHEDULES)]
    broken = sum(bool(result.overruns) for result in results)
    started = sum(result.started for result in results)
    yield Figure("limits.schedules_with_overruns", broken, "schedules", "== 0")
    yield Figure("limits.schedules", len(results), "schedules", f">= {SCHEDULES}")
    yield Figure("limits.tasks_in_schedules", started, "tasks", ">= 1")


def _usable() -> Iterator[Figure]:
    """Measures which part of a limit one zone may use when only it has demand."""
    for zones in (3, 4, TWO_YEAR_ZONES):
        simulation = MeteredSimulation(zones=zones, entries=2, limits={RED: LIMIT})
        for process in simulation.processes:
            process.backlog[RED] = LIMIT
        simulation.run(SETTLE_MS)
        for process in simulation.processes:
            process.backlog[RED] = (
                0 if process.zone != simulation.zones[0] else 10 * LIMIT
            )
        simulation.run(SETTLE_MS)
        usable = simulation.usable_units(0, RED) / LIMIT
        split = equal_part(LIMIT, zones, 0) / LIMIT
        name = f"limits.usable_part_of_{zones}_zones"
        yield Figure(name, usable, "of limit", ">= 0.95", split)


def _stranded() -> Iterator[Figure]:
    """Measures the units that no entry can use after one of three entries crashed."""
    timing = EscrowTiming()
    simulation = MeteredSimulation(zones=1, entries=3, limits={RED: LIMIT})
    for process in simulation.processes:
        process.backlog[RED] = 100 * LIMIT
    simulation.run(SETTLE_MS)
    victim = next(
        process for process in simulation.processes if process.steward is None
    )
    usable_units = simulation.usable_units(0, RED)
    victim_units = victim.units.held(RED, victim.clock(simulation.now_ms))
    simulation.crash(victim, replace_after_ms=None)
    elapsed_ms = 0
    freed_ms = 0
    for seconds in CRASH_SAMPLES_S:
        while elapsed_ms < seconds * 1_000:
            simulation.run(250)
            elapsed_ms += 250
            freed_ms = elapsed_ms if _stranded_units(simulation) else freed_ms
        stranded = _stranded_units(simulation) / LIMIT
        bound = (
            victim_units / usable_units if elapsed_ms <= timing.entry_reclaim_ms else 0
        )
        name = f"limits.stranded_part_{seconds}s_after_an_entry_died"
        yield Figure(name, stranded, "of limit", f"<= {bound:.2f}")
    bound_ms = timing.entry_reclaim_ms + 2_000
    yield Figure("limits.stranded_for", freed_ms, "ms", f"<= {bound_ms}")


def _stranded_units(simulation: MeteredSimulation) -> int:
    return sum(
        process.steward.allocator.stranded(RED, process.clock(simulation.now_ms))
        for process in simulation.processes
        if process.steward
    )


def _traffic() -> Iterator[Figure]:
    """Measures store writes and bytes while teams burst in turn in all zones."""
    simulation = two_year_simulation(TWO_YEAR_ZONES, TWO_YEAR_TEAMS, ENTRIES_PER_ZONE)
    burst_in_turn(simulation, WARM_UP_MS)
    simulation.reset_counts()
    burst_in_turn(simulation, MEASURED_MS)
    seconds = MEASURED_MS / 1_000
    entries = len(simulation.processes)
    writes = simulation.store_calls["WriteRow"] + simulation.store_calls["WriteRecord"]
    yield Figure("limits.store_writes", writes / seconds, "1/s", "<= 200")
    sent = simulation.report_bytes / entries / seconds
    received = simulation.grant_bytes / entries / seconds
    watched = simulation.watch_bytes / seconds
    yield Figure("limits.report_bytes_of_an_entry", sent, "B/s", "<= 9000")
    yield Figure("limits.grant_bytes_of_an_entry", received, "B/s", "<= 9000")
    yield Figure("limits.watch_bytes_of_a_steward", watched, "B/s", "<= 9000")


def two_year_simulation(zones: int, teams: int, entries: int) -> MeteredSimulation:
    """Returns a simulation of a fleet of the given size, without demand."""
    limits = dict.fromkeys(team_names(teams), 60)
    return MeteredSimulation(zones=zones, entries=entries, limits=limits)


def burst_in_turn(simulation: MeteredSimulation, duration_ms: int) -> None:
    """Gives each team random bursts, far more work than it may run, in one zone.

    A burst lasts ``BURST_S`` and begins every ``BURST_EVERY_S`` on average, so it takes
    a fifth of the time. Otherwise one task waits at each entry of the zone.
    """
    rng = simulation.rng
    until_s: dict[TeamName, int] = {}
    zone_of = {team: rng.choice(simulation.zones) for team in simulation.limits}
    for second in range(duration_ms // 1_000):
        for team in simulation.limits:
            if rng.random() < 1 / BURST_EVERY_S:
                until_s[team] = second + BURST_S
                zone_of[team] = rng.choice(simulation.zones)
            is_burst = second < until_s.get(team, 0)
            for process in simulation.processes:
                if process.zone == zone_of[team]:
                    process.backlog[team] = BURST_WAITING if is_burst else 1
        simulation.run(1_000)
