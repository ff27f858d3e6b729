"""The rates at which jobs and work arrive at a pool, for its forecast."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from .shares import WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import TeamName
    from ..jobs.model import JobSpec

WINDOW_MS = WINDOW_S * 1_000

SHARE_MARGIN = 2
"""Multiple of a team's share that is accepted as if it was within it: which of a team's
jobs are beyond its share is known only when their conductor finds them."""

MAX_JOBS = 20_000
"""Jobs of a window that are kept; with more, the rates are too low."""


class _Arrival(NamedTuple):
    """A job that was accepted, with its declared work in amounts times ms."""

    accepted_ms: int
    team: TeamName
    priority: int
    is_excess: bool
    work: tuple[int, int, int]


@dataclass(slots=True)
class ArrivalRates:
    """The jobs that were accepted within the last window."""

    _arrivals: deque[_Arrival] = field(default_factory=lambda: deque(maxlen=MAX_JOBS))

    def record(self, spec: JobSpec, priority: int, *, is_excess: bool) -> None:
        """Records a new job; its own time counts, as a new conductor finds many.

        Args:
            spec: The job.
            priority: Priority of its queue.
            is_excess: Whether it is beyond its team's share.
        """
        work = [0, 0, 0]
        for step in spec.steps:
            if not step.is_lasting:
                for index, amount in enumerate(step.reserved):
                    work[index] += step.count * amount * step.estimated_ms
        arrival = _Arrival(
            spec.accepted_ms,
            spec.team,
            priority,
            is_excess,
            (work[0], work[1], work[2]),
        )
        self._arrivals.append(arrival)

    def forget_old(self, wall_ms: int) -> None:
        """Removes jobs that were accepted before the window."""
        while self._arrivals and self._arrivals[0].accepted_ms <= wall_ms - WINDOW_MS:
            self._arrivals.popleft()

    def work_before(
        self, resource: int, priority: int, *, is_excess: bool
    ) -> list[float]:
        """Returns the work of each job that precedes new ones of a class.

        Args:
            resource: Index of the resource.
            priority: Priority of the class; work of higher ones precedes it.
            is_excess: Whether the class is beyond the teams' shares. Then all work of
                higher priorities precedes it, and that within the shares of its own;
                otherwise only work of higher priorities within the shares.
        """
        return [
            float(each.work[resource])
            for each in self._arrivals
            if (each.priority < priority and (is_excess or not each.is_excess))
            or (each.priority == priority and is_excess and not each.is_excess)
        ]

    def entitled(self, weights: Mapping[TeamName, float]) -> dict[TeamName, float]:
        """Returns the part of the submissions that a team's weight covers.

        The part is taken of the rate that is seen here, which is that of the accepted
        jobs. Where the entries accept this part of all submissions, the accepted rate
        settles at the root of ``SHARE_MARGIN * weight * submitted rate``, so that a
        team beyond its share gets more than its share accepted.

        Args:
            weights: Jobs per second within the share of each team.
        """
        parts: dict[TeamName, float] = {}
        for team, weight in weights.items():
            per_s = sum(each.team == team for each in self._arrivals) / WINDOW_S
            if 0 < weight < per_s:
                parts[team] = round(min(SHARE_MARGIN * weight / per_s, 1.0), 3)
        return parts
