"""Promises about running tasks: upper limits and at most once."""

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
    """No team ever has more running than its upper limit.

    A lowered limit binds new starts once it must be in force; tasks that already
    run are not stopped by it.
    """

    def __init__(self) -> None:
        self._limits: dict[TeamName, list[LimitSet]] = defaultdict(list)
        self._running: dict[AttemptId, TeamName] = {}
        self._count: dict[TeamName, int] = defaultdict(int)

    def observe(self, seen: Observation) -> str | None:
        """Returns an overrun, if this observation shows one."""
        match seen:
            case LimitSet():
                self._limits[seen.team].append(seen)
            case TaskStarted():
                return self._start(seen)
            case TaskEnded():
                self._end(seen)
        return None

    def _start(self, seen: TaskStarted) -> str | None:
        self._running[seen.attempt_id] = seen.team
        self._count[seen.team] += 1
        limit = self._limit_at(seen.team, seen.at_ms)
        running = self._count[seen.team]
        if limit is None or running <= limit:
            return None
        return f"team {seen.team} runs {running}, limit {limit}"

    def _end(self, seen: TaskEnded) -> None:
        team = self._running.pop(seen.attempt_id, None)
        if team is not None:
            self._count[team] -= 1

    def _limit_at(self, team: TeamName, at_ms: int) -> int | None:
        """Returns the highest limit that some entry may still have in force."""
        history = self._limits[team]
        settled = [item for item in history if item.at_ms + IN_FORCE_MS < at_ms]
        fresh = [item for item in history if item.at_ms + IN_FORCE_MS >= at_ms]
        allowed = settled[-1:] + fresh
        return max((item.limit for item in allowed), default=None)


class AtMostOnce:
    """A request marked as unrepeatable runs at most once."""

    def __init__(self) -> None:
        self._ran: dict[tuple[TeamName, RequestId], AttemptId] = {}

    def observe(self, seen: Observation) -> str | None:
        """Returns a second run, if this observation shows one."""
        if not isinstance(seen, TaskStarted) or seen.repeatable:
            return None
        first = self._ran.setdefault((seen.team, seen.request_id), seen.attempt_id)
        if first == seen.attempt_id:
            return None
        return f"request {seen.request_id} ran as {first} and as {seen.attempt_id}"
