"""What ends the runs of lasting tasks, and who is away meanwhile."""

from __future__ import annotations

from dataclasses import replace

import pytest

from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling._absence import MAX_STOP_MS
from amaranthtray.domain.scheduling._load import pool_load
from amaranthtray.domain.scheduling._unplaced import SPREAD_WAIT_MS
from amaranthtray.domain.scheduling._vacating import LEAVE_MARGIN_MS, TAKEOVER_PAUSE_MS
from amaranthtray.domain.scheduling.absence import (
    AbsenceCause,
    AbsentTask,
    LastingRunEnded,
    LastingRunStopped,
    StopReason,
    StopUnconfirmed,
)
from amaranthtray.domain.scheduling.messages import (
    BatchNotStored,
    BatchStored,
    Effect,
    HostSilent,
    HostsListed,
    StartOutcome,
    StopReplied,
    StoreJobs,
    VacateRequested,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from scheduling.parts import SchedulerHarness, a_host, a_job, a_step, an_end

HOSTS = tuple(a_host(name) for name in "abcd")


def a_service(may_miss: int = 2) -> tuple[SchedulerHarness, StartRun]:
    """Returns a pool whose tasks work on hosts of their own, and the first start."""
    harness = SchedulerHarness(*HOSTS)
    step = a_step(3, is_lasting=True, may_miss=may_miss, max_per_host=1)
    harness.submit(a_job(step))
    starts = harness.starts()
    harness.now_ms = 10_000
    for start in starts:
        harness.report(start.host, running=((start.name, start.number),))
    return harness, starts[0]


def stop_reports(effects: list[Effect]) -> list[LastingRunStopped]:
    """Returns the reports of stopped lasting tasks."""
    return [each for each in effects if isinstance(each, LastingRunStopped)]


def test_a_stop_names_the_tasks_that_are_away_and_the_age_of_their_reports() -> None:
    harness, first = a_service()
    silent = next(h.id for h in HOSTS if h.id != first.host)
    harness.send(HostSilent(silent))
    harness.now_ms += 700
    harness.send(VacateRequested(frozenset({first.host})))
    (report,) = stop_reports(harness.plan())
    assert (report.name, report.reason) == (first.name, StopReason.EMPTIED)
    absent = AbsentTask(1, AbsenceCause.HOST_SILENT, silent, 700)
    assert report.absent == (absent,)
    assert (report.may_miss, report.oldest_report_ms) == (2, 700)


def test_a_stop_on_a_leaving_host_and_the_end_after_it_are_reported() -> None:
    harness, first = a_service()
    leaving = [replace(h, is_draining=h.id == first.host) for h in HOSTS]
    harness.send(HostsListed(tuple(leaving)))
    (report,) = stop_reports(harness.plan())
    assert report.reason is StopReason.LEAVING
    ends = harness.report(first.host, ends=(an_end(first, RunOutcome.STOPPED),))
    ended = LastingRunEnded(first.host, first.name, 1, RunOutcome.STOPPED, True)
    assert ended in ends


def test_a_lapsed_run_is_reported_as_ended_without_a_stop() -> None:
    harness, first = a_service()
    ends = harness.report(first.host, ends=(an_end(first, RunOutcome.LAPSED),))
    assert LastingRunEnded(first.host, first.name, 1, RunOutcome.LAPSED, False) in ends


def an_unanswered_start() -> tuple[SchedulerHarness, StartRun, list[Effect]]:
    """Returns a pool with a start that had no reply, and what followed from that."""
    harness = SchedulerHarness(*HOSTS)
    harness.submit(a_job(a_step(2, is_lasting=True, may_miss=1, max_per_host=1)))
    first, other = harness.starts()
    harness.reply_to_start(other, StartOutcome.STARTED)
    harness.now_ms = 2_000
    effects = harness.reply_to_start(first, StartOutcome.NO_REPLY, repeated=True)
    return harness, first, [*effects, *harness.plan()]


def test_a_lasting_task_that_works_is_not_stopped_as_its_start_had_no_reply() -> None:
    """Guards against a stop that ends it while other tasks of its step are away."""
    harness, start, effects = an_unanswered_start()
    running = ((start.name, start.number),)
    effects += harness.report(start.host, running=running, sent_ms=1_900)
    harness.now_ms = 4_000
    effects += [*harness.plan(), *harness.report(start.host, running=running)]
    assert not [each for each in effects if isinstance(each, StopRun)]


def test_an_unanswered_start_of_a_lasting_task_that_is_absent_is_stopped() -> None:
    """Guards against a second run beside a first order that is carried out late."""
    harness, start, _ = an_unanswered_start()
    assert not harness.report(start.host, sent_ms=1_900)
    harness.now_ms = 2_100
    stop = StopRun(start.host, start.name, start.number)
    assert stop in harness.report(start.host)
    assert not harness.starts()
    harness.send(StopReplied(start.host, start.name, start.number, 2_200))
    harness.now_ms = 2_300
    harness.report(start.host)
    assert [again.number for again in harness.starts()] == [2]


def stop_orders(effects: list[Effect]) -> list[StopRun]:
    return [each for each in effects if isinstance(each, StopRun)]


def an_unconfirmed_stop() -> tuple[SchedulerHarness, StopRun]:
    """Returns a pool in which a voluntary stop had no reply."""
    harness, first = a_service(may_miss=1)
    harness.send(VacateRequested(frozenset({first.host})))
    (stop,) = stop_orders(harness.plan())
    assert stop.is_voluntary
    harness.now_ms += 700
    lost = StopUnconfirmed(stop.host, stop.name, stop.number, harness.now_ms, True)
    harness.send(lost)
    return harness, stop


def test_a_voluntary_stop_is_not_repeated_once_other_tasks_are_away() -> None:
    """Guards against an order that waits for a reply while its reason goes away."""
    harness, stop = an_unconfirmed_stop()
    assert stop_orders(harness.plan()) == [stop]
    harness.send(StopUnconfirmed(stop.host, stop.name, stop.number, 10_900, True))
    other = next(h.id for h in HOSTS if h.id != stop.host)
    harness.send(HostSilent(other))
    harness.now_ms += 100
    assert not stop_orders(harness.plan())


def test_a_task_counts_as_away_until_a_report_shows_that_its_stop_failed() -> None:
    harness, stop = an_unconfirmed_stop()
    running = ((stop.name, stop.number),)
    other = next(h.id for h in HOSTS if h.id != stop.host)
    harness.send(VacateRequested(frozenset({other})))
    for later_ms, expected in ((500, []), (1_200, [other])):
        harness.now_ms = 10_700 + later_ms
        harness.report(stop.host, running=running)
        assert [each.host for each in stop_orders(harness.plan())] == expected


def test_a_stop_that_was_never_sent_leaves_its_task_at_work() -> None:
    harness, _stop = an_unconfirmed_stop()
    (again,) = stop_orders(harness.plan())
    unsent = StopUnconfirmed(again.host, again.name, again.number, 10_900, False)
    harness.send(unsent)
    harness.now_ms += 100
    assert stop_orders(harness.plan()) == [again]


def test_a_leaving_host_keeps_tasks_while_others_are_away_and_time_is_left() -> None:
    """Guards against stops on a leaving host beside one that is under way elsewhere."""
    harness, first = a_service(may_miss=1)
    harness.send(VacateRequested(frozenset({first.host})))
    (stop,) = stop_orders(harness.plan())
    harness.send(StopReplied(stop.host, stop.name, stop.number, harness.now_ms))
    other = next(h.id for h in HOSTS if h.id != first.host)
    leaving = replace(a_host(other), is_draining=True, remaining_ms=4_000)
    listed = [leaving if h.id == other else h for h in HOSTS]
    harness.send(HostsListed(tuple(listed)))
    harness.now_ms += LEAVE_MARGIN_MS
    assert not stop_orders(harness.plan())
    harness.now_ms += 4_000 - 2 * LEAVE_MARGIN_MS
    assert [each.host for each in stop_orders(harness.plan())] == [other]


def test_a_run_counts_as_at_work_only_after_a_stop_of_the_last_conductor_is_over() -> (
    None
):
    """Guards against a stop that the host accepted just before its first report."""
    harness, first = a_service(may_miss=1)
    job = harness.scheduler.state.jobs[first.name.job]
    successor = SchedulerHarness()
    successor.submit(job.spec, record=harness.records[first.name.job])
    successor.send(HostsListed(HOSTS))
    successor.send(VacateRequested(frozenset({first.host})))
    running = {run.host: ((name, run.number),) for name, run in job.runs()}
    successor.plan()
    for later_ms, expected in ((0, 0), (MAX_STOP_MS, 1)):
        successor.now_ms = TAKEOVER_PAUSE_MS + later_ms
        for host in HOSTS:
            successor.report(host.id, running=running.get(host.id, ()))
        assert len(stop_orders(successor.plan())) == expected


@pytest.mark.parametrize("is_lost", [False, True])
def test_an_empty_host_is_reported_for_each_request_that_has_it(is_lost: bool) -> None:
    """Guards against a host that waits for a report that its pool has no cause for."""
    harness = SchedulerHarness(*HOSTS)
    empty = frozenset({HOSTS[0].id})
    for number in (1, 3):
        harness.send(VacateRequested(empty, number))
        harness.now_ms += 1_000
        plan = harness.scheduler.plan(harness.now_ms, 0)
        stored = [each for each in plan if isinstance(each, StoreJobs)]
        if is_lost:
            harness.send(BatchNotStored(stored[0].batch))
            plan = harness.scheduler.plan(harness.now_ms, 0)
            stored = [each for each in plan if isinstance(each, StoreJobs)]
        assert [(each.vacant, each.vacate_number) for each in stored] == [
            (empty, number)
        ]
        harness.send(BatchStored(stored[0].batch))


def test_a_task_on_a_leaving_host_waits_for_a_stop_that_its_host_has_accepted() -> None:
    """Guards against a stop in a host's last second that overtakes an accepted one."""
    harness, first = a_service(may_miss=1)
    harness.send(VacateRequested(frozenset({first.host})))
    (stop,) = stop_orders(harness.plan())
    harness.send(StopReplied(stop.host, stop.name, stop.number, harness.now_ms))
    other = next(h.id for h in HOSTS if h.id != first.host)
    leaving = replace(a_host(other), is_draining=True, remaining_ms=LEAVE_MARGIN_MS)
    harness.send(HostsListed(tuple(leaving if h.id == other else h for h in HOSTS)))
    harness.now_ms += MAX_STOP_MS - 100
    assert not stop_orders(harness.plan())
    harness.now_ms += 100
    assert [each.host for each in stop_orders(harness.plan())] == [other]


def test_a_pool_asks_for_a_host_to_which_tasks_of_emptied_hosts_can_move() -> None:
    """Guards against a wave that waits for room that nobody asks for."""
    hosts = HOSTS[:3]
    harness = SchedulerHarness(*hosts)
    harness.submit(a_job(a_step(3, is_lasting=True, may_miss=1, max_per_host=1)))
    starts = harness.starts()
    harness.now_ms = 10_000
    harness.send(VacateRequested(frozenset({starts[0].host})))
    for later_ms, wanted in ((0, 0), (SPREAD_WAIT_MS, 4)):
        harness.now_ms = 10_000 + later_ms
        for start in starts:
            harness.report(start.host, running=((start.name, start.number),))
        assert not stop_orders(harness.plan())
        assert pool_load(harness.scheduler.state).wanted == wanted
    harness.send(HostsListed(HOSTS))
    harness.report(HOSTS[3].id)
    harness.now_ms += 100
    assert [each.host for each in stop_orders(harness.plan())] == [starts[0].host]
    assert pool_load(harness.scheduler.state).wanted == 0
