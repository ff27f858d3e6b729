"""Conductors of real entries against faults of the store, the hosts and themselves."""

from __future__ import annotations

import pytest

import builders
import conducting_fleet as cf
from amaranthtray.domain.budgets import OutageStage
from amaranthtray.domain.ids import EntryId, Millis, OperationId, PoolName, Term
from amaranthtray.domain.invariants import OutCause
from amaranthtray.domain.placement import pool_views
from amaranthtray.domain.waves import DrainHost, Fence, HealthListed
from amaranthtray.entry.conducting.duties import rank
from amaranthtray.entry.conducting.pool import PoolConducting
from amaranthtray.entry.conducting.ports import OrderLate
from amaranthtray.entry.conducting.tracker import HostTracker
from amaranthtray.store.memory import Fault, PlannedFault

LEASE_MS = 9_000


def begun() -> cf.Fleet:
    """Returns a fleet in which a wave has taken the first host out."""
    fleet = cf.fleet()
    cf.begin_wave(fleet)
    fleet.run_until(lambda: bool(fleet.out))
    return fleet


def assert_ends(fleet: cf.Fleet) -> None:
    fleet.run_until(lambda: fleet.done() == frozenset(fleet.hosts))
    fleet.run_until(lambda: not fleet.out)
    assert fleet.reboots() == [1] * len(fleet.hosts)


def test_new_host_is_placed_without_a_record_by_hand() -> None:
    fleet = cf.fleet()
    fleet.add_host(9)
    fleet.run_until(fleet.all_placed)


def test_wave_reboots_each_host_once() -> None:
    assert_ends(begun())


def test_other_entry_ends_the_wave_of_a_dead_holder() -> None:
    fleet = begun()
    fleet.entries.pop(fleet.holder().name)
    assert_ends(fleet)


def test_holder_that_wakes_after_its_lease_does_nothing_more() -> None:
    fleet = begun()
    sleeper = fleet.holder()
    sleeper.is_paused = True
    fleet.run(2 * LEASE_MS)
    assert any(one.holds() for one in fleet.entries.values() if one is not sleeper)
    sleeper.is_paused = False
    assert_ends(fleet)


@pytest.mark.parametrize("fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.ERROR])
@pytest.mark.parametrize("step", ["compare_and_swap", "create", "renew_lease"])
def test_wave_ends_over_faults_of_store_calls(fault: Fault, step: str) -> None:
    fleet = cf.fleet()
    cf.begin_wave(fleet)
    for name in fleet.entries:
        fleet.platform.plan(name, *[PlannedFault(fault, step)] * 3)
    assert_ends(fleet)


def test_wave_waits_for_a_store_that_is_away() -> None:
    fleet = begun()
    fleet.platform.is_down = True
    fleet.run(2 * LEASE_MS)
    fleet.platform.is_down = False
    assert_ends(fleet)


def test_failed_host_counts_against_the_budget_until_it_is_back() -> None:
    fleet = begun()
    lost = next(one for name, one in fleet.hosts.items() if name not in fleet.out)
    lost.is_up = False
    fleet.run(60_000)
    assert len(fleet.done()) == len(fleet.hosts) - 1
    out = fleet.ledgers()[cf.WEB].out
    assert {name: one.cause for name, one in out.items()} == {
        lost.host.host_id: OutCause.FAILED
    }
    lost.is_up = True
    assert_ends(fleet)


def test_new_holder_asks_hosts_before_it_takes_any_out() -> None:
    fleet = cf.fleet()
    lost = list(fleet.hosts.values())[: cf.MAX_OUT]
    fleet.entries.pop(fleet.holder().name)
    for one in lost:
        one.is_up = False
    cf.begin_wave(fleet)
    fleet.run(60_000)
    assert fleet.done() == frozenset()
    assert set(fleet.ledgers()[cf.WEB].out) == {one.host.host_id for one in lost}
    for one in lost:
        one.is_up = True
    assert_ends(fleet)


def test_host_that_never_comes_back_stays_out_and_counted() -> None:
    fleet = cf.fleet()
    stuck = next(iter(fleet.hosts))
    fleet.hosts[stuck].work.reboot_ms = None
    cf.begin_wave(fleet)
    fleet.run(60_000)
    assert fleet.ledgers()[cf.WEB].out[stuck].stage is OutageStage.REBOOTING
    assert fleet.done() == frozenset(fleet.hosts) - {stuck}


def test_entries_take_turns_for_free_duties() -> None:
    entries = [EntryId(f"e{number}") for number in range(4)]
    pools = [PoolName(f"p{number}") for number in range(40)]
    firsts = {
        pool: [e for e in entries if not rank(e, entries, pool)] for pool in pools
    }
    assert all(len(first) == 1 for first in firsts.values())
    assert {first[0] for first in firsts.values()} == set(entries)


@pytest.mark.parametrize("pause_ms", [0, LEASE_MS])
def test_act_is_dropped_when_a_pause_comes_right_before_it(pause_ms: int) -> None:
    fleet = cf.fleet(entries=1)
    entry = fleet.entries.pop("e0")
    entry.conducting.stop()
    cf.begin_wave(fleet)
    cfg = entry.log.load().unwrap().cfg
    is_paused = False

    def wall_clock() -> int:
        fleet.now_ms += pause_ms if is_paused else 0
        return fleet.now_ms

    pool = PoolConducting(cf.WEB, entry.parts, wall_clock=wall_clock)
    fleet.now_ms += LEASE_MS
    pool.hold(is_wanted=True)
    pool.show(pool_views(cfg, fleet.listed())[cf.WEB])
    is_paused = True
    pool.deliver(HealthListed())
    assert bool(fleet.ledgers()[cf.WEB].out) == (pause_ms == 0)


def test_order_is_not_sent_after_its_time() -> None:
    host = builders.host(1)
    fence = Fence(cf.WEB, Term(1), OperationId("op"), Millis(1_000))
    tracker = HostTracker()
    tracker.follow({host.host_id: host})
    tracker.order(DrainHost(host.host_id, fence))
    (poll,) = tracker.due(1_001)
    assert poll.order is None
    assert OrderLate(cf.WEB) in tracker.news()
