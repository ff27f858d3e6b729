"""Short soaks of CI: the first regressions, and some seeds of random faults."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from soak.faults import (
    ConnectionsSilent,
    Fault,
    ForeignEntries,
    HostsLeave,
    StartsUnanswered,
)
from soak.site import Site, SoakSettings, a_job, a_step, random_faults

if TYPE_CHECKING:
    from pathlib import Path

SEEDS = (1, 2)
WAIT_S = 30
POOLS = ("alpha", "beta")


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_beside_random_faults(seed: int, tmp_path: Path) -> None:
    settings = SoakSettings(seed=seed)
    with Site(settings, tmp_path) as site:
        assert site.play(random_faults(settings)) == []
        assert site.observer.starts > 0


def test_hosts_that_leave_get_no_starts_that_waited(tmp_path: Path) -> None:
    """Guards against starts behind unanswered ones, and under an outdated list."""
    faults: list[tuple[float, Fault]] = [
        (0.5, ForeignEntries()),
        (1.0, StartsUnanswered(4, 0.5, 0.0, 0.0, 9.0)),
        (2.0, HostsLeave(2, 6.0)),
        (5.0, ConnectionsSilent()),
        (5.5, HostsLeave(2, 6.0)),
    ]
    with Site(SoakSettings(seed=3, jobs_per_s=18.0), tmp_path) as site:
        assert site.play(faults) == []
        assert any(entry.events("host-leaving") for entry in site.entries)


def test_a_refused_repetition_does_not_let_a_late_start_run_twice(
    tmp_path: Path,
) -> None:
    """Guards against a first try that is carried out beside the next run."""
    faults: list[tuple[float, Fault]] = [
        (0.0, StartsUnanswered(4, 0.0, 0.3, 0.4, 11.0)),
    ]
    with Site(SoakSettings(seed=4), tmp_path) as site:
        assert site.play(faults) == []


def test_a_lowered_cap_leaves_nothing_behind_in_another_pool(tmp_path: Path) -> None:
    """Guards against a portion of a cap that no pool returns."""
    settings = SoakSettings(seed=6, pools=POOLS, callers=0, lasts_s=0)
    with Site(settings, tmp_path) as site:
        site.configure(cap_cpu=100_000)
        time.sleep(1)
        site.hand_in(a_job("00000000000000e1", "alpha", a_step(15, 6_000, cpu=4_000)))
        site.wait(WAIT_S, lambda: site.observer.starts == 15)
        site.configure(cap_cpu=50_000)
        assert site.finish() == []
        time.sleep(5)
        site.hand_in(a_job("00000000000000e2", "beta", a_step(1, 1_000, cpu=8_000)))
        assert site.finish() == []


def test_gangs_of_two_pools_do_not_wait_for_each_other(tmp_path: Path) -> None:
    """Guards against two pools that each hold the part that the other one lacks."""
    settings = SoakSettings(seed=7, pools=POOLS, callers=0, lasts_s=0)
    gang = a_step(12, 1_000, cpu=5_000, is_gang=True)
    with Site(settings, tmp_path) as site:
        site.configure(cap_cpu=100_000)
        time.sleep(1)
        site.hand_in(a_job("00000000000000f1", "alpha", a_step(9, 5_000, cpu=5_000)))
        site.wait(WAIT_S, lambda: site.observer.starts == 9)
        site.hand_in(a_job("00000000000000f2", "beta", gang))
        time.sleep(1)
        site.hand_in(a_job("00000000000000f3", "alpha", gang))
        assert site.finish() == []
