"""Steps that cannot be placed, although total free resources are sufficient."""

from __future__ import annotations

from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import StartOutcome
from scheduling.parts import SchedulerHarness, a_host, a_job, a_step, an_end

WAIT_MS = 1_500
BIG = Resources(6_000, 1_000, 0)


def hosts_wanted(harness: SchedulerHarness) -> int:
    harness.now_ms += WAIT_MS
    harness.plan()
    harness.now_ms += WAIT_MS
    harness.plan()
    return harness.scheduler.state.load.wanted


def test_a_gang_that_fragmented_resources_cannot_fit_gets_more_hosts() -> None:
    """Three hosts with five of eight cores free don't fit four tasks of four cores."""
    harness = SchedulerHarness(a_host("h1"), a_host("h2"), a_host("h3"))
    lasting = a_step(3, need=Resources(3_000, 1, 0), is_lasting=True, max_per_host=1)
    harness.submit(a_job(lasting, name="lasting"))
    harness.starts()
    gang = a_step(4, need=Resources(4_000, 1_000, 0), is_gang=True)
    harness.submit(a_job(gang, name="gang"))
    assert harness.starts() == []
    assert hosts_wanted(harness) == 3 + 2


def test_tasks_that_must_not_share_a_host_get_one_each() -> None:
    harness = SchedulerHarness(a_host("h1"), a_host("h2"))
    harness.submit(a_job(a_step(5, max_per_host=1, is_lasting=True)))
    assert len(harness.starts()) == 2
    assert hosts_wanted(harness) == 2 + 3


def test_a_pool_that_places_all_tasks_wants_no_more_hosts() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job(a_step(4)))
    assert len(harness.starts()) == 4
    assert hosts_wanted(harness) == 0


def test_small_tasks_do_not_starve_a_gang() -> None:
    harness = SchedulerHarness(a_host("h1"), a_host("h2"))
    gang = a_step(2, need=BIG, is_gang=True)
    small = a_step(1, need=Resources(3_000, 1, 0))
    for number in range(4):
        harness.submit(a_job(small, name=f"s{number}"))
    running = harness.starts()
    for order in running:
        harness.reply_to_start(order, StartOutcome.STARTED)
    harness.submit(a_job(gang, name="a-gang"))
    harness.starts()
    begun = []
    for sequence, number in enumerate(range(4, 24), 1):
        harness.submit(a_job(small, name=f"s{number}"))
        harness.now_ms += 400
        ended = running.pop(0)
        listed = tuple(
            (each.name, each.number) for each in running if each.host == ended.host
        )
        ends = (an_end(ended, RunOutcome.DONE, sequence),)
        harness.report(ended.host, running=listed, ends=ends)
        for order in harness.starts():
            harness.reply_to_start(order, StartOutcome.STARTED)
            begun.append(order.name.job)
            running.append(order)
        if "a-gang" in begun:
            return
    raise AssertionError(begun)
