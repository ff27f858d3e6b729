"""Evacuated zones: nothing starts there, and runs leave as far as they may."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from amaranthtray.domain.ids import HostId, ZoneId
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling._evacuation_moves import SETTLE_MS
from amaranthtray.domain.scheduling._load import pool_load
from amaranthtray.domain.scheduling._vacating import TAKEOVER_PAUSE_MS, vacant_hosts
from amaranthtray.domain.scheduling.evacuation import (
    EvacuationHosts,
    EvacuationProgress,
    RunKind,
    RunsMoved,
    StartWithheld,
    ZonesEvacuated,
)
from amaranthtray.domain.scheduling.messages import (
    BatchStored,
    Effect,
    EndReport,
    HostInfo,
    HostReport,
    HostsListed,
    RunReport,
    StartOutcome,
    StartRun,
    StopRun,
    StoreJobs,
    VacateRequested,
)
from scheduling.load import Burst, LoadedPool, Timeline, run_pool
from scheduling.parts import BORN, SchedulerHarness, a_host, a_job, a_step, an_end
from scheduling.test_schedules import run_schedule

A, B = ZoneId("a"), ZoneId("b")
CORE = Resources(1_000, 1_000, 0)


def host_in(zone: ZoneId, name: str, cores: int = 4) -> HostInfo:
    return replace(a_host(name, cores=cores), zone=zone)


@dataclass
class Site:
    """A harness whose hosts report the runs that were ordered, until these end."""

    harness: SchedulerHarness
    is_lasting: bool = False
    runs: dict[str, list[StartRun]] = field(default_factory=dict)
    effects: list[Effect] = field(default_factory=list)

    def evacuate(self, *zones: ZoneId) -> None:
        self.harness.send(ZonesEvacuated(frozenset(zones)))

    def play(self, duration_ms: int) -> list[Effect]:
        """Plays for a while: starts succeed, stops end runs; returns the effects."""
        effects: list[Effect] = []
        for _ in range(duration_ms // 100):
            self.harness.now_ms += 100
            for effect in self.harness.plan():
                effects.append(effect)
                if isinstance(effect, StartRun):
                    self.harness.reply_to_start(effect, StartOutcome.STARTED)
                    self.runs.setdefault(effect.host, []).append(effect)
            for host in list(self.harness.scheduler.state.hosts):
                self._report(host)
        self.effects += effects
        return effects

    def stop(self, order: StopRun) -> None:
        """Ends a run that was ordered to stop."""
        runs = self.runs[order.host]
        ended = next(run for run in runs if run.name == order.name)
        runs.remove(ended)
        end = an_end(ended, RunOutcome.STOPPED, 1 + len(self.effects))
        self._report(order.host, end)

    def _report(self, host: HostId, *ends: EndReport) -> None:
        """Reports a host's runs as working and in progress."""
        now_ms = self.harness.now_ms
        percent = 100 if self.is_lasting else now_ms // 100 % 100
        rows = tuple(
            RunReport(run.name, run.number, "", percent, 0)
            for run in self.runs.get(host, ())
        )
        self.harness.send(HostReport(host, BORN, now_ms, now_ms, rows, ends))


def a_site(*hosts: HostInfo, **step: Any) -> Site:
    """Returns a site whose first host runs all tasks of one job."""
    site = Site(SchedulerHarness(hosts[0]), step.get("is_lasting", False))
    site.harness.submit(a_job(a_step(need=CORE, **step)))
    site.play(TAKEOVER_PAUSE_MS)
    site.harness.send(HostsListed(hosts))
    for host in hosts[1:]:
        site.harness.report(host.id)
    return site


def stops(effects: list[Effect]) -> list[StopRun]:
    return [each for each in effects if isinstance(each, StopRun)]


def started_on(effects: list[Effect]) -> set[str]:
    return {each.host for each in effects if isinstance(each, StartRun)}


def plan_to_store(harness: SchedulerHarness) -> StoreJobs:
    effects = harness.scheduler.plan(harness.now_ms, harness.now_ms)
    return next(each for each in effects if isinstance(each, StoreJobs))


def test_a_start_that_waits_for_its_record_is_not_ordered_into_the_zone() -> None:
    harness = SchedulerHarness(host_in(A, "a1"))
    harness.submit(a_job())
    batch = plan_to_store(harness)
    harness.send(ZonesEvacuated(frozenset({A})))
    effects = harness.send(BatchStored(batch.batch))
    assert [type(each) for each in effects] == [StartWithheld]
    harness.send(HostsListed((host_in(A, "a1"), host_in(B, "b1"))))
    harness.report("b1")
    assert started_on(harness.plan()) == {"b1"}


def test_no_member_of_a_gang_starts_once_the_zone_of_one_is_evacuated() -> None:
    harness = SchedulerHarness(host_in(A, "a1", 1), host_in(B, "b1", 1))
    harness.submit(a_job(a_step(2, is_gang=True)))
    batch = plan_to_store(harness)
    harness.send(ZonesEvacuated(frozenset({A})))
    effects = harness.send(BatchStored(batch.batch))
    assert [type(each) for each in effects] == [StartWithheld] * 2


def test_a_start_that_its_link_withheld_is_placed_in_another_zone() -> None:
    harness = SchedulerHarness(host_in(A, "a1"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.send(ZonesEvacuated(frozenset({A})))
    harness.reply_to_start(order, StartOutcome.WITHHELD)
    harness.send(HostsListed((host_in(A, "a1"), host_in(B, "b1"))))
    harness.report("b1")
    assert started_on(harness.plan()) == {"b1"}


def test_a_machine_that_arrives_in_the_zone_gets_no_start() -> None:
    harness = SchedulerHarness()
    harness.send(ZonesEvacuated(frozenset({A})))
    harness.submit(a_job())
    harness.send(HostsListed((host_in(A, "a1"),)))
    harness.report("a1")
    assert harness.starts() == []


def test_tasks_that_would_lose_their_work_are_left_to_end() -> None:
    site = a_site(host_in(A, "a1"), host_in(B, "b1"), count=2)
    site.evacuate(A)
    assert not stops(site.play(6_000))


def test_no_more_checkpointing_runs_are_stopped_than_find_room() -> None:
    """Also while stopped runs have not ended, so that their room is still free."""
    site = a_site(host_in(A, "a1"), host_in(B, "b1", 2), count=4, is_checkpointing=True)
    site.evacuate(A)
    stopped = stops(site.play(SETTLE_MS + 2_000))
    assert len(stopped) == 2
    for order in stopped:
        site.stop(order)
    effects = site.play(1_000)
    assert started_on(effects) == {"b1"}
    assert not stops(effects)


def test_lasting_tasks_move_one_by_one_within_may_miss() -> None:
    site = a_site(host_in(A, "a1"), host_in(B, "b1"), count=3, is_lasting=True)
    site.evacuate(A)
    site.play(SETTLE_MS - 100)
    for _ in range(3):
        stopped = stops(site.play(200))
        assert len(stopped) == 1
        assert not stops(site.play(500))
        site.stop(stopped[0])
        assert started_on(site.play(100)) == {"b1"}
    assert not site.runs["a1"]


def test_a_lasting_task_without_room_elsewhere_stays() -> None:
    site = a_site(host_in(A, "a1"), host_in(B, "b1", 0), is_lasting=True, may_miss=1)
    site.evacuate(A)
    assert not stops(site.play(5_000))


def test_a_new_conductor_moves_no_lasting_task_in_its_first_seconds() -> None:
    site = Site(SchedulerHarness(host_in(A, "a1")), is_lasting=True)
    site.harness.submit(a_job(a_step(need=CORE, is_lasting=True)))
    site.play(300)
    site.harness.send(HostsListed((host_in(A, "a1"), host_in(B, "b1"))))
    site.harness.report("b1")
    site.evacuate(A)
    assert not stops(site.play(TAKEOVER_PAUSE_MS - 500))
    assert len(stops(site.play(1_000))) == 1


@pytest.mark.parametrize(
    ("cores", "is_checkpointing", "moved"),
    [(3, True, 3), (2, True, 0), (3, False, 0)],
)
def test_a_gang_moves_as_a_whole_with_its_checkpoint_or_not_at_all(
    cores: int, is_checkpointing: bool, moved: int
) -> None:
    site = a_site(
        host_in(A, "a1"),
        host_in(B, "b1", cores),
        count=3,
        is_gang=True,
        is_checkpointing=is_checkpointing,
    )
    site.evacuate(A)
    assert len(stops(site.play(SETTLE_MS + 1_000))) == moved


def test_a_host_of_the_zone_is_vacant_only_if_it_was_to_be_emptied() -> None:
    site = a_site(host_in(A, "a1"), host_in(A, "a2"), host_in(B, "b1"))
    site.evacuate(A)
    site.play(500)
    state = site.harness.scheduler.state
    assert vacant_hosts(state) == frozenset()
    site.harness.send(VacateRequested(frozenset({HostId("a2")})))
    site.play(500)
    assert vacant_hosts(state) == {"a2"}


def test_a_host_that_a_wave_empties_in_the_zone_is_emptied_once() -> None:
    site = a_site(host_in(A, "a1"), host_in(B, "b1"), count=2, is_checkpointing=True)
    site.evacuate(A)
    site.harness.send(VacateRequested(frozenset({HostId("a1")})))
    effects = site.play(SETTLE_MS + 2_000)
    assert Counter(order.name.number for order in stops(effects)) == {0: 1, 1: 1}
    assert not [each for each in effects if isinstance(each, RunsMoved)]


def test_hosts_are_loaded_in_steps_after_the_end() -> None:
    harness = SchedulerHarness(host_in(A, "a1", 8))
    harness.send(ZonesEvacuated(frozenset({A})))
    harness.submit(a_job(a_step(8, need=CORE)))
    harness.now_ms += 5_000
    assert harness.starts() == []
    harness.send(ZonesEvacuated(frozenset()))
    counts = []
    for _ in range(4):
        counts.append(len(harness.starts()))
        harness.now_ms += 1_000
    assert counts == [2, 2, 2, 2]


def test_a_request_withdrawn_within_a_second_leaves_no_trace() -> None:
    site = a_site(host_in(A, "a1"), host_in(B, "b1"), count=2, is_checkpointing=True)
    for _ in range(5):
        site.evacuate(A)
        effects = site.play(SETTLE_MS - 200)
        assert not stops(effects)
        site.evacuate()
        site.play(100)
    state = site.harness.scheduler.state
    assert not state.evacuation.ended_ms
    assert not state.evacuation.since_ms
    assert state.hosts[HostId("a1")].free == Resources(2_000, 62_000, 0)


def test_a_pool_without_hosts_outside_keeps_its_runs_and_says_so() -> None:
    site = a_site(host_in(A, "a1"), host_in(B, "b1"), count=2, is_checkpointing=True)
    site.evacuate(A, B)
    site.harness.submit(a_job(name="b"))
    effects = site.play(3_000)
    assert not stops(effects)
    assert not started_on(effects)
    reports = [each for each in effects if isinstance(each, EvacuationHosts)]
    assert reports == [EvacuationHosts(has_hosts=False)]
    progress = [each for each in effects if isinstance(each, EvacuationProgress)]
    assert [each.remaining for each in progress] == [{RunKind.CHECKPOINTING: 2}] * 3
    site.evacuate(A)
    assert EvacuationHosts(has_hosts=True) in site.play(500)


def test_the_zone_counts_neither_as_idle_nor_as_wanted_nor_as_need() -> None:
    site = a_site(host_in(A, "a1"), host_in(A, "a2", 16), host_in(B, "b1"), count=2)
    site.evacuate(A)
    load = pool_load(site.harness.scheduler.state)
    assert load.idle == (HostId("b1"),)
    assert load.host.cpu == 4_000
    assert load.need == Resources()


def test_without_requests_nothing_changes() -> None:
    """A deployment without evacuations plans and reports as before."""
    site = a_site(host_in(A, "a1"), host_in(B, "b1"), count=3, is_checkpointing=True)
    kinds = {type(each).__module__ for each in site.play(3_000)}
    assert not any(kind.endswith(".evacuation") for kind in kinds)
    assert len(site.runs["a1"]) == 3


class ZonedPool(LoadedPool):
    """A loaded pool that records when it starts runs in which zone."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.started: list[tuple[int, str]] = []

    def _start(self, order: StartRun) -> None:
        self.started.append((self.time.now_ms, order.host[0]))
        super()._start(order)

    def evacuate(self, *zones: ZoneId) -> None:
        self._send(ZonesEvacuated(frozenset(zones)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_loaded_pool_goes_on_outside_the_zone_and_returns(seed: int) -> None:
    pool = ZonedPool(Timeline(), seed)
    pool.add_hosts(*(HostId(f"{zone}{n:02}") for zone in "abc" for n in range(8)))
    pool.submit_bursts(Burst(0, 12_000, 8.0))
    pool.time.after(3_000, lambda: pool.evacuate(A))
    pool.time.after(8_000, pool.evacuate)
    outcome = run_pool(pool, 25_000)
    latest_ms = 3_000 + 10
    inside = [at_ms for at_ms, zone in pool.started if zone == "a"]
    assert not [at_ms for at_ms in inside if latest_ms < at_ms < 8_000]
    assert [at_ms for at_ms in inside if at_ms > 8_000]
    assert outcome.in_time > 0.9


@pytest.mark.parametrize("seed", range(30))
def test_invariants_hold_while_zones_are_evacuated(seed: int) -> None:
    """Also over lost calls, restarts of hosts and changes of conductor."""
    world = run_schedule(seed, evacuations=3)
    assert not world.promises.broken
    assert not world.starts_in_evacuated_zones
    assert not [job for job in world.specs if not world.state(job).is_final]
