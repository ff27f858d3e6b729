"""Registration under leases, replacement by a later incarnation, lost replies."""

from __future__ import annotations

import pytest

from amaranthtray.domain.ids import EntryId, Incarnation, ZoneId
from amaranthtray.peers.messages import Member
from amaranthtray.store.contract import Unavailable
from amaranthtray.store.memory import Fault, MemoryPlatform, PlannedFault
from amaranthtray.store.read_back import ReadBackStore
from amaranthtray.store.registry import EntryRegistry, RegistrySettings, Superseded

SETTINGS = RegistrySettings()


class RegistrySite:
    """Incarnations of entries that register, with a manual clock."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms)

    def registry(self, entry: str = "e1", run: int = 0) -> EntryRegistry:
        member = Member(
            EntryId(entry), ZoneId("z1"), Incarnation(f"i{run}"), "10.0.0.1", 1
        )
        store = ReadBackStore(self.platform.client(f"{entry}/{run}"))
        return EntryRegistry(member, store=store, clock=lambda: self.now_ms)

    def registered(self) -> list[str]:
        listed = self.registry("observer").members().unwrap()
        return [f"{member.entry}/{member.incarnation}" for member in listed.members]


def test_an_entry_is_listed_while_it_renews() -> None:
    site = RegistrySite()
    registry = site.registry()
    for _ in range(20):
        registry.run().unwrap()
        site.now_ms += 5_000
    assert site.registered() == ["e1/i0"]
    assert site.platform.calls["renew_lease"] == 9

    site.now_ms += SETTINGS.ttl_ms
    assert site.registered() == []
    assert registry.run().unwrap()
    assert site.registered() == ["e1/i0"]


def test_a_leaving_entry_is_removed_at_once() -> None:
    site = RegistrySite()
    registry = site.registry()
    registry.run().unwrap()
    registry.leave()

    assert site.registered() == []


def test_a_later_incarnation_supersedes_an_earlier_one() -> None:
    site = RegistrySite()
    old, new = site.registry(run=0), site.registry(run=1)
    old.run().unwrap()
    new.run().unwrap()
    assert site.registered() == ["e1/i1"]

    site.now_ms += SETTINGS.ttl_ms - 1
    new.run().unwrap()
    site.now_ms += 1
    assert isinstance(old.run().failure(), Superseded)
    assert site.registered() == ["e1/i1"]


@pytest.mark.parametrize(
    "fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.LATE_EFFECT]
)
def test_a_lost_reply_is_resolved(fault: Fault) -> None:
    site = RegistrySite()
    site.platform.plan("e1/0", PlannedFault(fault, "create"))

    site.registry().run().unwrap()

    assert site.registered() == ["e1/i0"]


def test_a_failed_registration_is_retried_at_the_next_run() -> None:
    site = RegistrySite()
    registry = site.registry()
    site.platform.is_down = True
    assert isinstance(registry.run().failure(), Unavailable)
    site.platform.is_down = False

    assert registry.run().unwrap()
