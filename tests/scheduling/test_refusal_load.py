"""What callers get from a full pool whose entries refuse jobs that it can't serve."""

from __future__ import annotations

from scheduling.parts import TEAM
from scheduling.refusing_pool import Caller, count_worthless, play

SEEDS = (1, 2, 3)
FALSE_SHARE = 0.1
"""Refused jobs that would be in time, at most: the spread is that of nine in ten."""


def _in_time(callers: list[Caller]) -> int:
    return sum(each.lateness <= 1 for each in callers)


def test_overload_of_one_team_refuses_only_its_own_jobs_that_can_not_count() -> None:
    """Load: 12 s of 2.5 times the capacity in two priorities, most of it of one team.

    Guards against refusals of jobs that would be in time, of other teams' jobs, and
    against callers that return to a pool which is still full.
    """
    off, on = ([], []), ([], [])
    refused: list[Caller] = []
    returned: list[Caller] = []
    for seed in SEEDS:
        recorded = list(play(seed, 2.5, obeys=False).callers.values())
        obeyed = list(play(seed, 2.5).callers.values())
        for callers, sums in ((recorded, off), (obeyed, on)):
            sums[0].append(_in_time(callers))
            sums[1].append(count_worthless(callers))
        refused += [each for each in recorded if each.refusals]
        returned += [each for each in obeyed if each.refusals]
    assert refused
    assert _in_time(refused) <= FALSE_SHARE * len(refused)
    assert {each.team for each in refused + returned} == {TEAM}
    assert sum(on[0]) >= sum(off[0])
    assert sum(on[1]) <= sum(off[1])
    assert _in_time(returned) >= len(returned) / 2


def test_pool_with_room_refuses_nothing() -> None:
    """Load: 12 s of 0.8 times the capacity."""
    callers = play(1, 0.8).callers.values()
    assert not any(each.refusals for each in callers)
