"""Ejection, refusals, leaving hosts and the selection of a worker."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from amaranthtray.domain.ids import HostId, PoolName, ZoneId
from amaranthtray.domain.inventory import Host, HostState
from amaranthtray.domain.requests.model import Needs, Request, WorkClass
from amaranthtray.domain.workers.registry import WorkerRegistry
from amaranthtray.domain.workers.selection import (
    HomeThenShared,
    HostSelectionPolicy,
    PowerOfTwoChoices,
    Stripe,
    StripedSlots,
)
from amaranthtray.domain.workers.settings import WorkerSettings
from builders import host, request

if TYPE_CHECKING:
    from amaranthtray.domain.workers.worker import Worker

WEB = PoolName("web")
CFG = WorkerSettings()
UNREPEATABLE = request(1, repeatable=False)
REPEATABLE = request(2)
EJECTION_END_MS = CFG.ejection_first_ms


def make_registry(
    *hosts: Host, choice: HostSelectionPolicy | None = None
) -> WorkerRegistry:
    made = WorkerRegistry(ZoneId("z1"), random.Random(1), policy=choice)
    made.update({WEB: hosts}, 0)
    return made


def worker(made: WorkerRegistry, item: Host) -> Worker:
    found = made.worker(item.host_id)
    assert found is not None
    return found


def chosen(
    made: WorkerRegistry, req: Request = UNREPEATABLE, now: int = 0
) -> set[HostId]:
    picks = [made.choose(req, (), now) for _ in range(40)]
    return {item.host.host_id for item in picks if item is not None}


def fail_tasks(made: WorkerRegistry, item: Host, count: int, now: int = 0) -> None:
    for number in range(count):
        made.record_failure(worker(made, item), f"q{number}", now)


BAD, GOOD, THIRD = host(1), host(2), host(3)


def test_host_that_fails_distinct_requests_is_ejected() -> None:
    made = make_registry(BAD, GOOD, THIRD)
    fail_tasks(made, BAD, CFG.eject_after - 1)
    assert BAD.host_id in chosen(made)
    fail_tasks(made, BAD, CFG.eject_after)
    assert made.ejected_hosts() == [BAD.host_id]
    assert BAD.host_id not in chosen(made)


def test_one_request_that_fails_often_ejects_no_host() -> None:
    made = make_registry(BAD, GOOD, THIRD)
    for _ in range(50):
        made.record_failure(worker(made, BAD), "same", 0)
    assert made.ejected_hosts() == []


def test_requests_that_fail_on_every_host_eject_none() -> None:
    made = make_registry(BAD, GOOD, THIRD)
    for number in range(100):
        for item in (BAD, GOOD, THIRD):
            made.record_failure(worker(made, item), f"job{number}", 0)
        for item in (BAD, GOOD, THIRD):
            made.discard_failures(worker(made, item), f"job{number}")
    assert made.ejected_hosts() == []


def test_ejected_part_of_a_pool_is_capped() -> None:
    hosts = [host(number) for number in range(9)]
    made = make_registry(*hosts)
    for item in hosts:
        fail_tasks(made, item, 20)
    assert len(made.ejected_hosts()) == 3


def test_the_only_host_is_never_ejected() -> None:
    made = make_registry(BAD)
    fail_tasks(made, BAD, 100)
    assert made.ejected_hosts() == []


def test_ejected_host_returns_by_one_repeatable_probe_and_a_slow_start() -> None:
    made = make_registry(BAD, GOOD, THIRD)
    fail_tasks(made, BAD, CFG.eject_after)
    made.wake(EJECTION_END_MS)
    assert BAD.host_id not in chosen(made, UNREPEATABLE, EJECTION_END_MS)
    probe = made.choose(REPEATABLE, (), EJECTION_END_MS)
    assert probe is worker(made, BAD)
    assert made.acquire_slot(probe, EJECTION_END_MS)
    assert made.choose(REPEATABLE, (), EJECTION_END_MS) is not probe
    made.release_slot(probe, was_probe=True, now_ms=EJECTION_END_MS)
    made.record_success(probe, EJECTION_END_MS)
    allowed = []
    for _ in range(4):
        allowed.append(probe.free_slots(EJECTION_END_MS))
        made.record_success(probe, EJECTION_END_MS)
    assert allowed == [1, 2, 4, 8]


def test_failed_probe_ejects_for_longer() -> None:
    made = make_registry(BAD, GOOD, THIRD)
    fail_tasks(made, BAD, CFG.eject_after)
    made.wake(EJECTION_END_MS)
    made.record_failure(worker(made, BAD), "probe", EJECTION_END_MS)
    assert made.ejected_hosts() == [BAD.host_id]
    assert worker(made, BAD).health.until_ms >= EJECTION_END_MS + CFG.ejection_first_ms


def test_host_that_gets_no_probe_returns_with_one_slot() -> None:
    made = make_registry(BAD, GOOD, THIRD)
    fail_tasks(made, BAD, CFG.eject_after)
    made.wake(EJECTION_END_MS)
    now = EJECTION_END_MS + CFG.probe_patience_ms
    made.wake(now)
    assert worker(made, BAD).free_slots(now) == 1
    assert BAD.host_id in chosen(made, UNREPEATABLE, now)


def test_leaving_host_gets_no_work_until_its_block_ends() -> None:
    made = make_registry(BAD, GOOD)
    made.record_leaving(worker(made, BAD), 0)
    assert chosen(made) == {GOOD.host_id}
    made.update({WEB: [BAD, GOOD]}, 1)
    assert chosen(made, UNREPEATABLE, 1) == {GOOD.host_id}
    made.wake(CFG.leaving_ms)
    assert chosen(made, UNREPEATABLE, CFG.leaving_ms) == {
        BAD.host_id,
        GOOD.host_id,
    }


def test_host_listed_as_live_again_gets_work_at_once() -> None:
    made = make_registry(host(1, state=HostState.LEAVING), GOOD)
    assert chosen(made) == {GOOD.host_id}
    made.record_leaving(worker(made, BAD), 0)
    made.update({WEB: [BAD, GOOD]}, 1)
    assert chosen(made, UNREPEATABLE, 1) == {BAD.host_id, GOOD.host_id}


def test_full_host_is_tried_again_one_slot_at_a_time() -> None:
    made = make_registry(BAD)
    full = worker(made, BAD)
    made.record_full(full, None, 0)
    assert made.available_slots(WEB) == 0
    wake_ms = made.next_wake_ms()
    assert wake_ms is not None
    made.wake(wake_ms)
    assert made.available_slots(WEB) == 1


def test_patient_work_does_not_race_for_slots_that_others_held() -> None:
    made = make_registry(BAD)
    made.record_full(worker(made, BAD), None, 0)
    made.wake(CFG.decay_cap_ms)
    patient = request(3, work_class=WorkClass.PATIENT)
    assert chosen(made, UNREPEATABLE, CFG.decay_cap_ms) == {BAD.host_id}
    assert chosen(made, patient, CFG.decay_cap_ms) == set()
    assert chosen(made, patient, CFG.patient_trust_ms + 1) == {BAD.host_id}


def test_own_zone_is_preferred_and_overflows_to_others() -> None:
    near, far = host(1, slots=1), host(2, zone="z2")
    made = make_registry(near, far)
    assert chosen(made) == {near.host_id}
    made.acquire_slot(worker(made, near), 0)
    assert chosen(made) == {far.host_id}


def test_needs_limit_the_eligible_hosts() -> None:
    small, large = host(1, cores=4), host(2, cores=64)
    made = make_registry(small, large)
    wide = request(3, needs=Needs(cores=32))
    assert chosen(made, wide) == {large.host_id}
    assert not made.can_ever_run(WEB, Needs(cores=65))


def test_unlisted_host_keeps_its_used_slots_until_they_are_released() -> None:
    made = make_registry(BAD, GOOD)
    unlisted = worker(made, BAD)
    made.acquire_slot(unlisted, 0)
    made.update({WEB: [GOOD]}, 1)
    assert made.worker(BAD.host_id) is unlisted
    made.update({WEB: [BAD, GOOD]}, 2)
    assert worker(made, BAD).free_slots(2) == 7
    made.update({WEB: [GOOD]}, 3)
    made.release_slot(unlisted, was_probe=False, now_ms=4)
    assert made.worker(BAD.host_id) is None


@pytest.mark.parametrize("entries", [1, 3, 8, 9])
def test_each_slot_belongs_to_the_stripe_of_one_entry(entries: int) -> None:
    for item in (host(number) for number in range(20)):
        parts = [
            StripedSlots(Stripe(index, entries)).slots(item) for index in range(entries)
        ]
        assert sum(parts) == item.slots


@pytest.mark.parametrize("choice", [PowerOfTwoChoices(), HomeThenShared(ZoneId("z1"))])
def test_connections_are_shared_between_entries(choice: HostSelectionPolicy) -> None:
    wide = choice.with_stripe(Stripe(0, 32))
    assert wide.slots(host(1)) == 2
    assert choice.slots(host(1)) == 8


def test_home_slots_are_used_before_the_rest() -> None:
    hosts = [host(number, slots=2) for number in range(4)]
    made = make_registry(*hosts)
    made.set_stripe(Stripe(0, 2), 0)
    for _ in hosts:
        pick = made.choose(UNREPEATABLE, (), 0)
        assert pick is not None
        assert pick.used_slots < pick.home_slots
        made.acquire_slot(pick, 0)
    assert made.choose(UNREPEATABLE, (), 0) is not None
