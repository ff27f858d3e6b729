"""Run times are learned from ended runs, and only from what their tasks took."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import msgspec
import pytest

from amaranthtray.domain.ids import HostId, RackId
from amaranthtray.domain.jobs.model import JobId, JobSpec, TaskName
from amaranthtray.domain.jobs.task import Run, RunOutcome, RunPhase
from amaranthtray.domain.scheduling.messages import (
    BatchNotStored,
    Effect,
    EndReport,
    HostReport,
    HostSilent,
    StartOutcome,
    StoreJobs,
)
from amaranthtray.domain.scheduling.run_time_events import (
    RunTimeReport,
    RunTimesRead,
    RunTimesUnreadable,
)
from amaranthtray.domain.scheduling.run_time_records import (
    MAX_BYTES,
    decode_run_times,
    encode_run_times,
)
from amaranthtray.domain.scheduling.run_time_regression import MIN_RUNS, Regression
from amaranthtray.domain.scheduling.run_times import MAX_KEYS, RunTimes
from scheduling.parts import BORN, SchedulerHarness, a_host, a_job, a_step

HOST = HostId("h")


def declaring(declared_ms: int, *, name: str, image: str = "") -> JobSpec:
    step = replace(a_step(count=4), estimated_ms=declared_ms, image=image)
    return a_job(step, name=name)


def learned(
    deviation: float, *, runs: int = 200, image: str = "", seed: int = 1
) -> RunTimes:
    """Returns run times after runs of about a second with a declared error."""
    rng, times = random.Random(seed), RunTimes(is_learning=True)
    for number in range(runs):
        actual_ms = 1_000 * rng.lognormvariate(0, 0.5)
        declared_ms = int(actual_ms * rng.lognormvariate(0, deviation))
        spec = declaring(declared_ms, name=f"j{number}", image=image)
        times.record(spec, 0, HOST, int(actual_ms), 10 * number, learn=True)
    times.refit(10 * runs)
    return times


def error_of(times: RunTimes, deviation: float) -> float:
    """Returns the root mean square error of the logarithms of new run times."""
    rng, squares = random.Random(99), []
    for number in range(300):
        actual_ms = 1_000 * rng.lognormvariate(0, 0.5)
        declared_ms = int(actual_ms * rng.lognormvariate(0, deviation))
        estimate = times.estimate(declaring(declared_ms, name=f"n{number}"), 0)
        mean = estimate.mean if estimate else math.log(declared_ms)
        squares.append((mean - math.log(actual_ms)) ** 2)
    return math.sqrt(sum(squares) / len(squares))


def test_learned_times_are_nearer_than_declarations_that_are_off() -> None:
    """Load: declared errors of 1.0, actual run times that differ by 0.5.

    The best linear prediction has an error of 0.45; the mean of the queue 0.5.
    """
    assert error_of(learned(1.0), 1.0) < 0.5


def test_accurate_declarations_are_kept() -> None:
    """Guards against a mean of the queue that replaces what callers know better."""
    times = learned(0.1)
    spec = declaring(7_000, name="long")
    assert times.of_step(spec, 0).expected_ms == pytest.approx(7_000, rel=0.02)


def test_a_few_runs_do_not_replace_a_declaration() -> None:
    times = learned(1.0, runs=MIN_RUNS - 1)
    spec = declaring(7_000, name="long")
    assert times.of_step(spec, 0) == RunTimes().of_step(spec, 0)


def test_images_of_one_queue_are_told_apart() -> None:
    times = learned(1.0, image="quick")
    assert times.estimate(declaring(7_000, name="a", image="quick"), 0) is not None
    assert times.estimate(declaring(7_000, name="b", image="other"), 0) is None


def test_the_first_ended_tasks_of_a_step_count_most() -> None:
    """Guards against a task of the tail that is expected to end like others."""
    times, spec = learned(1.0), declaring(1_000, name="tail")
    for _ in range(3):
        times.record(spec, 0, HOST, 7_000, 2_000, learn=True)
    assert times.of_step(spec, 0).expected_ms == pytest.approx(7_000, rel=0.2)


def test_one_absurd_time_does_not_move_what_is_expected() -> None:
    """Guards against a paused process or a clock step that lengthens one run."""
    times, spec = learned(1.0), declaring(1_000, name="next")
    before_ms = times.of_step(spec, 0).expected_ms
    odd = declaring(1_000, name="odd")
    times.record(odd, 0, HOST, 90_000_000, 2_010, learn=True)
    times.refit(3_000)
    assert times.of_step(spec, 0).expected_ms == pytest.approx(before_ms, rel=0.05)


def test_old_evidence_is_forgotten() -> None:
    times, spec = learned(1.0), declaring(1_000, name="next")
    times.refit(2_000 + 601_000)
    assert times.estimate(spec, 0) is None


@pytest.mark.parametrize("passed_ms", [0, 500, 2_000, 9_000, 400_000])
def test_the_rest_of_a_run_is_finite_and_grows_when_it_is_overdue(
    passed_ms: int,
) -> None:
    times, spec = learned(1.0), declaring(1_000, name="next")
    run = Run(1, HOST, BORN, RunPhase.RUNNING, started_ms=0)
    rest = times.remaining(spec, 0, run, passed_ms)
    whole_ms = times.of_step(spec, 0).expected_ms
    assert 0 < rest.expected_ms <= whole_ms + passed_ms
    assert rest.safe_ms >= rest.expected_ms
    if passed_ms > 5 * whole_ms:
        assert rest.expected_ms > whole_ms / 2


def test_the_rest_of_a_run_follows_from_its_progress() -> None:
    times, spec = learned(1.0), declaring(1_000, name="next")
    run = Run(1, HOST, BORN, RunPhase.RUNNING, started_ms=0)
    run.first_report_ms, run.first_percent = 100, 1
    run.progress_ms, run.percent = 1_100, 21
    assert times.remaining(spec, 0, run, 1_100).expected_ms == pytest.approx(3_950)


class Learner(SchedulerHarness):
    """A scheduler that learns, with one run that has been started."""

    def __init__(
        self, *, learn: bool = True, rack: str = "", reply_ms: int = 0
    ) -> None:
        super().__init__(a_host(), learn=learn)
        step = replace(a_step(count=4), data_rack=RackId(rack))
        self.submit(a_job(step))
        self.order, *_ = self.starts()
        self.now_ms += reply_ms
        self.reply_to_start(self.order, StartOutcome.STARTED)

    def raw_plan(self) -> list[Effect]:
        return self.scheduler.plan(self.now_ms, self.now_ms)

    @property
    def times(self) -> RunTimes:
        return self.scheduler.state.run_times

    def end(self, outcome: RunOutcome = RunOutcome.DONE, polled_ms: int = 5) -> None:
        self.now_ms += 700
        end = EndReport(1, self.order.name, self.order.number, outcome, "")
        sent_ms = self.now_ms - polled_ms
        self.send(HostReport(HOST, BORN, sent_ms, self.now_ms, (), (end,)))


def test_a_run_that_is_done_is_learned_with_its_time_on_the_host() -> None:
    learner = Learner()
    learner.end()
    (regression,) = learner.times.regressions().values()
    assert regression.mean_y == pytest.approx(math.log(700))


@pytest.mark.parametrize(
    ("rack", "outcome", "polled_ms"),
    [
        ("", RunOutcome.FAILED, 5),
        ("", RunOutcome.STOPPED, 5),
        ("far", RunOutcome.DONE, 5),
        ("", RunOutcome.DONE, 4_000),
    ],
    ids=["failed", "stopped", "far from its data", "measured by a paused process"],
)
def test_a_time_that_is_not_that_of_the_task_is_not_learned(
    rack: str, outcome: RunOutcome, polled_ms: int
) -> None:
    learner = Learner(rack=rack)
    learner.end(outcome, polled_ms)
    assert not learner.times.regressions()


def test_a_start_whose_reply_was_lost_is_not_learned() -> None:
    """Guards against a time that is measured from a late confirmation."""
    learner = Learner(reply_ms=1_400)
    learner.end()
    assert not learner.times.regressions()


def test_a_silent_host_is_not_judged() -> None:
    """Guards against a partition that makes the runs behind it seem slow."""
    learner = Learner()
    learner.scheduler.state.run_times = learned(1.0)
    learner.send(HostSilent(HOST))
    learner.now_ms += 60_000
    learner.plan()
    assert not learner.times.speeds.slow


def test_what_was_learned_is_stored_again_after_a_lost_write() -> None:
    """Guards against an outage of the store after which nothing more ends."""
    learner = Learner()
    learner.end()
    learner.now_ms += 5_000
    (batch,) = (e for e in learner.raw_plan() if isinstance(e, StoreJobs))
    assert batch.run_times
    learner.send(BatchNotStored(batch.batch))
    learner.now_ms += 5_000
    learner.plan()
    assert learner.learned


def test_without_the_switch_nothing_is_learned_stored_or_reported() -> None:
    learner = Learner(learn=False)
    learner.end()
    learner.now_ms += 6_000
    effects = learner.plan()
    assert not learner.times.regressions()
    assert not learner.times.errors
    assert not [each for each in effects if isinstance(each, RunTimeReport)]
    assert not learner.learned


def test_the_next_conductor_takes_over_what_was_learned() -> None:
    learner = Learner()
    learner.end()
    learner.now_ms += 5_000
    learner.plan()
    successor = SchedulerHarness(learn=True)
    successor.now_ms = 77_000_000
    successor.scheduler.handle(RunTimesRead(learner.learned), 77_000_000, 8_000)
    (regression,) = successor.scheduler.state.run_times.regressions().values()
    assert regression.mean_y == pytest.approx(math.log(700), rel=1e-4)


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b'{"written_ms":1,"keys":[["k",0,[1,-1,1,1,1,1,1,1,1,1]]]}',
        b'{"written_ms":1,"keys":[["k",0,[1,1,1e99,1,1,1,1,1,1,1]]]}',
    ],
)
def test_unreadable_run_times_are_reported_and_learned_anew(data: bytes) -> None:
    harness = SchedulerHarness(a_host(), learn=True)
    (effect,) = harness.send(RunTimesRead(data))
    assert isinstance(effect, RunTimesUnreadable)
    assert not harness.scheduler.state.run_times.regressions()


def test_the_stored_form_is_bounded_and_keeps_the_newest_keys() -> None:
    times = RunTimes(is_learning=True)
    for number in range(2 * MAX_KEYS):
        spec = declaring(1_000, name="a", image=f"registry/{'x' * 120}/{number}")
        times.record(spec, 0, HOST, 700, number, learn=True)
    assert len(times.regressions()) == MAX_KEYS
    data = encode_run_times(times.regressions(), 1_000, 0)
    found = decode_run_times(data, 1_000, 0)
    assert len(data) <= MAX_BYTES
    assert list(found)[-1].endswith(f"/{2 * MAX_KEYS - 1}")


def test_evidence_of_a_key_without_variation_has_a_fit() -> None:
    """Guards against a division by zero where all declarations are equal."""
    regression = Regression()
    for _ in range(30):
        regression.add(math.log(500), math.log(900), 1.0, 0)
    assert regression.fit().predict(math.log(500)) == pytest.approx(math.log(900))


def test_a_clock_that_was_set_back_does_not_make_evidence_younger() -> None:
    data = encode_run_times({"k": Regression(1, 1, updated_ms=0)}, 300_000, 50_000)
    found = decode_run_times(data, 1_000_000, 0)
    assert found["k"].updated_ms == 700_000
    assert msgspec.json.decode(data)["written_ms"] == 50_000


def test_evidence_of_a_job_is_dropped_with_it() -> None:
    """Guards against memory that grows with each job."""
    times, spec = learned(1.0, runs=30), declaring(1_000, name="j7")
    times.remove_job(spec)
    assert (JobId("j7"), 0) not in times._steps
    times.remove_run(
        spec, TaskName(spec.id, 0, 0, 0), Run(1, HOST, 1, RunPhase.RUNNING)
    )
    assert (JobId("j7"), 0) not in times._steps
