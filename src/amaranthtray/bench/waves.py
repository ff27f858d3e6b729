"""Measures maintenance waves and moves: safety, roll-out time, cost and moves."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from ._waves_faults import FaultSchedule
from ._waves_sites import (
    SITES,
    WEEK_MS,
    one_at_a_time,
    relabel,
    roll_out,
    weekly_share,
)
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ._waves_sites import RollOut, Site

SCHEDULES = 7_000
SITE_RUNS = 20
FAILURES = 6
RELABELLED = 5
MS_PER_S = 1_000
BUDGET_PROMISE = "BudgetsHold"
PLACE_PROMISE = "OnePoolAHost"


def figures() -> Iterator[Figure]:
    """Yields the figures of this group."""
    yield from _safety()
    for site in SITES:
        yield from _site(site)
    yield from _two_years()


def _safety() -> Iterator[Figure]:
    budgets = places = others = unreached_hosts = 0
    for seed in range(SCHEDULES):
        result = FaultSchedule(seed).run()
        for detail in result.violations:
            budgets += detail.startswith(BUDGET_PROMISE) or "bound" in detail
            places += detail.startswith(PLACE_PROMISE)
            others += not detail.startswith((BUDGET_PROMISE, PLACE_PROMISE))
        unreached_hosts += len(result.unreached_hosts)
    yield Figure("waves.schedules", SCHEDULES, "runs", ">= 7000")
    yield Figure("waves.budget_breaks", budgets, "count", "== 0")
    yield Figure("waves.hosts_not_in_one_pool", places, "count", "== 0")
    yield Figure("waves.other_breaks", others, "count", "== 0")
    yield Figure("waves.hosts_never_reached", unreached_hosts, "count", "== 0")


def _site(site: Site) -> Iterator[Figure]:
    runs = [roll_out(site, seed) for seed in range(SITE_RUNS)]
    slow = [roll_out(one_at_a_time(site), seed) for seed in range(SITE_RUNS)]
    failing = [roll_out(site, seed, failures=FAILURES) for seed in range(SITE_RUNS)]
    name = f"waves.{site.name}"
    yield from _over_bound(name, runs)
    yield _against(f"{name}.roll_out", _mean_s(runs), _mean_s(slow), "s", "<= 1.0")
    yield _against(
        f"{name}.buffer_cost",
        statistics.mean(run.out_ms for run in runs) / MS_PER_S,
        statistics.mean(run.out_ms for run in slow) / MS_PER_S,
        "host-seconds",
        "<= 1.15",
    )
    with_failures = f"{name}.roll_out_with_failures"
    yield _against(with_failures, _mean_s(failing), _mean_s(slow), "s", "<= 1.0")
    violations = sum(run.violations for run in (*runs, *slow, *failing))
    yield Figure(f"{name}.breaks_with_failures", violations, "count", "== 0")
    yield from _reached_and_moved(site, name, [*runs, *failing])


def _reached_and_moved(site: Site, name: str, runs: list[RollOut]) -> Iterator[Figure]:
    hosts = site.pools * site.pool_size
    unreached = sum(hosts - run.done for run in runs)
    yield Figure(f"{name}.hosts_never_reached", unreached, "count", "== 0")
    moves, placed = relabel(site, seed=1, changed=RELABELLED)
    yield _against(f"{name}.relabel_moves", moves, RELABELLED, "moves", "== 1")
    yield Figure(f"{name}.relabel_placed", placed, "hosts", f"== {RELABELLED}")


def _over_bound(name: str, runs: list[RollOut]) -> Iterator[Figure]:
    ratios = [run.took_ms / run.bound_ms for run in runs]
    mean = statistics.mean(ratios)
    yield Figure(f"{name}.roll_out_over_bound", mean, "ratio", "<= 1.15")
    worst = max(ratios)
    yield Figure(f"{name}.roll_out_over_bound_worst", worst, "ratio", "<= 1.15")


def _against(
    name: str, value: float, baseline: float, unit: str, target: str
) -> Figure:
    return Figure(name, value, unit, target, baseline=baseline, on_ratio=True)


def _mean_s(runs: list[RollOut]) -> float:
    return statistics.mean(run.took_ms for run in runs) / MS_PER_S


def _two_years() -> Iterator[Figure]:
    run = weekly_share()
    yield Figure("waves.two_years.week_used", run.took_ms / WEEK_MS, "ratio", "<= 1")
    yield Figure(
        "waves.two_years.roll_out_over_bound",
        run.took_ms / run.bound_ms,
        "ratio",
        "<= 1.15",
    )
    yield Figure("waves.two_years.breaks", run.violations, "count", "== 0")
