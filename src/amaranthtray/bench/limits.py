"""Limit overruns under faults, usable part of a limit, stranded units and traffic."""

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
ENTRIES_A_ZONE = 3
BURST_EVERY_S = 25
BURST_S = 5
BURST_WAITING = 25
WARM_UP_MS = 10_000
MEASURED_MS = 20_000


def figures() -> Iterator[Figure]:
    """Yields the group's figures."""
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
    """Measures the part that one zone may use when it alone has demand."""
    for zones in (3, 4, TWO_YEAR_ZONES):
        world = MeteredSimulation(zones=zones, entries=2, limits={RED: LIMIT})
        for process in world.processes:
            process.backlog[RED] = LIMIT
        world.run(SETTLE_MS)
        for process in world.processes:
            process.backlog[RED] = 0 if process.zone != world.zones[0] else 10 * LIMIT
        world.run(SETTLE_MS)
        usable = world.held_in(0, RED) / LIMIT
        split = equal_part(LIMIT, zones, 0) / LIMIT
        name = f"limits.usable_part_of_{zones}_zones"
        yield Figure(name, usable, "of limit", ">= 0.95", split)


def _stranded() -> Iterator[Figure]:
    """Measures what nobody can use after one of three entries died."""
    timing = EscrowTiming()
    world = MeteredSimulation(zones=1, entries=3, limits={RED: LIMIT})
    for process in world.processes:
        process.backlog[RED] = 100 * LIMIT
    world.run(SETTLE_MS)
    victim = next(process for process in world.processes if process.steward is None)
    held = world.held_in(0, RED)
    own = victim.holding.held(RED, victim.clock(world.now_ms))
    world.crash(victim, replace_after_ms=None)
    elapsed_ms = 0
    freed_ms = 0
    for seconds in CRASH_SAMPLES_S:
        while elapsed_ms < seconds * 1_000:
            world.run(250)
            elapsed_ms += 250
            freed_ms = elapsed_ms if _stranded_now(world) else freed_ms
        stranded = _stranded_now(world) / LIMIT
        bound = own / held if elapsed_ms <= timing.entry_reclaim_ms else 0
        name = f"limits.stranded_part_{seconds}s_after_an_entry_died"
        yield Figure(name, stranded, "of limit", f"<= {bound:.2f}")
    bound_ms = timing.entry_reclaim_ms + 2_000
    yield Figure("limits.stranded_for", freed_ms, "ms", f"<= {bound_ms}")


def _stranded_now(world: MeteredSimulation) -> int:
    return sum(
        process.steward.allocator.stranded(RED, process.clock(world.now_ms))
        for process in world.processes
        if process.steward
    )


def _traffic() -> Iterator[Figure]:
    """Counts store calls and bytes while teams burst in turn all over the fleet."""
    world = two_year_simulation(TWO_YEAR_ZONES, TWO_YEAR_TEAMS, ENTRIES_A_ZONE)
    burst_in_turn(world, WARM_UP_MS)
    world.reset_counts()
    burst_in_turn(world, MEASURED_MS)
    seconds = MEASURED_MS / 1_000
    entries = len(world.processes)
    writes = world.store_calls["WriteRow"] + world.store_calls["WriteRecord"]
    yield Figure("limits.store_writes", writes / seconds, "1/s", "<= 200")
    sent = world.report_bytes / entries / seconds
    got = world.grant_bytes / entries / seconds
    watched = world.watch_bytes / seconds
    yield Figure("limits.report_bytes_of_an_entry", sent, "B/s", "<= 9000")
    yield Figure("limits.grant_bytes_of_an_entry", got, "B/s", "<= 9000")
    yield Figure("limits.watch_bytes_of_a_steward", watched, "B/s", "<= 9000")


def two_year_simulation(zones: int, teams: int, entries: int) -> MeteredSimulation:
    """Returns a fleet without demand."""
    limits = dict.fromkeys(team_names(teams), 60)
    return MeteredSimulation(zones=zones, entries=entries, limits=limits)


def burst_in_turn(world: MeteredSimulation, duration_ms: int) -> None:
    """Lets each team burst now and then, at some zone, far over what it may run.

    A burst lasts some seconds and takes a fifth of the time; the rest of the time
    the team's work is a twentieth of it.
    """
    rng = world.rng
    until_s: dict[TeamName, int] = {}
    place = {team: rng.choice(world.zones) for team in world.limits}
    for second in range(duration_ms // 1_000):
        for team in world.limits:
            if rng.random() < 1 / BURST_EVERY_S:
                until_s[team] = second + BURST_S
                place[team] = rng.choice(world.zones)
            is_burst = second < until_s.get(team, 0)
            for process in world.processes:
                if process.zone == place[team]:
                    process.backlog[team] = BURST_WAITING if is_burst else 1
        world.run(1_000)
