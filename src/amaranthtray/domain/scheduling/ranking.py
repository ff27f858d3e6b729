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
    from collections.abc import Sequence

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


_IN_TIME, _LATE, _TOO_LATE = Timeliness
"""The same as names of the module, which are faster to look up."""


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


class RankTerms(NamedTuple):
    """What the rank of a job depends on beside the time; only events change it.

    Attributes:
        priority: Priority of the queue.
        accepted_ms: Wall-clock time of acceptance.
        is_lasting: Whether the job has lasting tasks.
        begun_ms: Wall-clock time since which the caller waits for the occurrence.
        objective_ms: Time within which the occurrence is owed.
        left_ms: Time that it takes from now on.
        core_ms: Expected work of an occurrence, in core-milliseconds.
        has_not_begun: Whether no task of it has been started.
    """

    priority: int
    accepted_ms: int
    is_lasting: bool = False
    begun_ms: int = 0
    objective_ms: float = 0.0
    left_ms: float = 0.0
    core_ms: float = 0.0
    has_not_begun: bool = False

    def slack_ms_at(self, wall_ms: int) -> float:
        """Returns the time for which the job can wait and end in time.

        Args:
            wall_ms: Wall-clock time.
        """
        return self.objective_ms - (wall_ms - self.begun_ms + self.left_ms)

    def rank_at(self, wall_ms: int, mean_core_ms: float = 0.0) -> Rank:
        """Returns the rank.

        Args:
            wall_ms: Wall-clock time.
            mean_core_ms: Mean estimated work of the waiting jobs; 0 to ignore sizes.
        """
        if self.is_lasting:
            return Rank(-1, _IN_TIME, False, self.accepted_ms - wall_ms)
        objective_ms, has_not_begun = self.objective_ms, self.has_not_begun
        slack_ms = self.slack_ms_at(wall_ms)
        slack = slack_ms / objective_ms if objective_ms > 1.0 else slack_ms
        if slack >= (START_MARGIN if has_not_begun else 0.0):
            size = min(self.core_ms / mean_core_ms, 1.0) if mean_core_ms else 0.0
            urgency = slack + SIZE_WEIGHT * size
            return Rank(self.priority, _IN_TIME, has_not_begun, urgency)
        late_slack_ms = slack_ms + (LATE_FACTOR - 1) * objective_ms
        timeliness = _LATE if late_slack_ms >= 0 else _TOO_LATE
        return Rank(self.priority, timeliness, False, late_slack_ms)


def mean_core_ms(jobs: Sequence[Job], run_times: RunTimes) -> float:
    """Returns the mean expected work of all tasks of a job, in core-milliseconds."""
    if run_times.is_learning:
        each_ms = [run_times.of_job(job.spec).estimate.core_ms for job in jobs]
    else:
        each_ms = [job.estimate.core_ms for job in jobs]
    return sum(each_ms) / max(len(jobs), 1)


def job_objective_ms(job: Job, queue: JobQueue, run_times: RunTimes) -> float:
    """Returns the time in ms within which a job is in time, by expected run times."""
    total_ms = _expected(job, run_times)[0].critical_path_ms
    return queue.slowdown_factor * total_ms + queue.target_ms


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
    return rank_terms(job, queue, run_times).rank_at(wall_ms, mean_core_ms)


def rank_terms(job: Job, queue: JobQueue, run_times: RunTimes | None) -> RankTerms:
    """Returns what the rank of a job with waiting tasks depends on beside the time.

    Args:
        job: The job.
        queue: Queue to which it was submitted.
        run_times: Expected run times; None to use only what the caller declared.
    """
    spec = job.spec
    if any(step.is_lasting for step in spec.steps):
        return RankTerms(queue.priority, spec.accepted_ms, is_lasting=True)
    occurrence = 0
    if spec.recurrence:
        occurrence = job.first_open % job.occurrences
    begun_ms = max(spec.accepted_ms, job.due_ms(occurrence))
    (total_ms, core_ms), lengths_ms = _expected(job, run_times)
    objective_ms = queue.slowdown_factor * total_ms + queue.target_ms
    steps = range(len(spec.steps))
    done = {step for step in steps if job.is_step_done(occurrence, step)}
    left_ms = critical_path_ms(spec.steps, done, lengths_ms) if done else total_ms
    return RankTerms(
        queue.priority,
        spec.accepted_ms,
        begun_ms=begun_ms,
        objective_ms=objective_ms,
        left_ms=left_ms,
        core_ms=core_ms,
        has_not_begun=not job.has_begun(occurrence),
    )
