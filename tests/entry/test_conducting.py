"""Conductors of real entries against faults of the store, the hosts and themselves."""

from __future__ import annotations

import pytest

import conducting_fleet as cf
from amaranthtray.domain.budgets import Stage
from amaranthtray.domain.ids import EntryId, PoolName
from amaranthtray.entry.conducting.duties import rank
from amaranthtray.entry.conducting.ledgers import list_ledgers
from amaranthtray.platform.memory import Fault, PlannedFault

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
    lost.is_up = True
    assert_ends(fleet)


def test_host_that_never_comes_back_stays_out_and_counted() -> None:
    fleet = cf.fleet()
    stuck = next(iter(fleet.hosts))
    fleet.hosts[stuck].work.reboot_ms = None
    cf.begin_wave(fleet)
    fleet.run(60_000)
    ledger = list_ledgers(fleet.platform.client("observer")).unwrap()[cf.WEB]
    assert ledger.out[stuck].stage is Stage.REBOOTING
    assert fleet.done() == frozenset(fleet.hosts) - {stuck}


def test_entries_take_turns_for_free_duties() -> None:
    entries = [EntryId(f"e{number}") for number in range(4)]
    pools = [PoolName(f"p{number}") for number in range(40)]
    firsts = {
        pool: [e for e in entries if not rank(e, entries, pool)] for pool in pools
    }
    assert all(len(first) == 1 for first in firsts.values())
    assert {first[0] for first in firsts.values()} == set(entries)
