"""The in-memory store fulfils the interface under each injected fault."""

from __future__ import annotations

import pytest
from returns.result import Success

from amaranthtray.store.contract import (
    MAX_VALUE_BYTES,
    Compacted,
    Conflict,
    EffectUnknown,
    LeaseGone,
    Unavailable,
)
from amaranthtray.store.memory import (
    Fault,
    MemoryPlatform,
    MemoryStore,
    PlannedFault,
)


class MemorySite:
    """An in-memory store with a manual clock."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms, sleep=self.sleep)

    def sleep(self, delay_ms: int) -> None:
        self.now_ms += delay_ms

    def client(self, name: str = "e1") -> MemoryStore:
        return self.platform.client(name)


def test_create_compare_and_swap_and_delete_check_the_version() -> None:
    store = MemorySite().client()
    version = store.create("a", b"1").unwrap()

    assert isinstance(store.create("a", b"2").failure(), Conflict)
    newer = store.compare_and_swap("a", b"2", version=version).unwrap()
    assert newer > version
    conflict = store.compare_and_swap("a", b"3", version=version).failure()
    assert conflict.found.value == b"2"
    assert isinstance(store.delete("a", version=version).failure(), Conflict)
    assert store.delete("a", version=newer) == Success(None)
    assert store.get("a").unwrap() is None
    assert store.create("a", b"4").unwrap() > newer


def test_the_end_of_a_lease_deletes_its_keys_and_notifies_watchers() -> None:
    site = MemorySite()
    store = site.client()
    lease = store.grant_lease(100).unwrap()
    store.create("a", b"1", lease=lease).unwrap()
    at_version = store.list("").unwrap().at_version

    site.now_ms = 99
    assert store.renew_lease(lease) == Success(100)
    site.now_ms = 198
    assert store.get("a").unwrap() is not None
    site.now_ms = 199
    assert store.get("a").unwrap() is None

    batch = store.watch("", after_version=at_version, timeout_ms=0).unwrap()
    assert [(event.key, event.value) for event in batch.events] == [("a", None)]
    assert isinstance(store.renew_lease(lease).failure(), LeaseGone)
    assert isinstance(store.create("b", b"", lease=lease).failure(), LeaseGone)


def test_a_key_rewritten_without_its_lease_outlives_it() -> None:
    site = MemorySite()
    store = site.client()
    lease = store.grant_lease(100).unwrap()
    version = store.create("a", b"1", lease=lease).unwrap()
    store.compare_and_swap("a", b"2", version=version).unwrap()

    store.revoke_lease(lease).unwrap()

    assert store.get("a").unwrap() is not None


def test_a_watch_returns_each_change_once_or_reports_compaction() -> None:
    site = MemorySite()
    store = site.client()
    store.create("a/1", b"1").unwrap()
    store.create("b/1", b"1").unwrap()

    batch = store.watch("a/", after_version=0, timeout_ms=0).unwrap()
    assert [event.key for event in batch.events] == ["a/1"]
    again = store.watch("a/", after_version=batch.at_version, timeout_ms=0).unwrap()
    assert again.events == ()
    site.platform.compact_events()
    assert isinstance(
        store.watch("a/", after_version=0, timeout_ms=0).failure(), Compacted
    )


@pytest.mark.parametrize(
    ("fault", "failure", "has_effect"),
    [
        (Fault.ERROR, Unavailable, False),
        (Fault.LOST_REQUEST, EffectUnknown, False),
        (Fault.LOST_REPLY, EffectUnknown, True),
        (Fault.LATE_EFFECT, EffectUnknown, False),
    ],
)
def test_faults_of_a_write(
    fault: Fault, failure: type[object], has_effect: bool
) -> None:
    site = MemorySite()
    site.platform.plan("e1", PlannedFault(fault, "create"))

    assert isinstance(site.client().create("a", b"1").failure(), failure)
    assert (site.client("e2").get("a").unwrap() is not None) == has_effect
    site.platform.apply_delayed_writes()
    is_delayed = fault == Fault.LATE_EFFECT
    assert (site.client("e2").get("a").unwrap() is not None) == (
        has_effect or is_delayed
    )


def test_a_disconnection_affects_one_client_and_an_outage_all() -> None:
    site = MemorySite()
    site.platform.disconnected_clients.add("e1")
    assert isinstance(site.client("e1").get("a").failure(), Unavailable)
    assert site.client("e2").get("a") == Success(None)

    site.platform.is_down = True
    assert isinstance(site.client("e2").get("a").failure(), Unavailable)


def test_a_delay_advances_the_clock_and_large_values_are_refused() -> None:
    site = MemorySite()
    site.platform.plan("e1", PlannedFault(Fault.DELAY, delay_ms=70))

    assert site.client().get("a") == Success(None)
    assert site.now_ms == 70
    too_large = site.client().create("a", b"x" * (MAX_VALUE_BYTES + 1))
    assert isinstance(too_large.failure(), Unavailable)
