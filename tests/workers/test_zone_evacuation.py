"""Workers of zones that are evacuated, and their load after the evacuation."""

from __future__ import annotations

import random

import pytest

from amaranthtray.domain.ids import PoolName, ZoneId
from amaranthtray.domain.workers.registry import WorkerRegistry
from amaranthtray.domain.workers.selection import HomeThenShared, Stripe
from amaranthtray.domain.workers.settings import WorkerSettings
from builders import host, request

WEB = PoolName("web")
Z1 = ZoneId("z1")
EVACUATED = frozenset({Z1})
NO_ZONES: frozenset[ZoneId] = frozenset()
CFG = WorkerSettings()
LOCAL, REMOTE = host(1, slots=8), host(2, zone="z2", slots=8)


def make_registry(entries: int = 1) -> WorkerRegistry:
    policy = HomeThenShared(Z1, Stripe(0, entries))
    made = WorkerRegistry(Z1, random.Random(1), cfg=CFG, policy=policy)
    made.update({WEB: (LOCAL, REMOTE)}, 0)
    return made


def fill(made: WorkerRegistry, now_ms: int) -> int:
    """Starts work until no slot is left; returns the slots used on the local host."""
    while (worker := made.choose(request(), (), now_ms)) is not None:
        made.acquire_slot(worker, now_ms)
    return made.used_slots_by_host()[LOCAL.host_id]


def returned_registry(entries: int = 1) -> WorkerRegistry:
    made = make_registry(entries)
    made.set_evacuated_zones(EVACUATED, 0)
    made.set_evacuated_zones(NO_ZONES, 0)
    return made


def test_an_evacuated_host_gets_no_work_however_often_it_is_listed() -> None:
    made = make_registry()
    made.set_evacuated_zones(EVACUATED, 0)
    made.update({WEB: (LOCAL, REMOTE, host(3))}, 1)
    assert fill(made, 1) == 0
    assert made.used_slots_by_host()[REMOTE.host_id] == 8
    assert made.total_slots(WEB) == REMOTE.slots


def test_a_pool_whose_zones_are_all_evacuated_has_no_hosts() -> None:
    made = make_registry()
    made.set_evacuated_zones(frozenset({Z1, ZoneId("z2")}), 0)
    assert not made.has_hosts(WEB)
    assert made.available_slots(WEB) == 0


def test_an_evacuated_host_does_not_protect_the_others_from_no_ejection() -> None:
    """Guards against the ejection of the only host that still serves a pool."""
    made = make_registry()
    made.set_evacuated_zones(EVACUATED, 0)
    worker = made.worker(REMOTE.host_id)
    assert worker is not None
    for number in range(CFG.eject_after):
        made.record_failure(worker, f"q{number}", 0)
    assert made.ejected_hosts() == []


def test_a_host_is_loaded_in_steps_after_an_evacuation() -> None:
    made = returned_registry()
    used = []
    for step in range(CFG.return_steps):
        now_ms = step * CFG.return_step_ms
        made.wake(now_ms)
        used.append(fill(made, now_ms))
    assert used == [2, 4, 6, 8]


def test_entries_together_load_a_returning_host_by_no_more_than_its_step() -> None:
    assert fill(returned_registry(entries=4), 0) == 1


def test_a_step_counts_the_slots_that_other_entries_hold() -> None:
    made = returned_registry()
    worker = made.worker(LOCAL.host_id)
    assert worker is not None
    made.record_free_slots(worker, LOCAL.slots - 2, 0)
    assert fill(made, 0) == 0


@pytest.mark.parametrize("again_ms", [100, CFG.return_step_ms + 100])
def test_a_repeated_evacuation_restarts_the_steps(again_ms: int) -> None:
    """Guards against a timer of the first return that raises the second one early."""
    made = returned_registry()
    made.wake(again_ms)
    made.set_evacuated_zones(EVACUATED, again_ms)
    assert fill(made, again_ms) == 0
    made.set_evacuated_zones(NO_ZONES, again_ms)
    later_ms = again_ms + CFG.return_step_ms - 1
    made.wake(later_ms)
    assert fill(made, later_ms) == 2
