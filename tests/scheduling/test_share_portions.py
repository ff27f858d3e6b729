"""A team's share is counted once over all pools, on rates that pools exchange."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import Any, TypeAlias

import pytest

from amaranthtray.domain.ids import HostId, PoolName, TeamName
from amaranthtray.domain.jobs.catalog import JobPool
from amaranthtray.domain.jobs.job import Job, JobState
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.scheduling import share_portions as sp
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from amaranthtray.domain.scheduling.pool import PoolScheduler
from amaranthtray.domain.scheduling.shares import ShareMeter
from amaranthtray.domain.scheduling.team_service import TeamService, WorstTeams
from scheduling import load
from scheduling.parts import a_catalog, a_job, a_step

RED = TeamName("red")
Pools: TypeAlias = tuple[PoolName, ...]
POOLS: Pools = tuple(PoolName(f"p{number}") for number in range(4))
A, B, C, D = POOLS
WEIGHT = 20
OTHERS = {pool: TeamName(f"usual-{pool}") for pool in POOLS}
CATALOG = replace(
    a_catalog(
        weights={RED: WEIGHT, **dict.fromkeys(OTHERS.values(), 15)},
        slowdown_factor=load.SLOWDOWN,
        target_ms=load.TARGET_MS,
    ),
    pools={name: JobPool(name=name) for name in POOLS},
)
SWITCH = SchedulingPolicy(share_over_pools=True)


@dataclass
class SharingPool(load.LoadedPool):
    """A pool for 20 jobs of a second at once, beside others that share rows."""

    name: PoolName = A
    rows: dict[TeamName, sp.ShareRow] = field(default_factory=dict)
    seen: list[object] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.scheduler = PoolScheduler(self.name, CATALOG, 0, policy=self.policy)
        self.add_hosts(*(HostId(f"h{number}") for number in range(4)))

    def submit_as(self, team: TeamName, from_ms: int, rate: int) -> None:
        """Schedules a team's submissions."""
        step = replace(a_step(), estimated_ms=1_000)
        for at_ms in range(from_ms, 12_000, 1_000 // rate):
            spec = a_job(step, name=f"{team}-{at_ms}", team=team)
            job = load.Submitted(replace(spec, accepted_ms=at_ms), at_ms, (1_000,))
            self.time.after(at_ms, lambda job=job: self._submit(job))

    def _apply(self, effects: list[Any]) -> None:
        super()._apply(effects)
        kinds = sp.ClaimShare, sp.SharePortionChanged, WorstTeams
        self.seen += [each for each in effects if isinstance(each, kinds)]
        for each in effects:
            if isinstance(each, sp.ClaimShare):
                self.time.after(load.STORE_MS, lambda each=each: self._exchange(each))

    def _exchange(self, request: sp.ClaimShare) -> None:
        old = self.rows.get(request.team, {})
        row = sp.claim_share(old, self.name, request, self.time.now_ms) or old
        self.rows[request.team] = row
        self._send(sp.ShareRowsRead({request.team: dict(row)}))


def play(policy: SchedulingPolicy) -> tuple[list[SharingPool], float]:
    """Plays a flood of 5 times red's weight; returns the others' share in time."""
    time, rows, room = load.Timeline(), {}, Resources(5_000, 20_000, 0)
    pools = [
        SharingPool(time, 1, policy=policy, capacity=room, name=name, rows=rows)
        for name in POOLS
    ]
    for pool in pools:
        pool.submit_as(OTHERS[pool.name], 0, 12)
        pool.submit_as(RED, 1_000, 5 * WEIGHT // len(POOLS))
    for at_ms in range(load.TICK_MS, 16_000, load.TICK_MS):
        time.advance(at_ms)
        for pool in pools:
            pool.plan()
    jobs = [job for pool in pools for job in pool.jobs.values() if job.spec.team != RED]
    return pools, sum(job.lateness <= 1 for job in jobs) / len(jobs)


def test_a_flood_of_four_pools_leaves_teams_within_their_weight_in_time() -> None:
    """Guards against four weights of one team being counted as within its share."""
    (off, in_time_off), (on, in_time_on) = play(SchedulingPolicy()), play(SWITCH)
    assert not any(pool.seen for pool in off)
    assert in_time_off < 0.6 < 0.85 < in_time_on
    for pool in on:
        claims = [each for each in pool.seen if isinstance(each, sp.ClaimShare)]
        sent_ms = [each.measured_ms for each in claims if each.team == RED]
        assert min(b - a for a, b in pairwise(sent_ms)) >= 1_000
        rest = [each for each in pool.seen if each not in claims]
        assert [each.compared for each in rest if isinstance(each, WorstTeams)] == [2]
        assert {each.team for each in rest if not isinstance(each, WorstTeams)} == {RED}


class Exchange:
    """Portions and meters of the pools, on a row that is read without a delay."""

    def __init__(self) -> None:
        self.row: sp.ShareRow = {}
        self.portions = {name: sp.SharePortions(name) for name in POOLS}
        self.meters = {name: ShareMeter() for name in POOLS}
        self.now_ms = 0
        self.is_away = False

    def submit(self, pool: PoolName, accepted_ms: int | None = None) -> None:
        """Submits a job of red."""
        now_ms = self.now_ms
        at_ms = now_ms if accepted_ms is None else accepted_ms
        spec = replace(a_job(name=f"{pool}-{at_ms}", team=RED), accepted_ms=at_ms)
        portion = self.portions[pool].record_submission(spec, CATALOG, now_ms, now_ms)
        self.meters[pool].record_submission(spec, CATALOG, now_ms, portion)
        for name, each in self.portions.items():
            for effect in each.review(CATALOG, now_ms, now_ms):
                if isinstance(effect, sp.ClaimShare) and not self.is_away:
                    row = sp.claim_share(self.row, name, effect, now_ms)
                    self.row = row or self.row
                    each.apply_rows(sp.ShareRowsRead({RED: dict(self.row)}), now_ms)

    def flood(self, until_ms: int, rate: int = 25, pools: Pools = POOLS) -> None:
        """Submits jobs of red, ``rate`` a second to each pool."""
        while self.now_ms < until_ms:
            self.now_ms += 1_000 // rate
            for pool in pools:
                self.submit(pool)

    def portion(
        self, pool: PoolName, step_ms: int = 0, catalog: object = CATALOG
    ) -> float:
        """Returns red's portion in a pool after a step of the wall clock."""
        wall_ms = self.now_ms + step_ms
        return self.portions[pool].portion(RED, catalog, self.now_ms, wall_ms).rate


@pytest.fixture
def site() -> Exchange:
    """Returns pools that have received a flood for 8 s."""
    flooded = Exchange()
    flooded.flood(8_000)
    assert flooded.portion(A) == pytest.approx(WEIGHT / 4, rel=0.05)
    return flooded


@pytest.mark.parametrize("stay_ms", [200, 1_000, 2_500, 4_000, 6_000, 11_000])
def test_a_team_within_its_weight_that_changes_pools_is_never_excess(
    stay_ms: int,
) -> None:
    """Guards against portions that follow the rates of a team too late."""
    site, rng, pool, until_ms = Exchange(), random.Random(stay_ms), A, 0
    for _ in range(60 * WEIGHT):
        site.now_ms += 1_000 // WEIGHT
        if site.now_ms >= until_ms:
            pool, until_ms = rng.choice(POOLS), site.now_ms + stay_ms
        site.submit(pool)
    assert not any(meter.excess for meter in site.meters.values())


def test_portions_follow_the_rates_and_add_up_to_the_weight() -> None:
    site = Exchange()
    site.flood(12_000, pools=(A, A, A, B))
    assert site.portion(A) == pytest.approx(0.75 * WEIGHT, rel=0.05)
    assert site.portion(B) == pytest.approx(0.25 * WEIGHT, rel=0.05)
    site.flood(12_000 + 5_000 + sp.ITEM_LIFETIME_MS + 1_000, 50, (C,))
    assert site.portion(C) == WEIGHT
    site.flood(site.now_ms + 6_000, 2, (D,))
    assert set(site.row) == {C}  # a rate below half of an equal part is not written


def test_without_the_store_portions_hold_for_ten_seconds(site: Exchange) -> None:
    """Guards against old rates that limit a team for as long as the store is away."""
    site.is_away = True
    site.flood(11_000)
    assert site.portion(A) == pytest.approx(WEIGHT / 4, rel=0.05)
    site.flood(8_000 + sp.ITEM_LIFETIME_MS + 1_000)
    assert site.portion(A) == WEIGHT
    assert site.portion(A, 8_000 - site.now_ms) == WEIGHT  # a step back to the reading


def test_a_replaced_conductor_reads_the_rows_and_counts_afresh(site: Exchange) -> None:
    """Guards against a backlog that is found at once and taken for a flood."""
    site.portions[A] = sp.SharePortions(A)
    site.portions[A].apply_rows(sp.ShareRowsRead({RED: site.row}), site.now_ms)
    for accepted_ms in range(0, 2_900, 10):
        site.submit(A, accepted_ms)
    assert site.portion(A) == 0
    site.flood(14_000)
    assert site.portion(A) == pytest.approx(WEIGHT / 4, rel=0.05)


@pytest.mark.parametrize("step_ms", [-8_000, 60_000])
def test_rates_of_another_time_count_as_absent(site: Exchange, step_ms: int) -> None:
    """Guards against a clock step that lets old rates, or future ones, limit a team."""
    site.portions[A]._arrivals.clear()
    assert site.portion(A) < WEIGHT == site.portion(A, step_ms)


def test_a_removed_pool_no_longer_counts_and_leaves_the_row(site: Exchange) -> None:
    kept = replace(CATALOG, pools={A: JobPool(name=A)})
    assert site.portion(A) < site.portion(A, catalog=kept)
    request = sp.ClaimShare(RED, 25.0, 12_000, frozenset(kept.pools))
    assert set(sp.claim_share(site.row, A, request, 12_000) or {}) == {A}


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
    request = sp.ClaimShare(RED, rate, 20_000, frozenset(POOLS))
    row = {A: sp.ShareItem(10.0, 20_000 - age_ms)}
    assert (sp.claim_share(row, A, request, 20_000) is not None) == is_written


def test_a_row_of_many_pools_stays_small_and_keeps_the_largest_rates() -> None:
    names = [PoolName(f"{number:03}" + 60 * "x") for number in range(100)]
    row = {name: sp.ShareItem(float(n), 1_000) for n, name in enumerate(names)}
    request = sp.ClaimShare(RED, 50.0, 1_000, frozenset((*names, A)))
    claimed = sp.claim_share(row, A, request, 1_000) or {}
    assert len(sp.encode_row(claimed)) <= sp.MAX_ROW_BYTES
    assert names[-1] in claimed.keys() - {names[0]}


def test_the_worst_tenth_is_of_teams_with_enough_jobs() -> None:
    """Guards against reports of teams with one late job, or of ends long ago."""
    service = TeamService()
    for number in range(20):
        for end in range(5 if number else 4):
            job = Job(a_job(name=f"j{number}-{end}", team=f"t{number:02}"))
            job.state = JobState.COMPLETED if end < number else JobState.FAILED
            service.record_end(job, 1_000, 0)
    assert not service.report(9_000)
    (report,) = service.report(9_000 + 10_000)
    assert [each.team for each in report.teams] == ["t01", "t02"]
    assert (report.compared, report.share) == (19, 0.3)
    assert not service.report(40_000)
