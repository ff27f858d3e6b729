"""Measures the escrow of limit units and the exchange of usage for fair shares."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import cbor2

from ..bench.limits import burst_in_turn, two_year_simulation
from ..domain.ids import Incarnation, Millis, PoolName, TeamName
from ..domain.shares import FairShares, UsageAggregator, UsageFrame
from .slope import Resource, Role, Sample, Slope

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..bench._limits_meter import MeteredSimulation

TEAMS_IN_TWO_YEARS = 140
ZONES_IN_TWO_YEARS = 17
ENTRIES_PER_ZONE_IN_TWO_YEARS = 15
POOLS_IN_TWO_YEARS = 39
FULL_POOLS_IN_TWO_YEARS = 8
TEAM_SAMPLES = (35, 70, 140)
ZONE_SAMPLES = (4, 8, 17)
ENTRY_SAMPLES = (2, 4, 8)
TEAMS_PER_POOL = 30
ACTIVE_TEAMS_PER_POOL = 10
SAMPLED_ZONES = 8
REPORTS_PER_S = 4
FRAMES_PER_S = 4
WARM_UP_MS = 5_000
MEASURED_MS = 10_000

ESCROW = "limit escrow: unit reports, grants and one ledger row a team"
SLOT_USAGE_RELAY = "shares: slots of one zone relayed to the others every second"
USAGE_SUMS = "shares: cumulative usage sums every 250 ms"


def slopes() -> Iterator[Slope]:
    """Yields the slopes of limits and shares."""
    yield from _escrow_by_teams()
    yield from _escrow_by_zones()
    yield from _steward_by_entries()
    yield from _shares_by_sources()
    yield from _shares_by_teams()
    yield _aggregates_by_zones()


def _escrow_by_teams() -> Iterator[Slope]:
    simulations = {teams: _run_and_measure(4, teams, 2) for teams in TEAM_SAMPLES}
    yield _slope(
        Role.ENTRY,
        Resource.TRAFFIC,
        "teams",
        ESCROW,
        simulations,
        lambda simulation: _entry_bytes(simulation) / _measured_s(),
        TEAMS_IN_TWO_YEARS,
    )
    yield _slope(
        Role.STEWARD,
        Resource.STATE,
        "teams",
        ESCROW,
        simulations,
        _ledger_bytes,
        TEAMS_IN_TWO_YEARS,
    )


def _escrow_by_zones() -> Iterator[Slope]:
    simulations = {
        zones: _run_and_measure(zones, TEAMS_IN_TWO_YEARS, 2) for zones in ZONE_SAMPLES
    }
    yield _slope(
        Role.STORE,
        Resource.MESSAGES,
        "zones",
        ESCROW,
        simulations,
        lambda simulation: sum(simulation.store_calls.values()) / _measured_s(),
        ZONES_IN_TWO_YEARS,
    )
    yield _slope(
        Role.STEWARD,
        Resource.TRAFFIC,
        "zones",
        ESCROW,
        simulations,
        lambda simulation: simulation.watch_bytes / _measured_s(),
        ZONES_IN_TWO_YEARS,
    )


def _steward_by_entries() -> Iterator[Slope]:
    """Yields what a steward spends for each entry of its zone."""
    simulations: dict[int, MeteredSimulation] = {}
    steward_ms: dict[int, float] = {}
    for entries in ENTRY_SAMPLES:
        simulation = two_year_simulation(SAMPLED_ZONES, TEAMS_IN_TWO_YEARS, entries)
        burst_in_turn(simulation, WARM_UP_MS)
        simulation.reset_counts()
        steward_ms[entries] = _steward_ms(simulation)
        simulations[entries] = simulation
    samples = tuple(Sample(entries, steward_ms[entries]) for entries in ENTRY_SAMPLES)
    size = ENTRIES_PER_ZONE_IN_TWO_YEARS
    yield Slope(Role.STEWARD, Resource.PROCESSOR, "entries", ESCROW, samples, size)
    samples = tuple(Sample(count, count * REPORTS_PER_S) for count in ENTRY_SAMPLES)
    yield Slope(Role.STEWARD, Resource.MESSAGES, "entries", ESCROW, samples, size)


def _steward_ms(simulation: MeteredSimulation) -> float:
    """Returns the time of a steward's reports and ticks, in processor ms/s."""
    process = next(item for item in simulation.processes if item.steward is not None)
    steward = process.steward
    assert steward is not None
    spent_s = 0.0
    tick, on_report = steward.tick, steward.on_report

    def timed(call: Callable[..., object]) -> Callable[..., object]:
        def run(*args: object) -> object:
            nonlocal spent_s
            start_s = time.process_time()
            result = call(*args)
            spent_s += time.process_time() - start_s
            return result

        return run

    steward.tick = timed(tick)  # type: ignore[method-assign,assignment]
    steward.on_report = timed(on_report)  # type: ignore[method-assign,assignment]
    burst_in_turn(simulation, MEASURED_MS)
    return spent_s * 1_000 / _measured_s()


def _shares_by_sources() -> Iterator[Slope]:
    """Yields what an entry spends on merging the usage sums of other entries."""
    samples = []
    for sources in ENTRY_SAMPLES:
        shares = FairShares(Incarnation("here"))
        frames = [
            _usage_frame(number, second)
            for second in range(20)
            for number in range(sources)
        ]
        start_s = time.process_time()
        for frame in frames:
            shares.merge(frame, frame.at_ms)
        spent_ms = (time.process_time() - start_s) * 1_000
        samples.append(Sample(sources, spent_ms / 20 * FRAMES_PER_S))
    size = ENTRIES_PER_ZONE_IN_TWO_YEARS
    yield Slope(
        Role.ENTRY, Resource.PROCESSOR, "entries", USAGE_SUMS, tuple(samples), size
    )


def _shares_by_teams() -> Iterator[Slope]:
    """Yields the bytes in which one entry sends its own usage sums."""
    samples = []
    for teams in TEAM_SAMPLES:
        shares = FairShares(Incarnation("here"))
        for number in range(teams):
            team = TeamName(f"team-{number:03}")
            PoolName(f"pool-{number % POOLS_IN_TWO_YEARS}")
            shares.record_start(
                PoolName(f"pool-{number % POOLS_IN_TWO_YEARS}"), team, Millis(0)
            )
        full_pools = range(FULL_POOLS_IN_TWO_YEARS)
        waiting = {PoolName(f"pool-{number}"): (team,) for number in full_pools}
        frame = shares.frame(waiting, Millis(1_000))
        samples.append(Sample(teams, len(cbor2.dumps(frame.sums)) * FRAMES_PER_S))
    yield Slope(
        Role.ENTRY,
        Resource.TRAFFIC,
        "teams",
        USAGE_SUMS,
        tuple(samples),
        TEAMS_IN_TWO_YEARS,
    )


def _aggregates_by_zones() -> Slope:
    """Returns the bytes that a steward receives from the aggregators of other zones."""
    aggregator = UsageAggregator(Incarnation("zone-a"))
    slots_by_team = {TeamName(f"team-{n:03}"): 3 for n in range(ACTIVE_TEAMS_PER_POOL)}
    full_pools = range(FULL_POOLS_IN_TWO_YEARS)
    slots = {PoolName(f"pool-{number}"): dict(slots_by_team) for number in full_pools}
    aggregator.merge(UsageFrame(Incarnation("e1"), Millis(0), slots=slots), Millis(0))
    size = len(cbor2.dumps(aggregator.frame(Millis(0)).slots))
    samples = tuple(Sample(zones, size * (zones - 1)) for zones in ZONE_SAMPLES)
    return Slope(
        Role.STEWARD,
        Resource.TRAFFIC,
        "zones",
        SLOT_USAGE_RELAY,
        samples,
        ZONES_IN_TWO_YEARS,
    )


def _usage_frame(source: int, second: int) -> UsageFrame:
    sums_by_team = {
        TeamName(f"team-{n:03}"): second * 1_000 for n in range(TEAMS_PER_POOL)
    }
    full_pools = range(FULL_POOLS_IN_TWO_YEARS)
    pools = {PoolName(f"pool-{number}"): dict(sums_by_team) for number in full_pools}
    return UsageFrame(Incarnation(f"e{source}"), Millis(second * 1_000), pools)


def _run_and_measure(zones: int, teams: int, entries: int) -> MeteredSimulation:
    simulation = two_year_simulation(zones, teams, entries)
    burst_in_turn(simulation, WARM_UP_MS)
    simulation.reset_counts()
    burst_in_turn(simulation, MEASURED_MS)
    return simulation


def _measured_s() -> float:
    return MEASURED_MS / 1_000


def _entry_bytes(simulation: MeteredSimulation) -> float:
    return (simulation.report_bytes + simulation.grant_bytes) / len(
        simulation.processes
    )


def _ledger_bytes(simulation: MeteredSimulation) -> float:
    """Returns the encoded size of all ledger rows of a steward."""
    steward = next(item.steward for item in simulation.processes if item.steward)
    rows = [steward.ledger.row(team) for team in steward.ledger.teams()]
    return float(sum(len(row.encode()) for row in rows if row is not None))


def _slope(
    role: Role,
    resource: Resource,
    driver: str,
    mechanism: str,
    simulations: dict[int, MeteredSimulation],
    cost: Callable[[MeteredSimulation], float],
    target_size: int,
) -> Slope:
    samples = tuple(
        Sample(size, cost(simulation)) for size, simulation in simulations.items()
    )
    return Slope(role, resource, driver, mechanism, samples, target_size)
