"""Fencing of a conductor: order of effects, terms, leases and lost replies."""

from __future__ import annotations

from dataclasses import replace

import pytest

import builders
from amaranthtray.domain.budgets import OutCause
from amaranthtray.domain.configuration import (
    WaveState,
)
from amaranthtray.domain.ids import Millis, Revision, Term
from amaranthtray.domain.waves import (
    CasLedger,
    DrainHost,
    DutyGained,
    DutyRenewed,
    HealthListed,
    LedgerRead,
    LedgerSwapped,
    OrderDropped,
    ReadLedger,
    StepDown,
    StoreCallFailed,
    SwapConflict,
    SwapOutcomeUnknown,
    Tick,
)
from conducting import LEASE_MS, NAMES, Driver, config, effect_names


def test_orders_are_issued_only_after_the_ledger_write_succeeded() -> None:
    driver = Driver(config())
    assert effect_names(driver.effects) == [
        "ReadLedger",
        "CasLedger",
        "DrainHost",
        "DrainHost",
    ]
    driver.withholds_replies = True
    effects = driver.report_drained(driver.first_out())
    assert effect_names(effects) == ["CasLedger"]
    assert effect_names(driver.send(Tick())) == []
    cas = effects[0]
    assert isinstance(cas, CasLedger)
    done = driver.send(LedgerSwapped(cas.fence.op_id, 3))
    assert effect_names(done) == ["RebootHost"]


def test_a_new_holder_writes_its_term_before_it_issues_orders() -> None:
    old_driver = Driver(config(), term=1)
    new_driver = Driver(config(), term=2, ledger=old_driver.ledger)
    assert effect_names(new_driver.effects) == [
        "ReadLedger",
        "CasLedger",
        "DrainHost",
        "DrainHost",
    ]
    drains = [effect for effect in new_driver.effects if isinstance(effect, DrainHost)]
    assert {drain.fence.term for drain in drains} == {2}
    assert {drain.fence.op_id for drain in drains} == {old_driver.op(NAMES[0])}


def test_no_order_is_issued_for_a_ledger_of_another_term() -> None:
    old_driver = Driver(config(), term=1)
    driver = Driver(config(), term=2)
    driver.withholds_replies = True
    driver.send(DutyGained(Term(3), Millis(LEASE_MS)))
    read = driver.effects[-1]
    assert isinstance(read, ReadLedger)
    effects = driver.send(LedgerRead(read.op_id, old_driver.ledger, 9))
    assert effect_names(effects) == []
    assert effect_names(driver.send(HealthListed())) == ["CasLedger"]


@pytest.mark.parametrize("reply", ["read", "conflict"])
def test_a_higher_term_in_the_ledger_makes_the_holder_step_down(reply: str) -> None:
    newer = Driver(config(), term=9).ledger
    driver = Driver(config(), term=2)
    driver.withholds_replies = True
    cas = driver.report_drained(driver.first_out())[0]
    assert isinstance(cas, CasLedger)
    if reply == "conflict":
        effects = driver.send(SwapConflict(cas.fence.op_id, newer, 99))
    else:
        driver.send(SwapOutcomeUnknown(cas.fence.op_id))
        driver.now_ms += 20_000
        read = driver.send(Tick())[0]
        assert isinstance(read, ReadLedger)
        effects = driver.send(LedgerRead(read.op_id, newer, 99))
    assert effects == [StepDown(Term(9))]
    assert driver.send(Tick()) == []


@pytest.mark.parametrize("took_effect", [True, False])
def test_a_lost_reply_is_resolved_by_a_read_and_fenced_by_a_write(
    took_effect: bool,
) -> None:
    driver = Driver(config())
    old, version = driver.ledger, driver.version
    host = driver.first_out()
    driver.withholds_replies = True
    cas = driver.report_drained(host)[0]
    assert isinstance(cas, CasLedger)
    assert driver.send(SwapOutcomeUnknown(cas.fence.op_id)) == []
    assert driver.set_wave_state(WaveState.PAUSED) == []
    driver.now_ms += 1_000
    read = driver.send(Tick())[0]
    assert isinstance(read, ReadLedger)
    stored = (cas.ledger, version + 1) if took_effect else (old, version)
    effects = driver.send(LedgerRead(read.op_id, *stored))
    assert cas.ledger.was_written_by(cas.fence.op_id)
    assert effect_names(effects) == (["RebootHost"] if took_effect else []) + [
        "CasLedger"
    ]
    assert driver.conductor.has_unresolved_write
    cas_again = effects[-1]
    assert isinstance(cas_again, CasLedger)
    driver.send(LedgerSwapped(cas_again.fence.op_id, cas_again.version + 1))
    assert driver.conductor.is_ledger_current


def test_a_read_of_an_older_version_is_ignored() -> None:
    driver = Driver(config())
    driver.withholds_replies = True
    cas = driver.report_drained(driver.first_out())[0]
    assert isinstance(cas, CasLedger)
    driver.send(SwapOutcomeUnknown(cas.fence.op_id))
    driver.now_ms += 1_000
    read = driver.send(Tick())[0]
    assert isinstance(read, ReadLedger)
    assert driver.send(LedgerRead(read.op_id, None, 0)) == []


def test_no_effect_within_the_lease_margin_until_the_lease_is_renewed() -> None:
    driver = Driver(config())
    driver.now_ms = LEASE_MS - 1_000
    host = driver.first_out()
    assert driver.report_drained(host) == []
    driver.send(DutyRenewed(Term(1), Millis(2 * LEASE_MS)))
    assert "RebootHost" in effect_names(driver.send(Tick()))


def test_dropped_orders_are_issued_again() -> None:
    driver = Driver(config())
    assert effect_names(driver.send(OrderDropped())) == ["DrainHost", "DrainHost"]


def test_no_drain_before_the_health_of_all_hosts_is_known() -> None:
    driver = Driver(config(state=WaveState.PAUSED))
    driver.send(DutyGained(Term(2), Millis(LEASE_MS)))
    driver.set_wave_state(WaveState.RUNNING)
    assert driver.stages() == {}
    driver.send(HealthListed({NAMES[0]: OutCause.FAILED, NAMES[1]: OutCause.EJECTED}))
    assert driver.stages() == {NAMES[0]: "out", NAMES[1]: "out"}


def test_a_holder_with_an_older_configuration_does_not_write() -> None:
    ledger = replace(builders.ledger(term=0), revision=Revision(50))
    driver = Driver(config(), ledger=ledger)
    assert effect_names(driver.effects) == ["ReadLedger"]
    driver.cfg = replace(driver.cfg, revision=Revision(49))
    assert "CasLedger" in effect_names(driver.change(driver.cfg))


def test_failed_store_calls_are_retried_with_exponential_backoff() -> None:
    driver = Driver(config())
    driver.withholds_replies = True
    cas = driver.report_drained(driver.first_out())[0]
    delays = []
    for _ in range(8):
        assert isinstance(cas, CasLedger)
        assert driver.send(StoreCallFailed(cas.fence.op_id)) == []
        delays.append(driver.conductor.retry_at_ms - driver.now_ms)
        driver.now_ms = driver.conductor.retry_at_ms
        cas = driver.send(Tick())[-1]
    assert delays == [500, 1_000, 2_000, 4_000, 8_000, 15_000, 15_000, 15_000]
