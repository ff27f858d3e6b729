"""Order of teams by use per weight, at this entry and elsewhere."""

from __future__ import annotations

import pytest

from amaranthtray.domain.ids import Incarnation, Millis, PoolName, TeamName
from amaranthtray.domain.shares import FairShares, ShareSettings, UsageFrame
from amaranthtray.domain.shares._water_filling import Demand, water_level

POOL = PoolName("web")
RED, BLUE, GREEN = TeamName("red"), TeamName("blue"), TeamName("green")
PEER = Incarnation("peer")


def fair_shares(**weights: int) -> FairShares:
    shares = FairShares(Incarnation("here"))
    shares.set_weights({TeamName(name): weight for name, weight in weights.items()})
    return shares


def peer_frame(
    at_ms: int, waiting: tuple[TeamName, ...] = (), **sums: int
) -> UsageFrame:
    totals = {TeamName(name): total for name, total in sums.items()}
    return UsageFrame(PEER, Millis(at_ms), {POOL: totals}, waiting={POOL: waiting})


def fill(shares: FairShares, teams: list[TeamName], slots: int, now_ms: int) -> list:
    picked = []
    for _ in range(slots):
        team = shares.pick(POOL, teams, Millis(now_ms))
        if team is None:
            break
        shares.record_start(POOL, team, Millis(now_ms))
        picked.append(team)
    return picked


def test_no_waiting_team_gives_none() -> None:
    assert fair_shares().pick(POOL, (), Millis(0)) is None


def test_slots_taken_at_one_moment_follow_the_weights() -> None:
    picked = fill(fair_shares(red=3, blue=1), [RED, BLUE], 40, 0)
    assert picked.count(RED) == pytest.approx(30, abs=1)


def test_a_long_task_counts_while_it_runs() -> None:
    shares = fair_shares()
    shares.record_start(POOL, RED, Millis(0))
    assert shares.pick(POOL, [RED, BLUE], Millis(5_000)) == BLUE


def test_an_idle_team_accrues_no_credit() -> None:
    """A team that was idle for an hour gets its share, not the hour's unused slots."""
    shares = fair_shares(red=1, blue=1)
    fill(shares, [RED], 10, 0)
    for _ in range(10):
        shares.record_end(POOL, RED, 3_600_000)
    picked = fill(shares, [RED, BLUE], 20, 3_600_000)
    assert picked.count(BLUE) <= 12


def test_past_use_beyond_the_share_decays_soon() -> None:
    shares = fair_shares()
    fill(shares, [RED], 20, 0)
    shares.pick(POOL, [RED], Millis(60_000))
    for _ in range(20):
        shares.record_end(POOL, RED, 60_000)
    much_later_ms = 60_000 + 10 * ShareSettings().horizon_ms
    picked = fill(shares, [RED, BLUE], 20, much_later_ms)
    assert picked.count(RED) == pytest.approx(10, abs=1)


def test_use_elsewhere_counts() -> None:
    shares = fair_shares()
    shares.merge(peer_frame(0, red=0, blue=0), Millis(0))
    shares.merge(peer_frame(1_000, red=8_000), Millis(1_000))
    assert shares.pick(POOL, [RED, BLUE], Millis(1_200)) == BLUE


@pytest.mark.parametrize(
    "frames",
    [
        [(1_000, 4_000), (2_000, 8_000), (2_000, 8_000)],
        [(1_000, 4_000), (2_000, 8_000), (1_000, 4_000)],
    ],
    ids=["repeated", "late"],
)
def test_repeated_and_late_frames_change_nothing(frames: list[tuple[int, int]]) -> None:
    shares, expected = fair_shares(), fair_shares()
    for number, (at_ms, total) in enumerate([(0, 0), *frames]):
        now_ms = Millis(max(at_ms, 2_000 if number == 3 else at_ms))
        shares.merge(peer_frame(at_ms, red=total), now_ms)
        if number < 3:
            expected.merge(peer_frame(at_ms, red=total), now_ms)
    teams = [RED, BLUE]
    assert fill(shares, teams, 12, 2_100) == fill(expected, teams, 12, 2_100)


def test_the_frame_after_a_lost_one_covers_its_use() -> None:
    shares = fair_shares()
    shares.merge(peer_frame(0, red=0), Millis(0))
    shares.merge(peer_frame(2_000, red=8_000), Millis(2_000))
    assert shares._remote.slots(POOL, RED) == pytest.approx(4.0)


def test_the_first_frame_of_a_source_adds_no_use() -> None:
    shares = fair_shares()
    shares.merge(peer_frame(0, red=10**9), Millis(0))
    assert shares._remote.slots(POOL, RED) == 0


def test_a_silent_source_counts_as_idle() -> None:
    shares = fair_shares(red=1, blue=1)
    shares.set_pool_slots(POOL, 4)
    shares.merge(peer_frame(0, red=0), Millis(0))
    shares.merge(peer_frame(1_000, (BLUE,), red=4_000), Millis(1_000))
    fill(shares, [RED], 4, 1_000)
    assert shares.pick(POOL, [RED], Millis(1_100)) is None
    later_ms = 1_000 + ShareSettings().fresh_ms
    assert shares.pick(POOL, [RED], Millis(later_ms)) == RED


def test_holds_back_only_in_a_full_pool() -> None:
    shares = fair_shares(red=1, blue=1)
    shares.set_pool_slots(POOL, 10)
    shares.merge(peer_frame(0, (BLUE,)), Millis(0))
    assert len(fill(shares, [RED], 9, 0)) == 9
    shares.merge(peer_frame(5_000, (BLUE,)), Millis(5_000))
    assert shares.pick(POOL, [RED], Millis(5_000)) is None


def test_a_returning_team_makes_up_for_no_more_than_its_share() -> None:
    shares = fair_shares(red=1, blue=1, green=2)
    shares.set_pool_slots(POOL, 40)
    shares.merge(peer_frame(0, (BLUE, GREEN), blue=0), Millis(0))
    shares.merge(peer_frame(1_000, (BLUE, GREEN), blue=40_000), Millis(1_000))
    assert len(fill(shares, [RED], 40, 1_000)) <= 20


def test_sums_of_frames_grow_and_are_omitted_once_old() -> None:
    shares = fair_shares()
    shares.record_start(POOL, RED, Millis(0))
    first = shares.frame({POOL: [RED]}, Millis(1_000))
    shares.record_end(POOL, RED, 1_500)
    second = shares.frame({POOL: [RED]}, Millis(2_000))
    old_ms = 2_001 + ShareSettings().repeat_ms
    assert first.sums[POOL][RED] == 1_000
    assert second.sums[POOL][RED] == 1_500
    assert shares.frame({POOL: [RED]}, Millis(old_ms)).sums == {}


def test_frames_omit_pools_without_waiting_work() -> None:
    shares = fair_shares()
    shares.record_start(POOL, RED, Millis(0))
    assert shares.frame({}, Millis(1_000)).sums == {}


def test_use_is_averaged_since_the_pool_was_last_reported() -> None:
    shares = fair_shares()
    shares.merge(peer_frame(0, red=0), Millis(0))
    shares.merge(UsageFrame(PEER, Millis(99_000)), Millis(99_000))
    shares.merge(peer_frame(100_000, red=200_000), Millis(100_000))
    assert shares._remote.slots(POOL, RED) == pytest.approx(2.0)


def test_a_changed_weight_applies_at_once() -> None:
    shares = fair_shares(red=1, blue=1)
    fill(shares, [RED, BLUE], 10, 0)
    shares.set_weights({RED: 9, BLUE: 1})
    assert fill(shares, [RED, BLUE], 8, 0) == [RED] * 8


@pytest.mark.parametrize(
    ("slots", "demands", "level"),
    [
        (10, [Demand(1, float("inf")), Demand(1, float("inf"))], 5.0),
        (10, [Demand(3, float("inf")), Demand(1, 1.0)], 3.0),
        (10, [Demand(1, 2.0), Demand(1, 3.0)], float("inf")),
        (16, [Demand(1, 2.0), Demand(4, float("inf")), Demand(1, 9.0)], 2.8),
    ],
)
def test_water_level(slots: float, demands: list[Demand], level: float) -> None:
    assert water_level(slots, demands) == pytest.approx(level)
