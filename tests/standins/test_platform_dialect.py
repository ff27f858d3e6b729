"""The etcd v3 JSON API between the store adapter and the platform stand-in."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest

from amaranthtray.entry.clock import now_ms
from amaranthtray.standins.faults import Faults
from amaranthtray.standins.platform import PlatformStandIn
from amaranthtray.store.contract import (
    Compacted,
    Conflict,
    EffectUnknown,
    LeaseGone,
    LeaseId,
    Unavailable,
    WatchEvent,
)
from amaranthtray.store.etcd_json import EtcdStore
from amaranthtray.store.memory import MemoryPlatform
from amaranthtray.store.read_back import ReadBackStore

if TYPE_CHECKING:
    from collections.abc import Iterator

    from amaranthtray.store.contract import StoreFailure

WAIT_MS = 5_000


class Platform:
    """A platform stand-in, the store adapter that calls it, and the data in memory."""

    def __init__(self) -> None:
        self.memory = MemoryPlatform(now_ms)
        self.standin = PlatformStandIn(self.memory.client("z1", blocking_watch=True))
        self.standin.start()
        self.store = EtcdStore([self.standin.url], timeout_ms=1_000)


@pytest.fixture(scope="module")
def shared() -> Iterator[Platform]:
    platform = Platform()
    yield platform
    platform.standin.stop()


@pytest.fixture
def platform(shared: Platform) -> Iterator[Platform]:
    shared.memory.wipe()
    yield shared
    shared.standin.fault_plan.clear_faults()


def failure(result: object) -> StoreFailure:
    return result.failure()


def test_create_read_swap_and_delete(platform: Platform) -> None:
    store = platform.store
    assert store.get("a/x").unwrap() is None
    version = store.create("a/x", b"\x00one").unwrap()
    stored = store.get("a/x").unwrap()
    assert (stored.value, stored.version) == (b"\x00one", version)
    newer = store.compare_and_swap("a/x", b"two", version=version).unwrap()
    assert newer > version
    store.delete("a/x", version=newer).unwrap()
    assert store.get("a/x").unwrap() is None


def test_conflict_contains_the_stored_value(platform: Platform) -> None:
    version = platform.store.create("a/x", b"one").unwrap()
    refused = failure(platform.store.create("a/x", b"other"))
    assert isinstance(refused, Conflict)
    assert refused.found is not None
    assert (refused.found.value, refused.found.version) == (b"one", version)
    stale = failure(platform.store.compare_and_swap("a/x", b"q", version=version + 9))
    assert isinstance(stale, Conflict)
    absent = failure(platform.store.delete("a/none", version=3))
    assert absent == Conflict("delete", platform.standin.url, None)


def test_list_returns_only_keys_with_the_prefix(platform: Platform) -> None:
    for key in ("a/2", "a/1", "b/1"):
        platform.store.create(key, b"v").unwrap()
    listing = platform.store.list("a/").unwrap()
    assert [item.key for item in listing.items] == ["a/1", "a/2"]


def test_revoking_a_lease_deletes_its_keys(platform: Platform) -> None:
    lease = platform.store.grant_lease(1_500).unwrap()
    platform.store.create("a/x", b"v", lease=lease).unwrap()
    assert platform.store.renew_lease(lease).unwrap() == 2_000
    assert platform.store.get("a/x").unwrap().lease == lease
    platform.store.revoke_lease(lease).unwrap()
    assert platform.store.get("a/x").unwrap() is None


def test_calls_with_an_unknown_lease_are_refused(platform: Platform) -> None:
    assert isinstance(failure(platform.store.renew_lease(LeaseId(77))), LeaseGone)
    create = platform.store.create("a/x", b"v", lease=LeaseId(77))
    assert isinstance(failure(create), LeaseGone)


def test_watch_returns_the_events_after_a_version(platform: Platform) -> None:
    begin = platform.store.list("a/").unwrap().at_version
    one = platform.store.create("a/x", b"1").unwrap()
    platform.store.create("b/x", b"other").unwrap()
    platform.store.delete("a/x", version=one).unwrap()
    batch = platform.store.watch("a/", after_version=begin, timeout_ms=WAIT_MS)
    events = batch.unwrap().events
    assert [(event.key, event.value) for event in events] == [
        ("a/x", b"1"),
        ("a/x", None),
    ]
    later = platform.store.watch(
        "a/", after_version=batch.unwrap().at_version, timeout_ms=50
    )
    assert later.unwrap().events == ()


def test_watch_returns_when_a_key_is_written(platform: Platform) -> None:
    begin = platform.store.list("a/").unwrap().at_version
    seen: list[WatchEvent] = []
    watcher = threading.Thread(
        target=lambda: seen.extend(
            platform.store.watch("a/", after_version=begin, timeout_ms=WAIT_MS)
            .unwrap()
            .events
        )
    )
    watcher.start()
    platform.store.create("a/x", b"1").unwrap()
    watcher.join(WAIT_MS / 1_000)
    assert [event.key for event in seen] == ["a/x"]


def test_watch_from_a_compacted_version_is_refused(platform: Platform) -> None:
    begin = platform.store.list("a/").unwrap().at_version
    platform.store.create("a/x", b"1").unwrap()
    platform.memory.compact_events()
    platform.store.create("a/y", b"2").unwrap()
    watched = platform.store.watch("a/", after_version=begin, timeout_ms=WAIT_MS)
    assert isinstance(failure(watched), Compacted)


def test_a_lost_reply_is_unknown_and_the_write_took_effect(platform: Platform) -> None:
    platform.standin.fault_plan.lose_next_replies(1)
    assert isinstance(failure(platform.store.create("a/x", b"1")), EffectUnknown)
    assert platform.store.get("a/x").unwrap().value == b"1"


def test_a_lost_reply_is_resolved_by_reading_back(platform: Platform) -> None:
    platform.standin.fault_plan.lose_next_replies(1)
    version = ReadBackStore(platform.store).create("a/x", b"op-1").unwrap()
    assert platform.store.get("a/x").unwrap().version == version


@pytest.mark.parametrize("faults", [Faults(cut=True), Faults(fail=True)])
def test_a_failed_write_is_never_reported_as_without_effect(
    platform: Platform, faults: Faults
) -> None:
    platform.standin.fault_plan.set(faults)
    assert isinstance(failure(platform.store.create("a/x", b"1")), EffectUnknown)
    assert isinstance(failure(platform.store.get("a/x")), Unavailable)


def test_calls_to_a_paused_store_time_out(platform: Platform) -> None:
    impatient_store = EtcdStore([platform.standin.url], timeout_ms=50)
    platform.standin.fault_plan.pause()
    assert isinstance(failure(impatient_store.create("a/x", b"1")), EffectUnknown)
    assert isinstance(failure(impatient_store.get("a/x")), Unavailable)


def test_a_refused_connection_has_no_effect_and_the_next_endpoint_is_used(
    platform: Platform,
) -> None:
    store = EtcdStore(["http://127.0.0.1:1", platform.standin.url], timeout_ms=500)
    assert isinstance(failure(store.create("a/refused", b"1")), Unavailable)
    store.create("a/refused", b"1").unwrap()
