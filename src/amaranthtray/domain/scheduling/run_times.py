"""Expected run times of tasks: as declared, or learned from the runs that ended.

Load: declared run times that are off by a factor of e in the mean (standard deviation
of the logarithm 0.9 to 1.0), while the actual ones of a queue differ by 0.5 to 0.6 and
those of one step by 0.1 to 0.3.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import NormalDist
from typing import TYPE_CHECKING, NamedTuple

from ..ids import QueueName
from ..jobs.estimate import Estimate, estimate_job
from ..jobs.model import JobId
from .forecast import DECLARED_SPREAD, NINE_OF_TEN, LengthModel
from .host_speed import HostSpeeds
from .run_time_events import KeySummary, RunTimeError
from .run_time_regression import MAX_AGE_MS, Model, Regression, model_of
from .step_evidence import Estimated, StepEvidence, remaining_at_rate, whole_ms

if TYPE_CHECKING:
    from ..ids import HostId
    from ..jobs.model import JobSpec, StepSpec, TaskName
    from ..jobs.task import Run


QUEUE_KEY = "queue:"
MAX_LENGTHS = 6
"""Queues whose run times are published, those with the newest runs; a pool's report
has to stay small."""

LENGTH_DIGITS = 3
"""Digits of published coefficients, to keep reports small."""

MAX_KEYS = 64
"""Most images and queues of a pool for which run times are learned."""

MAX_STEPS = 8_192
"""Most steps whose evidence is kept; the oldest is dropped."""

REFIT_EVERY_MS = 500
"""Shortest time between computations of the coefficients."""

SHORTEST_MS = 1
RATE_SPREAD = 1.3
"""Spread of the rest of a run of which two reports give the rate."""


RARE = 1e-6
"""Share of runs above a time at which the distribution says nothing about the rest."""

STANDARD_NORMAL = NormalDist()


class RunTime(NamedTuple):
    """Expected run time of a task.

    Attributes:
        expected_ms: Mean time from the start to the end of a run.
        spread: Nine of ten runs end within ``expected_ms`` times ``spread``.
    """

    expected_ms: float
    spread: float = DECLARED_SPREAD

    @property
    def safe_ms(self) -> float:
        """Returns the time within which nine of ten runs end."""
        return self.expected_ms * self.spread


class ExpectedJob(NamedTuple):
    """Estimate of a job, and the expected run time of a task of each step in ms."""

    estimate: Estimate
    lengths_ms: list[float]


class _Cached(NamedTuple):
    """Estimate of a step, if there is one, and its run time."""

    estimate: Estimated | None
    run_time: RunTime


@dataclass(slots=True)
class RunTimes:
    """Expected run times of the tasks of a pool.

    Attributes:
        is_learning: Whether run times are learned; else only declarations count.
        speeds: Speed of the pool's hosts.
        errors: Errors of the runs that ended, until they are reported.
        recorded: Number of ended runs from which was learned.
        stored: That number when the evidence was last encoded for the store.
        stored_ms: Steady-clock time of that.
        reviewed_ms: Steady-clock time of the last review of the hosts' speeds.
    """

    is_learning: bool = False
    speeds: HostSpeeds = field(default_factory=HostSpeeds)
    errors: list[RunTimeError] = field(default_factory=list)
    recorded: int = 0
    stored: int = 0
    stored_ms: int = 0
    reviewed_ms: int = 0
    _regressions: dict[str, Regression] = field(default_factory=dict)
    _models: dict[str, Model] = field(default_factory=dict)
    _steps: dict[tuple[JobId, int], StepEvidence] = field(default_factory=dict)
    _cache: dict[tuple[JobId, int], _Cached] = field(default_factory=dict)
    _jobs: dict[JobId, ExpectedJob] = field(default_factory=dict)
    _fitted_ms: int = 0

    def of_step(self, spec: JobSpec, step: int) -> RunTime:
        """Returns the expected run time of a task of a step."""
        if not self.is_learning:
            return RunTime(float(spec.steps[step].estimated_ms))
        found = self._cache.get((spec.id, step))
        return (found or self._cached(spec, step)).run_time

    def of_job(self, spec: JobSpec) -> ExpectedJob:
        """Returns the expected run times of a job and its steps."""
        found = self._jobs.get(spec.id)
        if found is None:
            steps = range(len(spec.steps))
            lengths_ms = [self.of_step(spec, step).expected_ms for step in steps]
            estimate = estimate_job(spec.steps, lengths_ms)
            found = self._jobs[spec.id] = ExpectedJob(estimate, lengths_ms)
        return found

    def remaining(self, spec: JobSpec, step: int, run: Run, now_ms: int) -> RunTime:
        """Returns the expected time until a run of a step ends.

        Args:
            spec: Job of the run.
            step: Step of the run's task.
            run: The run.
            now_ms: Steady-clock time.
        """
        if not self.is_learning:
            return RunTime(declared_left_ms(spec.steps[step], run, now_ms))
        whole = self.of_step(spec, step)
        passed_ms = 0 if run.started_ms is None else now_ms - run.started_ms
        estimate = self.estimate(spec, step)
        if estimate is None:
            return RunTime(max(whole.expected_ms - passed_ms, 0.0), whole.spread)
        at_rate_ms = remaining_at_rate(run, now_ms)
        if at_rate_ms:
            return RunTime(at_rate_ms, RATE_SPREAD)
        slowness = self.speeds.slowness(run.host)
        mean = estimate.mean + math.log(slowness)
        return _remaining(estimate._replace(mean=mean), max(passed_ms, 0))

    def estimate(self, spec: JobSpec, step: int) -> Estimated | None:
        """Returns the learned estimate of a step; None while the declaration counts."""
        found = self._cache.get((spec.id, step))
        return (found or self._cached(spec, step)).estimate

    def estimate_elsewhere(
        self, spec: JobSpec, step: int, host: HostId
    ) -> Estimated | None:
        """Returns the estimate of a step without what its runs on a host show."""
        evidence = self._steps.get((spec.id, step))
        if evidence is None:
            return self.estimate(spec, step)
        return self._estimate(spec, step, host)

    def evidence_elsewhere(self, spec: JobSpec, step: int, host: HostId) -> int:
        """Returns the number of a step's runs on other hosts that show its time."""
        evidence = self._steps.get((spec.id, step))
        return evidence.count_elsewhere(host) if evidence else 0

    def record(
        self,
        spec: JobSpec,
        step: int,
        host: HostId,
        actual_ms: int,
        now_ms: int,
        *,
        learn: bool,
    ) -> None:
        """Records a run that ended as done.

        Args:
            spec: Job of the run.
            step: Step of the run's task.
            host: Host of the run.
            actual_ms: Time from its start to its end.
            now_ms: Steady-clock time.
            learn: Whether the time is that of the task alone; False for a run that
                was far from its data or on a slow host.
        """
        declared_ms = spec.steps[step].estimated_ms
        expected_ms = self.of_step(spec, step).expected_ms
        error_ms = abs(actual_ms - round(expected_ms))
        self.errors.append(RunTimeError(abs(actual_ms - declared_ms), error_ms))
        if learn:
            self._learn(spec, step, host, actual_ms, now_ms)

    def record_progress(self, spec: JobSpec, name: TaskName, run: Run) -> None:
        """Adds the progress of a run to the evidence on its step."""
        time_ms = whole_ms(run)
        if time_ms is None:
            return
        evidence, key = self._evidence(spec, name.step), (name.number, run.number)
        if evidence.set_rate(key, run.host, math.log(time_ms)):
            self._invalidate(spec, name.step)

    def remove_run(self, spec: JobSpec, name: TaskName, run: Run) -> None:
        """Removes the progress of a run that ended."""
        evidence = self._steps.get((spec.id, name.step))
        if evidence is not None and evidence.remove_rate((name.number, run.number)):
            self._invalidate(spec, name.step)

    def remove_job(self, spec: JobSpec) -> None:
        """Removes the evidence on the steps of a job that has ended."""
        for step in range(len(spec.steps)):
            self._steps.pop((spec.id, step), None)
            self._invalidate(spec, step)

    def refit(self, now_ms: int) -> None:
        """Computes the coefficients if that is due, and forgets old evidence."""
        if not self.is_learning or now_ms - self._fitted_ms < REFIT_EVERY_MS:
            return
        self._fitted_ms = now_ms
        self._cache.clear()
        self._jobs.clear()
        for key, regression in list(self._regressions.items()):
            if now_ms - regression.updated_ms > MAX_AGE_MS:
                del self._regressions[key]
        self._models = {
            key: model
            for key, regression in self._regressions.items()
            if (model := model_of(regression)) is not None
        }

    def regressions(self) -> dict[str, Regression]:
        """Returns the evidence by key, the newest last."""
        ordered = sorted(self._regressions.items(), key=lambda each: each[1].updated_ms)
        return dict(ordered)

    def restore(self, regressions: dict[str, Regression]) -> None:
        """Adds the evidence of the last conductor, for keys that have none yet."""
        self._regressions = {**regressions, **self._regressions}
        self._fitted_ms = -REFIT_EVERY_MS

    def summaries(self) -> tuple[KeySummary, ...]:
        """Returns what was learned, by key."""
        return tuple(
            KeySummary(
                key,
                round(regression.runs),
                round(math.exp(regression.mean_y - regression.mean_x), 2),
                round(regression.fit().deviation, 2),
                round(regression.declared_error, 2),
                key not in self._models or self._models[key].uses_declared,
            )
            for key, regression in self._regressions.items()
            if regression.weight
        )

    def length_models(self) -> dict[QueueName, LengthModel]:
        """Returns what was learned of queues whose callers declare times far off."""
        learned = [
            (QueueName(key.removeprefix(QUEUE_KEY)), self._models[key].fit)
            for key in self.regressions()
            if key.startswith(QUEUE_KEY)
            and key in self._models
            and not self._models[key].uses_declared
        ]
        return {
            queue: LengthModel(*(round(each, LENGTH_DIGITS) for each in fit[:3]))
            for queue, fit in learned[-MAX_LENGTHS:]
        }

    def _invalidate(self, spec: JobSpec, step: int) -> None:
        self._cache.pop((spec.id, step), None)
        self._jobs.pop(spec.id, None)

    def _cached(self, spec: JobSpec, step: int) -> _Cached:
        """Computes and caches the estimate of a step."""
        estimate, model = self._estimate(spec, step), self._models.get(_key(spec, step))
        declared = RunTime(float(spec.steps[step].estimated_ms))
        if estimate is None or model is None:
            run_time = declared
        elif model.uses_declared:
            # Callers who declare well get exactly what they declare: a trial that
            # refined it by the step's first ends, its shortest ones, served them worse.
            run_time = declared._replace(spread=_of_logarithm(estimate).spread)
        else:
            run_time = _of_logarithm(estimate)
        found = self._cache[spec.id, step] = _Cached(estimate, run_time)
        return found

    def _estimate(
        self, spec: JobSpec, step: int, except_host: HostId | None = None
    ) -> Estimated | None:
        model = self._models.get(_key(spec, step))
        if model is None or spec.steps[step].is_lasting:
            return None
        declared = _logarithm(spec.steps[step].estimated_ms)
        if model.uses_declared:
            prior = Estimated(declared, model.declared_error)
        else:
            prior = Estimated(model.fit.predict(declared), model.fit.deviation)
        evidence = self._steps.get((spec.id, step))
        if evidence is None:
            return prior
        return evidence.estimate(prior, model.fit.within, except_host)

    def _learn(
        self, spec: JobSpec, step: int, host: HostId, actual_ms: int, now_ms: int
    ) -> None:
        actual = _logarithm(actual_ms)
        evidence = self._evidence(spec, step)
        difference = evidence.add(actual, host)
        self._invalidate(spec, step)
        regression = self._regression(_key(spec, step))
        declared = _logarithm(spec.steps[step].estimated_ms)
        regression.add(declared, actual, 1 / evidence.ended, now_ms)
        if difference is not None:
            regression.add_difference(difference)
        self.recorded += 1

    def _regression(self, key: str) -> Regression:
        """Returns the evidence of a key; a new key replaces the one unused longest."""
        found = self._regressions.get(key)
        if found is None:
            if len(self._regressions) >= MAX_KEYS:
                del self._regressions[next(iter(self.regressions()))]
            found = self._regressions[key] = Regression()
        return found

    def _evidence(self, spec: JobSpec, step: int) -> StepEvidence:
        found = self._steps.get((spec.id, step))
        if found is None:
            if len(self._steps) >= MAX_STEPS:
                self._steps.pop(next(iter(self._steps)))
            found = self._steps[spec.id, step] = StepEvidence()
        return found


def declared_left_ms(step: StepSpec, run: Run, now_ms: int) -> float:
    """Returns the time until a run of a step ends by the declared run time."""
    started_ms = run.started_ms
    passed_ms = 0 if started_ms is None else now_ms - started_ms
    return float(max(step.estimated_ms - passed_ms, 0))


def _key(spec: JobSpec, step: int) -> str:
    image = spec.steps[step].image
    return f"image:{image}" if image else f"{QUEUE_KEY}{spec.queue}"


def _logarithm(time_ms: int) -> float:
    return math.log(max(time_ms, SHORTEST_MS))


def _of_logarithm(estimate: Estimated) -> RunTime:
    """Returns the mean and the spread of a log-normal distribution."""
    half = estimate.deviation**2 / 2
    spread = math.exp(NINE_OF_TEN * estimate.deviation - half)
    return RunTime(math.exp(estimate.mean + half), max(spread, 1.0))


def _remaining(estimate: Estimated, passed_ms: int) -> RunTime:
    """Returns the rest of a run that has not ended after ``passed_ms``."""
    if passed_ms < SHORTEST_MS:
        return _of_logarithm(estimate)
    mean, deviation = estimate
    passed = math.log(passed_ms)
    longer = STANDARD_NORMAL.cdf((mean - passed) / deviation)
    if longer < RARE:
        # Far beyond the mean, the rest grows with the time that has passed.
        return RunTime(passed_ms * deviation**2 / (passed - mean))
    shifted = STANDARD_NORMAL.cdf((mean + deviation**2 - passed) / deviation)
    whole_ms = math.exp(mean + deviation**2 / 2) * shifted / longer
    quantile = STANDARD_NORMAL.inv_cdf(1 - longer / 10)
    safe_ms = math.exp(mean + deviation * quantile) - passed_ms
    expected_ms = max(whole_ms - passed_ms, SHORTEST_MS)
    return RunTime(expected_ms, max(safe_ms / expected_ms, 1.0))
