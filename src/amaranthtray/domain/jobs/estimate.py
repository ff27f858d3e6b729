"""Estimated duration and work of a job, from its steps and their run times."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence
    from collections.abc import Set as AbstractSet

    from .model import StepSpec


class Estimate(NamedTuple):
    """Estimate of a whole job.

    Attributes:
        critical_path_ms: Length of its critical path.
        core_ms: Work of all tasks, in core-milliseconds.
    """

    critical_path_ms: float
    core_ms: float


def estimate_job(
    steps: Sequence[StepSpec], lengths_ms: Sequence[float] | None = None
) -> Estimate:
    """Returns the estimate of a job with the given steps.

    Args:
        steps: Steps of the job.
        lengths_ms: Expected run times of the steps' tasks; those that the caller
            declared if None.
    """
    times_ms = lengths_ms or [step.estimated_ms for step in steps]
    pairs = zip(steps, times_ms, strict=True)
    core_ms = sum(step.count * step.need.cpu * time_ms for step, time_ms in pairs)
    return Estimate(critical_path_ms(steps, frozenset(), lengths_ms), core_ms / 1_000)


def critical_path_ms(
    steps: Sequence[StepSpec],
    done: AbstractSet[int],
    lengths_ms: Sequence[float] | None = None,
) -> float:
    """Returns the estimated length of the critical path of steps not in ``done``.

    Args:
        steps: Steps of the job.
        done: Steps that take no more time.
        lengths_ms: Expected run times of the steps' tasks; those that the caller
            declared if None.
    """
    ends_ms: list[float] = []
    for number, step in enumerate(steps):
        before_ms = max((ends_ms[each] for each in step.after), default=0)
        length_ms = lengths_ms[number] if lengths_ms else step.estimated_ms
        own_ms = 0 if number in done else length_ms
        ends_ms.append(before_ms + own_ms)
    return max(ends_ms, default=0)
