"""The order in which waiting jobs get resources."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..jobs.catalog import JobQueue
    from ..jobs.job import Job
    from ..jobs.model import JobSpec


LATE_FACTOR = 3
"""A job that ends within this multiple of its objective still counts, as late."""


class Timeliness(IntEnum):
    """How timely a job can still end.

    Attributes:
        IN_TIME: Within its objective.
        LATE: Late, but early enough to count.
        TOO_LATE: Too late to count.
    """

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Rank(NamedTuple):
    """Sort key of a job; the lowest goes first.

    Attributes:
        priority: Priority of the queue, or -1 for a job with lasting tasks.
        timeliness: How timely the job can still end.
        slack_ms: Time that the job can still wait without becoming less timely.
    """

    priority: int
    timeliness: Timeliness
    slack_ms: float


def rank(job: Job, queue: JobQueue, wall_ms: int) -> Rank:
    """Returns the rank of a job with waiting tasks."""
    spec = job.spec
    if any(step.is_lasting for step in spec.steps):
        return Rank(-1, Timeliness.IN_TIME, spec.accepted_ms - wall_ms)
    occurrence = next((k for k in range(job.occurrences) if k not in job.past), 0)
    begun_ms = max(spec.accepted_ms, job.due_ms(occurrence))
    total_ms = critical_path_ms(spec, frozenset())
    done = frozenset(
        step for step in range(len(spec.steps)) if job.is_step_done(occurrence, step)
    )
    objective_ms = queue.slowdown_factor * total_ms + queue.target_ms
    left_ms = critical_path_ms(spec, done)
    passed_ms = wall_ms - begun_ms + left_ms
    slack_ms = objective_ms - passed_ms
    if slack_ms >= 0:
        return Rank(queue.priority, Timeliness.IN_TIME, slack_ms)
    late_slack_ms = LATE_FACTOR * objective_ms - passed_ms
    timeliness = Timeliness.LATE if late_slack_ms >= 0 else Timeliness.TOO_LATE
    return Rank(queue.priority, timeliness, late_slack_ms)


def critical_path_ms(spec: JobSpec, done: frozenset[int]) -> int:
    """Returns the estimated length of the critical path of steps not in ``done``."""
    ends_ms: list[int] = []
    for number, step in enumerate(spec.steps):
        before_ms = max((ends_ms[each] for each in step.after), default=0)
        own_ms = 0 if number in done else step.estimated_ms
        ends_ms.append(before_ms + own_ms)
    return max(ends_ms, default=0)
