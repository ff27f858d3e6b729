"""Expected run times of tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..jobs.model import JobSpec
    from ..jobs.task import Run

DECLARED_SPREAD = 2.0
"""Spread of declared run times, which are rough estimates."""


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


class RunTimes:
    """Expected run times of the tasks of a pool."""

    def of_step(self, spec: JobSpec, step: int) -> RunTime:
        """Returns the expected run time of a task of a step."""
        return RunTime(float(spec.steps[step].estimated_ms))

    def remaining(self, spec: JobSpec, step: int, run: Run, now_ms: int) -> RunTime:
        """Returns the expected time until a run of a step ends.

        Args:
            spec: Job of the run.
            step: Step of the run's task.
            run: The run.
            now_ms: Steady-clock time.
        """
        whole = self.of_step(spec, step)
        passed_ms = 0 if run.started_ms is None else now_ms - run.started_ms
        return whole._replace(expected_ms=max(whole.expected_ms - passed_ms, 0.0))
