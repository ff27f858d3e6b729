"""Resolution of lost replies, and limits on an entry's calls."""

from __future__ import annotations

import random

import pytest

from amaranthtray.store.budgeted import BudgetedStore, CallBudget
from amaranthtray.store.contract import (
    CallsSpent,
    Conflict,
    EffectUnknown,
    Unavailable,
)
from amaranthtray.store.memory import Fault, MemoryPlatform, PlannedFault
from amaranthtray.store.read_back import ReadBackStore


class StoreSite:
    """Two clients of an in-memory store with a manual clock."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.store = self.platform.client("e1")
        self.other = self.platform.client("e2")

    def budgeted(self, budget: CallBudget) -> BudgetedStore:
        return BudgetedStore(
            self.store,
            clock=lambda: self.now_ms,
            budget=budget,
            rng=random.Random(1),
        )


@pytest.mark.parametrize(
    "fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.LATE_EFFECT]
)
def test_a_write_with_a_lost_reply_is_resolved(fault: Fault) -> None:
    site = StoreSite()
    store = ReadBackStore(site.store)
    site.platform.plan("e1", PlannedFault(fault, "create"))
    version = store.create("a", b"op-1").unwrap()
    site.platform.plan("e1", PlannedFault(fault, "compare_and_swap"))

    newer = store.compare_and_swap("a", b"op-2", version=version).unwrap()

    site.platform.apply_delayed_writes()
    stored = site.store.get("a").unwrap()
    assert (stored.value, stored.version) == (b"op-2", newer)


@pytest.mark.parametrize("fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST])
def test_a_deletion_with_a_lost_reply_is_resolved(fault: Fault) -> None:
    site = StoreSite()
    version = site.store.create("a", b"1").unwrap()
    site.platform.plan("e1", PlannedFault(fault, "delete"))

    ReadBackStore(site.store).delete("a", version=version).unwrap()

    assert site.store.get("a").unwrap() is None


def test_an_overwritten_value_leaves_the_outcome_unknown() -> None:
    """The other client may have written after our write, or instead of it."""
    site = StoreSite()
    version = site.store.create("a", b"1").unwrap()
    site.platform.plan(
        "e1",
        PlannedFault(Fault.LATE_EFFECT, "compare_and_swap"),
        PlannedFault(Fault.DELAY, "get"),
    )
    site.platform.sleep = lambda _: site.other.compare_and_swap(
        "a", b"other", version=version
    )

    outcome = ReadBackStore(site.store).compare_and_swap("a", b"2", version=version)

    assert isinstance(outcome.failure(), EffectUnknown)


def test_a_write_that_cannot_be_read_back_stays_unknown() -> None:
    site = StoreSite()
    site.platform.plan(
        "e1", PlannedFault(Fault.LOST_REPLY, "create"), PlannedFault(Fault.ERROR, "get")
    )

    assert isinstance(
        ReadBackStore(site.store).create("a", b"1").failure(), EffectUnknown
    )


def test_a_conflict_is_returned_unchanged() -> None:
    site = StoreSite()
    site.other.create("a", b"other")

    outcome = ReadBackStore(site.store).create("a", b"1")

    assert isinstance(outcome.failure(), Conflict)


def test_the_rate_is_limited_and_the_reserve_is_for_renewals() -> None:
    site = StoreSite()
    store = site.budgeted(CallBudget(calls_per_s=10, burst=5, lease_reserve=2))
    lease = store.grant_lease(60_000).unwrap()

    outcomes = [store.get("a") for _ in range(4)]

    spent = outcomes[-2].failure()
    assert isinstance(spent, CallsSpent)
    assert spent.retry_after_ms == 100
    assert [isinstance(store.renew_lease(lease).value_or(None), int)] == [True]
    site.now_ms += 2_000
    assert store.get("a").unwrap() is None
    assert store.calls == {"grant_lease": 1, "get": 3, "renew_lease": 1}


def test_calls_to_a_failing_store_back_off_but_renewals_do_not() -> None:
    site = StoreSite()
    budget = CallBudget(
        failures_to_back_off=2, backoff_min_ms=100, backoff_max_ms=1_000
    )
    store = site.budgeted(budget)
    lease = store.grant_lease(60_000).unwrap()
    site.platform.is_down = True

    for _ in range(60):
        store.get("a")
        site.now_ms += 100

    assert store.calls["get"] < 20
    before = store.calls["renew_lease"]
    assert isinstance(store.renew_lease(lease).failure(), Unavailable)
    assert store.calls["renew_lease"] == before + 1
    site.platform.is_down = False
    site.now_ms += budget.backoff_max_ms
    assert store.get("a").unwrap() is None
    assert store.allows_calls


def test_concurrent_calls_are_limited() -> None:
    site = StoreSite()
    store = site.budgeted(CallBudget(max_in_flight=1))
    inner_failures: list[object] = []
    site.platform.plan("e1", PlannedFault(Fault.DELAY, "get"))
    site.platform.sleep = lambda _: inner_failures.append(store.get("b").failure())

    store.get("a").unwrap()

    assert isinstance(inner_failures[0], CallsSpent)
    assert store.get("b").unwrap() is None
