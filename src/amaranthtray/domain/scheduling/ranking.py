"""The order in which waiting jobs get resources.

The order answers bursts that are larger than the pool. There, earliest deadline first
starts each job at the last moment, so that jobs which have begun, or were estimated too
short, become late after they have used resources. Therefore jobs that have begun go
first, a job must have a margin to begin in time, and small jobs precede large ones that
are equally urgent.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from ..jobs.estimate import critical_path_ms

if TYPE_CHECKING:
    from ..jobs.catalog import JobQueue
    from ..jobs.estimate import Estimate
    from ..jobs.job import Job
    from .run_times import RunTimes


LATE_FACTOR = 3
"""A job that ends within this multiple of its objective still counts, as late."""

START_MARGIN = 0.1
"""Part of its objective that a job must have as slack to begin in time, as orders take
time and estimates are imprecise."""

SIZE_WEIGHT = 0.25
"""Weight of a job's work, relative to the mean, against its slack, relative to its
objective. Jobs above the mean are not put back further: they must get their share."""


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
        has_not_begun: Whether it can end in time and no task has been started.
        urgency: While it can end in time, its slack relative to its objective and a
            part of its size; else the time until it becomes less timely.
    """

    priority: int
    timeliness: Timeliness
    has_not_begun: bool
    urgency: float


def expected_core_ms(job: Job, run_times: RunTimes) -> float:
    """Returns the expected work of all tasks of a job, in core-milliseconds."""
    return _expected(job, run_times)[0].core_ms


def _expected(
    job: Job, run_times: RunTimes | None
) -> tuple[Estimate, list[float] | None]:
    """Returns the estimate of a job and, if they are learned, its steps' run times."""
    if run_times is None or not run_times.is_learning:
        return job.estimate, None
    return run_times.of_job(job.spec)


def rank(
    job: Job,
    queue: JobQueue,
    wall_ms: int,
    mean_core_ms: float = 0.0,
    run_times: RunTimes | None = None,
) -> Rank:
    """Returns the rank of a job with waiting tasks.

    The objective that a caller is owed follows from the job's actual critical path,
    which is only known at its end. Until then the expected run times estimate it.

    Args:
        job: The job.
        queue: Queue to which it was submitted.
        wall_ms: Wall-clock time.
        mean_core_ms: Mean estimated work of the waiting jobs; 0 to ignore sizes.
        run_times: Expected run times; None to use only what the caller declared.
    """
    spec = job.spec
    if any(step.is_lasting for step in spec.steps):
        return Rank(-1, Timeliness.IN_TIME, False, spec.accepted_ms - wall_ms)
    occurrence = _occurrence(job)
    estimate, lengths_ms = _expected(job, run_times)
    core_ms = estimate.core_ms
    slack_ms, objective_ms = _slack(
        job, queue, wall_ms, occurrence, estimate.critical_path_ms, lengths_ms
    )
    slack = slack_ms / max(objective_ms, 1.0)
    has_not_begun = not job.has_begun(occurrence)
    if slack >= (START_MARGIN if has_not_begun else 0.0):
        size = min(core_ms / mean_core_ms, 1.0) if mean_core_ms else 0.0
        urgency = slack + SIZE_WEIGHT * size
        return Rank(queue.priority, Timeliness.IN_TIME, has_not_begun, urgency)
    late_slack_ms = slack_ms + (LATE_FACTOR - 1) * objective_ms
    timeliness = Timeliness.LATE if late_slack_ms >= 0 else Timeliness.TOO_LATE
    return Rank(queue.priority, timeliness, False, late_slack_ms)


def slack_of(
    job: Job, queue: JobQueue, wall_ms: int, run_times: RunTimes | None = None
) -> tuple[float, float]:
    """Returns the time for which a job can wait and end in time, and its objective.

    Args:
        job: The job; none of its tasks is lasting.
        queue: Queue to which it was submitted.
        wall_ms: Wall-clock time.
        run_times: Expected run times; None to use only what the caller declared.
    """
    occurrence = _occurrence(job)
    estimate, lengths_ms = _expected(job, run_times)
    total_ms = estimate.critical_path_ms
    return _slack(job, queue, wall_ms, occurrence, total_ms, lengths_ms)


def _slack(
    job: Job,
    queue: JobQueue,
    wall_ms: int,
    occurrence: int,
    total_ms: float,
    lengths_ms: list[float] | None,
) -> tuple[float, float]:
    """Returns the slack and the objective for a critical path of ``total_ms``."""
    spec = job.spec
    begun_ms = max(spec.accepted_ms, job.due_ms(occurrence))
    objective_ms = queue.slowdown_factor * total_ms + queue.target_ms
    done = {
        step for step in range(len(spec.steps)) if job.is_step_done(occurrence, step)
    }
    left_ms = critical_path_ms(spec.steps, done, lengths_ms) if done else total_ms
    return objective_ms - (wall_ms - begun_ms + left_ms), objective_ms


def _occurrence(job: Job) -> int:
    """Returns the first occurrence that is not over."""
    return next((k for k in range(job.occurrences) if k not in job.past), 0)
