"""Decisions of a pool's scheduler; each test covers one failure of a simulated day."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.jobs.job import JobState
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.jobs.record import decode_state
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling._vacating import TAKEOVER_PAUSE_MS
from amaranthtray.domain.scheduling.losses import LossCause
from amaranthtray.domain.scheduling.messages import (
    AcknowledgeEnds,
    BatchNotStored,
    HostRunsEnded,
    HostSilent,
    HostsListed,
    JobCancelled,
    JobFound,
    RecordUnreadable,
    StartOutcome,
    StoreJobs,
    VacateRequested,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from scheduling.parts import (
    BORN,
    SchedulerHarness,
    a_catalog,
    a_host,
    a_job,
    a_step,
    an_end,
)


def test_a_run_is_ordered_only_once_its_record_is_stored() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    batch = harness.scheduler.plan(0, 0)
    assert [type(each) for each in batch] == [StoreJobs]
    assert harness.send(BatchNotStored(batch[0].batch)) == []  # type: ignore[union-attr]
    assert len(harness.starts()) == 1


def test_an_end_is_acknowledged_only_once_it_is_stored() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    assert harness.report(ends=(an_end(order, RunOutcome.DONE),)) == []
    effects = harness.plan()
    assert any(isinstance(each, AcknowledgeEnds) for each in effects)
    assert decode_state(harness.records[order.name.job]) is JobState.COMPLETED


def test_a_host_without_capacity_checks_gets_no_runs_beside_unknown_ones() -> None:
    harness = SchedulerHarness(a_host(), catalog=a_catalog(enforces_capacity=False))
    unknown = (TaskName(JobId("gone"), 0, 0, 0), 1)
    harness.report(running=(unknown,))
    harness.submit(a_job())
    assert harness.starts() == []
    harness.report()
    assert len(harness.starts()) == 1


def test_a_step_waits_for_its_predecessors() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job(a_step(2), a_step(1, after=(0,))))
    first, second = harness.starts()
    harness.report(ends=(an_end(first, RunOutcome.DONE, 1),))
    assert harness.starts() == []
    harness.now_ms += 10
    harness.report(ends=(an_end(second, RunOutcome.DONE, 2),))
    assert [order.name.step for order in harness.starts()] == [1]


def test_a_report_requested_at_the_start_reply_does_not_prove_absence() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.now_ms = 50
    harness.reply_to_start(order, StartOutcome.STARTED)
    harness.report(sent_ms=50)
    assert harness.starts() == []
    harness.now_ms = 60
    harness.report(sent_ms=51)
    assert [again.number for again in harness.starts()] == [2]


def test_a_repeated_start_that_is_refused_may_have_run() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.now_ms = 50
    harness.reply_to_start(order, StartOutcome.REFUSED, repeated=True)
    harness.now_ms = 2_000
    harness.report(ends=(an_end(order, RunOutcome.DONE),))
    assert harness.starts() == []
    assert decode_state(harness.records[order.name.job]) is JobState.COMPLETED


def test_a_start_without_a_reply_is_stopped_before_the_next_start() -> None:
    harness = SchedulerHarness(a_host(born=BORN), a_host("i", born=BORN))
    harness.submit(a_job())
    order = harness.starts()[0]
    stops = harness.reply_to_start(order, StartOutcome.NO_REPLY)
    assert stops == [StopRun(order.host, order.name, order.number)]
    assert harness.starts() == []
    harness.send(HostRunsEnded(order.host))
    assert [again.number for again in harness.starts()] == [2]


def test_a_task_is_not_repeated_if_its_run_was_done_before_the_host_fell_silent() -> (
    None
):
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    harness.send(HostSilent(order.host))
    harness.send(HostRunsEnded(order.host))
    harness.report(order.host, ends=(an_end(order, RunOutcome.DONE),))
    assert harness.starts() == []
    assert decode_state(harness.records[order.name.job]) is JobState.COMPLETED


def test_a_late_end_stops_the_run_that_replaced_it() -> None:
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.send(HostRunsEnded(order.host))
    again = harness.starts()[0]
    harness.reply_to_start(again, StartOutcome.STARTED)
    harness.report(order.host, ends=(an_end(order, RunOutcome.DONE),))
    assert StopRun(again.host, again.name, again.number) in harness.plan()


def test_runs_of_another_incarnation_outlast_the_end_of_one() -> None:
    """Guards against a second run of a task beside its run on the next incarnation."""
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    cause = LossCause.ADDRESS_REUSED
    harness.send(HostRunsEnded(order.host, cause, order.host_born - 1))
    assert harness.starts() == []
    harness.send(HostRunsEnded(order.host, cause, order.host_born))
    harness.report()
    assert [again.number for again in harness.starts()] == [2]


def test_a_late_failure_counts_once() -> None:
    harness = SchedulerHarness(a_host(), a_host("i"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.send(HostRunsEnded(order.host))
    for _ in range(3):
        harness.report(order.host, ends=(an_end(order, RunOutcome.FAILED),))
    assert [again.number for again in harness.starts()] == [2]
    assert decode_state(harness.records[order.name.job]) is JobState.RUNNING


def test_a_new_conductor_waits_for_leases_of_unlisted_hosts() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    harness.starts()
    successor = SchedulerHarness(a_host("other"))
    spec = a_job()
    successor.submit(spec, record=harness.records[spec.id])
    assert successor.starts() == []
    successor.now_ms = 8_000
    successor.report("other")
    assert [again.number for again in successor.starts()] == [2]


def test_a_new_conductor_stops_runs_of_cancelled_jobs() -> None:
    harness = SchedulerHarness(a_host())
    spec = a_job(a_step(is_lasting=True))
    harness.submit(spec)
    order = harness.starts()[0]
    harness.report(running=((order.name, 1),))
    harness.send(JobCancelled(spec.id))
    harness.plan()
    successor = SchedulerHarness()
    successor.send(JobFound(spec, harness.records[spec.id], is_cancelled=True))
    successor.send(HostsListed((a_host(),)))
    effects = successor.report(running=((order.name, 1),))
    assert StopRun(order.host, order.name, 1) in effects


def test_a_restarted_host_has_no_earlier_runs() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    harness.now_ms = 500
    harness.report(born=99, sent_ms=400)
    assert [again.number for again in harness.starts()] == [2]


def test_a_job_fails_after_its_attempts() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    for attempt in range(2):
        harness.now_ms += 1_000
        order = harness.starts()[0]
        harness.report(ends=(an_end(order, RunOutcome.FAILED, attempt + 1),))
    harness.now_ms += 1_000
    assert harness.starts() == []
    assert decode_state(harness.records[order.name.job]) is JobState.FAILED


def test_a_lasting_task_is_not_moved_while_another_is_on_a_silent_host() -> None:
    hosts = (a_host("a"), a_host("b"), a_host("c"))
    harness = SchedulerHarness(*hosts)
    harness.submit(a_job(a_step(2, is_lasting=True, may_miss=1, max_per_host=1)))
    first, second = harness.starts()
    harness.now_ms = 10_000
    harness.report(first.host, running=((first.name, 1),))
    harness.report(second.host, running=((second.name, 1),))
    harness.send(HostSilent(second.host))
    harness.send(VacateRequested(frozenset({first.host})))
    assert not [each for each in harness.plan() if isinstance(each, StopRun)]
    harness.now_ms += 100
    harness.report(second.host, running=((second.name, 1),))
    stops = [each for each in harness.plan() if isinstance(each, StopRun)]
    assert [stop.name for stop in stops] == [first.name]


def test_a_new_conductor_waits_for_stops_ordered_by_the_last_one() -> None:
    """Until such a stop is complete, its host reports the run as working."""
    hosts = (a_host("a"), a_host("b"), a_host("c"))
    harness = SchedulerHarness(*hosts)
    harness.submit(a_job(a_step(2, is_lasting=True, may_miss=1, max_per_host=1)))
    first, second = harness.starts()
    harness.report(first.host, running=((first.name, 1),))
    harness.report(second.host, running=((second.name, 1),))
    harness.send(VacateRequested(frozenset({first.host})))
    harness.now_ms = TAKEOVER_PAUSE_MS - 100
    assert not [each for each in harness.plan() if isinstance(each, StopRun)]
    harness.now_ms = TAKEOVER_PAUSE_MS
    assert [each for each in harness.plan() if isinstance(each, StopRun)]


def test_a_host_that_is_to_be_emptied_gets_no_run_from_a_new_conductor() -> None:
    harness = SchedulerHarness(a_host())
    harness.send(VacateRequested(frozenset({a_host().id})))
    harness.submit(a_job())
    assert harness.starts() == []


def test_a_draining_host_gets_no_runs() -> None:
    harness = SchedulerHarness(a_host(is_draining=True))
    harness.submit(a_job())
    assert harness.starts() == []


def test_a_gang_is_placed_completely_or_not_at_all() -> None:
    harness = SchedulerHarness(a_host(cores=3))
    harness.submit(a_job(a_step(4, is_gang=True)))
    assert harness.starts() == []
    harness.send(HostsListed((a_host(cores=3), a_host("i", cores=3))))
    harness.report("i")
    orders = harness.starts()
    assert {order.number for order in orders} == {1}
    assert len(orders) == 4


def test_a_gang_that_lacks_a_member_is_stopped() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job(a_step(2, is_gang=True)))
    first, second = harness.starts()
    harness.reply_to_start(first, StartOutcome.STARTED)
    harness.reply_to_start(second, StartOutcome.NO_ROOM)
    stops = [each for each in harness.plan() if isinstance(each, StopRun)]
    assert [stop.name for stop in stops] == [first.name]


def test_a_copy_runs_while_the_first_host_is_silent() -> None:
    harness = SchedulerHarness(a_host("a"), a_host("b"))
    harness.submit(a_job(a_step(allows_copies=True)))
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    harness.send(HostSilent(order.host))
    copies = harness.starts()
    assert [copy.number for copy in copies] == [2]
    assert copies[0].host != order.host


def test_a_stalled_run_is_stopped() -> None:
    harness = SchedulerHarness(a_host("a"), a_host("b"))
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.reply_to_start(order, StartOutcome.STARTED)
    for harness.now_ms in (100, 2_000, 4_000):
        harness.report(order.host, running=((order.name, 1),))
    stops = [each for each in harness.plan() if isinstance(each, StopRun)]
    assert [stop.name for stop in stops] == [order.name]


def test_a_filler_is_stopped_while_a_serving_task_misses_its_target() -> None:
    from amaranthtray.domain.scheduling.messages import HostReport, RunReport
    from amaranthtray.domain.scheduling.orders import PaceRun

    harness = SchedulerHarness(a_host())
    harness.submit(a_job(a_step(is_lasting=True, target_ms=100), name="serves"))
    harness.submit(a_job(a_step(is_lasting=True, fills=True), name="fills"))
    orders: list[StartRun] = harness.starts()

    def pace_at(load: int) -> list[int]:
        harness.now_ms += 500
        rows = tuple(
            RunReport(order.name, order.number, "", 100, load) for order in orders
        )
        harness.send(
            HostReport(orders[0].host, 77, harness.now_ms, harness.now_ms, rows, ())
        )
        return [each.percent for each in harness.plan() if isinstance(each, PaceRun)]

    assert pace_at(20) == [30]
    assert pace_at(150) == [0]
    pace_at(20)
    assert pace_at(20) == [10]


def test_an_ended_job_is_removed_after_its_retention_time() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_job())
    order = harness.starts()[0]
    harness.now_ms = 1_000
    harness.report(ends=(an_end(order, RunOutcome.DONE),))
    harness.plan()
    assert order.name.job in harness.scheduler.state.jobs
    harness.now_ms = 182_000
    harness.plan()
    assert order.name.job not in harness.scheduler.state.jobs


def test_removal_keeps_up_with_jobs_that_end_at_fifty_a_second() -> None:
    """Guards against records and memory that grow without bound under load."""
    retention_s, rate = 20, 50
    harness = SchedulerHarness(a_host(cores=100), retention_ms=retention_s * 1_000)
    held, sequence = [], 0
    for second in range(3 * retention_s):
        for number in range(rate):
            harness.submit(a_job(name=f"{second}-{number}"))
        for step in range(10):
            harness.now_ms = second * 1_000 + step * 100
            orders = harness.starts()
            ends = tuple(
                replace(an_end(each, RunOutcome.DONE), sequence=sequence + n)
                for n, each in enumerate(orders, 1)
            )
            sequence += len(ends)
            harness.report(ends=ends)
        held.append(len(harness.scheduler.state.jobs))
    assert max(held) < rate * (retention_s + 4)


def test_a_job_with_an_unreadable_record_does_not_stop_every_conductor() -> None:
    harness = SchedulerHarness(a_host())
    (report,) = harness.send(JobFound(a_job(name="bad"), b"{"))
    assert isinstance(report, RecordUnreadable)
    harness.submit(a_job(name="good"))
    assert [order.name.job for order in harness.starts()] == ["good"]
