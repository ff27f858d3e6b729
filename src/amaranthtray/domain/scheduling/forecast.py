"""Forecast of a pool: until when other work takes what a new job needs.

Load: a pool gets several times what it can run, mostly from teams beyond their share.
The excess waits until it is worthless, and its callers learn it late. The forecast
lets the entries that accept jobs see this at once.

The times of a forecast are compared with a job's *start limit*: the time until which it
must begin its critical path to end early enough.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..ids import QueueName, TeamName
from ..jobs.model import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs.model import JobId, JobSpec

DECLARED_SPREAD = 2.0
"""Multiple of its declared run time within which a task ends, as far as is known."""

NINE_OF_TEN = 1.2816
"""Quantile of the standard normal distribution for nine of ten."""

MAX_AGE_MS = 2_000
"""Age from which a forecast no longer counts."""


DRAW_MS = 1_000
"""Time for which a job keeps its draw; a caller that returns gets another one."""


class ClassOutlook(NamedTuple):
    """What a new job of one class meets, in ms after the forecast.

    Attributes:
        in_time_ms: Time for which work that precedes the job takes the pool, if such
            work arrives as lately for as long as the forecast counts.
        late_ms: Time for which that work and the equals that can still count take the
            pool. A job that must begin earlier to count takes the place of another.
        drain_ms: Time at which all work before the job, equals included, is done.
    """

    in_time_ms: int = 0
    late_ms: int = 0
    drain_ms: int = 0


class PriorityOutlook(NamedTuple):
    """What new jobs of one priority meet, within and beyond their team's share."""

    priority: int
    within: ClassOutlook
    beyond: ClassOutlook


class LengthModel(NamedTuple):
    """Run times of a queue's tasks, by logarithms of times in ms.

    Attributes:
        intercept: Logarithm of the run time at a declaration with logarithm 0.
        slope: Change of the logarithm per unit of the declared logarithm.
        deviation: Standard deviation of the residuals.
    """

    intercept: float
    slope: float
    deviation: float

    def safe_ms(self, declared_ms: int) -> float:
        """Returns the time within which nine of ten runs end."""
        declared = math.log(max(declared_ms, 1))
        return math.exp(
            self.intercept + self.slope * declared + NINE_OF_TEN * self.deviation
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Forecast:
    """Forecast of one pool, small enough for the pool's report.

    Attributes:
        made_ms: Wall-clock time of the forecast.
        scarce: Index of the resource that limits the pool.
        rate: Amount of that resource that the pool gives to tasks that end.
        room: Largest free amount of each resource on any host.
        outlooks: Priorities for which jobs wait, the highest first.
        entitled: Teams beyond their share, with the part of their submissions, at the
            rate last seen, to which the share entitles them.
        lengths: Learned run times of the queues whose callers declare them far off.
    """

    made_ms: int
    scarce: int = 0
    rate: int = 0
    room: Resources = NO_RESOURCES
    outlooks: tuple[PriorityOutlook, ...] = ()
    entitled: dict[TeamName, float] = field(default_factory=dict)
    lengths: dict[QueueName, LengthModel] = field(default_factory=dict)

    def safe_length_ms(self, queue: QueueName, declared_ms: int) -> float:
        """Returns the time within which nine of ten runs of a task end."""
        model = self.lengths.get(queue)
        if model is None:
            return DECLARED_SPREAD * declared_ms
        return model.safe_ms(declared_ms)

    def is_beyond_share(self, spec: JobSpec) -> bool:
        """Returns whether a new job counts as beyond its team's share.

        Entries and the pool's conductor decide alike, as they draw by the job's id and
        time, so that a job that is refused would not have been within the share.
        """
        part = self.entitled.get(spec.team)
        moment = str(spec.accepted_ms // DRAW_MS)
        return part is not None and draw(spec.id, moment) >= part


def draw(job: JobId, purpose: str) -> float:
    """Returns a number in [0, 1) that depends only on the job and the purpose."""
    digest = hashlib.blake2b(f"{job}/{purpose}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / (1 << 32)


class Claim(NamedTuple):
    """Work of a job that precedes a new one while it can still count.

    Attributes:
        limit_ms: Time until which it must begin; what has not begun by then goes last.
        busy_ms: Time for which it takes the whole pool.
    """

    limit_ms: float
    busy_ms: float


def taken_until(busy_ms: float, claims: Iterable[Claim]) -> float:
    """Returns until when claims take a pool that is busy until ``busy_ms``.

    A claim takes nothing after its limit, as what is too late goes last. Jobs that
    arrive while the forecast counts replace what is dropped meanwhile.
    """
    for limit_ms, claim_ms in sorted(claims):
        until_ms = min(busy_ms + claim_ms, limit_ms + MAX_AGE_MS)
        busy_ms = max(busy_ms, until_ms)
    return busy_ms


def busy_with_arrivals(backlog_ms: float, load: float) -> float:
    """Returns for how long a backlog and arrivals take a pool.

    Args:
        backlog_ms: Time for which the backlog alone takes the pool.
        load: Arriving work as a multiple of what the pool can run; it lasts for
            ``MAX_AGE_MS``.
    """
    if load < 1 and backlog_ms <= (1 - load) * MAX_AGE_MS:
        return backlog_ms / (1 - load)
    return backlog_ms + load * MAX_AGE_MS
