"""Units that an entry holds: validity and order of grants, lowered limits."""

from __future__ import annotations

from dataclasses import replace

import pytest

from amaranthtray.domain.ids import Incarnation, Millis, Revision, TeamName, Term
from amaranthtray.domain.limits import (
    EntryUnits,
    EscrowTiming,
    GrantResult,
    UnitsGrant,
)

RED = TeamName("red")
ME = Incarnation("e1#1")
TIMING = EscrowTiming()


def granted(units: int, *, at_ms: int = 0) -> EntryUnits:
    """Returns an entry with ``units`` granted in answer to a report at ``at_ms``."""
    holding = EntryUnits(ME, TIMING)
    holding.set_limits(Revision(1), {RED: 100}, Millis(at_ms))
    holding.follow(Term(1))
    report = holding.report(Millis(at_ms))
    holding.apply(grant(units, answers=report.seq), Millis(at_ms))
    return holding


def grant(units: int, *, seq: int = 1, answers: int = 1, term: int = 1) -> UnitsGrant:
    return UnitsGrant(
        incarnation=ME,
        term=Term(term),
        seq=seq,
        answers=answers,
        ttl_ms=TIMING.entry_ttl_ms,
        revision=Revision(1),
        is_full=seq == 1,
        units={RED: units},
    )


def take(holding: EntryUnits, count: int, now_ms: int) -> int:
    return sum(holding.try_acquire(RED, Millis(now_ms)) for _ in range(count))


def test_takes_at_most_the_granted_units() -> None:
    holding = granted(2)
    assert take(holding, 5, 1) == 2
    holding.release(RED, Millis(2))
    assert take(holding, 5, 3) == 1


def test_takes_nothing_before_the_first_grant() -> None:
    assert not EntryUnits(ME, TIMING).try_acquire(RED, Millis(0))


@pytest.mark.parametrize(("waited_ms", "taken"), [(-1, 1), (0, 0), (1, 0)])
def test_a_grant_expires_after_its_ttl(waited_ms: int, taken: int) -> None:
    assert take(granted(5), 1, TIMING.entry_ttl_ms + waited_ms) == taken


def test_validity_starts_at_the_report_and_not_at_arrival() -> None:
    holding = EntryUnits(ME, TIMING)
    holding.follow(Term(1))
    holding.report(Millis(0))
    late_ms = TIMING.entry_ttl_ms + 1
    assert holding.apply(grant(5), Millis(late_ms)) is GrantResult.APPLIED
    assert take(holding, 1, late_ms) == 0


@pytest.mark.parametrize(
    ("message", "result"),
    [
        (grant(9, seq=1), GrantResult.OLD_SEQ),
        (grant(9, seq=2, term=0), GrantResult.OLD_TERM),
        (grant(9, seq=2, term=2), GrantResult.NOT_FOLLOWED),
        (grant(9, seq=2, answers=7), GrantResult.UNKNOWN_REPORT),
        (
            replace(grant(9, seq=2), incarnation=Incarnation("e1#0")),
            GrantResult.OTHER_INCARNATION,
        ),
    ],
)
def test_rejects_anything_but_the_next_grant(
    message: UnitsGrant, result: GrantResult
) -> None:
    holding = granted(2)
    assert holding.apply(message, Millis(1)) is result
    assert take(holding, 9, 1) == 2


def test_grants_of_the_old_steward_are_rejected_after_following_a_new_one() -> None:
    holding = granted(2)
    holding.follow(Term(2))
    assert holding.apply(grant(9, seq=2), Millis(1)) is GrantResult.OLD_TERM
    assert holding.report(Millis(2)).held == {RED: 2}
    assert take(holding, 9, 2) == 2


def test_tasks_keep_running_for_a_while_after_the_grant_expired() -> None:
    holding = granted(3)
    take(holding, 3, 0)
    end_ms = TIMING.entry_ttl_ms + TIMING.run_on_ms
    assert holding.renewable(RED, Millis(end_ms - 1)) == 3
    assert holding.renewable(RED, Millis(end_ms)) == 0


def test_a_run_cap_limits_renewals() -> None:
    holding = granted(3)
    take(holding, 3, 0)
    holding.apply(replace(grant(1, seq=2), run_caps={RED: 1}), Millis(1))
    assert holding.renewable(RED, Millis(2)) == 1


def test_a_lowered_limit_shrinks_units_at_once_and_stops_no_task() -> None:
    holding = granted(10)
    take(holding, 8, 0)
    holding.set_limits(Revision(2), {RED: 25}, Millis(1))
    assert holding.held(RED, Millis(1)) == 2
    assert holding.renewable(RED, Millis(1)) == 8
    assert take(holding, 1, 1) == 0


def test_a_grant_of_an_older_configuration_does_not_raise_units() -> None:
    holding = granted(10)
    holding.set_limits(Revision(2), {RED: 25}, Millis(1))
    holding.apply(grant(10, seq=2), Millis(2))
    assert holding.held(RED, Millis(2)) == 2


def test_units_granted_under_the_new_limit_are_not_shrunk_again() -> None:
    holding = granted(10)
    holding.apply(replace(grant(6, seq=2), revision=Revision(2)), Millis(1))
    holding.set_limits(Revision(2), {RED: 25}, Millis(2))
    assert holding.held(RED, Millis(2)) == 6


def test_reports_repeat_changes_until_they_are_answered() -> None:
    holding = granted(5)
    holding.apply(grant(5, seq=2, answers=holding.report(Millis(1)).seq), Millis(1))
    take(holding, 1, 2)
    assert holding.report(Millis(3)).used == {RED: 1}
    lost = holding.report(Millis(4))
    assert lost.used == {RED: 1}
    holding.apply(grant(5, seq=3, answers=lost.seq), Millis(5))
    assert holding.report(Millis(6)).used == {}


def test_demand_that_is_not_repeated_expires() -> None:
    holding = granted(0)
    holding.record_demand(RED, 4, Millis(0))
    assert holding.report(Millis(1)).waiting == {RED: 4}
    assert holding.report(Millis(10_000)).waiting == {RED: 0}


def test_a_leaving_entry_takes_no_more_units() -> None:
    holding = granted(5)
    take(holding, 2, 0)
    holding.leave()
    assert take(holding, 1, 1) == 0
    report = holding.report(Millis(1))
    assert report.is_leaving
    assert report.used == {RED: 2}
