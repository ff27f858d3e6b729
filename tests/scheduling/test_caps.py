"""The portions of a cap stay within it, even if replies are lost."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.ids import PoolName
from amaranthtray.domain.jobs.catalog import JobPool, JobTeam
from amaranthtray.domain.jobs.model import NO_RESOURCES, Resources
from amaranthtray.domain.scheduling.caps import (
    CapTracker,
    ClaimPortion,
    PortionRow,
    claim,
    total,
)
from scheduling.parts import TEAM, a_catalog

CAP = Resources(10_000, 0, 0)
NEED = Resources(1_000, 500, 0)
A, B = PoolName("a"), PoolName("b")


def a_capped_catalog(cap: Resources = CAP):  # noqa: ANN201
    return replace(a_catalog(), teams={TEAM: JobTeam(name=TEAM, cap=cap)})


def test_nothing_starts_without_a_portion() -> None:
    tracker = CapTracker(A)
    assert tracker.count_that_fits(a_capped_catalog(), TEAM, NEED, 3) == 0
    assert [each.team for each in tracker.claims(a_capped_catalog(), 0)] == [TEAM]


def test_a_team_without_a_cap_starts_all_tasks() -> None:
    assert CapTracker(A).count_that_fits(a_catalog(), TEAM, NEED, 3) == 3


def test_portions_of_two_pools_stay_within_the_cap() -> None:
    want = Resources(8_000, 0, 0)
    row = claim({}, A, ClaimPortion(TEAM, NO_RESOURCES, want, CAP))
    row = claim(row, B, ClaimPortion(TEAM, NO_RESOURCES, want, CAP))
    assert total(row).cpu == CAP.cpu
    assert row[B].cpu == 2_000


def test_a_portion_does_not_shrink_below_the_resources_in_use() -> None:
    row = {A: Resources(9_000, 0, 0)}
    used = Resources(3_000, 0, 0)
    assert claim(row, B, ClaimPortion(TEAM, used, used, CAP))[B].cpu == 3_000


def test_a_gang_claims_its_whole_need() -> None:
    """Part of the gang fits the portion; the claim must not give that part up."""
    tracker = CapTracker(A)
    catalog = a_capped_catalog()
    tracker.rows[TEAM] = {A: Resources(4_000, 0, 0)}
    assert tracker.count_that_fits(catalog, TEAM, NEED, 5, is_gang=True) == 0
    (request,) = tracker.claims(catalog, 0)
    assert request.want.cpu >= 5_000


def test_unmet_needs_of_several_steps_add_up() -> None:
    tracker = CapTracker(A)
    catalog = a_capped_catalog()
    tracker.count_that_fits(catalog, TEAM, NEED, 3)
    tracker.count_that_fits(catalog, TEAM, NEED, 2)
    (request,) = tracker.claims(catalog, 0)
    assert request.want.cpu >= 5_000


def test_a_pool_returns_an_unused_portion() -> None:
    tracker = CapTracker(A)
    tracker.rows[TEAM] = {A: Resources(1_250, 0, 0)}
    claims = tracker.claims(a_capped_catalog(), 0)
    assert [each.want for each in claims] == [NO_RESOURCES]


def test_pools_hold_little_unused_slack() -> None:
    """Four pools with few tasks leave half of the cap to a fifth pool."""
    pools = [PoolName(f"p{number}") for number in range(5)]
    catalog = replace(
        a_capped_catalog(), pools={pool: JobPool(name=pool) for pool in pools}
    )
    row: PortionRow = {}
    for pool in pools[:4]:
        tracker = CapTracker(pool)
        tracker.add(TEAM, Resources(100, 0, 0))
        tracker.count_that_fits(catalog, TEAM, Resources(100, 0, 0), 1)
        for request in tracker.claims(catalog, 0):
            row = claim(row, pool, request)
    want = Resources(CAP.cpu // 2, 0, 0)
    row = claim(row, pools[4], ClaimPortion(TEAM, NO_RESOURCES, want, CAP))
    assert row[pools[4]] == want


def test_a_smaller_portion_applies_before_the_reply() -> None:
    tracker = CapTracker(A)
    tracker.add(TEAM, Resources(100, 0, 0))
    tracker.rows[TEAM] = {A: Resources(10_000, 0, 0)}
    catalog = a_capped_catalog()
    assert [each.want.cpu for each in tracker.claims(catalog, 0)] == [2_600]
    assert tracker.count_that_fits(catalog, TEAM, Resources(1_000, 0, 0), 9) == 2


def test_nothing_starts_while_portions_exceed_a_lowered_cap() -> None:
    tracker = CapTracker(A)
    tracker.rows[TEAM] = {A: Resources(4_000, 0, 0), B: Resources(4_000, 0, 0)}
    lower = a_capped_catalog(Resources(5_000, 0, 0))
    assert tracker.count_that_fits(lower, TEAM, Resources(1_000, 0, 0), 2) == 0


def test_rows_of_a_lowered_cap_are_read_again() -> None:
    tracker = CapTracker(A)
    tracker.rows[TEAM] = {A: Resources(4_000, 0, 0)}
    tracker.apply_catalog(a_capped_catalog(), a_capped_catalog(Resources(5_000, 0, 0)))
    assert TEAM not in tracker.rows
