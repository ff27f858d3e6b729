"""Measures maintenance waves and host moves: safety, duration and cost."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from ._waves_faults import FaultSchedule
from ._waves_sites import (
    SITES,
    WEEK_MS,
    run_relabelling,
    run_wave,
    run_weekly_share,
    with_budget_of_one,
)
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ._waves_sites import Site, WaveResult

SCHEDULES = 7_000
SITE_RUNS = 20
FAILING_HOSTS = 6
RELABELLED_HOSTS = 5
MS_PER_S = 1_000
BUDGET_PROMISE = "BudgetsHold"
PLACE_PROMISE = "OnePoolAHost"


def figures() -> Iterator[Figure]:
    """Yields the figures of this group."""
    yield from _safety_figures()
    for site in SITES:
        yield from _site_figures(site)
    yield from _two_year_figures()


def _safety_figures() -> Iterator[Figure]:
    budget_violations = placement_violations = other_violations = unreached_hosts = 0
    for seed in range(SCHEDULES):
        result = FaultSchedule(seed).run()
        for detail in result.violations:
            budget_violations += detail.startswith(BUDGET_PROMISE) or "bound" in detail
            placement_violations += detail.startswith(PLACE_PROMISE)
            other_violations += not detail.startswith((BUDGET_PROMISE, PLACE_PROMISE))
        unreached_hosts += len(result.unreached_hosts)
    yield Figure("waves.schedules", SCHEDULES, "runs", ">= 7000")
    yield Figure("waves.budget_breaks", budget_violations, "count", "== 0")
    yield Figure("waves.hosts_not_in_one_pool", placement_violations, "count", "== 0")
    yield Figure("waves.other_breaks", other_violations, "count", "== 0")
    yield Figure("waves.hosts_never_reached", unreached_hosts, "count", "== 0")


def _site_figures(site: Site) -> Iterator[Figure]:
    runs = [run_wave(site, seed) for seed in range(SITE_RUNS)]
    one_at_a_time = [
        run_wave(with_budget_of_one(site), seed) for seed in range(SITE_RUNS)
    ]
    with_failures = [
        run_wave(site, seed, failing_hosts=FAILING_HOSTS) for seed in range(SITE_RUNS)
    ]
    name = f"waves.{site.name}"
    yield from _duration_figures(name, runs)
    yield _ratio_figure(
        f"{name}.roll_out",
        _mean_duration_s(runs),
        _mean_duration_s(one_at_a_time),
        "s",
        "<= 1.0",
    )
    yield _ratio_figure(
        f"{name}.buffer_cost",
        statistics.mean(run.outage_host_ms for run in runs) / MS_PER_S,
        statistics.mean(run.outage_host_ms for run in one_at_a_time) / MS_PER_S,
        "host-seconds",
        "<= 1.15",
    )
    failures_name = f"{name}.roll_out_with_failures"
    yield _ratio_figure(
        failures_name,
        _mean_duration_s(with_failures),
        _mean_duration_s(one_at_a_time),
        "s",
        "<= 1.0",
    )
    violations = sum(run.violations for run in (*runs, *one_at_a_time, *with_failures))
    yield Figure(f"{name}.breaks_with_failures", violations, "count", "== 0")
    yield from _coverage_figures(site, name, [*runs, *with_failures])


def _coverage_figures(
    site: Site, name: str, runs: list[WaveResult]
) -> Iterator[Figure]:
    hosts = site.pools * site.pool_size
    unreached_hosts = sum(hosts - run.done for run in runs)
    yield Figure(f"{name}.hosts_never_reached", unreached_hosts, "count", "== 0")
    moves, hosts_in_place = run_relabelling(site, seed=1, changed=RELABELLED_HOSTS)
    yield _ratio_figure(
        f"{name}.relabel_moves", moves, RELABELLED_HOSTS, "moves", "== 1"
    )
    yield Figure(
        f"{name}.relabel_placed", hosts_in_place, "hosts", f"== {RELABELLED_HOSTS}"
    )


def _duration_figures(name: str, runs: list[WaveResult]) -> Iterator[Figure]:
    ratios = [run.duration_ms / run.lower_bound_ms for run in runs]
    mean = statistics.mean(ratios)
    yield Figure(f"{name}.roll_out_over_bound", mean, "ratio", "<= 1.15")
    worst = max(ratios)
    yield Figure(f"{name}.roll_out_over_bound_worst", worst, "ratio", "<= 1.15")


def _ratio_figure(
    name: str, value: float, baseline: float, unit: str, target: str
) -> Figure:
    return Figure(name, value, unit, target, baseline=baseline, on_ratio=True)


def _mean_duration_s(runs: list[WaveResult]) -> float:
    return statistics.mean(run.duration_ms for run in runs) / MS_PER_S


def _two_year_figures() -> Iterator[Figure]:
    run = run_weekly_share()
    yield Figure(
        "waves.two_years.week_used", run.duration_ms / WEEK_MS, "ratio", "<= 1"
    )
    yield Figure(
        "waves.two_years.roll_out_over_bound",
        run.duration_ms / run.lower_bound_ms,
        "ratio",
        "<= 1.15",
    )
    yield Figure("waves.two_years.breaks", run.violations, "count", "== 0")
