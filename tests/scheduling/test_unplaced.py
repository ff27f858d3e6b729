"""Steps that find no place, though there is room enough in all."""

from __future__ import annotations

from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import StartOutcome
from scheduling.parts import SchedulerHarness, a_host, a_job, a_step, an_end

LONG_MS = 1_500
BIG = Resources(6_000, 1_000, 0)


def wanted(bench: SchedulerHarness) -> int:
    bench.now_ms += LONG_MS
    bench.plan()
    bench.now_ms += LONG_MS
    bench.plan()
    return bench.scheduler.board.load.wanted


def test_a_gang_that_fits_in_pieces_only_gets_more_hosts() -> None:
    """Three hosts with five of eight cores free don't take four tasks of four."""
    bench = SchedulerHarness(a_host("h1"), a_host("h2"), a_host("h3"))
    lasting = a_step(3, need=Resources(3_000, 1, 0), is_lasting=True, max_per_host=1)
    bench.submit(a_job(lasting, name="lasting"))
    bench.starts()
    gang = a_step(4, need=Resources(4_000, 1_000, 0), is_gang=True)
    bench.submit(a_job(gang, name="gang"))
    assert bench.starts() == []
    assert wanted(bench) == 3 + 2


def test_tasks_that_must_be_apart_get_a_host_each() -> None:
    bench = SchedulerHarness(a_host("h1"), a_host("h2"))
    bench.submit(a_job(a_step(5, max_per_host=1, is_lasting=True)))
    assert len(bench.starts()) == 2
    assert wanted(bench) == 2 + 3


def test_a_pool_in_which_all_find_a_place_wants_no_more() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job(a_step(4)))
    assert len(bench.starts()) == 4
    assert wanted(bench) == 0


def test_small_tasks_do_not_keep_a_gang_out_for_ever() -> None:
    bench = SchedulerHarness(a_host("h1"), a_host("h2"))
    gang = a_step(2, need=BIG, is_gang=True)
    small = a_step(1, need=Resources(3_000, 1, 0))
    for number in range(4):
        bench.submit(a_job(small, name=f"s{number}"))
    running = bench.starts()
    for order in running:
        bench.replied(order, StartOutcome.STARTED)
    bench.submit(a_job(gang, name="a-gang"))
    bench.starts()
    begun = []
    for sequence, number in enumerate(range(4, 24), 1):
        bench.submit(a_job(small, name=f"s{number}"))
        bench.now_ms += 400
        ended = running.pop(0)
        listed = tuple(
            (each.name, each.number) for each in running if each.host == ended.host
        )
        ends = (an_end(ended, RunOutcome.DONE, sequence),)
        bench.report(ended.host, running=listed, ends=ends)
        for order in bench.starts():
            bench.replied(order, StartOutcome.STARTED)
            begun.append(order.name.job)
            running.append(order)
        if "a-gang" in begun:
            return
    raise AssertionError(begun)
