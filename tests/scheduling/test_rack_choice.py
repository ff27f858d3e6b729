"""Tasks that wait for the busy rack of their data, and what that costs others."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from amaranthtray.domain.ids import HostId, RackId, ZoneId
from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources, StepSpec
from amaranthtray.domain.jobs.task import HostCrash, RunOutcome
from amaranthtray.domain.scheduling.evacuation import ZonesEvacuated
from amaranthtray.domain.scheduling.messages import (
    Effect,
    HostSilent,
    HostsListed,
    StartOutcome,
)
from amaranthtray.domain.scheduling.orders import StartRun
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from amaranthtray.domain.scheduling.rack_waits import RackStarts, RackWait
from scheduling import load
from scheduling.parts import TEAM, SchedulerHarness, a_catalog, a_host, a_job, an_end
from scheduling.rack_load import WEIGH, RackOutcome, RackPool, play

if TYPE_CHECKING:
    from amaranthtray.domain.jobs.catalog import Catalog

OTHERS_MAY_LOSE = 0.02
"""Share of the jobs without a rack that may be late because others wait for a rack."""

RELAXED = a_catalog(weights={TEAM: 1_000}, slowdown_factor=20, target_ms=60_000)
NEAR, FAR = RackId("near"), RackId("far")
RUN_MS = 1_000
NEAR_HOST = replace(a_host("n", cores=2), rack=NEAR, zone=ZoneId("zn"))
FAR_HOST = replace(a_host("f", cores=2), rack=FAR)


def a_data_step(estimated_ms: int = RUN_MS, **fields: Any) -> StepSpec:
    """Returns a step of one task that fills a host; its data is in the near rack."""
    values = {"count": 1, "need": Resources(2_000, 100, 0), "data_rack": NEAR, **fields}
    return StepSpec(estimated_ms=estimated_ms, **values)


class RackSite(SchedulerHarness):
    """A host in the rack of the data, which is busy, and a free one elsewhere."""

    def __init__(self, first_ms: int = RUN_MS, catalog: Catalog = RELAXED) -> None:
        super().__init__(NEAR_HOST, FAR_HOST, catalog=catalog, policy=WEIGH)
        self.specs: list[JobSpec] = []
        self.effects: list[Effect] = []
        self.submit(a_job(a_data_step(first_ms), name="first"))
        assert self.step(0) == [("first", "n")]
        self.first = next(e for e in self.effects if isinstance(e, StartRun))

    def submit(self, spec: JobSpec, **fields: Any) -> None:
        spec = replace(spec, accepted_ms=self.now_ms)
        self.specs.append(spec)
        super().submit(spec, **fields)

    def step(self, elapsed_ms: int = 10) -> list[tuple[str, str]]:
        """Plans after a time; returns the jobs that start, with their hosts."""
        self.now_ms += elapsed_ms
        self.effects = self.plan()
        orders = [each for each in self.effects if isinstance(each, StartRun)]
        for order in orders:
            self.reply_to_start(order, StartOutcome.STARTED)
        return [(str(order.name.job), str(order.host)) for order in orders]

    def end_first(self) -> None:
        self.report("n", ends=(an_end(self.first, RunOutcome.DONE),))


def a_waiting_site() -> RackSite:
    """Returns a site with a job that waits for a run of which 600 ms are left."""
    site = RackSite()
    site.now_ms = 400
    site.submit(a_job(a_data_step(), name="second"))
    assert site.step(0) == []
    return site


def mean(outcomes: list[RackOutcome], field: str) -> float:
    return sum(getattr(each, field) for each in outcomes) / len(outcomes)


@pytest.mark.parametrize(
    ("multiple", "error", "others"),
    [(0.8, 0.5, False), (1.0, 0.5, False), (1.5, 0.5, False), (1.0, 0.9, True)],
)
def test_more_tasks_run_near_their_data_and_no_others_suffer(
    multiple: float, error: float, others: bool
) -> None:
    """Load: 12 s of jobs that want one rack of three, beside jobs without a rack.

    The last one has poor estimates, learned run times and reservations as well.
    """
    base = SchedulingPolicy(learn_run_times=others, look_ahead=others)
    old, new = (
        [play(seed, multiple, policy, error) for seed in (1, 2, 3)]
        for policy in (base, replace(base, weigh_remote_hosts=True))
    )
    assert mean(new, "remote") <= 0.9 * mean(old, "remote")
    assert mean(new, "run_ms") < mean(old, "run_ms")
    assert mean(new, "near") > mean(old, "near")
    assert mean(new, "other") >= mean(old, "other") - OTHERS_MAY_LOSE
    assert mean(new, "other_s") <= 1.02 * mean(old, "other_s")


def test_plans_do_not_differ_where_no_task_has_a_rack() -> None:
    """Load: 3 s of 1.5 times the capacity by tasks without a rack."""
    ends = []
    for policy in (SchedulingPolicy(), WEIGH):
        pool = RackPool(load.Timeline(), 1, policy=policy)
        pool.add_hosts(*(HostId(f"r{n % 2}-{n}") for n in range(6)))
        pool.submit_bursts(load.Burst(0, 3_000, 9.0))
        load.run_pool(pool, 6_000)
        ends.append([each.ended_ms for each in pool.jobs.values()])
    assert len(ends[0]) > 10
    assert ends[0] == ends[1]


def test_task_waits_for_a_run_that_ends_soon() -> None:
    site = a_waiting_site()
    (wait,) = [e for e in site.effects if isinstance(e, RackWait)]
    assert wait == RackWait(NEAR, 1, 0, 600, 1, 400)
    assert site.step(500) == []
    site.end_first()
    assert site.step(100) == [("second", "n")]
    assert RackStarts(near=1, far=0, remote=0) in site.effects


def test_task_starts_remotely_where_that_ends_sooner() -> None:
    site = RackSite(first_ms=1_500)
    site.submit(a_job(a_data_step(), name="second"))
    assert site.step() == [("second", "f")]
    assert RackStarts(near=0, far=0, remote=1) in site.effects


def test_only_as_many_tasks_wait_as_get_their_turn() -> None:
    """Failure: all tasks wait for the end of the same run."""
    site = RackSite()
    site.now_ms = 400
    for name in ("second", "third"):
        site.submit(a_job(a_data_step(), name=name))
    assert site.step(0) == [("third", "f")]


def test_task_does_not_wait_where_its_job_could_be_late() -> None:
    """Failure: a job that a remote run serves in time is late by its wait."""
    site = RackSite(catalog=a_catalog(weights={TEAM: 9}, target_ms=1_100))
    site.now_ms = 400
    site.submit(a_job(a_data_step(), name="second"))
    assert site.step(0) == [("second", "f")]


@pytest.mark.parametrize(
    "fields",
    [
        {"is_gang": True},
        {"fills": True, "need": Resources(0, 40_000, 0)},
        {"is_lasting": True},
        {"data_rack": RackId("nowhere")},
        {"data_rack": RackId("")},
        {"estimated_ms": 0},
    ],
)
def test_other_tasks_start_at_once(fields: dict[str, Any]) -> None:
    """Failure: a task waits for a rack without hosts, or one that may not wait does."""
    site = RackSite()
    site.now_ms = 400
    site.submit(a_job(a_data_step(500, need=Resources(0, 40_000, 0)), name="full"))
    assert site.step(0) == [("full", "n")]
    site.submit(a_job(a_data_step(**fields), name="second"))
    assert site.step(0) == [("second", "f")]


def test_task_without_a_rack_avoids_the_rack_that_others_wait_for() -> None:
    room = Resources(4_000, 9_999, 0)
    hosts = [replace(each, capacity=room) for each in (NEAR_HOST, FAR_HOST)]
    site = SchedulerHarness(*hosts, catalog=RELAXED, policy=WEIGH)
    site.submit(a_job(a_data_step(), name="first"))
    assert [each.host for each in site.starts()] == ["n"]
    site.now_ms = 400
    site.submit(a_job(a_data_step(need=Resources(3_000, 100, 0)), name="data"))
    site.submit(a_job(a_data_step(need=Resources(1_500, 9, 0), data_rack=""), name="x"))
    assert [each.host for each in site.starts()] == ["f"]
    site.submit(a_job(a_data_step(data_rack=""), name="y"))
    site.submit(a_job(a_data_step(data_rack=""), name="z"))
    assert sorted(each.host for each in site.starts()) == ["f", "n"]


def test_suspect_of_a_crash_starts_at_once() -> None:
    """Failure: a task that may have crashed a host waits, and with it its isolation."""
    site = RackSite()
    site.now_ms = 400
    site.submit(a_job(a_data_step(), name="second"))
    (task,) = site.scheduler.state.jobs[JobId("second")].tasks(0, 0)
    task.crashes.append(HostCrash(HostId("lost"), 1, "lost"))
    assert site.step(0) == [("second", "f")]


@pytest.mark.parametrize("fault", ["silent", "gone", "draining", "evacuated"])
def test_wait_ends_in_the_next_plan_when_the_rack_is_lost(fault: str) -> None:
    """Failure: the rack is lost or evacuated while a task waits for it."""
    site = a_waiting_site()
    match fault:
        case "silent":
            site.send(HostSilent(NEAR_HOST.id))
        case "gone":
            site.send(HostsListed((FAR_HOST,)))
        case "draining":
            site.send(HostsListed((replace(NEAR_HOST, is_draining=True), FAR_HOST)))
        case "evacuated":
            site.send(ZonesEvacuated(frozenset({NEAR_HOST.zone})))
    assert site.step() == [("second", "f")]


def test_wait_is_bounded_when_a_run_outlasts_its_estimate() -> None:
    """Failure: the run that the task waits for does not end."""
    site = a_waiting_site()
    begun: list[tuple[str, str]] = []
    while not begun:
        begun = site.step(50)
        assert site.now_ms <= 400 + RUN_MS
    assert begun == [("second", "f")]
    assert site.now_ms > RUN_MS
    assert RackStarts(near=0, far=1, remote=1) in site.effects


def test_new_conductor_decides_anew_and_starts_each_task_once() -> None:
    """Failure: a conductor is lost while a task waits; its waits are not stored."""
    site = RackSite(first_ms=700)
    site.submit(a_job(a_data_step(), name="second"))
    assert site.step(0) == []
    successor = SchedulerHarness(NEAR_HOST, FAR_HOST, catalog=RELAXED, policy=WEIGH)
    for spec in site.specs:
        successor.submit(spec, record=site.records.get(spec.id))
    successor.report("n", running=((site.first.name, site.first.number),))
    assert successor.starts() == []
    successor.now_ms = 300
    successor.report("n", ends=(an_end(site.first, RunOutcome.DONE),))
    assert [(e.name.job, e.host) for e in successor.starts()] == [("second", "n")]
    successor.now_ms = 2_000
    assert successor.starts() == []
