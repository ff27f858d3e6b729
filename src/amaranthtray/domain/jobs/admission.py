"""Whether a submitted job is refused, as its pool can't serve it early enough.

Load: teams submit several times what a pool can run. A caller that is told at once, and
when to return, loses less than one whose job waits until it is worthless.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from ..scheduling.forecast import MAX_AGE_MS, draw
from ..scheduling.ranking import LATE_FACTOR
from .estimate import critical_path_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..scheduling.forecast import ClassOutlook, Forecast
    from .catalog import JobQueue
    from .model import JobSpec, StepSpec

MIN_RETURN_S, MAX_RETURN_S = 1, 30


class Accept(NamedTuple):
    """The job is accepted.

    Attributes:
        why: Reason, from a fixed set.
    """

    why: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The job is refused.

    Attributes:
        why: Reason, from a fixed set.
        expected_ms: Least time from now to the end of the job.
        limit_ms: Time from now after which the job is worthless.
        age_ms: Age of the forecast.
        return_s: Time after which the caller may return.
        work_ms: Time for which the job takes the whole pool.
    """

    why: str
    expected_ms: int
    limit_ms: int
    age_ms: int
    return_s: int
    work_ms: int


Decision: TypeAlias = Accept | Refuse


def decide(
    spec: JobSpec, queue: JobQueue, forecast: Forecast | None, returning_ms: int = 0
) -> Decision:
    """Decides on a submitted job that is certainly not stored.

    Args:
        spec: The job, with its time of submission.
        queue: Queue to which it is submitted.
        forecast: Newest known forecast of the queue's pool.
        returning_ms: Time for which the jobs of callers that were told to return
            later take the whole pool.
    """
    why_accepted = _certainly_served(spec, forecast)
    if forecast is None or why_accepted:
        return Accept(why_accepted)
    age_ms = spec.accepted_ms - forecast.made_ms
    outlook, why = _outlook(spec, queue, forecast)
    lengths_ms = [
        forecast.safe_length_ms(spec.queue, step.estimated_ms) for step in spec.steps
    ]
    # A longer job may begin later and still count, so its longest likely length counts.
    length_ms = critical_path_ms(spec.steps, frozenset(), lengths_ms)
    objective_ms = queue.slowdown_factor * length_ms + queue.target_ms
    limit_ms, slack_ms = LATE_FACTOR * objective_ms, objective_ms - length_ms
    if outlook is None or limit_ms - length_ms + age_ms >= outlook.late_ms:
        return Accept("can-count")
    if slack_ms + age_ms >= outlook.in_time_ms:
        return Accept("can-be-in-time")
    drained_ms = max(outlook.drain_ms - age_ms, 0) + returning_ms
    return Refuse(
        why=why,
        expected_ms=int(outlook.late_ms - age_ms + length_ms),
        limit_ms=int(limit_ms),
        age_ms=age_ms,
        return_s=return_time_s(spec, slack_ms, drained_ms),
        work_ms=int(_amount_ms(spec.steps, forecast.scarce) / max(forecast.rate, 1)),
    )


def _certainly_served(spec: JobSpec, forecast: Forecast | None) -> str:
    """Returns why a job is accepted whatever waits; empty if the queue decides."""
    if spec.recurrence is not None or any(step.is_lasting for step in spec.steps):
        return "not-finite"
    if forecast is None:
        return "no-forecast"
    if not 0 <= spec.accepted_ms - forecast.made_ms <= MAX_AGE_MS:
        return "stale-forecast"
    first = [step for step in spec.steps if not step.after]
    if not all(step.reserved[forecast.scarce] for step in first):
        return "resource-free"
    has_room = any(step.reserved.fits(forecast.room) for step in first)
    return "room" if has_room else ""


def return_time_s(spec: JobSpec, slack_ms: float, drained_ms: float) -> int:
    """Returns the time after which a job could be served in time.

    Callers are spread over the time in which the queue drains, by the ids of their
    jobs, so that they do not return together.

    Args:
        spec: The job.
        slack_ms: Time for which it may wait and still be in time.
        drained_ms: Time until all work before it is done.
    """
    first_ms = max(drained_ms - slack_ms, 0.0)
    spread_ms = draw(spec.id, "return") * max(drained_ms, 0.0)
    seconds = math.ceil((first_ms + spread_ms) / 1_000)
    return min(max(seconds, MIN_RETURN_S), MAX_RETURN_S)


def _outlook(
    spec: JobSpec, queue: JobQueue, forecast: Forecast
) -> tuple[ClassOutlook | None, str]:
    """Returns what the job meets; None if no work of its priority or above waits.

    Of a priority without waiting jobs only the next higher one is known; all of its
    work within teams' shares precedes the job.
    """
    rows = [each for each in forecast.outlooks if each.priority <= queue.priority]
    if not rows:
        return None, ""
    is_beyond = forecast.is_beyond_share(spec)
    if is_beyond and rows[-1].priority == queue.priority:
        return rows[-1].beyond, "beyond-share"
    return rows[-1].within, "pool-taken"


def _amount_ms(steps: Sequence[StepSpec], resource: int) -> float:
    return sum(s.count * s.reserved[resource] * s.estimated_ms for s in steps)
