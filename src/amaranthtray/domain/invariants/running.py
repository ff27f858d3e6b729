"""Promises about running tasks: upper limits and at-most-once execution."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .observations import LimitSet, TaskEnded, TaskStarted

if TYPE_CHECKING:
    from ..ids import AttemptId, RequestId, TeamName
    from .observations import Observation

IN_FORCE_MS = 3_000
"""Time within which a committed configuration is in force everywhere."""


class LimitsHold:
    """No team ever has more tasks running than its upper limit.

    A lowered limit applies to new starts once it must be in force; tasks that
    already run are not stopped by it.
    """

    def __init__(self) -> None:
        self._limits: dict[TeamName, list[LimitSet]] = defaultdict(list)
        self._running: dict[AttemptId, TeamName] = {}
        self._count: dict[TeamName, int] = defaultdict(int)

    def observe(self, event: Observation) -> str | None:
        """Returns an exceeded limit that this observation reveals, or None."""
        match event:
            case LimitSet():
                self._limits[event.team].append(event)
            case TaskStarted():
                return self._record_start(event)
            case TaskEnded():
                self._record_end(event)
        return None

    def _record_start(self, event: TaskStarted) -> str | None:
        self._running[event.attempt_id] = event.team
        self._count[event.team] += 1
        limit = self._limit_at(event.team, event.at_ms)
        running = self._count[event.team]
        if limit is None or running <= limit:
            return None
        return f"team {event.team} runs {running}, limit {limit}"

    def _record_end(self, event: TaskEnded) -> None:
        team = self._running.pop(event.attempt_id, None)
        if team is not None:
            self._count[team] -= 1

    def _limit_at(self, team: TeamName, at_ms: int) -> int | None:
        """Returns the highest limit that some entry may still have in force."""
        history = self._limits[team]
        in_force = [item for item in history if item.at_ms + IN_FORCE_MS < at_ms]
        recent = [item for item in history if item.at_ms + IN_FORCE_MS >= at_ms]
        allowed = in_force[-1:] + recent
        return max((item.limit for item in allowed), default=None)


class AtMostOnce:
    """A request that is marked as not repeatable runs at most once."""

    def __init__(self) -> None:
        self._ran: dict[tuple[TeamName, RequestId], AttemptId] = {}

    def observe(self, event: Observation) -> str | None:
        """Returns a second run that this observation reveals, or None."""
        if not isinstance(event, TaskStarted) or event.repeatable:
            return None
        first = self._ran.setdefault((event.team, event.request_id), event.attempt_id)
        if first == event.attempt_id:
            return None
        return f"request {event.request_id} ran as {first} and as {event.attempt_id}"
