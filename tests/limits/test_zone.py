"""Zone steward: ledger writes whose effect is unknown, successors, fairness."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthtray.domain.ids import (
    Incarnation,
    Millis,
    Revision,
    TeamName,
    Term,
    ZoneId,
)
from amaranthtray.domain.limits import (
    EntryHolding,
    EscrowTiming,
    FleetLedger,
    Portion,
    RecordSeen,
    RowSeen,
    TeamRow,
    UnitsReport,
    WriteFailed,
    WriteRecord,
    WriteRow,
    WriteUnknown,
    ZoneHolding,
    ZoneRecord,
    ZoneSteward,
    fair_split,
)

RED = TeamName("red")
HERE, THERE = ZoneId("z1"), ZoneId("z2")
A, B, C = Incarnation("a#1"), Incarnation("b#1"), Incarnation("c#1")
TIMING = EscrowTiming()


class FixedUnits:
    """Units of a zone that never change."""

    def __init__(self, units: int) -> None:
        self.units = units

    def usable(self, team: TeamName, now_ms: Millis) -> int:
        return self.units

    def run_cap(self, team: TeamName, now_ms: Millis) -> int | None:
        return None

    def take_changes(self, now_ms: Millis) -> set[TeamName]:
        return set()


def report(who: Incarnation, seq: int, **kwargs: int) -> UnitsReport:
    return UnitsReport(
        incarnation=who,
        seq=seq,
        term=Term(1),
        acked=kwargs.get("acked", 0),
        used={RED: kwargs.get("used", 0)},
        waiting={RED: kwargs.get("waiting", 0)},
        held={RED: kwargs["held"]} if "held" in kwargs else {},
    )


def ledger(*, units: int = 0, want_there: int = 0) -> FleetLedger:
    """Returns a ledger in office with a row in which this zone holds ``units``."""
    found = FleetLedger(HERE, A, TIMING)
    found.set_limits(Revision(1), {RED: 100})
    found.on_store(RecordSeen(THERE, ZoneRecord(epoch=1), 1), Millis(0))
    (write,) = found.take_over((), Millis(0))
    assert isinstance(write, WriteRecord)
    found.on_store(RecordSeen(HERE, write.record, 1), Millis(1))
    there = Portion(1, 0, 0, want_there, 100)
    row = TeamRow(100, Revision(1), 0, {HERE: Portion(1, units, 0, units, 100)})
    found.on_store(RowSeen(RED, row.with_portion(THERE, there), 1), Millis(1))
    return found


def claim(found: FleetLedger, need: int, now_ms: int = 2) -> WriteRow:
    write = found.review(RED, need, 0, Millis(now_ms))
    assert write is not None
    return write


def test_a_claim_counts_only_when_the_store_confirms_it() -> None:
    found = ledger(units=10)
    write = claim(found, 40)
    assert found.usable(RED, Millis(2)) == 10
    found.on_store(RowSeen(RED, write.row, 2), Millis(3))
    assert found.usable(RED, Millis(3)) >= 40


def test_a_return_counts_from_the_moment_it_is_sent() -> None:
    found = ledger(units=80, want_there=60)
    write = claim(found, 10)
    found.on_store(WriteUnknown(write), Millis(3))
    assert found.usable(RED, Millis(3)) <= 50


def test_a_lost_return_stays_gone_although_more_is_needed_again() -> None:
    """The first write may still land, so the units may not be used meanwhile."""
    found = ledger(units=80, want_there=60)
    returned = claim(found, 10)
    found.on_store(WriteUnknown(returned), Millis(3))
    found.review(RED, 80, 0, Millis(3 + TIMING.retry_ms))
    most = returned.row.portions[HERE].units
    assert found.usable(RED, Millis(4 + TIMING.retry_ms)) <= most


def test_a_write_that_surely_failed_leaves_things_as_they_were() -> None:
    found = ledger(units=10)
    found.on_store(WriteFailed(claim(found, 40)), Millis(3))
    assert found.usable(RED, Millis(3)) == 10


def test_lent_units_end_with_the_renewal_and_firm_ones_do_not() -> None:
    found = ledger(units=10)
    write = claim(found, 90)
    found.on_store(RowSeen(RED, write.row, 2), Millis(3))
    late_ms = Millis(TIMING.zone_ttl_ms)
    assert found.usable(RED, Millis(late_ms - 1)) == write.row.portions[HERE].units
    assert found.usable(RED, late_ms) == write.row.portions[HERE].firm == 50


def test_a_silent_zone_is_fenced_only_after_the_whole_wait() -> None:
    found = ledger()
    lent = Portion(1, 0, 60, 60, 100)
    row = TeamRow(100, Revision(1), 0, {THERE: lent})
    found.on_store(RowSeen(RED, row, 2), Millis(2))
    assert not found.fence_silent(Millis(TIMING.zone_reclaim_ms - 1))
    later_ms = TIMING.zone_reclaim_ms + TIMING.retry_ms
    (fence,) = found.fence_silent(Millis(later_ms))
    assert isinstance(fence, WriteRecord)
    assert fence.record.fenced == 1
    assert claim(found, 90, later_ms).row.portions[HERE].units == 40
    found.on_store(RecordSeen(THERE, fence.record, 2), Millis(later_ms))
    later_ms += TIMING.retry_ms
    assert claim(found, 90, later_ms).row.portions[HERE].units >= 90


def test_a_takeover_that_failed_is_asked_for_again_while_the_duty_is_held() -> None:
    steward = ZoneSteward(HERE, A, TIMING)
    steward.lease_until_ms = Millis(10_000)
    (first,) = steward.take_over(Millis(0))
    assert isinstance(first, WriteRecord)
    steward.on_store(WriteFailed(first), Millis(1))
    assert not steward.tick(Millis(TIMING.retry_ms - 1))
    (again,) = steward.tick(Millis(TIMING.retry_ms))
    assert isinstance(again, WriteRecord)
    steward.on_store(RecordSeen(HERE, again.record, 1), Millis(TIMING.retry_ms))
    assert steward.is_ready
    other = ZoneSteward(HERE, B, TIMING)
    other.take_over(Millis(0))
    assert not other.tick(Millis(10_000))


def test_units_of_a_silent_entry_are_free_after_its_grant_and_tasks_ran_out() -> None:
    holding = ZoneHolding(TIMING, term=Term(1))
    zone = FixedUnits(10)
    holding.on_report(report(A, 1, waiting=10), zone, Millis(0))
    assert holding.charged(RED, Millis(0)) == 10
    reclaim_ms = TIMING.entry_reclaim_ms
    own = TIMING.entry_ttl_ms + TIMING.run_on_ms + 2 * TIMING.task_lease_ms
    assert reclaim_ms > own + TIMING.call_ms
    holding.on_report(report(B, 1, waiting=10), zone, Millis(reclaim_ms - 1))
    assert holding.charged(RED, Millis(reclaim_ms - 1)) == 10
    assert holding.stranded(RED, Millis(reclaim_ms - 1)) == 10
    again = holding.on_report(report(B, 2, waiting=10), zone, Millis(reclaim_ms))
    assert again is not None
    assert again.units == {RED: 10}


def test_a_lost_grant_stays_charged_until_a_later_one_is_acknowledged() -> None:
    holding = ZoneHolding(TIMING, term=Term(1))
    zone = FixedUnits(10)
    holding.on_report(report(A, 1, waiting=10), zone, Millis(0))
    zone.units = 4
    holding.mark([RED])
    lower = holding.on_report(report(A, 2, waiting=10), zone, Millis(1))
    assert lower is not None
    assert lower.units == {RED: 4}
    assert holding.charged(RED, Millis(1)) == 10
    holding.on_report(report(A, 3, acked=lower.seq), zone, Millis(2))
    assert holding.charged(RED, Millis(2)) == 4


def test_a_successor_waits_for_entries_that_may_still_follow_the_old_steward() -> None:
    holding = ZoneHolding(TIMING, term=Term(1))
    holding.set_predecessors(((A, B, C),), Millis(0))
    holding.inherit(RED, 10, Millis(0))
    holding.on_report(report(C, 1, held=3), FixedUnits(10), Millis(1))
    long_ms = 100 * TIMING.predecessor_ms
    assert holding.charged(RED, Millis(long_ms)) >= 7
    holding.note_gone(A, Millis(long_ms))
    soon_ms = long_ms + TIMING.predecessor_ms
    assert holding.charged(RED, Millis(soon_ms - 1)) >= 7
    holding.expire(Millis(soon_ms))
    assert holding.charged(RED, Millis(soon_ms)) == 0


def test_nothing_starts_beside_tasks_that_run_past_a_lowered_limit() -> None:
    holding = ZoneHolding(TIMING, term=Term(1))
    zone = FixedUnits(10)
    first, second = EntryHolding(A, TIMING), EntryHolding(B, TIMING)

    def exchange(rounds: int) -> None:
        for _ in range(rounds):
            holding.mark([RED])
            for entry in (first, second):
                entry.follow(Term(1))
                entry.record_demand(RED, 5, Millis(0))
                answer = holding.on_report(entry.report(Millis(0)), zone, Millis(0))
                assert answer is not None
                entry.apply(answer, Millis(0))

    exchange(4)
    assert [first.try_acquire(RED, Millis(0)) for _ in range(5)] == [True] * 5
    assert second.try_acquire(RED, Millis(0))
    zone.units = 4
    exchange(6)
    second.release(RED, Millis(0))
    assert not second.try_acquire(RED, Millis(0))
    for _ in range(5):
        first.release(RED, Millis(0))
    exchange(6)
    assert second.try_acquire(RED, Millis(0))


def test_a_leaving_entry_keeps_only_what_it_uses() -> None:
    holding = ZoneHolding(TIMING, term=Term(1))
    zone = FixedUnits(10)
    holding.on_report(report(A, 1, waiting=10), zone, Millis(0))
    leaving = UnitsReport(A, 2, Term(1), 1, {RED: 3}, {RED: 0}, is_leaving=True)
    holding.on_report(leaving, zone, Millis(1))
    assert holding.charged(RED, Millis(1)) == 3


@pytest.mark.parametrize("turn", range(4))
def test_a_limit_smaller_than_the_claimants_goes_round(turn: int) -> None:
    wants = {HERE: 5, THERE: 5, ZoneId("z3"): 5, ZoneId("z4"): 0}
    parts = fair_split(1, wants, turn=turn)
    assert sum(parts.values()) == 1
    assert parts[sorted(wants)[turn % 3]] == 1


@given(
    total=st.integers(-2, 200),
    wants=st.dictionaries(st.text(max_size=3), st.integers(0, 60), max_size=12),
    turn=st.integers(0, 30),
)
def test_fair_split_gives_no_more_than_there_is_nor_than_is_wanted(
    total: int, wants: dict[str, int], turn: int
) -> None:
    parts = fair_split(total, wants, turn=turn)
    assert sum(parts.values()) == max(0, min(total, sum(wants.values())))
    assert all(0 <= parts[name] <= wants[name] for name in wants)
    hungry = [parts[name] for name in wants if parts[name] < wants[name]]
    assert all(part <= min(hungry, default=part) + 1 for part in hungry)
