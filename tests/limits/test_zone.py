"""Zone steward: ledger writes with unknown outcome, takeover, fair allocation."""

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
    EntryUnits,
    EscrowTiming,
    FleetLedger,
    Portion,
    RecordSeen,
    RowSeen,
    TeamRow,
    UnitsReport,
    WriteFailed,
    WriteOutcomeUnknown,
    WriteRecord,
    WriteRow,
    ZoneAllocator,
    ZoneRecord,
    ZoneSteward,
    fair_split,
)

RED = TeamName("red")
HERE, THERE = ZoneId("z1"), ZoneId("z2")
A, B, C = Incarnation("a#1"), Incarnation("b#1"), Incarnation("c#1")
TIMING = EscrowTiming()


class FixedUnits:
    """A ``ZoneUnits`` with the same number of units for every team."""

    def __init__(self, units: int) -> None:
        self.units = units

    def usable(self, team: TeamName, now_ms: Millis) -> int:
        return self.units

    def run_cap(self, team: TeamName, now_ms: Millis) -> int | None:
        return None

    def pop_changes(self, now_ms: Millis) -> set[TeamName]:
        return set()


def report(who: Incarnation, seq: int, **counts: int) -> UnitsReport:
    return UnitsReport(
        incarnation=who,
        seq=seq,
        term=Term(1),
        acked=counts.get("acked", 0),
        used={RED: counts.get("used", 0)},
        waiting={RED: counts.get("waiting", 0)},
        held={RED: counts["held"]} if "held" in counts else {},
    )


def ledger(*, units: int = 0, demand_there: int = 0) -> FleetLedger:
    """Returns a ledger with an epoch and a row in which this zone holds ``units``."""
    fleet_ledger = FleetLedger(HERE, A, TIMING)
    fleet_ledger.set_limits(Revision(1), {RED: 100})
    fleet_ledger.on_store(RecordSeen(THERE, ZoneRecord(epoch=1), 1), Millis(0))
    (write,) = fleet_ledger.take_over((), Millis(0))
    assert isinstance(write, WriteRecord)
    fleet_ledger.on_store(RecordSeen(HERE, write.record, 1), Millis(1))
    there = Portion(1, 0, 0, demand_there, 100)
    row = TeamRow(100, Revision(1), 0, {HERE: Portion(1, units, 0, units, 100)})
    fleet_ledger.on_store(RowSeen(RED, row.with_portion(THERE, there), 1), Millis(1))
    return fleet_ledger


def acquire(fleet_ledger: FleetLedger, need: int, now_ms: int = 2) -> WriteRow:
    write = fleet_ledger.review(RED, need, 0, Millis(now_ms))
    assert write is not None
    return write


def test_acquired_units_count_only_when_the_store_confirms_the_write() -> None:
    fleet_ledger = ledger(units=10)
    write = acquire(fleet_ledger, 40)
    assert fleet_ledger.usable(RED, Millis(2)) == 10
    fleet_ledger.on_store(RowSeen(RED, write.row, 2), Millis(3))
    assert fleet_ledger.usable(RED, Millis(3)) >= 40


def test_returned_units_do_not_count_once_the_write_is_sent() -> None:
    fleet_ledger = ledger(units=80, demand_there=60)
    write = acquire(fleet_ledger, 10)
    fleet_ledger.on_store(WriteOutcomeUnknown(write), Millis(3))
    assert fleet_ledger.usable(RED, Millis(3)) <= 50


def test_units_of_an_unconfirmed_return_are_not_used_again() -> None:
    """The first write may still take effect, so its units must not be used."""
    fleet_ledger = ledger(units=80, demand_there=60)
    returned = acquire(fleet_ledger, 10)
    fleet_ledger.on_store(WriteOutcomeUnknown(returned), Millis(3))
    fleet_ledger.review(RED, 80, 0, Millis(3 + TIMING.retry_ms))
    max_units = returned.row.portions[HERE].units
    assert fleet_ledger.usable(RED, Millis(4 + TIMING.retry_ms)) <= max_units


def test_a_write_that_certainly_failed_changes_nothing() -> None:
    fleet_ledger = ledger(units=10)
    fleet_ledger.on_store(WriteFailed(acquire(fleet_ledger, 40)), Millis(3))
    assert fleet_ledger.usable(RED, Millis(3)) == 10


def test_leased_units_expire_without_renewal_and_permanent_ones_do_not() -> None:
    fleet_ledger = ledger(units=10)
    write = acquire(fleet_ledger, 90)
    fleet_ledger.on_store(RowSeen(RED, write.row, 2), Millis(3))
    late_ms = Millis(TIMING.zone_ttl_ms)
    assert (
        fleet_ledger.usable(RED, Millis(late_ms - 1)) == write.row.portions[HERE].units
    )
    assert fleet_ledger.usable(RED, late_ms) == write.row.portions[HERE].permanent == 50


def test_a_silent_zone_is_fenced_only_after_the_reclaim_wait() -> None:
    fleet_ledger = ledger()
    leased = Portion(1, 0, 60, 60, 100)
    row = TeamRow(100, Revision(1), 0, {THERE: leased})
    fleet_ledger.on_store(RowSeen(RED, row, 2), Millis(2))
    assert not fleet_ledger.fence_silent(Millis(TIMING.zone_reclaim_ms - 1))
    later_ms = TIMING.zone_reclaim_ms + TIMING.retry_ms
    (fence,) = fleet_ledger.fence_silent(Millis(later_ms))
    assert isinstance(fence, WriteRecord)
    assert fence.record.fenced == 1
    assert acquire(fleet_ledger, 90, later_ms).row.portions[HERE].units == 40
    fleet_ledger.on_store(RecordSeen(THERE, fence.record, 2), Millis(later_ms))
    later_ms += TIMING.retry_ms
    assert acquire(fleet_ledger, 90, later_ms).row.portions[HERE].units >= 90


def test_a_failed_takeover_is_retried_while_the_duty_is_held() -> None:
    steward = ZoneSteward(HERE, A, TIMING)
    steward.lease_until_ms = Millis(10_000)
    (first,) = steward.take_over(Millis(0))
    assert isinstance(first, WriteRecord)
    steward.on_store(WriteFailed(first), Millis(1))
    assert not steward.tick(Millis(TIMING.retry_ms - 1))
    (second,) = steward.tick(Millis(TIMING.retry_ms))
    assert isinstance(second, WriteRecord)
    steward.on_store(RecordSeen(HERE, second.record, 1), Millis(TIMING.retry_ms))
    assert steward.is_ready
    other = ZoneSteward(HERE, B, TIMING)
    other.take_over(Millis(0))
    assert not other.tick(Millis(10_000))


def test_units_of_a_silent_entry_are_free_after_its_grant_and_tasks_expired() -> None:
    allocator = ZoneAllocator(TIMING, term=Term(1))
    zone = FixedUnits(10)
    allocator.on_report(report(A, 1, waiting=10), zone, Millis(0))
    assert allocator.max_running(RED, Millis(0)) == 10
    reclaim_ms = TIMING.entry_reclaim_ms
    own = TIMING.entry_ttl_ms + TIMING.run_on_ms + 2 * TIMING.task_lease_ms
    assert reclaim_ms > own + TIMING.call_ms
    allocator.on_report(report(B, 1, waiting=10), zone, Millis(reclaim_ms - 1))
    assert allocator.max_running(RED, Millis(reclaim_ms - 1)) == 10
    assert allocator.stranded(RED, Millis(reclaim_ms - 1)) == 10
    second = allocator.on_report(report(B, 2, waiting=10), zone, Millis(reclaim_ms))
    assert second is not None
    assert second.units == {RED: 10}


def test_a_lost_grant_counts_until_a_later_one_is_acknowledged() -> None:
    allocator = ZoneAllocator(TIMING, term=Term(1))
    zone = FixedUnits(10)
    allocator.on_report(report(A, 1, waiting=10), zone, Millis(0))
    zone.units = 4
    allocator.mark_for_review([RED])
    lower = allocator.on_report(report(A, 2, waiting=10), zone, Millis(1))
    assert lower is not None
    assert lower.units == {RED: 4}
    assert allocator.max_running(RED, Millis(1)) == 10
    allocator.on_report(report(A, 3, acked=lower.seq), zone, Millis(2))
    assert allocator.max_running(RED, Millis(2)) == 4


def test_a_successor_waits_for_entries_that_may_still_follow_the_old_steward() -> None:
    allocator = ZoneAllocator(TIMING, term=Term(1))
    allocator.set_predecessors(((A, B, C),), Millis(0))
    allocator.inherit(RED, 10, Millis(0))
    allocator.on_report(report(C, 1, held=3), FixedUnits(10), Millis(1))
    long_ms = 100 * TIMING.predecessor_expiry_ms
    assert allocator.max_running(RED, Millis(long_ms)) >= 7
    allocator.mark_incarnation_ended(A, Millis(long_ms))
    expired_ms = long_ms + TIMING.predecessor_expiry_ms
    assert allocator.max_running(RED, Millis(expired_ms - 1)) >= 7
    allocator.expire(Millis(expired_ms))
    assert allocator.max_running(RED, Millis(expired_ms)) == 0


def test_nothing_starts_beside_tasks_that_exceed_a_lowered_limit() -> None:
    allocator = ZoneAllocator(TIMING, term=Term(1))
    zone = FixedUnits(10)
    first, second = EntryUnits(A, TIMING), EntryUnits(B, TIMING)

    def exchange(rounds: int) -> None:
        for _ in range(rounds):
            allocator.mark_for_review([RED])
            for entry in (first, second):
                entry.follow(Term(1))
                entry.record_demand(RED, 5, Millis(0))
                answer = allocator.on_report(entry.report(Millis(0)), zone, Millis(0))
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


def test_a_leaving_entry_keeps_only_the_units_in_use() -> None:
    allocator = ZoneAllocator(TIMING, term=Term(1))
    zone = FixedUnits(10)
    allocator.on_report(report(A, 1, waiting=10), zone, Millis(0))
    leaving = UnitsReport(A, 2, Term(1), 1, {RED: 3}, {RED: 0}, is_leaving=True)
    allocator.on_report(leaving, zone, Millis(1))
    assert allocator.max_running(RED, Millis(1)) == 3


@pytest.mark.parametrize("rotation", range(4))
def test_a_limit_below_the_number_of_claimants_rotates(rotation: int) -> None:
    demands = {HERE: 5, THERE: 5, ZoneId("z3"): 5, ZoneId("z4"): 0}
    allocations = fair_split(1, demands, rotation=rotation)
    assert sum(allocations.values()) == 1
    assert allocations[sorted(demands)[rotation % 3]] == 1


@given(
    total=st.integers(-2, 200),
    demands=st.dictionaries(st.text(max_size=3), st.integers(0, 60), max_size=12),
    rotation=st.integers(0, 30),
)
def test_fair_split_exceeds_neither_the_total_nor_any_demand(
    total: int, demands: dict[str, int], rotation: int
) -> None:
    allocations = fair_split(total, demands, rotation=rotation)
    assert sum(allocations.values()) == max(0, min(total, sum(demands.values())))
    assert all(0 <= allocations[name] <= demands[name] for name in demands)
    unsatisfied = [
        allocations[name] for name in demands if allocations[name] < demands[name]
    ]
    assert all(
        allocation <= min(unsatisfied, default=allocation) + 1
        for allocation in unsatisfied
    )
