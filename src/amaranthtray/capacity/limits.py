"""Slopes of the limit escrow and of the shares."""

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
ENTRIES_A_ZONE_IN_TWO_YEARS = 15
POOLS_IN_TWO_YEARS = 39
FULL_POOLS_IN_TWO_YEARS = 8
TEAM_SAMPLES = (35, 70, 140)
ZONE_SAMPLES = (4, 8, 17)
ENTRY_SAMPLES = (2, 4, 8)
TEAMS_A_POOL = 30
ACTIVE_TEAMS_A_POOL = 10
SAMPLED_ZONES = 8
REPORTS_A_SECOND = 4
FRAMES_A_SECOND = 4
WARM_UP_MS = 5_000
MEASURED_MS = 10_000

ESCROW = "limit escrow: unit reports, grants and one ledger row a team"
RELAY = "shares: slots of one zone relayed to the others every second"
SUMS = "shares: cumulative usage sums every 250 ms"


def slopes() -> Iterator[Slope]:
    """Yields the measured slopes."""
    yield from _escrow_by_teams()
    yield from _escrow_by_zones()
    yield from _steward_by_entries()
    yield from _shares_by_sources()
    yield from _shares_by_teams()
    yield _relays_by_zones()


def _escrow_by_teams() -> Iterator[Slope]:
    worlds = {teams: _measured(4, teams, 2) for teams in TEAM_SAMPLES}
    yield _slope(
        Role.ENTRY,
        Resource.TRAFFIC,
        "teams",
        ESCROW,
        worlds,
        lambda world: _entry_bytes(world) / _seconds(),
        TEAMS_IN_TWO_YEARS,
    )
    yield _slope(
        Role.STEWARD,
        Resource.STATE,
        "teams",
        ESCROW,
        worlds,
        _ledger_bytes,
        TEAMS_IN_TWO_YEARS,
    )


def _escrow_by_zones() -> Iterator[Slope]:
    worlds = {zones: _measured(zones, TEAMS_IN_TWO_YEARS, 2) for zones in ZONE_SAMPLES}
    yield _slope(
        Role.STORE,
        Resource.MESSAGES,
        "zones",
        ESCROW,
        worlds,
        lambda world: sum(world.store_calls.values()) / _seconds(),
        ZONES_IN_TWO_YEARS,
    )
    yield _slope(
        Role.STEWARD,
        Resource.TRAFFIC,
        "zones",
        ESCROW,
        worlds,
        lambda world: world.watch_bytes / _seconds(),
        ZONES_IN_TWO_YEARS,
    )


def _steward_by_entries() -> Iterator[Slope]:
    """Yields what a steward pays for each entry of its zone."""
    worlds: dict[int, MeteredSimulation] = {}
    busy: dict[int, float] = {}
    for entries in ENTRY_SAMPLES:
        world = two_year_simulation(SAMPLED_ZONES, TEAMS_IN_TWO_YEARS, entries)
        burst_in_turn(world, WARM_UP_MS)
        world.reset_counts()
        busy[entries] = _steward_ms(world)
        worlds[entries] = world
    samples = tuple(Sample(entries, busy[entries]) for entries in ENTRY_SAMPLES)
    size = ENTRIES_A_ZONE_IN_TWO_YEARS
    yield Slope(Role.STEWARD, Resource.PROCESSOR, "entries", ESCROW, samples, size)
    samples = tuple(Sample(count, count * REPORTS_A_SECOND) for count in ENTRY_SAMPLES)
    yield Slope(Role.STEWARD, Resource.MESSAGES, "entries", ESCROW, samples, size)


def _steward_ms(world: MeteredSimulation) -> float:
    """Returns processor milliseconds a second of one steward's reports and ticks."""
    process = next(item for item in world.processes if item.steward is not None)
    steward = process.steward
    assert steward is not None
    spent = 0.0
    tick, on_report = steward.tick, steward.on_report

    def timed(call: Callable[..., object]) -> Callable[..., object]:
        def run(*args: object) -> object:
            nonlocal spent
            begin = time.process_time()
            result = call(*args)
            spent += time.process_time() - begin
            return result

        return run

    steward.tick = timed(tick)  # type: ignore[method-assign,assignment]
    steward.on_report = timed(on_report)  # type: ignore[method-assign,assignment]
    burst_in_turn(world, MEASURED_MS)
    return spent * 1_000 / _seconds()


def _shares_by_sources() -> Iterator[Slope]:
    """Yields what an entry pays for the sums of others."""
    samples = []
    for sources in ENTRY_SAMPLES:
        shares = FairShares(Incarnation("here"))
        frames = [
            _frame(number, second) for second in range(20) for number in range(sources)
        ]
        begin = time.process_time()
        for frame in frames:
            shares.merge(frame, frame.at_ms)
        spent_ms = (time.process_time() - begin) * 1_000
        samples.append(Sample(sources, spent_ms / 20 * FRAMES_A_SECOND))
    size = ENTRIES_A_ZONE_IN_TWO_YEARS
    yield Slope(Role.ENTRY, Resource.PROCESSOR, "entries", SUMS, tuple(samples), size)


def _shares_by_teams() -> Iterator[Slope]:
    """Yields the bytes of one entry's own sums."""
    samples = []
    for teams in TEAM_SAMPLES:
        shares = FairShares(Incarnation("here"))
        for number in range(teams):
            team = TeamName(f"team-{number:03}")
            PoolName(f"pool-{number % POOLS_IN_TWO_YEARS}")
            shares.record_start(
                PoolName(f"pool-{number % POOLS_IN_TWO_YEARS}"), team, Millis(0)
            )
        full = range(FULL_POOLS_IN_TWO_YEARS)
        waiting = {PoolName(f"pool-{number}"): (team,) for number in full}
        frame = shares.frame(waiting, Millis(1_000))
        samples.append(Sample(teams, len(cbor2.dumps(frame.sums)) * FRAMES_A_SECOND))
    yield Slope(
        Role.ENTRY,
        Resource.TRAFFIC,
        "teams",
        SUMS,
        tuple(samples),
        TEAMS_IN_TWO_YEARS,
    )


def _relays_by_zones() -> Slope:
    """Returns the bytes that a steward receives from the relays of other zones."""
    relay = UsageAggregator(Incarnation("zone-a"))
    counts = {TeamName(f"team-{n:03}"): 3 for n in range(ACTIVE_TEAMS_A_POOL)}
    full = range(FULL_POOLS_IN_TWO_YEARS)
    slots = {PoolName(f"pool-{number}"): dict(counts) for number in full}
    relay.merge(UsageFrame(Incarnation("e1"), Millis(0), slots=slots), Millis(0))
    size = len(cbor2.dumps(relay.frame(Millis(0)).slots))
    samples = tuple(Sample(zones, size * (zones - 1)) for zones in ZONE_SAMPLES)
    return Slope(
        Role.STEWARD, Resource.TRAFFIC, "zones", RELAY, samples, ZONES_IN_TWO_YEARS
    )


def _frame(source: int, second: int) -> UsageFrame:
    sums = {TeamName(f"team-{n:03}"): second * 1_000 for n in range(TEAMS_A_POOL)}
    full = range(FULL_POOLS_IN_TWO_YEARS)
    pools = {PoolName(f"pool-{number}"): dict(sums) for number in full}
    return UsageFrame(Incarnation(f"e{source}"), Millis(second * 1_000), pools)


def _measured(zones: int, teams: int, entries: int) -> MeteredSimulation:
    world = two_year_simulation(zones, teams, entries)
    burst_in_turn(world, WARM_UP_MS)
    world.reset_counts()
    burst_in_turn(world, MEASURED_MS)
    return world


def _seconds() -> float:
    return MEASURED_MS / 1_000


def _entry_bytes(world: MeteredSimulation) -> float:
    return (world.report_bytes + world.grant_bytes) / len(world.processes)


def _ledger_bytes(world: MeteredSimulation) -> float:
    """Returns the encoded size of all rows that a steward keeps."""
    steward = next(item.steward for item in world.processes if item.steward)
    rows = [steward.ledger.row(team) for team in steward.ledger.teams()]
    return float(sum(len(row.encode()) for row in rows if row is not None))


def _slope(
    role: Role,
    resource: Resource,
    driver: str,
    mechanism: str,
    worlds: dict[int, MeteredSimulation],
    cost: Callable[[MeteredSimulation], float],
    target_size: int,
) -> Slope:
    samples = tuple(Sample(size, cost(world)) for size, world in worlds.items())
    return Slope(role, resource, driver, mechanism, samples, target_size)
