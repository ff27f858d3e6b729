"""Hosts whose capacity shrinks and grows again while they run tasks."""

from __future__ import annotations

from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import (
    BatchStored,
    HostsListed,
    JobCancelled,
    StartOutcome,
    StoreJobs,
)
from amaranthtray.domain.scheduling.orders import StartRun
from scheduling.parts import SchedulerHarness, a_catalog, a_host, a_job, a_step, an_end

UNGUARDED = {"catalog": a_catalog(enforces_capacity=False)}


def resize(harness: SchedulerHarness, cores: int) -> None:
    """Lists the only host with another capacity."""
    harness.send(HostsListed((a_host(cores=cores),)))


def test_a_host_that_shrank_gets_no_start_until_its_runs_fit_again() -> None:
    harness = SchedulerHarness(a_host(cores=4), **UNGUARDED)
    harness.submit(a_job(a_step(4)))
    running = harness.starts()
    for order in running:
        harness.reply_to_start(order, StartOutcome.STARTED)
    resize(harness, 2)
    harness.submit(a_job(name="b"))
    for sequence, order in enumerate(running, 1):
        assert harness.starts() == []
        harness.now_ms += 50
        harness.report(
            running=tuple((each.name, each.number) for each in running[sequence:]),
            ends=(an_end(order, RunOutcome.DONE, sequence),),
        )
        if len(running) - sequence < 2:
            break
    assert len(harness.starts()) == 1


def test_a_run_that_is_being_stopped_still_counts_on_a_host_that_shrank() -> None:
    harness = SchedulerHarness(a_host(cores=2), **UNGUARDED)
    harness.submit(a_job(a_step(2)))
    running = harness.starts()
    for order in running:
        harness.reply_to_start(order, StartOutcome.STARTED)
    resize(harness, 1)
    harness.send(JobCancelled(running[0].name.job))
    harness.submit(a_job(name="b"))
    assert harness.starts() == []
    harness.now_ms += 50
    ends = [an_end(each, RunOutcome.STOPPED, n) for n, each in enumerate(running, 1)]
    harness.report(ends=tuple(ends))
    assert len(harness.starts()) == 1


def test_a_start_that_waits_for_the_store_is_not_ordered_to_a_host_that_shrank() -> (
    None
):
    harness = SchedulerHarness(a_host(cores=4), **UNGUARDED)
    harness.submit(a_job(a_step(4)))
    (batch,) = harness.scheduler.plan(0, 0)
    assert isinstance(batch, StoreJobs)
    resize(harness, 1)
    released = harness.send(BatchStored(batch.batch))
    assert len([each for each in released if isinstance(each, StartRun)]) == 1
    resize(harness, 4)
    assert len(harness.starts()) == 3


def test_a_host_that_grew_again_is_filled() -> None:
    harness = SchedulerHarness(a_host(cores=1), **UNGUARDED)
    harness.submit(a_job(a_step(4)))
    assert len(harness.starts()) == 1
    resize(harness, 4)
    assert len(harness.starts()) == 3


def test_a_start_that_waits_for_the_store_is_not_ordered_to_a_leaving_host() -> None:
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    (batch,) = harness.scheduler.plan(0, 0)
    assert isinstance(batch, StoreJobs)
    leaving = [a_host(name, is_draining=True) for name in ("h", "i")]
    harness.send(HostsListed(tuple(leaving)))
    assert harness.send(BatchStored(batch.batch)) == []
    harness.send(HostsListed((a_host(), a_host("i", is_draining=True))))
    assert [order.host for order in harness.starts()] == ["h"]
