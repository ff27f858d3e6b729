"""Evacuated zones: nothing starts there, and runs leave as far as they may."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from amaranthtray.domain.ids import HostId, ZoneId
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling import evacuation, messages
from amaranthtray.domain.scheduling._evacuation_moves import SETTLE_MS
from amaranthtray.domain.scheduling._load import pool_load
from amaranthtray.domain.scheduling._vacating import TAKEOVER_PAUSE_MS
from amaranthtray.domain.scheduling.messages import Effect, StartOutcome
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from scheduling.load import Burst, LoadedPool, Timeline, run_pool
from scheduling.parts import BORN, SchedulerHarness, a_host, a_job, a_step, an_end
from scheduling.test_schedules import run_schedule

A, B = ZoneId("a"), ZoneId("b")
CORE = Resources(1_000, 1_000, 0)


def host_in(name: str, cores: int = 4) -> messages.HostInfo:
    """Returns a host whose zone is the first letter of its name."""
    return replace(a_host(name, cores=cores), zone=ZoneId(name[0]))


class Site(SchedulerHarness):
    """Hosts that report the runs that were ordered until a test ends them."""

    def __init__(self, *hosts: messages.HostInfo) -> None:
        super().__init__(*hosts)
        self.runs: dict[str, list[StartRun]] = {}
        self.is_lasting = False
        self.ends = 0

    def evacuate(self, *zones: ZoneId) -> None:
        self.send(evacuation.ZonesEvacuated(frozenset(zones)))

    def list_hosts(self, *hosts: messages.HostInfo) -> None:
        self.send(messages.HostsListed(hosts))
        for host in hosts:
            self._report(host.id)

    def play(self, duration_ms: int) -> list[Effect]:
        """Plays for a while, in which starts succeed; returns the effects."""
        effects: list[Effect] = []
        for _ in range(duration_ms // 100):
            self.now_ms += 100
            for effect in self.plan():
                effects.append(effect)
                if isinstance(effect, StartRun):
                    self.reply_to_start(effect, StartOutcome.STARTED)
                    self.runs.setdefault(effect.host, []).append(effect)
            for host in list(self.scheduler.state.hosts):
                self._report(host)
        return effects

    def end(self, order: StopRun) -> None:
        """Ends a run that was ordered to stop."""
        ended = next(r for r in self.runs[order.host] if r.name == order.name)
        self.runs[order.host].remove(ended)
        self.ends += 1
        self._report(order.host, an_end(ended, RunOutcome.STOPPED, self.ends))

    def _report(self, host: HostId, *ends: messages.EndReport) -> None:
        percent = 100 if self.is_lasting else self.now_ms // 100 % 100
        runs, now_ms = self.runs.get(host, ()), self.now_ms
        rows = [messages.RunReport(r.name, r.number, "", percent, 0) for r in runs]
        report = messages.HostReport(host, BORN, now_ms, now_ms, tuple(rows), ends)
        self.send(report)


def a_site(*hosts: messages.HostInfo, begin_ms: int = 2_500, **step: Any) -> Site:
    """Returns a site whose first host runs all tasks of one job."""
    site = Site(hosts[0])
    site.is_lasting = step.get("is_lasting", False)
    site.submit(a_job(a_step(need=CORE, **step)))
    site.play(begin_ms)
    site.list_hosts(*hosts)
    return site


def stops(effects: list[Effect]) -> list[StopRun]:
    return [each for each in effects if isinstance(each, StopRun)]


def started_on(effects: list[Effect]) -> set[str]:
    return {each.host for each in effects if isinstance(each, StartRun)}


@pytest.mark.parametrize("is_gang", [False, True])
def test_a_start_that_waits_for_its_record_is_not_ordered_into_the_zone(
    is_gang: bool,
) -> None:
    """Nor is that of a gang's member in another zone, which could not work."""
    site = Site(*[host_in("a1", 1), host_in("b1", 1)][: 1 + is_gang])
    site.submit(a_job(a_step(1 + is_gang, need=CORE, is_gang=is_gang)))
    site.scheduler.plan(0, 0)
    site.evacuate(A)
    effects = site.send(messages.BatchStored(site.scheduler.state.batch))
    assert {type(each) for each in effects} == {evacuation.StartWithheld}
    assert len(effects) == 1 + is_gang
    site.list_hosts(host_in("a1"), host_in("b1"))
    assert started_on(site.plan()) == {"b1"}


def test_a_start_that_its_link_withheld_is_placed_in_another_zone() -> None:
    site = Site(host_in("a1"))
    site.submit(a_job())
    order = site.starts()[0]
    site.evacuate(A)
    site.reply_to_start(order, StartOutcome.WITHHELD)
    site.list_hosts(host_in("a1"), host_in("b1"))
    assert started_on(site.plan()) == {"b1"}


def test_a_machine_that_arrives_in_the_zone_gets_no_start() -> None:
    site = Site()
    site.evacuate(A)
    site.submit(a_job())
    site.list_hosts(host_in("a1"))
    assert site.starts() == []


def test_no_more_checkpointing_runs_are_stopped_than_find_room() -> None:
    """Also while stopped runs have not ended, so that their room is still free."""
    site = a_site(host_in("a1"), host_in("b1", 2), count=4, is_checkpointing=True)
    site.evacuate(A)
    stopped = stops(site.play(SETTLE_MS + 2_000))
    assert len(stopped) == 2
    for order in stopped:
        site.end(order)
    effects = site.play(1_000)
    assert started_on(effects) == {"b1"}
    assert not stops(effects)


def test_lasting_tasks_move_one_by_one_within_may_miss() -> None:
    site = a_site(host_in("a1"), host_in("b1"), count=3, is_lasting=True)
    site.evacuate(A)
    site.play(SETTLE_MS - 100)
    for _ in range(3):
        stopped = stops(site.play(200))
        assert len(stopped) == 1
        assert not stops(site.play(500))
        site.end(stopped[0])
        assert started_on(site.play(100)) == {"b1"}


def test_a_new_conductor_moves_no_lasting_task_in_its_first_seconds() -> None:
    site = a_site(host_in("a1"), host_in("b1"), begin_ms=300, is_lasting=True)
    site.evacuate(A)
    assert not stops(site.play(TAKEOVER_PAUSE_MS - 500))
    assert len(stops(site.play(1_000))) == 1


@pytest.mark.parametrize(
    ("cores", "step", "moved"),
    [
        (4, {}, 0),
        (0, {"is_lasting": True, "may_miss": 3}, 0),
        (3, {"is_gang": True}, 0),
        (2, {"is_gang": True, "is_checkpointing": True}, 0),
        (3, {"is_gang": True, "is_checkpointing": True}, 3),
    ],
)
def test_runs_stay_without_a_checkpoint_or_room_and_gangs_move_whole(
    cores: int, step: dict[str, Any], moved: int
) -> None:
    site = a_site(host_in("a1"), host_in("b1", cores), count=3, **step)
    site.evacuate(A)
    assert len(stops(site.play(SETTLE_MS + 4_000))) == moved


def test_a_host_of_the_zone_is_emptied_once_and_vacant_only_on_request() -> None:
    site = a_site(
        host_in("a1"), host_in("a2"), host_in("b1"), count=2, is_checkpointing=True
    )
    site.evacuate(A)
    site.play(500)
    assert site.scheduler.state.vacant == frozenset()
    site.send(messages.VacateRequested(frozenset({HostId("a1"), HostId("a2")})))
    effects = site.play(SETTLE_MS + 2_000)
    assert len(stops(effects)) == 2
    assert not [each for each in effects if isinstance(each, evacuation.RunsMoved)]
    assert site.scheduler.state.vacant == {"a2"}


def test_hosts_are_loaded_in_steps_after_the_end() -> None:
    site = Site(host_in("a1", 8))
    site.evacuate(A)
    site.submit(a_job(a_step(8, need=CORE)))
    site.now_ms += 5_000
    assert site.starts() == []
    site.evacuate()
    for _ in range(4):
        assert len(site.starts()) == 2
        site.now_ms += 1_000


def test_a_request_withdrawn_within_a_second_leaves_no_trace() -> None:
    site = a_site(host_in("a1"), host_in("b1"), count=2, is_checkpointing=True)
    for _ in range(5):
        site.evacuate(A)
        assert not stops(site.play(SETTLE_MS - 200))
        site.evacuate()
        site.play(100)
    assert not site.scheduler.state.evacuation.ended_ms
    assert site.scheduler.state.hosts[HostId("a1")].free.cpu == 2_000


def test_a_pool_without_hosts_outside_keeps_its_runs_and_says_so() -> None:
    site = a_site(host_in("a1"), host_in("b1"), count=2, is_checkpointing=True)
    site.evacuate(A, B)
    site.submit(a_job(name="b"))
    effects = site.play(3_000)
    assert not stops(effects)
    assert not started_on(effects)
    assert effects.count(evacuation.EvacuationHosts(has_hosts=False)) == 1
    progress = [e for e in effects if isinstance(e, evacuation.EvacuationProgress)]
    assert [each.remaining for each in progress] == [{"checkpointing": 2}] * 3
    site.evacuate(A)
    assert evacuation.EvacuationHosts(has_hosts=True) in site.play(500)


def test_the_zone_counts_neither_as_idle_nor_as_size_nor_as_need() -> None:
    site = a_site(host_in("a1"), host_in("a2", 16), host_in("b1"), count=2)
    site.evacuate(A)
    load = pool_load(site.scheduler.state)
    assert load.idle == (HostId("b1"),)
    assert (load.host.cpu, load.need.cpu + load.late.cpu) == (4_000, 0)


def test_without_requests_nothing_changes() -> None:
    """A deployment without evacuations plans and reports as before."""
    site = a_site(host_in("a1"), host_in("b1"), count=3, is_checkpointing=True)
    modules = {type(each).__module__ for each in site.play(3_000)}
    assert evacuation.__name__ not in modules


class ZonedPool(LoadedPool):
    """A loaded pool that records when runs start in the first zone."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.started_ms: list[int] = []

    def _start(self, order: StartRun) -> None:
        self.started_ms += [self.time.now_ms] if order.host[0] == A else []
        super()._start(order)

    def evacuate(self, *zones: ZoneId) -> None:
        self._send(evacuation.ZonesEvacuated(frozenset(zones)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_loaded_pool_goes_on_outside_the_zone_and_returns(seed: int) -> None:
    pool = ZonedPool(Timeline(), seed)
    pool.add_hosts(*(HostId(f"{zone}{n:02}") for zone in "abc" for n in range(8)))
    pool.submit_bursts(Burst(0, 12_000, 8.0))
    pool.time.after(3_000, lambda: pool.evacuate(A))
    pool.time.after(8_000, pool.evacuate)
    outcome = run_pool(pool, 25_000)
    assert not [each for each in pool.started_ms if 3_010 < each < 8_000]
    assert max(pool.started_ms) > 8_000
    assert outcome.in_time > 0.9


@pytest.mark.parametrize("seed", range(30))
def test_invariants_hold_while_zones_are_evacuated(seed: int) -> None:
    """Also over lost calls, restarts of hosts and changes of conductor."""
    world = run_schedule(seed, evacuations=3)
    assert not world.promises.broken
    assert not world.starts_in_evacuated_zones
    assert not [job for job in world.specs if not world.state(job).is_final]
