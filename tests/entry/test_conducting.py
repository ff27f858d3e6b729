"""Conductors of several entries under faults of the store, hosts and entries."""

from __future__ import annotations

import pytest

import builders
import conducting_fleet as cf
from amaranthtray.domain.budgets import OutageStage
from amaranthtray.domain.ids import EntryId, Millis, OperationId, PoolName, Term
from amaranthtray.domain.invariants import OutCause
from amaranthtray.domain.placement import pool_views
from amaranthtray.domain.waves import DrainHost, Fence, HealthListed
from amaranthtray.entry.conducting.conductor_runner import ConductorRunner
from amaranthtray.entry.conducting.duties import rank
from amaranthtray.entry.conducting.ports import OrderExpired
from amaranthtray.entry.conducting.tracker import HostTracker
from amaranthtray.store.memory import Fault, PlannedFault

LEASE_MS = 9_000


def fleet_in_wave() -> cf.Fleet:
    """Returns a fleet in which a wave has taken the first host out of service."""
    fleet = cf.make_fleet()
    cf.begin_wave(fleet)
    fleet.run_until(lambda: bool(fleet.out))
    return fleet


def assert_wave_ends(fleet: cf.Fleet) -> None:
    fleet.run_until(lambda: fleet.finished_hosts() == frozenset(fleet.hosts))
    fleet.run_until(lambda: not fleet.out)
    assert fleet.reboot_counts() == [1] * len(fleet.hosts)


def test_new_host_is_placed_without_an_operator() -> None:
    fleet = cf.make_fleet()
    fleet.add_host(9)
    fleet.run_until(fleet.all_placed)


def test_wave_reboots_each_host_once() -> None:
    assert_wave_ends(fleet_in_wave())


def test_other_entry_finishes_the_wave_of_a_dead_holder() -> None:
    fleet = fleet_in_wave()
    fleet.entries.pop(fleet.holder().name)
    assert_wave_ends(fleet)


def test_holder_that_resumes_after_its_lease_does_nothing_more() -> None:
    fleet = fleet_in_wave()
    paused = fleet.holder()
    paused.is_paused = True
    fleet.run(2 * LEASE_MS)
    assert any(e.holds() for e in fleet.entries.values() if e is not paused)
    paused.is_paused = False
    assert_wave_ends(fleet)


@pytest.mark.parametrize("fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.ERROR])
@pytest.mark.parametrize("step", ["compare_and_swap", "create", "renew_lease"])
def test_wave_ends_despite_faults_of_store_calls(fault: Fault, step: str) -> None:
    fleet = cf.make_fleet()
    cf.begin_wave(fleet)
    for name in fleet.entries:
        fleet.platform.plan(name, *[PlannedFault(fault, step)] * 3)
    assert_wave_ends(fleet)


def test_wave_waits_for_an_unavailable_store() -> None:
    fleet = fleet_in_wave()
    fleet.platform.is_down = True
    fleet.run(2 * LEASE_MS)
    fleet.platform.is_down = False
    assert_wave_ends(fleet)


def test_failed_host_counts_against_the_budget_until_it_is_back() -> None:
    fleet = fleet_in_wave()
    failed = next(host for name, host in fleet.hosts.items() if name not in fleet.out)
    failed.is_up = False
    fleet.run(60_000)
    assert len(fleet.finished_hosts()) == len(fleet.hosts) - 1
    out = fleet.ledgers()[cf.WEB].out
    assert {name: outage.cause for name, outage in out.items()} == {
        failed.host.host_id: OutCause.FAILED
    }
    failed.is_up = True
    assert_wave_ends(fleet)


def test_new_holder_polls_hosts_before_it_takes_any_out() -> None:
    fleet = cf.make_fleet()
    failed = list(fleet.hosts.values())[: cf.MAX_OUT]
    fleet.entries.pop(fleet.holder().name)
    for host in failed:
        host.is_up = False
    cf.begin_wave(fleet)
    fleet.run(60_000)
    assert fleet.finished_hosts() == frozenset()
    assert set(fleet.ledgers()[cf.WEB].out) == {one.host.host_id for one in failed}
    for host in failed:
        host.is_up = True
    assert_wave_ends(fleet)


def test_host_that_does_not_come_back_still_counts_as_out() -> None:
    fleet = cf.make_fleet()
    stuck = next(iter(fleet.hosts))
    fleet.hosts[stuck].maintenance.reboot_ms = None
    cf.begin_wave(fleet)
    fleet.run(60_000)
    assert fleet.ledgers()[cf.WEB].out[stuck].stage is OutageStage.REBOOTING
    assert fleet.finished_hosts() == frozenset(fleet.hosts) - {stuck}


def test_entries_take_turns_for_free_duties() -> None:
    entries = [EntryId(f"e{number}") for number in range(4)]
    pools = [PoolName(f"p{number}") for number in range(40)]
    firsts = {
        pool: [e for e in entries if not rank(e, entries, pool)] for pool in pools
    }
    assert all(len(first) == 1 for first in firsts.values())
    assert {first[0] for first in firsts.values()} == set(entries)


@pytest.mark.parametrize("pause_ms", [0, LEASE_MS])
def test_effect_is_dropped_after_a_pause_right_before_it(pause_ms: int) -> None:
    fleet = cf.make_fleet(entries=1)
    entry = fleet.entries.pop("e0")
    entry.conductors.stop()
    cf.begin_wave(fleet)
    cfg = entry.log.load().unwrap().cfg
    is_paused = False

    def wall_clock() -> int:
        fleet.now_ms += pause_ms if is_paused else 0
        return fleet.now_ms

    runner = ConductorRunner(cf.WEB, entry.context, wall_clock=wall_clock)
    fleet.now_ms += LEASE_MS
    runner.run_duty(is_wanted=True)
    runner.update_view(pool_views(cfg, fleet.list_hosts())[cf.WEB])
    is_paused = True
    runner.deliver(HealthListed())
    assert bool(fleet.ledgers()[cf.WEB].out) == (pause_ms == 0)


def test_order_is_not_sent_after_its_deadline() -> None:
    host = builders.host(1)
    fence = Fence(cf.WEB, Term(1), OperationId("op"), Millis(1_000))
    tracker = HostTracker()
    tracker.set_hosts({host.host_id: host})
    tracker.send_order(DrainHost(host.host_id, fence))
    (poll,) = tracker.start_due_polls(1_001)
    assert poll.order is None
    assert OrderExpired(cf.WEB) in tracker.pop_events()
