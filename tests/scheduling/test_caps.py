"""Portions of a cap: their sum stays within it, whatever is lost."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.ids import PoolName
from amaranthtray.domain.jobs.catalog import JobPool, JobTeam
from amaranthtray.domain.jobs.model import NO_RESOURCES, Resources
from amaranthtray.domain.scheduling.caps import (
    CapBook,
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
    book = CapBook(A)
    assert book.count_that_fits(a_capped_catalog(), TEAM, NEED, 3) == 0
    assert [each.team for each in book.claims(a_capped_catalog(), 0)] == [TEAM]


def test_a_team_without_a_cap_starts_all() -> None:
    assert CapBook(A).count_that_fits(a_catalog(), TEAM, NEED, 3) == 3


def test_portions_of_two_pools_stay_within_the_cap() -> None:
    want = Resources(8_000, 0, 0)
    row = claim({}, A, ClaimPortion(TEAM, NO_RESOURCES, want, CAP))
    row = claim(row, B, ClaimPortion(TEAM, NO_RESOURCES, want, CAP))
    assert total(row).cpu == CAP.cpu
    assert row[B].cpu == 2_000


def test_a_portion_is_not_cut_below_what_runs() -> None:
    row = {A: Resources(9_000, 0, 0)}
    used = Resources(3_000, 0, 0)
    assert claim(row, B, ClaimPortion(TEAM, used, used, CAP))[B].cpu == 3_000


def test_a_gang_claims_all_that_it_takes() -> None:
    """Part of it fits already: that part must not be claimed away."""
    book = CapBook(A)
    catalog = a_capped_catalog()
    book.rows[TEAM] = {A: Resources(4_000, 0, 0)}
    assert book.count_that_fits(catalog, TEAM, NEED, 5, is_gang=True) == 0
    (asked,) = book.claims(catalog, 0)
    assert asked.want.cpu >= 5_000


def test_the_wants_of_several_steps_add_up() -> None:
    book = CapBook(A)
    catalog = a_capped_catalog()
    book.count_that_fits(catalog, TEAM, NEED, 3)
    book.count_that_fits(catalog, TEAM, NEED, 2)
    (asked,) = book.claims(catalog, 0)
    assert asked.want.cpu >= 5_000


def test_a_pool_gives_all_back_that_it_does_not_use() -> None:
    book = CapBook(A)
    book.rows[TEAM] = {A: Resources(1_250, 0, 0)}
    claims = book.claims(a_capped_catalog(), 0)
    assert [each.want for each in claims] == [NO_RESOURCES]


def test_pools_hold_little_of_a_cap_in_vain() -> None:
    """Four pools that run little leave a fifth room for half of the cap."""
    pools = [PoolName(f"p{number}") for number in range(5)]
    catalog = replace(
        a_capped_catalog(), pools={pool: JobPool(name=pool) for pool in pools}
    )
    row: PortionRow = {}
    for pool in pools[:4]:
        book = CapBook(pool)
        book.add(TEAM, Resources(100, 0, 0))
        book.count_that_fits(catalog, TEAM, Resources(100, 0, 0), 1)
        for asked in book.claims(catalog, 0):
            row = claim(row, pool, asked)
    want = Resources(CAP.cpu // 2, 0, 0)
    row = claim(row, pools[4], ClaimPortion(TEAM, NO_RESOURCES, want, CAP))
    assert row[pools[4]] == want


def test_a_pool_goes_by_a_smaller_portion_before_the_reply() -> None:
    book = CapBook(A)
    book.add(TEAM, Resources(100, 0, 0))
    book.rows[TEAM] = {A: Resources(10_000, 0, 0)}
    catalog = a_capped_catalog()
    assert [each.want.cpu for each in book.claims(catalog, 0)] == [2_600]
    assert book.count_that_fits(catalog, TEAM, Resources(1_000, 0, 0), 9) == 2


def test_nothing_starts_while_a_lowered_cap_is_overrun() -> None:
    book = CapBook(A)
    book.rows[TEAM] = {A: Resources(4_000, 0, 0), B: Resources(4_000, 0, 0)}
    lower = a_capped_catalog(Resources(5_000, 0, 0))
    assert book.count_that_fits(lower, TEAM, Resources(1_000, 0, 0), 2) == 0


def test_rows_of_a_lowered_cap_are_read_again() -> None:
    book = CapBook(A)
    book.rows[TEAM] = {A: Resources(4_000, 0, 0)}
    book.take_catalog(a_capped_catalog(), a_capped_catalog(Resources(5_000, 0, 0)))
    assert TEAM not in book.rows
