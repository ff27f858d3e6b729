"""Rules for hosts in a ledger, and the encoding of ledgers."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

import builders
from amaranthtray.domain.budgets import (
    OutageLedger,
    OutageStage,
    OutCause,
    RefusedReason,
    WaveRecord,
    allowed_out,
    budget_of,
    decode,
    drains_to_cancel,
    encode,
    record_outage,
    stamp_write,
    try_take_out,
    with_placement,
    with_stage,
)
from amaranthtray.domain.configuration import SPARE_POOL, Budget
from amaranthtray.domain.ids import (
    HostId,
    OperationId,
    PoolName,
    Revision,
    Term,
    WaveName,
)
from amaranthtray.store.contract import MAX_VALUE_BYTES

SIZE = 12


def try_take_out_host(
    ledger: OutageLedger,
    number: int,
    *,
    budget: Budget,
    zone: str = "z1",
    rack: str | None = None,
    size: int = SIZE,
    cause: OutCause = OutCause.MAINTENANCE,
    term: int = 1,
    now_ms: int = 0,
) -> OutageLedger | RefusedReason:
    taken_out = try_take_out(
        ledger,
        builders.location(number, zone=zone, rack=rack),
        builders.order(number, cause=cause, term=term),
        budget=budget,
        size=size,
        now_ms=now_ms,
    )
    if isinstance(taken_out, Failure):
        return taken_out.failure().reason
    return taken_out.unwrap()


def take_out_host(ledger: OutageLedger, number: int, **options: object) -> OutageLedger:
    taken_out = try_take_out_host(ledger, number, **options)  # type: ignore[arg-type]
    assert isinstance(taken_out, OutageLedger)
    return taken_out


def record_failure(
    ledger: OutageLedger, number: int, cause: OutCause = OutCause.FAILED
) -> OutageLedger:
    order = builders.order(number, cause=cause, wave=None)
    return record_outage(ledger, builders.location(number), order, now_ms=0)


@pytest.mark.parametrize(
    ("budget", "second", "refused"),
    [
        (Budget(1, 9, 9), {"zone": "z2"}, RefusedReason.POOL_FULL),
        (Budget(9, 1, 9), {"rack": "other"}, RefusedReason.ZONE_FULL),
        (Budget(9, 9, 1), {}, RefusedReason.RACK_FULL),
        (Budget(9, 9, 9), {"size": 2}, RefusedReason.POOL_FULL),
        (Budget(9, 9, 9), {"term": 0}, RefusedReason.STALE_TERM),
    ],
)
def test_each_limit_refuses(
    budget: Budget, second: dict[str, object], refused: RefusedReason
) -> None:
    ledger = take_out_host(builders.ledger(), 1, budget=budget)
    assert try_take_out_host(ledger, 2, budget=budget, **second) is refused  # type: ignore[arg-type]


def test_a_host_that_is_out_is_not_taken_out_again() -> None:
    ledger = record_failure(builders.ledger(), 1)
    assert (
        try_take_out_host(ledger, 1, budget=Budget(9, 9, 9))
        is RefusedReason.ALREADY_OUT
    )


@pytest.mark.parametrize("cause", [OutCause.FAILED, OutCause.EJECTED, OutCause.UNKNOWN])
def test_involuntary_causes_always_enter_and_count(cause: OutCause) -> None:
    budget = Budget(2, 9, 9)
    ledger = record_failure(
        record_failure(record_failure(builders.ledger(), 1, cause), 2, cause), 3, cause
    )
    assert ledger.count == 3
    assert try_take_out_host(ledger, 4, budget=budget) is RefusedReason.POOL_FULL


def test_a_draining_host_that_fails_keeps_its_operation() -> None:
    ledger = take_out_host(builders.ledger(), 1, budget=Budget())
    out = record_failure(ledger, 1).out[HostId("z1-h1")]
    assert (out.cause, out.stage) == (OutCause.FAILED, OutageStage.OUT)
    assert out.op_id == OperationId("op1")


@pytest.mark.parametrize("stage", [OutageStage.REBOOTING, OutageStage.PLACING])
def test_a_host_being_rebooted_or_placed_may_be_silent(stage: OutageStage) -> None:
    ledger = take_out_host(builders.ledger(), 1, budget=Budget())
    ledger = with_stage(ledger, HostId("z1-h1"), stage)
    assert record_failure(ledger, 1) == ledger


@pytest.mark.parametrize(
    ("budget", "size", "cancelled"),
    [
        (Budget(4, 4, 4), SIZE, ()),
        (Budget(3, 4, 4), SIZE, ("z2-h3",)),
        (Budget(1, 4, 4), SIZE, ("z2-h3", "z1-h2")),
        (Budget(4, 1, 4), SIZE, ("z1-h2",)),
        (Budget(4, 4, 1), SIZE, ("z1-h2",)),
        (Budget(4, 4, 4), 4, ("z2-h3",)),
    ],
)
def test_the_newest_revocable_drains_are_cancelled_first(
    budget: Budget, size: int, cancelled: tuple[str, ...]
) -> None:
    ample = Budget(9, 9, 9)
    ledger = take_out_host(builders.ledger(), 1, budget=ample, rack="r", now_ms=1)
    ledger = take_out_host(ledger, 2, budget=ample, rack="r", now_ms=2)
    ledger = take_out_host(ledger, 3, budget=ample, zone="z2", now_ms=3)
    ledger = take_out_host(ledger, 4, budget=ample, zone="z3", now_ms=4)
    ledger = with_stage(ledger, HostId("z3-h4"), OutageStage.REBOOTING)
    ledger = with_stage(ledger, HostId("z1-h1"), OutageStage.REBOOTING)
    assert drains_to_cancel(ledger, budget, size) == cancelled


def test_hosts_that_left_for_another_pool_do_not_count() -> None:
    ledger = take_out_host(builders.ledger(), 1, budget=Budget())
    ledger = with_stage(ledger, HostId("z1-h1"), OutageStage.LEFT)
    assert ledger.count == 0
    assert isinstance(try_take_out_host(ledger, 2, budget=Budget()), OutageLedger)


def test_a_host_is_cordoned_until_it_returns() -> None:
    host = HostId("z1-h1")
    ledger = record_failure(take_out_host(builders.ledger(), 1, budget=Budget()), 2)
    assert ledger.cordoned_hosts() == {host}
    assert not with_stage(ledger, host, OutageStage.RETURNING).cordoned_hosts()


def test_a_lost_reply_is_resolved_by_the_operation_id() -> None:
    ledger = builders.ledger()
    for number in range(9):
        op_id = OperationId(f"op{number}")
        ledger = stamp_write(
            ledger, term=Term(2), revision=Revision(number), op_id=op_id
        )
    assert ledger.was_written_by(OperationId("op8"))
    assert not ledger.was_written_by(OperationId("op0"))
    assert (ledger.term, ledger.revision) == (2, 8)


def test_budget_of_the_spare_pool_is_unlimited_until_configured() -> None:
    cfg = builders.configuration(pools=(builders.pool("web", max_out=3),))
    assert budget_of(cfg, PoolName("web")).max_out == 3
    assert budget_of(cfg, PoolName("gone")) == Budget()
    assert budget_of(cfg, SPARE_POOL).max_out > 100_000


OPERATIONS = st.tuples(
    st.sampled_from(["take", "fail", "recover", "reboot", "left"]),
    st.integers(0, SIZE - 1),
)


@given(
    st.lists(OPERATIONS, max_size=40),
    st.builds(Budget, st.integers(0, 4), st.integers(0, 3), st.integers(0, 2)),
    st.integers(1, SIZE),
)
def test_voluntary_outages_never_exceed_the_budget(
    operations: list[tuple[str, int]], budget: Budget, size: int
) -> None:
    ledger = builders.ledger()
    for kind, number in operations:
        host = builders.host(number, zone=f"z{number % 3}").host_id
        match kind:
            case "take":
                taken_out = try_take_out_host(
                    ledger, number, budget=budget, zone=f"z{number % 3}", size=size
                )
                if isinstance(taken_out, OutageLedger):
                    _check_limits(taken_out, host, budget, size)
                    ledger = taken_out
            case "fail":
                location = builders.location(number, zone=f"z{number % 3}")
                order = builders.order(number, cause=OutCause.FAILED)
                ledger = record_outage(ledger, location, order, now_ms=0)
            case "recover":
                ledger = ledger.without(host)
            case _ if host in ledger.out:
                stage = OutageStage.REBOOTING if kind == "reboot" else OutageStage.LEFT
                ledger = with_stage(ledger, host, stage)


def _check_limits(
    ledger: OutageLedger, host: HostId, budget: Budget, size: int
) -> None:
    new = ledger.out[host].location
    voluntary = [
        out.location for out in ledger.counted_hosts() if out.cause.is_voluntary
    ]
    assert ledger.count <= min(budget.max_out, max(size - 1, 1))
    assert sum(other.zone == new.zone for other in voluntary) <= budget.max_out_per_zone
    assert sum(other.rack == new.rack for other in voluntary) <= budget.max_out_per_rack


def full_ledger(hosts: int, *, waves: int) -> OutageLedger:
    ledger = builders.ledger()
    names = [
        HostId(f"zone-{number % 17:02}-host-{number:05}") for number in range(hosts)
    ]
    entry = record_failure(take_out_host(ledger, 1, budget=Budget()), 1).out[
        HostId("z1-h1")
    ]
    out = {
        name: replace(entry, location=replace(entry.location, host=name))
        for name in names
    }
    log = WaveRecord(done=frozenset(names), took_ms=1)
    return replace(
        ledger, out=out, waves={WaveName(f"week-{n}"): log for n in range(waves)}
    )


def test_codec_round_trip_and_size_with_all_hosts_of_the_fleet_in_one_pool() -> None:
    ledger = full_ledger(4_300, waves=7)
    ledger = with_placement(
        ledger, HostId("zone-00-host-00000"), PoolName("db"), OperationId("c")
    )
    value = encode(ledger)
    assert decode(value, pool=ledger.pool) == Success(ledger)
    assert encode(decode(value, pool=ledger.pool).unwrap()) == value
    assert len(value) < MAX_VALUE_BYTES


@pytest.mark.parametrize(
    ("value", "detail"),
    [
        (b"", "truncated"),
        (b"\xff\xfe", "Expected"),
        (encode(builders.ledger("db")), "under the key of"),
        (msgspec.msgpack.encode([9, "web", 1, 1, [], [], []]), "schema 9"),
        (msgspec.msgpack.encode([1, "web", "one", 1, [], [], []]), "Expected `int`"),
    ],
)
def test_unreadable_ledgers_are_typed_errors(value: bytes, detail: str) -> None:
    result = decode(value, pool=PoolName("web"))
    assert isinstance(result, Failure)
    assert detail in result.failure().detail


def test_allowed_out_keeps_one_host_serving() -> None:
    sizes = {size: allowed_out(Budget(3), size) for size in (0, 1, 2, 3, 4, 9)}
    assert sizes == {0: 1, 1: 1, 2: 1, 3: 2, 4: 3, 9: 3}
