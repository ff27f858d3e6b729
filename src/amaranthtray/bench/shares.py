"""Nearness to share in a full pool, and the cost of a choice."""

from __future__ import annotations

import random
import statistics
import time
from typing import TYPE_CHECKING

from ..domain.ids import Incarnation, Millis, TeamName
from ..domain.shares import FairShares
from ._shares_simulation import CRANNOG, KOMINAR, POOL, Demand, SharesWorld, Site
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

WEIGHTS = (6, 5, 4, 1, 1, 1)
"""Shares of the six teams, a few of them large."""

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
    """Yields the group's figures."""
    for site in (KOMINAR, CRANNOG):
        for name, place in PLACES.items():
            yield from _nearness(site, name, place)
        yield _relayed(site)
        yield _bursts(site)
        yield _reaction(site)
    yield _pick_cost()


def everywhere(site: Site, team: int, rng: random.Random) -> frozenset[int]:
    """Places a team's work at every entry."""
    return frozenset(range(len(site.entries)))


def one_zone(site: Site, team: int, rng: random.Random) -> frozenset[int]:
    """Places a team's work in one zone; neighbouring teams in different ones."""
    zone = team % (max(site.entries) + 1)
    return frozenset(n for n, at in enumerate(site.entries) if at == zone)


def few_entries(site: Site, team: int, rng: random.Random) -> frozenset[int]:
    """Places a team's work at one or two entries."""
    return frozenset(rng.sample(range(len(site.entries)), rng.choice((1, 2))))


PLACES: dict[str, Callable[[Site, int, random.Random], frozenset[int]]] = {
    "everywhere": everywhere,
    "one_zone": one_zone,
    "few_entries": few_entries,
}


def demands(
    site: Site,
    teams: list[int],
    place: Callable[[Site, int, random.Random], frozenset[int]],
    rng: random.Random,
) -> list[Demand]:
    """Returns demands of some of the six teams."""
    return [
        Demand(
            TeamName(f"t{team}"), WEIGHTS[team], place(site, team, rng), TASK_MS[team]
        )
        for team in teams
    ]


def share_error(used: dict[TeamName, float], wanted: list[Demand]) -> float:
    """Returns the mean absolute error of the teams, as a part of their shares."""
    total = sum(used.get(item.team, 0.0) for item in wanted)
    weights = sum(item.weight for item in wanted)
    if not total:
        return 1.0
    return statistics.fmean(
        abs(used.get(item.team, 0.0) / total - item.weight / weights)
        / (item.weight / weights)
        for item in wanted
    )


def measure(
    site: Site,
    place: Callable[[Site, int, random.Random], frozenset[int]],
    mode: str,
    seed: int,
) -> tuple[float, float]:
    """Returns error and use of slots in the window after a change of demand."""
    rng = random.Random(seed)
    world = SharesWorld(site, rng, mode)
    world.set_demands(demands(site, rng.sample(range(6), 3), place, rng))
    world.run(BEFORE_MS)
    wanted = demands(site, list(range(6)), place, rng)
    world.set_demands(wanted)
    world.run(SETTLE_MS)
    used = world.run(WINDOW_MS)
    busy = sum(used.values()) / (site.slots * WINDOW_MS)
    return share_error(used, wanted), busy


def _nearness(
    site: Site,
    name: str,
    place: Callable[[Site, int, random.Random], frozenset[int]],
) -> Iterator[Figure]:
    means: dict[str, float] = {}
    busy: list[float] = []
    for mode in ("exchange", "alone", "split"):
        runs = [measure(site, place, mode, seed) for seed in range(SEEDS)]
        means[mode] = statistics.fmean(error for error, _ in runs)
        if mode == "exchange":
            busy = [use for _, use in runs]
    prefix = f"shares.{site.name}.{name}"
    error = means["exchange"]
    yield Figure(f"{prefix}.error", error, "of share", TARGET, means["split"])
    alone = means["alone"]
    yield Figure(f"{prefix}.error_against_alone", error, "of share", TARGET, alone)
    yield Figure(f"{prefix}.slots_busy", min(busy), "of slots", ">= 0.95")


def _relayed(site: Site) -> Figure:
    """Measures the error when zone stewards relay the sums of their zones."""
    runs = [measure(site, few_entries, "relay", seed) for seed in range(SEEDS)]
    error = statistics.fmean(error for error, _ in runs)
    name = f"shares.{site.name}.few_entries.error_relayed_by_zone"
    return Figure(name, error, "of share", TARGET)


def _bursts(site: Site) -> Figure:
    """Measures the error over a time in which queues burst in turn."""
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
    """Returns the mean error against shares that change with each burst."""
    rng = random.Random(seed)
    world = SharesWorld(site, rng, mode)
    got: dict[TeamName, float] = {}
    due: dict[TeamName, float] = {}
    for _ in range(BURSTS):
        wanted = demands(site, rng.sample(range(6), 4), one_zone, rng)
        world.set_demands(wanted)
        used = world.run(BURST_MS)
        total = sum(used.values())
        weights = sum(item.weight for item in wanted)
        for item in wanted:
            due[item.team] = due.get(item.team, 0.0) + total * item.weight / weights
        for team, used_ms in used.items():
            got[team] = got.get(team, 0.0) + used_ms
    return statistics.fmean(
        abs(got.get(team, 0.0) - share) / share for team, share in due.items()
    )


def _reaction(site: Site) -> Figure:
    """Measures when a team that comes back has its share, from then on."""
    worst_ms = 0.0
    step_ms = 500
    for seed in range(SEEDS):
        rng = random.Random(seed)
        world = SharesWorld(site, rng)
        world.set_demands(demands(site, [1, 2, 3, 4, 5], one_zone, rng))
        world.run(BEFORE_MS)
        wanted = demands(site, list(range(6)), one_zone, rng)
        world.set_demands(wanted)
        share = WEIGHTS[0] / sum(WEIGHTS)
        waited_ms = 0
        while waited_ms < SETTLE_MS:
            waited_ms += step_ms
            used = world.run(step_ms)
            if used.get(TeamName("t0"), 0.0) >= 0.9 * share * sum(used.values()):
                break
        worst_ms = max(worst_ms, waited_ms)
    return Figure(
        f"shares.{site.name}.returning_team_has_share_after", worst_ms, "ms", "<= 10000"
    )


def _pick_cost() -> Figure:
    """Measures one choice among 140 waiting teams."""
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
