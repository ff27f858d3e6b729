"""What ends the runs of lasting tasks, and who is away meanwhile."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.absence import (
    AbsenceCause,
    AbsentTask,
    LastingRunEnded,
    LastingRunStopped,
    StopReason,
)
from amaranthtray.domain.scheduling.messages import (
    Effect,
    HostSilent,
    HostsListed,
    StartOutcome,
    StopReplied,
    VacateRequested,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from scheduling.parts import SchedulerHarness, a_host, a_job, a_step, an_end

HOSTS = tuple(a_host(name) for name in "abcd")


def a_service(count: int = 3, may_miss: int = 2) -> tuple[SchedulerHarness, StartRun]:
    """Returns a pool whose tasks work on hosts of their own, and the first start."""
    harness = SchedulerHarness(*HOSTS)
    step = a_step(count, is_lasting=True, may_miss=may_miss, max_per_host=1)
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
