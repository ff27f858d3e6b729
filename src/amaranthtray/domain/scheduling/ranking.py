"""The order in which waiting jobs get room."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..jobs.catalog import JobQueue
    from ..jobs.job import Job
    from ..jobs.model import JobSpec


LATE_FACTOR = 3
"""A job that ends within this multiple of its objective is late, but counts."""


class Outlook(IntEnum):
    """What a job can still reach.

    Attributes:
        IN_TIME: Its objective.
        LATE: An end that still counts.
        LOST: Only its end.
    """

    IN_TIME = 0
    LATE = 1
    LOST = 2


class Rank(NamedTuple):
    """Sorts jobs; the lowest goes first.

    Attributes:
        priority: Of the queue.
        outlook: What the job can still reach.
        slack_ms: Time that it could still wait and reach it.
    """

    priority: int
    outlook: Outlook
    slack_ms: float


def rank(job: Job, queue: JobQueue, wall_ms: int) -> Rank:
    """Returns the rank of a job with tasks that wait."""
    spec = job.spec
    if any(step.is_lasting for step in spec.steps):
        return Rank(-1, Outlook.IN_TIME, spec.accepted_ms - wall_ms)
    occurrence = next((k for k in range(job.occurrences) if k not in job.past), 0)
    begun_ms = max(spec.accepted_ms, job.due_ms(occurrence))
    total_ms = longest_chain_ms(spec, frozenset())
    done = frozenset(
        step for step in range(len(spec.steps)) if job.is_step_done(occurrence, step)
    )
    objective_ms = queue.slowdown_factor * total_ms + queue.target_ms
    left_ms = longest_chain_ms(spec, done)
    passed_ms = wall_ms - begun_ms + left_ms
    slack_ms = objective_ms - passed_ms
    if slack_ms >= 0:
        return Rank(queue.priority, Outlook.IN_TIME, slack_ms)
    late_slack_ms = LATE_FACTOR * objective_ms - passed_ms
    outlook = Outlook.LATE if late_slack_ms >= 0 else Outlook.LOST
    return Rank(queue.priority, outlook, late_slack_ms)


def longest_chain_ms(spec: JobSpec, done: frozenset[int]) -> int:
    """Returns the estimated length of the longest chain of steps not in ``done``."""
    ends_ms: list[int] = []
    for number, step in enumerate(spec.steps):
        before_ms = max((ends_ms[each] for each in step.after), default=0)
        own_ms = 0 if number in done else step.estimated_ms
        ends_ms.append(before_ms + own_ms)
    return max(ends_ms, default=0)
