"""Recurring jobs: each occurrence starts when it is due, and only once."""

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


def occurrences(harness: SchedulerHarness) -> list[int]:
    return [order.name.occurrence for order in harness.starts()]


def test_nothing_starts_before_it_is_due() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_timed_job())
    harness.now_ms = FIRST_MS - 1
    assert occurrences(harness) == []
    harness.now_ms = FIRST_MS
    assert occurrences(harness) == [0]


def test_occurrences_that_are_due_may_overlap() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_timed_job())
    harness.now_ms = FIRST_MS + EVERY_MS
    assert occurrences(harness) == [0, 1]


def test_a_clock_that_jumps_back_starts_nothing_twice() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_timed_job())
    harness.now_ms = FIRST_MS
    assert occurrences(harness) == [0]
    harness.now_ms = 0
    assert occurrences(harness) == []
    harness.now_ms = FIRST_MS
    assert occurrences(harness) == []


def test_the_job_completes_with_its_last_occurrence() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_timed_job(count=2))
    job = harness.scheduler.state.jobs[a_job().id]
    for number in range(2):
        harness.now_ms = FIRST_MS + number * EVERY_MS
        (order,) = harness.starts()
        assert job.state is JobState.RUNNING
        harness.reply_to_start(order, StartOutcome.STARTED)
        harness.now_ms += 1
        harness.report(ends=(an_end(order, RunOutcome.DONE, number + 1),))
        harness.plan()
    assert job.state is JobState.COMPLETED


def test_a_new_conductor_does_not_repeat_a_past_occurrence() -> None:
    harness = SchedulerHarness(a_host())
    harness.submit(a_timed_job())
    harness.now_ms = FIRST_MS
    (order,) = harness.starts()
    harness.reply_to_start(order, StartOutcome.STARTED)
    harness.now_ms += 1
    harness.report(ends=(an_end(order, RunOutcome.DONE),))
    harness.plan()
    stored = encode_job(harness.scheduler.state.jobs[a_job().id])
    restored = restore(a_timed_job(), stored)
    assert list(restored.open_steps(FIRST_MS + EVERY_MS)) == [(1, 0)]


def test_steps_depend_only_on_steps_of_their_own_occurrence() -> None:
    harness = SchedulerHarness(a_host())
    steps = (a_step(1), a_step(1, after=(0,)))
    timed = replace(a_job(*steps), recurrence=Recurrence(2, FIRST_MS, EVERY_MS))
    harness.submit(timed)
    harness.now_ms = FIRST_MS + EVERY_MS
    first, _ = harness.starts()
    harness.reply_to_start(first, StartOutcome.STARTED)
    harness.now_ms += 1
    harness.report(ends=(an_end(first, RunOutcome.DONE),))
    assert [(o.name.occurrence, o.name.step) for o in harness.starts()] == [(0, 1)]
