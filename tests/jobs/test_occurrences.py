"""Jobs that run by the clock: each occurrence when it is due, and each once."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.jobs.job import JobState
from amaranthtray.domain.jobs.model import JobSpec, Recurrence
from amaranthtray.domain.jobs.record import encode_job, restore
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import StartOutcome
from scheduling.parts import SchedulerHarness, a_host, a_job, a_step, an_end

FIRST_MS, EVERY_MS = 1_000, 500


def a_timed_job(count: int = 3) -> JobSpec:
    return replace(a_job(), recurrence=Recurrence(count, FIRST_MS, EVERY_MS))


def occurrences(bench: SchedulerHarness) -> list[int]:
    return [order.name.occurrence for order in bench.starts()]


def test_nothing_starts_before_it_is_due() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_timed_job())
    bench.now_ms = FIRST_MS - 1
    assert occurrences(bench) == []
    bench.now_ms = FIRST_MS
    assert occurrences(bench) == [0]


def test_occurrences_that_are_due_may_overlap() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_timed_job())
    bench.now_ms = FIRST_MS + EVERY_MS
    assert occurrences(bench) == [0, 1]


def test_a_clock_that_jumps_back_starts_nothing_twice() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_timed_job())
    bench.now_ms = FIRST_MS
    assert occurrences(bench) == [0]
    bench.now_ms = 0
    assert occurrences(bench) == []
    bench.now_ms = FIRST_MS
    assert occurrences(bench) == []


def test_the_job_is_completed_with_its_last_occurrence() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_timed_job(count=2))
    job = bench.scheduler.board.jobs[a_job().id]
    for number in range(2):
        bench.now_ms = FIRST_MS + number * EVERY_MS
        (order,) = bench.starts()
        assert job.state is JobState.RUNNING
        bench.replied(order, StartOutcome.STARTED)
        bench.now_ms += 1
        bench.report(ends=(an_end(order, RunOutcome.DONE, number + 1),))
        bench.plan()
    assert job.state is JobState.COMPLETED


def test_a_new_conductor_does_not_repeat_a_past_occurrence() -> None:
    bench = SchedulerHarness(a_host())
    bench.submit(a_timed_job())
    bench.now_ms = FIRST_MS
    (order,) = bench.starts()
    bench.replied(order, StartOutcome.STARTED)
    bench.now_ms += 1
    bench.report(ends=(an_end(order, RunOutcome.DONE),))
    bench.plan()
    stored = encode_job(bench.scheduler.board.jobs[a_job().id])
    restored = restore(a_timed_job(), stored)
    assert list(restored.open_steps(FIRST_MS + EVERY_MS)) == [(1, 0)]


def test_steps_of_an_occurrence_wait_for_each_other_only() -> None:
    bench = SchedulerHarness(a_host())
    steps = (a_step(1), a_step(1, after=(0,)))
    timed = replace(a_job(*steps), recurrence=Recurrence(2, FIRST_MS, EVERY_MS))
    bench.submit(timed)
    bench.now_ms = FIRST_MS + EVERY_MS
    first, _ = bench.starts()
    bench.replied(first, StartOutcome.STARTED)
    bench.now_ms += 1
    bench.report(ends=(an_end(first, RunOutcome.DONE),))
    assert [(o.name.occurrence, o.name.step) for o in bench.starts()] == [(0, 1)]
