"""A team's share is counted once over all pools, on rates that pools exchange."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest

from amaranthtray.domain.ids import HostId, PoolName, TeamName
from amaranthtray.domain.jobs.catalog import JobPool
from amaranthtray.domain.jobs.job import Job, JobState
from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from amaranthtray.domain.scheduling.pool import PoolScheduler
from amaranthtray.domain.scheduling.share_portions import (
    ITEM_LIFETIME_MS,
    MAX_ROW_BYTES,
    ClaimShare,
    ShareItem,
    SharePortionChanged,
    SharePortions,
    ShareRow,
    ShareRowsRead,
    claim_share,
    encode_row,
)
from amaranthtray.domain.scheduling.shares import ShareMeter
from amaranthtray.domain.scheduling.team_service import TeamService, WorstTeams
from scheduling.load import (
    SLOWDOWN,
    STORE_MS,
    TARGET_MS,
    TICK_MS,
    LoadedPool,
    Submitted,
    Timeline,
)
from scheduling.parts import a_catalog, a_job, a_step

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.messages import Effect

RED = TeamName("red")
POOLS = tuple(PoolName(f"p{number}") for number in range(4))
A, B, C, D = POOLS
WEIGHT = 20
OTHERS = {pool: TeamName(f"usual-{pool}") for pool in POOLS}
WEIGHTS = {RED: WEIGHT, **dict.fromkeys(OTHERS.values(), 15)}
CATALOG = replace(
    a_catalog(weights=WEIGHTS, slowdown_factor=SLOWDOWN, target_ms=TARGET_MS),
    pools={name: JobPool(name=name) for name in POOLS},
)
FLOOD_MS, END_MS = 12_000, 16_000


@dataclass
class SharingPool(LoadedPool):
    """A pool whose tasks take one core for a second, beside others that share rows."""

    name: PoolName = A
    rows: dict[TeamName, ShareRow] = field(default_factory=dict)
    claims: list[ClaimShare] = field(default_factory=list)
    reports: list[SharePortionChanged | WorstTeams] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.scheduler = PoolScheduler(self.name, CATALOG, 0, policy=self.policy)
        self.add_hosts(*(HostId(f"h{number}") for number in range(4)))

    def submit_as(self, team: TeamName, from_ms: int, until_ms: int, rate: int) -> None:
        """Schedules a team's submissions."""
        for at_ms in range(from_ms, until_ms, 1_000 // rate):
            spec = replace(
                a_job(a_step(), name=f"{team}-{at_ms}", team=team), accepted_ms=at_ms
            )
            spec = replace(spec, steps=(replace(spec.steps[0], estimated_ms=1_000),))
            job = Submitted(spec, at_ms, (1_000,))
            self.time.after(at_ms, lambda job=job: self._submit(job))

    def _apply(self, effects: list[Effect]) -> None:
        super()._apply(effects)
        for each in effects:
            if isinstance(each, ClaimShare):
                self.claims.append(each)
                self.time.after(STORE_MS, lambda each=each: self._exchange(each))
            elif isinstance(each, SharePortionChanged | WorstTeams):
                self.reports.append(each)

    def _exchange(self, request: ClaimShare) -> None:
        old = self.rows.get(request.team, {})
        row = claim_share(old, self.name, request, self.time.now_ms) or old
        self.rows[request.team] = row
        self._send(ShareRowsRead({request.team: dict(row)}))


def play(*, is_on: bool) -> list[SharingPool]:
    """Plays a flood of 5 times red's weight on four pools, each full with 20 jobs/s."""
    time, rows = Timeline(), {}
    policy, room = SchedulingPolicy(share_over_pools=is_on), Resources(5_000, 20_000, 0)
    pools = [
        SharingPool(time, 1, policy=policy, capacity=room, name=name, rows=rows)
        for name in POOLS
    ]
    for pool in pools:
        pool.submit_as(OTHERS[pool.name], 0, FLOOD_MS, 12)
        pool.submit_as(RED, 1_000, FLOOD_MS, 5 * WEIGHT // len(POOLS))
    for at_ms in range(TICK_MS, END_MS, TICK_MS):
        time.advance(at_ms)
        for pool in pools:
            pool.plan()
    return pools


def in_time(pools: list[SharingPool], *, of_red: bool) -> float:
    """Returns the share of jobs in time, of red or of the other teams."""
    jobs = [job for pool in pools for job in pool.jobs.values()]
    chosen = [job for job in jobs if (job.spec.team == RED) == of_red]
    return sum(job.lateness <= 1 for job in chosen) / len(chosen)


def test_a_flood_of_four_pools_leaves_teams_within_their_weight_in_time() -> None:
    """Guards against four weights of one team being counted as within its share."""
    off, on = play(is_on=False), play(is_on=True)
    assert in_time(off, of_red=False) < 0.6
    assert in_time(on, of_red=False) > 0.85
    assert not any(pool.claims or pool.reports for pool in off)
    for pool in on:
        reports = [each for each in pool.reports if isinstance(each, WorstTeams)]
        assert [each.compared for each in reports] == [2]
        changes = [each for each in pool.reports if each not in reports]
        assert {each.team for each in changes} == {RED}
        sent_ms = [each.measured_ms for each in pool.claims if each.team == RED]
        assert min(b - a for a, b in pairwise(sent_ms)) >= 1_000


class Exchange:
    """Portions and meters of the pools, on a row that is read without a delay."""

    def __init__(self) -> None:
        self.row: ShareRow = {}
        self.portions = {name: SharePortions(name) for name in POOLS}
        self.meters = {name: ShareMeter() for name in POOLS}
        self.now_ms = 0
        self.is_away = False

    def submit(self, pool: PoolName) -> None:
        """Submits a job of red."""
        now_ms = self.now_ms
        spec = replace(a_job(name=f"{pool}-{now_ms}", team=RED), accepted_ms=now_ms)
        portion = self.portions[pool].record_submission(spec, CATALOG, now_ms, now_ms)
        self.meters[pool].record_submission(spec, CATALOG, now_ms, portion)
        for name, each in self.portions.items():
            for effect in each.review(CATALOG, now_ms, now_ms):
                if isinstance(effect, ClaimShare) and not self.is_away:
                    self.row = claim_share(self.row, name, effect, now_ms) or self.row
                    each.apply_rows(ShareRowsRead({RED: dict(self.row)}), now_ms)

    def submit_evenly(self, until_ms: int, rate: int, *pools: PoolName) -> None:
        """Submits jobs of red, ``rate`` a second to each pool."""
        while self.now_ms < until_ms:
            self.now_ms += 1_000 // rate
            for pool in pools:
                self.submit(pool)

    def portion(self, pool: PoolName, wall_ms: int | None = None) -> float:
        """Returns red's portion in a pool."""
        wall_ms = self.now_ms if wall_ms is None else wall_ms
        return self.portions[pool].portion(RED, CATALOG, self.now_ms, wall_ms).rate


@pytest.mark.parametrize("stay_ms", [200, 1_000, 2_500, 4_000, 6_000, 11_000])
def test_a_team_within_its_weight_that_changes_pools_is_never_excess(
    stay_ms: int,
) -> None:
    """Guards against portions that follow the rates of a team too late."""
    site, rng = Exchange(), random.Random(stay_ms)
    pool, until_ms = A, 0
    for _ in range(60 * WEIGHT):
        site.now_ms += 1_000 // WEIGHT
        if site.now_ms >= until_ms:
            pool, until_ms = rng.choice(POOLS), site.now_ms + stay_ms
        site.submit(pool)
    assert not any(meter.excess for meter in site.meters.values())


def test_portions_follow_the_rates_and_add_up_to_the_weight() -> None:
    site = Exchange()
    site.submit_evenly(12_000, 25, A, A, A, B)
    assert site.portion(A) == pytest.approx(0.75 * WEIGHT, rel=0.05)
    assert site.portion(B) == pytest.approx(0.25 * WEIGHT, rel=0.05)
    site.submit_evenly(12_000 + 5_000 + ITEM_LIFETIME_MS + 1_000, 50, C)
    assert site.portion(C) == WEIGHT


def test_without_the_store_portions_hold_for_ten_seconds() -> None:
    """Guards against old rates that limit a team for as long as the store is away."""
    site = Exchange()
    site.submit_evenly(8_000, 25, *POOLS)
    site.is_away, lost_ms = True, site.now_ms
    site.submit_evenly(lost_ms + 3_000, 25, *POOLS)
    assert site.portion(A) == pytest.approx(WEIGHT / 4, rel=0.05)
    site.submit_evenly(lost_ms + ITEM_LIFETIME_MS + 1_000, 25, *POOLS)
    assert site.portion(A) == WEIGHT


def test_a_replaced_conductor_uses_the_rows_and_counts_afresh() -> None:
    """Guards against a backlog that is found at once and taken for a flood."""
    site = Exchange()
    site.submit_evenly(8_000, 25, *POOLS)
    site.portions[A] = SharePortions(A)
    site.portions[A].apply_rows(ShareRowsRead({RED: site.row}), site.now_ms)
    for accepted_ms in range(0, 3_000, 10):
        spec = replace(a_job(name="old", team=RED), accepted_ms=accepted_ms)
        site.portions[A].record_submission(spec, CATALOG, site.now_ms, site.now_ms)
    assert site.portion(A) == 0
    site.submit_evenly(14_000, 25, *POOLS)
    assert site.portion(A) == pytest.approx(WEIGHT / 4, rel=0.05)


@pytest.mark.parametrize("step_ms", [-8_000, 60_000])
def test_rates_of_another_time_count_as_absent(step_ms: int) -> None:
    """Guards against a clock step that lets old rates, or future ones, limit a team."""
    site = Exchange()
    site.submit_evenly(8_000, 25, *POOLS)
    assert site.portion(A) < WEIGHT
    site.portions[A]._arrivals[RED].slots.clear()
    assert site.portion(A, site.now_ms + step_ms) == WEIGHT


def test_a_removed_pool_no_longer_counts_and_leaves_the_row() -> None:
    site = Exchange()
    site.submit_evenly(8_000, 25, A, B)
    before = site.portion(A)
    kept = replace(CATALOG, pools={A: JobPool(name=A)})
    after = site.portions[A].portion(RED, kept, site.now_ms, site.now_ms).rate
    assert after > before
    later_ms = site.now_ms + 4_000
    request = ClaimShare(RED, 25.0, later_ms, frozenset(kept.pools))
    assert set(claim_share(site.row, A, request, later_ms) or {}) == {A}


@pytest.mark.parametrize(
    ("rate", "age_ms", "is_written"),
    [
        (12.4, 2_000, False),
        (12.6, 2_000, True),
        (7.4, 2_000, True),
        (90.0, 900, False),
        (10.0, 4_000, True),
        (10.0, -1, True),
    ],
)
def test_a_rate_is_written_only_if_it_changed_or_grows_old(
    rate: float, age_ms: int, *, is_written: bool
) -> None:
    """Guards against more writes than the store accepts from all pools and teams."""
    request = ClaimShare(RED, rate, 20_000, frozenset(POOLS))
    row = {A: ShareItem(10.0, 20_000 - age_ms)}
    assert (claim_share(row, A, request, 20_000) is not None) == is_written


def test_a_small_rate_is_not_claimed() -> None:
    site = Exchange()
    site.submit_evenly(8_000, 2, A)
    assert not site.row


def test_a_row_of_many_pools_stays_small_and_keeps_the_largest_rates() -> None:
    names = [PoolName(f"{number:03}" + 60 * "x") for number in range(100)]
    row = {name: ShareItem(float(n), 1_000) for n, name in enumerate(names)}
    request = ClaimShare(RED, 50.0, 1_000, frozenset((*names, A)))
    claimed = claim_share(row, A, request, 1_000)
    assert claimed is not None
    assert len(encode_row(claimed)) <= MAX_ROW_BYTES
    assert names[-1] in claimed
    assert names[0] not in claimed


def test_the_worst_tenth_is_of_teams_with_enough_jobs() -> None:
    """Guards against reports of teams with one late job, or of ends long ago."""
    service = TeamService()
    for number in range(20):
        for end in range(5 if number else 4):
            spec: JobSpec = a_job(name=f"j{number}-{end}", team=f"t{number:02}")
            job = Job(replace(spec, id=JobId(spec.id)))
            is_done = end < number
            job.state = JobState.COMPLETED if is_done else JobState.FAILED
            service.record_end(job, 1_000, 0)
    assert not service.report(9_000)
    (report,) = service.report(9_000 + 10_000)
    assert [each.team for each in report.teams] == ["t01", "t02"]
    assert (report.compared, report.share) == (19, 0.3)
    assert not service.report(40_000)
