"""Tasks that crash the hosts that start them, and the tasks beside them."""

from __future__ import annotations

import random

import pytest

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.job import Job, JobState
from amaranthtray.domain.jobs.model import JobId, Resources, StepKey, StepSpec, TaskName
from amaranthtray.domain.jobs.record import restore
from amaranthtray.domain.jobs.task import HostCrash, Run, RunPhase
from amaranthtray.domain.scheduling._quarantine import place_overdue
from amaranthtray.domain.scheduling.host import Host
from amaranthtray.domain.scheduling.losses import (
    CrashWithdrawn,
    LossCause,
)
from amaranthtray.domain.scheduling.messages import (
    HostRunsEnded,
    HostSilent,
    HostsListed,
    StartOutcome,
    StopReplied,
)
from scheduling.crashing_pool import CrashingPool
from scheduling.parts import BORN, SchedulerHarness, a_host, a_job, a_step

MAX_STARTS = 5
"""Two more starts are allowed after three hosts have crashed."""


def task_name(job: str, step: int = 0, number: int = 0) -> TaskName:
    """Returns the name of a task of a job's only occurrence."""
    return TaskName(JobId(job), 0, step, number)


def load(pool: CrashingPool, *, seconds: int, per_s: int, crashing_every: int) -> None:
    """Submits jobs at a steady rate; one in ``crashing_every`` crashes its hosts."""
    count = 0
    for _ in range(seconds):
        for _ in range(per_s):
            count += 1
            spec = a_job(a_step(6, need=Resources(1_000, 500, 0)), name=f"j{count}")
            is_crashing = crashing_every and count % crashing_every == 0
            pool.submit(spec, *([task_name(spec.id)] if is_crashing else []))
            pool.run(1_000 // per_s)


@pytest.mark.parametrize("keeps_id", [False, True])
@pytest.mark.parametrize("confirms", [False, True])
def test_a_task_that_crashes_its_hosts_is_not_restarted_for_ever(
    *, confirms: bool, keeps_id: bool
) -> None:
    pool = CrashingPool(confirms=confirms, keeps_id=keeps_id)
    load(pool, seconds=10, per_s=2, crashing_every=10)
    pool.run(40_000)
    crashing = {name.job for name in pool.crashing}
    assert all(len(pool.starts[name]) <= MAX_STARTS for name in pool.crashing)
    for job in pool.specs:
        expected = JobState.FAILED if job in crashing else JobState.COMPLETED
        assert pool.state(job) is expected


def test_crashes_are_counted_across_conductors() -> None:
    pool = CrashingPool()
    pool.submit(a_job(), task_name("a"))
    for _ in range(60):
        pool.run(1_000)
        pool.take_over()
    assert len(pool.starts[task_name("a")]) <= MAX_STARTS
    assert pool.state(JobId("a")) is JobState.FAILED


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_crash_by_themselves_fail_no_job(seed: int) -> None:
    rng = random.Random(seed)
    pool = CrashingPool(hosts=6, keeps_id=bool(seed % 2))
    for number in range(40):
        pool.submit(a_job(a_step(6), name=f"j{number}"))
        pool.run(250)
        hosts = pool.up_hosts()
        if len(hosts) > 3 and rng.random() < 0.3:
            pool.crash(rng.choice(hosts))
    pool.run(30_000)
    assert {pool.state(job) for job in pool.specs} == {JobState.COMPLETED}


def test_a_task_whose_copies_crash_their_hosts_too_is_given_up_in_time() -> None:
    pool = CrashingPool()
    pool.submit(a_job(a_step(4, allows_copies=True)), task_name("a"))
    pool.run(60_000)
    assert len(pool.starts[task_name("a")]) <= MAX_STARTS
    assert pool.state(JobId("a")) is JobState.FAILED


def test_a_gang_with_a_crashing_member_is_given_up() -> None:
    pool = CrashingPool()
    step = a_step(6, is_gang=True, need=Resources(3_000, 500, 0))
    pool.submit(a_job(step), task_name("a", number=2))
    pool.submit(a_job(a_step(4), name="b"))
    pool.run(60_000)
    assert len(pool.starts[task_name("a", number=2)]) <= MAX_STARTS
    assert pool.state(JobId("a")) is JobState.FAILED
    assert pool.state(JobId("b")) is JobState.COMPLETED


def test_a_crashing_lasting_task_is_given_up_and_the_others_of_its_job_go_on() -> None:
    pool = CrashingPool()
    pool.submit(a_job(a_step(3, is_lasting=True)), task_name("a", number=1))
    pool.run(60_000)
    assert len(pool.starts[task_name("a", number=1)]) <= MAX_STARTS
    assert pool.state(JobId("a")) is JobState.RUNNING
    assert pool.running() == {task_name("a"), task_name("a", number=2)}


def test_a_lasting_task_outlives_any_number_of_hosts_that_crash_by_themselves() -> None:
    pool = CrashingPool(keeps_id=True)
    pool.submit(a_job(a_step(2, is_lasting=True)))
    for _ in range(12):
        pool.run(7_000)
        for host in pool.up_hosts():
            if host.running:
                pool.crash(host)
    pool.run(7_000)
    assert pool.running() == {task_name("a"), task_name("a", number=1)}


def test_a_crashing_task_is_given_up_where_every_host_has_lasting_tasks() -> None:
    pool = CrashingPool(hosts=3)
    spread = a_step(3, is_lasting=True, max_per_host=1)
    pool.submit(a_job(spread, name="lasting"))
    pool.run(1_000)
    pool.submit(a_job(), task_name("a"))
    pool.run(60_000)
    assert len(pool.starts[task_name("a")]) <= MAX_STARTS
    assert pool.state(JobId("a")) is JobState.FAILED
    assert len(pool.running()) == 3


def test_a_crashing_task_takes_the_runs_of_two_hosts_with_it_at_most() -> None:
    pool = CrashingPool(hosts=4, cores=8)
    pool.submit(a_job(), task_name("a"))
    load(pool, seconds=15, per_s=4, crashing_every=0)
    pool.run(20_000)
    beside = [count for name, count in pool.lost.items() if name not in pool.crashing]
    assert sum(beside) <= 2 * 8
    assert {pool.state(job) for job in pool.specs if job != "a"} == {JobState.COMPLETED}


def test_a_host_that_was_only_cut_off_is_no_crash() -> None:
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    harness.send(HostSilent(order.host))
    harness.send(HostRunsEnded(order.host, LossCause.LEASE_EXPIRED))
    assert [again.prior_crashes for again in harness.starts()] == [1]
    withdrawn = harness.report(order.host)
    assert CrashWithdrawn(order.host, BORN, (order.name,)) in withdrawn
    harness.plan()
    assert not restore(a_job(), harness.records[order.name.job]).crash_count(order.name)


def test_a_host_that_leaves_after_its_notice_is_no_crash() -> None:
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    infos = [a_host(name, is_draining=name == order.host) for name in ("h", "i")]
    harness.send(HostsListed(tuple(infos)))
    harness.send(HostRunsEnded(order.host, LossCause.ADDRESS_REUSED))
    assert [again.prior_crashes for again in harness.starts()] == [0]


def test_an_order_that_was_never_sent_is_no_crash() -> None:
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.UNHEALTHY)
    harness.send(HostRunsEnded(order.host, LossCause.ADDRESS_REUSED))
    assert [again.prior_crashes for again in harness.starts()] == [0]


@pytest.mark.parametrize("was_up_after", [True, False])
def test_a_host_that_is_up_after_a_stop_has_survived_the_run(
    *, was_up_after: bool
) -> None:
    """Guards against healthy tasks given up whose runs had been stopped long before."""
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.NO_REPLY)
    asked_ms, harness.now_ms = harness.now_ms, harness.now_ms + 1_000
    stopped = (order.host, order.name, order.number, harness.now_ms)
    harness.send(StopReplied(*stopped))
    if was_up_after:
        harness.report(order.host, sent_ms=asked_ms)
    harness.report(order.host, born=BORN + 1)
    assert [again.prior_crashes for again in harness.starts()] == [not was_up_after]


def test_a_crash_of_one_host_is_counted_once_by_conductors_in_turn() -> None:
    first = SchedulerHarness(a_host())
    first.submit(a_job())
    order = first.starts()[0]
    first.reply_to_start(order, StartOutcome.STARTED)
    for _ in range(2):
        again = SchedulerHarness()
        again.submit(a_job(), record=first.records[order.name.job])
        again.send(HostsListed((a_host(),)))
        again.report(born=BORN + 1)
        assert [start.prior_crashes for start in again.starts()] == [1]


def test_a_suspect_shares_a_host_if_the_empty_ones_lack_its_label() -> None:
    job = Job(a_job(a_step(required_label="fast")))
    crashes = [HostCrash(HostId(name), BORN, name) for name in ("x", "y")]
    job.task(task_name("a")).crashes = crashes  # type: ignore[union-attr]
    busy = Host(a_host("busy", labels=frozenset({"fast"})))
    busy.add(task_name("b"), a_step(), Run(1, busy.info.id, BORN, RunPhase.RUNNING))
    key = StepKey(JobId("a"), 0, 0)
    placements = place_overdue(job, key, [0], [Host(a_host("empty")), busy])
    assert [placement.host for placement in placements] == [busy]


@pytest.mark.parametrize(
    "step", [a_step(required_label="fast"), a_step(need=Resources(9_000, 1, 0))]
)
def test_no_host_is_kept_for_a_suspect_that_can_run_on_none(step: StepSpec) -> None:
    """Guards against a pool of one host that is kept free for good."""
    harness = SchedulerHarness(a_host())
    harness.submit(a_job(step))
    crashes = [HostCrash(HostId(name), BORN, name) for name in ("x", "y")]
    task = harness.scheduler.state.jobs[JobId("a")].task(task_name("a"))
    assert task is not None
    task.crashes = crashes
    for number in range(3):
        harness.submit(a_job(name=f"other{number}"))
        assert len(harness.starts()) == 1
