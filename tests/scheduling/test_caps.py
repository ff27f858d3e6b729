"""The portions of a cap stay within it, even if replies are lost."""

from __future__ import annotations

from dataclasses import replace

import pytest

from amaranthtray.domain.ids import PoolName
from amaranthtray.domain.jobs.catalog import JobPool, JobTeam
from amaranthtray.domain.jobs.model import NO_RESOURCES, Resources
from amaranthtray.domain.scheduling.caps import (
    CLAIM_RETRY_MS,
    SHRINK_CHECK_MS,
    SLACK_DIVISOR,
    SLACK_KEPT_MS,
    CapTracker,
    ClaimFailed,
    ClaimPortion,
    PortionRow,
    PortionsRead,
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


class StoredRow:
    """The row of one team in the store, and the claims of two pools on it."""

    def __init__(self, cap: Resources = CAP) -> None:
        self.catalog = a_capped_catalog(cap)
        self.row: PortionRow = {}
        self.pools = {pool: CapTracker(pool) for pool in (A, B)}

    def review(self, pool: PoolName, now_ms: int, *, is_lost: bool = False) -> None:
        """Carries out the claims of a pool that are due; or loses them."""
        tracker = self.pools[pool]
        for request in tracker.claims(self.catalog, now_ms):
            if not is_lost:
                self.row = claim(self.row, pool, request)
                tracker.apply_reply(PortionsRead(TEAM, dict(self.row), request.number))

    def change_cap(self, cap: Resources) -> None:
        """Applies a configuration with another cap in both pools."""
        old, self.catalog = self.catalog, a_capped_catalog(cap)
        for tracker in self.pools.values():
            tracker.apply_catalog(old, self.catalog)

    def start(self, pool: PoolName, count: int, now_ms: int) -> int:
        """Starts up to ``count`` tasks of a pool; returns how many may start."""
        tracker, fitting = self.pools[pool], 0
        for _ in range(2):
            fitting = tracker.count_that_fits(self.catalog, TEAM, NEED, count)
            self.review(pool, now_ms)
            now_ms += CLAIM_RETRY_MS
        for _ in range(fitting):
            tracker.add(TEAM, NEED)
        return fitting

    def end(self, pool: PoolName, count: int) -> None:
        """Ends tasks of a pool."""
        for _ in range(count):
            self.pools[pool].remove(TEAM, NEED)


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_pool_that_ran_tasks_when_the_cap_was_lowered_returns_its_portion(
    *, is_lost: bool
) -> None:
    """Guards against a portion that no pool returns and that blocks all others."""
    site = StoredRow()
    assert site.start(A, 8, 0) == 8
    site.change_cap(Resources(5_000, 0, 0))
    site.review(A, 1_000, is_lost=is_lost)
    site.end(A, 8)
    for second in range(2, 8):
        site.review(A, second * 1_000)
    assert not any(site.row[A])
    assert site.start(B, 5, 8_000) == 5


def test_a_pool_within_the_lowered_cap_gives_up_what_it_does_not_use() -> None:
    """Guards against slack of the former cap that leaves too little to others."""
    site = StoredRow()
    assert site.start(A, 8, 0) == 8
    site.end(A, 6)
    site.change_cap(Resources(5_000, 0, 0))
    site.review(A, 1_000)
    assert site.start(B, 3, 2_000) == 1


def test_a_portion_is_claimed_for_the_tasks_that_hosts_have_room_for() -> None:
    """Guards against a cap that one pool holds for tasks that it can't place."""
    tracker, catalog = CapTracker(A), a_capped_catalog()
    tracker.apply_room([Resources(1_500, 9_000, 0), Resources(-500, 9_000, 0)])
    assert tracker.count_that_fits(catalog, TEAM, NEED, 9) == 0
    assert tracker.count_that_fits(catalog, TEAM, NEED, 9) == 0
    (request,) = tracker.claims(catalog, 0)
    slack = CAP.cpu // SLACK_DIVISOR
    assert request.want.cpu <= 1_500 + slack


def test_tasks_that_must_be_apart_claim_for_one_host_each() -> None:
    """Guards against a portion for tasks that no further host can take."""
    tracker, catalog = CapTracker(A), a_capped_catalog()
    tracker.apply_room([Resources(9_000, 9_000, 0)] * 2)
    assert tracker.count_that_fits(catalog, TEAM, NEED, 9, max_per_host=1) == 0
    (request,) = tracker.claims(catalog, 0)
    assert request.want.cpu == 2_000 + CAP.cpu // SLACK_DIVISOR


@pytest.mark.parametrize("is_gang", [True, False])
def test_a_pool_without_hosts_that_accept_runs_claims_nothing(*, is_gang: bool) -> None:
    """Guards against a pool without room that keeps a portion from others."""
    tracker, catalog = CapTracker(A), a_capped_catalog()
    tracker.apply_room([])
    assert tracker.count_that_fits(catalog, TEAM, NEED, 9, is_gang=is_gang) == 0
    assert tracker.claims(catalog, 0) == []


def test_a_gang_that_hosts_have_no_room_for_claims_nothing() -> None:
    """Guards against a portion that a gang keeps while it waits for hosts."""
    tracker, catalog = CapTracker(A), a_capped_catalog()
    tracker.apply_room([Resources(4_000, 9_000, 0)])
    assert tracker.count_that_fits(catalog, TEAM, NEED, 9, is_gang=True) == 0
    assert tracker.claims(catalog, 0) == []


def wait_for_gangs(site: StoredRow, counts: dict[PoolName, int]) -> list[PoolName]:
    """Lets pools claim for a gang each until one may start; returns who may."""
    for now_ms in range(0, 3_000, CLAIM_RETRY_MS):
        ready = [
            pool
            for pool, count in counts.items()
            if site.pools[pool].count_that_fits(
                site.catalog, TEAM, NEED, count, is_gang=True
            )
        ]
        if ready:
            return ready
        for pool in counts:
            site.review(pool, now_ms)
    return []


@pytest.mark.parametrize("first", [A, B])
def test_gangs_of_two_pools_do_not_wait_for_each_others_part_of_the_cap(
    first: PoolName,
) -> None:
    """Guards against parts of a cap that are each too small, and never returned."""
    site = StoredRow()
    site.row = {A: Resources(5_800, 2_000, 0), B: Resources(4_200, 2_000, 0)}
    for tracker in site.pools.values():
        tracker.apply_reply(PortionsRead(TEAM, dict(site.row)))
    other = B if first is A else A
    ready = wait_for_gangs(site, {first: 6, other: 6})
    assert len(ready) == 1


def test_a_gang_collects_room_that_becomes_free_in_parts() -> None:
    """Guards against a large need that small ones of another pool always overtake."""
    site = StoredRow()
    assert site.start(A, 8, 0) == 8
    gang, now_ms = site.pools[B], 1_000
    for _ in range(8):
        assert not gang.count_that_fits(site.catalog, TEAM, NEED, 6, is_gang=True)
        site.review(B, now_ms)
        site.end(A, 1)
        site.pools[A].claimed_ms.clear()
        site.review(A, now_ms)
        now_ms += CLAIM_RETRY_MS
    assert gang.count_that_fits(site.catalog, TEAM, NEED, 6, is_gang=True) == 6


def test_a_pool_whose_tasks_last_returns_its_slack() -> None:
    """Guards against slack that keeps a gang of another pool from starting for ever."""
    site = StoredRow()
    assert site.start(A, 4, 0) == 4
    for now_ms in range(0, SLACK_KEPT_MS + 2 * SHRINK_CHECK_MS, CLAIM_RETRY_MS):
        site.review(A, now_ms)
    assert site.row[A] == NEED.times(4)
    assert wait_for_gangs(site, {B: 6}) == [B]


def test_a_claim_without_a_reply_is_repeated() -> None:
    """Guards against a portion that shrank here, but not in the store."""
    site = StoredRow()
    assert site.start(A, 8, 0) == 8
    site.end(A, 8)
    site.review(A, SHRINK_CHECK_MS * 2, is_lost=True)
    assert any(site.row[A])
    site.review(A, SHRINK_CHECK_MS * 4)
    assert not any(site.row[A])
    assert site.pools[A].claims(site.catalog, SHRINK_CHECK_MS * 6) == []


def test_a_pool_claims_what_it_runs_when_a_cap_is_introduced() -> None:
    """Guards against tasks that count in no portion as they started without a cap."""
    site = StoredRow(NO_RESOURCES)
    assert site.start(A, 8, 0) == 8
    site.change_cap(CAP)
    site.review(A, 1_000)
    assert site.row[A].cpu >= 8_000
    assert site.start(B, 5, 2_000) <= 2


def test_the_reply_to_an_earlier_claim_does_not_undo_a_smaller_one() -> None:
    """Guards against use of a portion that a claim under way returns."""
    tracker, catalog = CapTracker(A), a_capped_catalog()
    tracker.count_that_fits(catalog, TEAM, NEED, 8)
    (large,) = tracker.claims(catalog, 0)
    (small,) = tracker.claims(catalog, SHRINK_CHECK_MS)
    assert small.want == NO_RESOURCES
    tracker.apply_reply(PortionsRead(TEAM, claim({}, A, large), large.number))
    assert tracker.count_that_fits(catalog, TEAM, NEED, 8) == 0


def test_no_claim_is_made_while_another_one_is_open() -> None:
    """Guards against claims that pile up while the store is slow."""
    tracker, catalog = CapTracker(A), a_capped_catalog()
    numbers = []
    for now_ms in range(0, SHRINK_CHECK_MS, CLAIM_RETRY_MS):
        tracker.count_that_fits(catalog, TEAM, NEED, 8)
        numbers += [each.number for each in tracker.claims(catalog, now_ms)]
    assert numbers == [1]
    tracker.apply_reply(ClaimFailed(TEAM, 1))
    tracker.count_that_fits(catalog, TEAM, NEED, 8)
    assert [each.number for each in tracker.claims(catalog, SHRINK_CHECK_MS)] == [2]
