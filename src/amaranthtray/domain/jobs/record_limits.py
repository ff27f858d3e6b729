"""Which jobs' progress can be stored, and how many of their tasks may be begun at once.

A record is one value of the store. Its rows of begun tasks, the marks of tasks that are
done and the list of past occurrences are bounded apart, so that it fits at all times.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import JobSpec, StepSpec

DEFAULT_VALUE_BYTES = 1 << 20
"""Maximum size of a value of the store if the settings have none."""

MIN_VALUE_BYTES = 4_096
"""Smallest maximum size with which jobs of some tasks can be carried out."""

ROW_BYTES = 212
"""Maximum size of a begun task's row in its shortest form.

Two runs on hosts with ids of 24 bytes, five crashes, two-digit stalls and numbers of
six digits.
"""

MARKS_BYTES = 56
"""Maximum size of the marks of a step, apart from those of its tasks."""

RANGE_BYTES = 44
"""Maximum size of a range of past occurrences."""

MAX_OPEN_TASKS = 100_000
"""Maximum number of tasks of a job that are in memory at once."""


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Limits that follow from the maximum size of a value of the store.

    Attributes:
        value_bytes: That size.
    """

    value_bytes: int = DEFAULT_VALUE_BYTES

    @property
    def max_begun(self) -> int:
        """Returns how many tasks of a job may be begun and not done at once."""
        return self.value_bytes * 3 // 4 // ROW_BYTES

    def max_occurrences(self, spec: JobSpec) -> int:
        """Returns how many occurrences of a job may be open at once."""
        by_bytes = self._marks_bytes // _occurrence_bytes(spec)
        return min(by_bytes, MAX_OPEN_TASKS // _count(spec.steps))

    def problem(self, spec: JobSpec) -> str | None:
        """Returns why a job can't be carried out; None if it can."""
        if self.max_occurrences(spec) < 1:
            return (
                f"the job has {_count(spec.steps)} tasks in {len(spec.steps)} steps; "
                f"at most {MAX_OPEN_TASKS} tasks, and fewer in many steps, are possible"
            )
        occurrences = spec.recurrence.count if spec.recurrence else 1
        lasting = _count(step for step in spec.steps if step.is_lasting)
        if lasting and occurrences > self.max_occurrences(spec):
            return "a job with lasting tasks has too many occurrences"
        gangs = (step.count for step in spec.steps if step.is_gang)
        at_once = lasting * occurrences + max(gangs, default=1)
        if at_once > self.max_begun:
            return (
                f"{at_once} tasks must be at work at once; "
                f"at most {self.max_begun} tasks of one job can be"
            )
        return None

    @property
    def _marks_bytes(self) -> int:
        return self.value_bytes // 8


DEFAULT_LIMITS = RecordLimits()


def _count(steps: Iterable[StepSpec]) -> int:
    return sum(step.count for step in steps)


def _occurrence_bytes(spec: JobSpec) -> int:
    """Returns the maximum size of an open occurrence's marks and ranges."""
    marks = (MARKS_BYTES + step.count // 6 + 4 for step in spec.steps)
    return RANGE_BYTES + sum(marks)
