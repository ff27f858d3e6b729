"""Entries of several zones in virtual time: partitions, crashes and lost pushes."""

from __future__ import annotations

import pytest

import builders
from amaranthtray.bench._virtual_fleet import VirtualEntry, VirtualFleet
from amaranthtray.domain.configuration import PutTeam
from amaranthtray.domain.ids import EntryId, HostId, Revision, Term
from amaranthtray.domain.limits.messages import UnitsGrant
from amaranthtray.peers.events import PeerAddress, Received
from amaranthtray.peers.membership import KnownSteward
from amaranthtray.peers.messages import HostNews, MemberList
from amaranthtray.peers.zone_rollout import RolloutState

IN_FORCE_MS = 3_000
CONVERGENCE_MS = 45_000
"""Time until the entries agree on stewards and have closed unneeded links."""
RED = PutTeam(builders.team("red"))
ZONES = {"z1": 3, "z2": 3, "z3": 2}


def converged_fleet(*, loss: float = 0.0, seed: int = 1) -> VirtualFleet:
    fleet = VirtualFleet(ZONES, seed=seed, loss=loss)
    fleet.run(CONVERGENCE_MS)
    assert all(steward(fleet, zone) for zone in ZONES)
    return fleet


def steward(fleet: VirtualFleet, zone: str) -> VirtualEntry | None:
    entries = [fleet.entries[name] for name in fleet.in_zone(zone)]
    stewards = [entry for entry in entries if entry.control.members.steward_term]
    return stewards[0] if stewards else None


def peer_of_steward(fleet: VirtualFleet, zone: str) -> VirtualEntry:
    entries = [fleet.entries[name] for name in fleet.in_zone(zone)]
    return next(entry for entry in entries if not entry.control.members.steward_term)


def assert_in_force(fleet: VirtualFleet, revision: int) -> None:
    late = [
        key for key, one in fleet.entries.items() if one.control.cfg.revision < revision
    ]
    assert late == []
    assert fleet.watchdog.violations == []


def test_links_are_a_mesh_in_each_zone_and_stewards_between_zones() -> None:
    fleet = converged_fleet()

    for entry in fleet.entries.values():
        zone_peers = set(fleet.in_zone(entry.member.zone)) - {entry.member.entry}
        others = {steward(fleet, zone).member.entry for zone in ZONES}
        is_steward = bool(entry.control.members.steward_term)
        expected = zone_peers | (others - {entry.member.entry} if is_steward else set())
        assert entry.links == expected


@pytest.mark.parametrize("loss", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("at", ["z1-e0", "z3-e1"])
def test_a_change_is_in_force_at_every_entry_in_time(loss: float, at: str) -> None:
    fleet = converged_fleet(loss=loss)
    fleet.loss = 0.3 if loss == 1.0 else loss
    revision = fleet.commit(at, RED)

    fleet.run(IN_FORCE_MS)

    assert_in_force(fleet, revision)


def test_every_entry_reports_a_change_as_in_force_in_all_zones() -> None:
    fleet = converged_fleet()
    revision = fleet.commit("z1-e0", RED)
    fleet.run(IN_FORCE_MS)

    for entry in fleet.entries.values():
        rollout = entry.control.rollout(revision, fleet.now_ms)
        assert [one.state for one in rollout] == [RolloutState.IN_FORCE] * 3


def test_a_partitioned_zone_is_reported_as_unreached_and_catches_up() -> None:
    fleet = converged_fleet()
    fleet.disconnect_platform(*fleet.in_zone("z3"))
    fleet.partition_zones("z3", "z1")
    fleet.partition_zones("z3", "z2")
    fleet.record_reachability(is_reachable=False, zone="z3")
    revision = fleet.commit("z1-e0", RED)
    fleet.run(30_000)

    rollout = {
        one.zone: one.state
        for one in fleet.entries[EntryId("z1-e0")].control.rollout(
            revision, fleet.now_ms
        )
    }
    assert rollout == {
        "z1": RolloutState.IN_FORCE,
        "z2": RolloutState.IN_FORCE,
        "z3": RolloutState.UNREACHED,
    }
    cut_off = peer_of_steward(fleet, "z3").control
    assert cut_off.cfg.revision == 0
    assert cut_off.config_age_ms(fleet.now_ms) >= 29_000

    fleet.heal()
    fleet.record_reachability(is_reachable=True, zone="z3")
    fleet.run(IN_FORCE_MS)
    assert_in_force(fleet, revision)


def test_a_zone_without_platform_gets_the_configuration_from_peers() -> None:
    fleet = converged_fleet()
    fleet.disconnect_platform(*fleet.in_zone("z2"))
    fleet.run(20_000)
    assert steward(fleet, "z2") is None

    revision = fleet.commit("z1-e0", RED)
    fleet.run(IN_FORCE_MS)

    assert_in_force(fleet, revision)
    for entry in fleet.in_zone("z2"):
        assert fleet.entries[entry].control.config_age_ms(fleet.now_ms) < IN_FORCE_MS


def test_a_zone_without_platform_and_steward_dials_other_zones() -> None:
    fleet = converged_fleet()
    fleet.disconnect_platform(*fleet.in_zone("z2"))
    fleet.stop(steward(fleet, "z2").member.entry)
    fleet.run(10_000)
    revision = fleet.commit("z1-e0", RED)
    fleet.run(IN_FORCE_MS)

    assert_in_force(fleet, revision)


def test_a_zone_catches_up_from_peers_while_the_platform_is_down_for_all() -> None:
    fleet = converged_fleet()
    fleet.disconnect_platform(*fleet.in_zone("z2"))
    fleet.partition_zones("z2", "z1")
    fleet.partition_zones("z2", "z3")
    fleet.record_reachability(is_reachable=False, zone="z2")
    revision = fleet.commit("z1-e0", RED)
    fleet.run(5_000)
    fleet.platform.is_down = True
    fleet.run(60_000)
    assert not any(steward(fleet, zone) for zone in ZONES)

    fleet.blocked.clear()
    fleet.run(10_000)

    assert_in_force(fleet, revision)


def test_a_change_is_in_force_in_time_if_stewards_crash_or_are_paused() -> None:
    fleet = converged_fleet()
    fleet.stop(steward(fleet, "z2").member.entry)
    steward(fleet, "z1").is_paused = True
    paused = steward(fleet, "z1").member.entry
    revision = fleet.commit("z3-e0", RED)

    fleet.run(IN_FORCE_MS)
    late = [
        key
        for key, one in fleet.entries.items()
        if one.control.cfg.revision < revision and key != paused
    ]
    assert late == []
    fleet.run(20_000)
    assert steward(fleet, "z2") is not None


def test_an_entry_started_in_a_platform_outage_syncs_from_a_seed() -> None:
    fleet = converged_fleet()
    revision = fleet.commit("z1-e0", RED)
    fleet.run(IN_FORCE_MS)
    fleet.platform.is_down = True
    fleet.stop("z2-e0")
    new = fleet.start("z2-e0", "z2", run=1)
    seed = fleet.entries[EntryId("z2-e1")].member
    new.control.members.seeds = [PeerAddress(seed.address, seed.port)]
    fleet.run(10_000)

    assert new.control.cfg.revision == revision


def test_host_news_is_delivered_to_every_entry_once() -> None:
    fleet = converged_fleet()
    news = HostNews(leaving=(HostId("h1"),))
    source = peer_of_steward(fleet, "z1")
    fleet._execute(source, source.control.broadcast_news(news, fleet.now_ms))
    fleet.run(200)

    for key, entry in fleet.entries.items():
        seen = [one.message for one in entry.delivered if one.message == news]
        assert len(seen) == (key != source.member.entry)


def test_a_grant_of_an_old_term_is_refused_and_counted() -> None:
    fleet = converged_fleet()
    entry = peer_of_steward(fleet, "z1")
    source = steward(fleet, "z1")
    seen = KnownSteward(source.member.entry, Term(9))
    entry.control.members.stewards[source.member.zone] = seen
    grant = UnitsGrant(entry.member.incarnation, Term(1), 1, 1, 1_000, Revision(1))
    fleet._send(source, entry.member.entry, grant)
    fleet.run(10)

    assert entry.delivered == []
    assert entry.control.members.old_term_messages >= 1


def test_changes_spread_during_a_one_way_partition() -> None:
    fleet = converged_fleet()
    fleet.partition_zones("z1", "z2", is_one_way=True)
    fleet.run(8_000)
    revision = fleet.commit("z1-e0", RED)
    fleet.run(IN_FORCE_MS)

    assert_in_force(fleet, revision)


def test_an_earlier_confirmation_does_not_increase_the_age() -> None:
    fleet = converged_fleet()
    control = peer_of_steward(fleet, "z1").control
    age_ms = control.config_age_ms(fleet.now_ms)
    control.mark_platform_current(fleet.now_ms - 10_000)

    assert control.config_age_ms(fleet.now_ms) == age_ms


def test_only_stewards_relay_the_member_list_of_the_platform() -> None:
    fleet = converged_fleet()
    listed = MemberList(
        fleet.now_ms, tuple(one.member for one in fleet.entries.values())
    )

    assert peer_of_steward(fleet, "z1").control.update_members(listed) == []
    assert steward(fleet, "z1").control.update_members(listed)


def test_a_member_list_reaches_a_zone_without_platform() -> None:
    fleet = converged_fleet()
    fleet.disconnect_platform(*fleet.in_zone("z2"))
    fleet.run(20_000)
    fleet.start("z1-e9", "z1")
    fleet.run(IN_FORCE_MS)

    for entry in fleet.in_zone("z2"):
        assert "z1-e9" in fleet.entries[entry].control.members.members


def test_a_member_list_from_another_zone_is_relayed_in_this_zone() -> None:
    fleet = converged_fleet()
    own, other = steward(fleet, "z2"), steward(fleet, "z1")
    listed = MemberList(
        fleet.now_ms, tuple(one.member for one in fleet.entries.values())
    )

    event = Received(other.member.entry, listed)
    commands = own.control.handle(event, fleet.now_ms)

    zone_peers = set(fleet.in_zone("z2")) - {own.member.entry}
    assert {one.to for one in commands} == zone_peers
    assert own.control.handle(event, fleet.now_ms) == []
