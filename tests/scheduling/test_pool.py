"""Decisions of a pool's scheduler, one failure of a played day each."""

from __future__ import annotations

from amaranthtray.domain.jobs.job import JobState
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.jobs.record import decode_state
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling._vacating import TAKEOVER_PAUSE_MS
from amaranthtray.domain.scheduling.messages import (
    AcknowledgeEnds,
    BatchNotStored,
    HostRunsEnded,
    HostSilent,
    HostsListed,
    JobCancelled,
    JobFound,
    StartOutcome,
    StartRun,
    StopRun,
    StoreJobs,
    VacateRequested,
)
from scheduling.parts import SchedulerHarness, a_catalog, a_host, a_job, a_step, an_end


def test_a_run_is_ordered_only_once_its_record_is_stored() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    batch = bench.scheduler.plan(0, 0)
    assert [type(each) for each in batch] == [StoreJobs]
    assert bench.tell(BatchNotStored(batch[0].batch)) == []  # type: ignore[union-attr]
    assert len(bench.starts()) == 1


def test_an_end_is_acknowledged_only_once_it_is_stored() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    order = bench.starts()[0]
    bench.replied(order, StartOutcome.STARTED)
    assert bench.report(ends=(an_end(order, RunOutcome.DONE),)) == []
    effects = bench.plan()
    assert any(isinstance(each, AcknowledgeEnds) for each in effects)
    assert decode_state(bench.records[order.name.job]) is JobState.COMPLETED


def test_unknown_runs_keep_a_host_that_refuses_nothing_from_new_ones() -> None:
    bench = SchedulerHarness(a_host(), catalog=a_catalog(enforces_capacity=False))
    unknown = (TaskName(JobId("gone"), 0, 0, 0), 1)
    bench.report(running=(unknown,))
    bench.submit(a_job())
    assert bench.starts() == []
    bench.report()
    assert len(bench.starts()) == 1


def test_steps_wait_for_those_before_them() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job(a_step(2), a_step(1, after=(0,))))
    first, second = bench.starts()
    bench.report(ends=(an_end(first, RunOutcome.DONE, 1),))
    assert bench.starts() == []
    bench.now_ms += 10
    bench.report(ends=(an_end(second, RunOutcome.DONE, 2),))
    assert [order.name.step for order in bench.starts()] == [1]


def test_a_list_asked_for_when_the_start_was_answered_proves_nothing() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    order = bench.starts()[0]
    bench.now_ms = 50
    bench.replied(order, StartOutcome.STARTED)
    bench.report(sent_ms=50)
    assert bench.starts() == []
    bench.now_ms = 60
    bench.report(sent_ms=51)
    assert [again.number for again in bench.starts()] == [2]


def test_a_repeated_start_that_is_refused_may_have_run() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    order = bench.starts()[0]
    bench.now_ms = 50
    bench.replied(order, StartOutcome.REFUSED, repeated=True)
    bench.now_ms = 2_000
    bench.report(ends=(an_end(order, RunOutcome.DONE),))
    assert bench.starts() == []
    assert decode_state(bench.records[order.name.job]) is JobState.COMPLETED


def test_a_start_without_an_answer_is_stopped_before_another() -> None:
    bench = SchedulerHarness(a_host(), a_host("i"))
    bench.submit(a_job())
    order = bench.starts()[0]
    stops = bench.replied(order, StartOutcome.NO_REPLY)
    assert stops == [StopRun(order.host, order.name, order.number)]
    assert bench.starts() == []
    bench.tell(HostRunsEnded(order.host))
    assert [again.number for again in bench.starts()] == [2]


def test_a_new_conductor_waits_for_hosts_that_left_the_list() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    bench.starts()
    successor = SchedulerHarness(a_host("other"))
    spec = a_job()
    successor.submit(spec, record=bench.records[spec.id])
    assert successor.starts() == []
    successor.now_ms = 8_000
    successor.report("other")
    assert [again.number for again in successor.starts()] == [2]


def test_a_new_conductor_stops_runs_of_cancelled_jobs() -> None:
    bench = SchedulerHarness(a_host())
    spec = a_job(a_step(is_lasting=True))
    bench.submit(spec)
    order = bench.starts()[0]
    bench.report(running=((order.name, 1),))
    bench.tell(JobCancelled(spec.id))
    bench.plan()
    successor = SchedulerHarness()
    successor.tell(JobFound(spec, bench.records[spec.id], is_cancelled=True))
    successor.tell(HostsListed((a_host(),)))
    effects = successor.report(running=((order.name, 1),))
    assert StopRun(order.host, order.name, 1) in effects


def test_a_new_life_of_a_host_has_none_of_the_runs() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    order = bench.starts()[0]
    bench.replied(order, StartOutcome.STARTED)
    bench.now_ms = 500
    bench.report(born=99, sent_ms=400)
    assert [again.number for again in bench.starts()] == [2]


def test_a_job_fails_after_its_attempts() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    for attempt in range(2):
        bench.now_ms += 1_000
        order = bench.starts()[0]
        bench.report(ends=(an_end(order, RunOutcome.FAILED, attempt + 1),))
    bench.now_ms += 1_000
    assert bench.starts() == []
    assert decode_state(bench.records[order.name.job]) is JobState.FAILED


def test_a_lasting_task_is_not_moved_while_another_is_on_a_silent_host() -> None:
    hosts = (a_host("a"), a_host("b"), a_host("c"))
    bench = SchedulerHarness(*hosts)
    bench.submit(a_job(a_step(2, is_lasting=True, may_miss=1, max_per_host=1)))
    first, second = bench.starts()
    bench.now_ms = 10_000
    bench.report(first.host, running=((first.name, 1),))
    bench.report(second.host, running=((second.name, 1),))
    bench.tell(HostSilent(second.host))
    bench.tell(VacateRequested(frozenset({first.host})))
    assert not [each for each in bench.plan() if isinstance(each, StopRun)]
    bench.now_ms += 100
    bench.report(second.host, running=((second.name, 1),))
    stops = [each for each in bench.plan() if isinstance(each, StopRun)]
    assert [stop.name for stop in stops] == [first.name]


def test_a_new_conductor_waits_for_stops_that_the_last_one_ordered() -> None:
    """Until such a stop is over, its host lists the run as at work."""
    hosts = (a_host("a"), a_host("b"), a_host("c"))
    bench = SchedulerHarness(*hosts)
    bench.submit(a_job(a_step(2, is_lasting=True, may_miss=1, max_per_host=1)))
    first, second = bench.starts()
    bench.report(first.host, running=((first.name, 1),))
    bench.report(second.host, running=((second.name, 1),))
    bench.tell(VacateRequested(frozenset({first.host})))
    bench.now_ms = TAKEOVER_PAUSE_MS - 100
    assert not [each for each in bench.plan() if isinstance(each, StopRun)]
    bench.now_ms = TAKEOVER_PAUSE_MS
    assert [each for each in bench.plan() if isinstance(each, StopRun)]


def test_a_host_that_is_to_be_emptied_gets_no_run_from_a_new_conductor() -> None:
    bench = SchedulerHarness(a_host())
    bench.tell(VacateRequested(frozenset({a_host().id})))
    bench.submit(a_job())
    assert bench.starts() == []


def test_a_draining_host_gets_no_runs() -> None:
    bench = SchedulerHarness(a_host(is_draining=True))
    bench.submit(a_job())
    assert bench.starts() == []


def test_a_gang_is_placed_whole_or_not_at_all() -> None:
    bench = SchedulerHarness(a_host(cores=3))
    bench.submit(a_job(a_step(4, is_gang=True)))
    assert bench.starts() == []
    bench.tell(HostsListed((a_host(cores=3), a_host("i", cores=3))))
    bench.report("i")
    orders = bench.starts()
    assert {order.number for order in orders} == {1}
    assert len(orders) == 4


def test_a_gang_that_lacks_a_member_is_stopped() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job(a_step(2, is_gang=True)))
    first, second = bench.starts()
    bench.replied(first, StartOutcome.STARTED)
    bench.replied(second, StartOutcome.NO_ROOM)
    stops = [each for each in bench.plan() if isinstance(each, StopRun)]
    assert [stop.name for stop in stops] == [first.name]


def test_a_copy_runs_while_the_first_host_is_silent() -> None:
    bench = SchedulerHarness(a_host("a"), a_host("b"))
    bench.submit(a_job(a_step(allows_copies=True)))
    order = bench.starts()[0]
    bench.replied(order, StartOutcome.STARTED)
    bench.tell(HostSilent(order.host))
    copies = bench.starts()
    assert [copy.number for copy in copies] == [2]
    assert copies[0].host != order.host


def test_a_run_that_stands_still_goes_elsewhere() -> None:
    bench = SchedulerHarness(a_host("a"), a_host("b"))
    bench.submit(a_job())
    order = bench.starts()[0]
    bench.replied(order, StartOutcome.STARTED)
    for bench.now_ms in (100, 2_000, 4_000):
        bench.report(order.host, running=((order.name, 1),))
    stops = [each for each in bench.plan() if isinstance(each, StopRun)]
    assert [stop.name for stop in stops] == [order.name]


def test_what_fills_is_stopped_while_what_serves_misses_its_target() -> None:
    from amaranthtray.domain.scheduling.messages import HostReport, PaceRun, RunReport

    bench = SchedulerHarness(a_host())
    bench.submit(a_job(a_step(is_lasting=True, target_ms=100), name="serves"))
    bench.submit(a_job(a_step(is_lasting=True, fills=True), name="fills"))
    orders: list[StartRun] = bench.starts()

    def look(load: int) -> list[int]:
        bench.now_ms += 500
        rows = tuple(
            RunReport(order.name, order.number, "", 100, load) for order in orders
        )
        bench.tell(HostReport(orders[0].host, 77, bench.now_ms, bench.now_ms, rows, ()))
        return [each.percent for each in bench.plan() if isinstance(each, PaceRun)]

    assert look(20) == [30]
    assert look(150) == [0]
    look(20)
    assert look(20) == [10]


def test_an_ended_job_is_removed_after_its_time() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_job())
    order = bench.starts()[0]
    bench.now_ms = 1_000
    bench.report(ends=(an_end(order, RunOutcome.DONE),))
    bench.plan()
    assert order.name.job in bench.scheduler.board.jobs
    bench.now_ms = 182_000
    bench.plan()
    assert order.name.job not in bench.scheduler.board.jobs
