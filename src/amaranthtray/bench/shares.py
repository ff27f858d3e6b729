"""Shares: deviation of teams from their shares in a full pool, and cost of a pick."""

from __future__ import annotations

import random
import statistics
import time
from typing import TYPE_CHECKING

from ..domain.ids import Incarnation, Millis, TeamName
from ..domain.shares import FairShares
from ._shares_simulation import CRANNOG, KOMINAR, POOL, Demand, SharesSimulation, Site
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

WEIGHTS = (6, 5, 4, 1, 1, 1)
"""Shares of the six teams; three are large."""

TASK_MS = (150, 400, 1_000, 250, 600, 2_000)
BEFORE_MS = 8_000
SETTLE_MS = 10_000
WINDOW_MS = 5_000
SEEDS = 12
BURST_SEEDS = 6
BURSTS = 12
BURST_MS = 5_000
TARGET = "<= 0.05"


def figures() -> Iterator[Figure]:
    """Yields the figures of this group."""
    for site in (KOMINAR, CRANNOG):
        for name, placement in PLACEMENTS.items():
            yield from _share_errors(site, name, placement)
        yield _error_with_aggregation(site)
        yield _error_in_bursts(site)
        yield _time_to_share(site)
    yield _pick_duration()


def everywhere(site: Site, team: int, rng: random.Random) -> frozenset[int]:
    """Places a team's work at every entry."""
    return frozenset(range(len(site.entries)))


def one_zone(site: Site, team: int, rng: random.Random) -> frozenset[int]:
    """Places a team's work in one zone; the next team's work is in the next zone."""
    zone = team % (max(site.entries) + 1)
    return frozenset(n for n, at in enumerate(site.entries) if at == zone)


def few_entries(site: Site, team: int, rng: random.Random) -> frozenset[int]:
    """Places a team's work at one or two entries."""
    return frozenset(rng.sample(range(len(site.entries)), rng.choice((1, 2))))


PLACEMENTS: dict[str, Callable[[Site, int, random.Random], frozenset[int]]] = {
    "everywhere": everywhere,
    "one_zone": one_zone,
    "few_entries": few_entries,
}


def demands(
    site: Site,
    teams: list[int],
    placement: Callable[[Site, int, random.Random], frozenset[int]],
    rng: random.Random,
) -> list[Demand]:
    """Returns the demands of the given teams."""
    return [
        Demand(
            TeamName(f"t{team}"),
            WEIGHTS[team],
            placement(site, team, rng),
            TASK_MS[team],
        )
        for team in teams
    ]


def share_error(used: dict[TeamName, float], team_demands: list[Demand]) -> float:
    """Returns the mean absolute error of the teams, relative to their shares."""
    total = sum(used.get(item.team, 0.0) for item in team_demands)
    weights = sum(item.weight for item in team_demands)
    if not total:
        return 1.0
    return statistics.fmean(
        abs(used.get(item.team, 0.0) / total - item.weight / weights)
        / (item.weight / weights)
        for item in team_demands
    )


def measure(
    site: Site,
    placement: Callable[[Site, int, random.Random], frozenset[int]],
    mode: str,
    seed: int,
) -> tuple[float, float]:
    """Returns the share error and the part of busy slots after a change of demand."""
    rng = random.Random(seed)
    simulation = SharesSimulation(site, rng, mode)
    simulation.set_demands(demands(site, rng.sample(range(6), 3), placement, rng))
    simulation.run(BEFORE_MS)
    team_demands = demands(site, list(range(6)), placement, rng)
    simulation.set_demands(team_demands)
    simulation.run(SETTLE_MS)
    used = simulation.run(WINDOW_MS)
    busy = sum(used.values()) / (site.slots * WINDOW_MS)
    return share_error(used, team_demands), busy


def _share_errors(
    site: Site,
    name: str,
    placement: Callable[[Site, int, random.Random], frozenset[int]],
) -> Iterator[Figure]:
    means: dict[str, float] = {}
    busy: list[float] = []
    for mode in ("exchange", "alone", "split"):
        runs = [measure(site, placement, mode, seed) for seed in range(SEEDS)]
        means[mode] = statistics.fmean(error for error, _ in runs)
        if mode == "exchange":
            busy = [use for _, use in runs]
    prefix = f"shares.{site.name}.{name}"
    error = means["exchange"]
    yield Figure(f"{prefix}.error", error, "of share", TARGET, means["split"])
    alone = means["alone"]
    yield Figure(f"{prefix}.error_against_alone", error, "of share", TARGET, alone)
    yield Figure(f"{prefix}.slots_busy", min(busy), "of slots", ">= 0.95")


def _error_with_aggregation(site: Site) -> Figure:
    """Measures the error if zone stewards aggregate the usage of their zones."""
    runs = [measure(site, few_entries, "relay", seed) for seed in range(SEEDS)]
    error = statistics.fmean(error for error, _ in runs)
    name = f"shares.{site.name}.few_entries.error_relayed_by_zone"
    return Figure(name, error, "of share", TARGET)


def _error_in_bursts(site: Site) -> Figure:
    """Measures the error over a period in which teams burst in turn."""
    means = {
        mode: statistics.fmean(
            _burst_error(site, mode, seed) for seed in range(BURST_SEEDS)
        )
        for mode in ("exchange", "split")
    }
    name = f"shares.{site.name}.bursts_in_turn.error"
    return Figure(
        name, means["exchange"], "of share", "<= 1.0", means["split"], on_ratio=True
    )


def _burst_error(site: Site, mode: str, seed: int) -> float:
    """Returns the mean error relative to shares that change with each burst."""
    rng = random.Random(seed)
    simulation = SharesSimulation(site, rng, mode)
    used_ms_of: dict[TeamName, float] = {}
    entitled_ms_of: dict[TeamName, float] = {}
    for _ in range(BURSTS):
        team_demands = demands(site, rng.sample(range(6), 4), one_zone, rng)
        simulation.set_demands(team_demands)
        used = simulation.run(BURST_MS)
        total = sum(used.values())
        weights = sum(item.weight for item in team_demands)
        for item in team_demands:
            entitled_ms_of[item.team] = (
                entitled_ms_of.get(item.team, 0.0) + total * item.weight / weights
            )
        for team, used_ms in used.items():
            used_ms_of[team] = used_ms_of.get(team, 0.0) + used_ms
    return statistics.fmean(
        abs(used_ms_of.get(team, 0.0) - share) / share
        for team, share in entitled_ms_of.items()
    )


def _time_to_share(site: Site) -> Figure:
    """Measures how long a team that has work again waits for 90 % of its share."""
    worst_ms = 0.0
    step_ms = 500
    for seed in range(SEEDS):
        rng = random.Random(seed)
        simulation = SharesSimulation(site, rng)
        simulation.set_demands(demands(site, [1, 2, 3, 4, 5], one_zone, rng))
        simulation.run(BEFORE_MS)
        team_demands = demands(site, list(range(6)), one_zone, rng)
        simulation.set_demands(team_demands)
        share = WEIGHTS[0] / sum(WEIGHTS)
        waited_ms = 0
        while waited_ms < SETTLE_MS:
            waited_ms += step_ms
            used = simulation.run(step_ms)
            if used.get(TeamName("t0"), 0.0) >= 0.9 * share * sum(used.values()):
                break
        worst_ms = max(worst_ms, waited_ms)
    return Figure(
        f"shares.{site.name}.returning_team_has_share_after", worst_ms, "ms", "<= 10000"
    )


def _pick_duration() -> Figure:
    """Measures the time of one pick among 140 waiting teams."""
    shares = FairShares(Incarnation("e"))
    teams = [TeamName(f"t{number}") for number in range(140)]
    for number, team in enumerate(teams):
        shares.record_start(POOL, team, Millis(number))
    picks = 2_000
    begin = time.perf_counter()
    for number in range(picks):
        shares.pick(POOL, teams, Millis(200 + number))
    spent_us = (time.perf_counter() - begin) * 1e6 / picks
    return Figure("shares.pick_of_140_teams", spent_us, "us", "<= 100")
