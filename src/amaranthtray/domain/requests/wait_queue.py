"""Waiting requests of one pool and class, in order within each team."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from .tracked_request import Phase

if TYPE_CHECKING:
    from collections.abc import KeysView

    from ..ids import TeamName
    from .tracked_request import TrackedRequest

COMPACT_FROM = 32
"""Dead items of a team below which they are left for ``head`` to skip."""


class _TeamQueue:
    """One team's requests; cancelled ones stay until skipped or compacted."""

    __slots__ = ("items", "live")

    def __init__(self) -> None:
        self.items: deque[TrackedRequest] = deque()
        self.live = 0

    def compact(self) -> None:
        dead = len(self.items) - self.live
        if dead > COMPACT_FROM and dead > self.live:
            self.items = deque(
                tracked for tracked in self.items if tracked.phase is Phase.WAITING
            )


class WaitQueue:
    """A line with O(1) amortized push, pop and removal.

    Attributes:
        size: Requests that wait.
    """

    __slots__ = ("_teams", "size")

    def __init__(self) -> None:
        self._teams: dict[TeamName, _TeamQueue] = {}
        self.size = 0

    @property
    def teams(self) -> KeysView[TeamName]:
        """Teams with at least one waiting request."""
        return self._teams.keys()

    def waiting(self, team: TeamName) -> int:
        """Returns how many requests of the team wait."""
        line = self._teams.get(team)
        return 0 if line is None else line.live

    def stored(self, team: TeamName) -> int:
        """Returns how many items are stored for the team, removed ones included."""
        line = self._teams.get(team)
        return 0 if line is None else len(line.items)

    def push(self, tracked: TrackedRequest, *, front: bool = False) -> None:
        """Adds a request at the end, or at the front if it waited before."""
        tracked.phase = Phase.WAITING
        line = self._teams.get(tracked.key.team)
        if line is None:
            line = self._teams[tracked.key.team] = _TeamQueue()
        if front:
            line.items.appendleft(tracked)
        else:
            line.items.append(tracked)
        line.live += 1
        self.size += 1

    def head(self, team: TeamName) -> TrackedRequest:
        """Returns the first waiting request of a team that has one."""
        items = self._teams[team].items
        while items[0].phase is not Phase.WAITING:
            items.popleft()
        return items[0]

    def pop(self, team: TeamName) -> TrackedRequest:
        """Removes and returns what ``head`` returns; the caller sets its phase."""
        tracked = self.head(team)
        self._teams[team].items.popleft()
        self._remove_one(team)
        return tracked

    def discard(self, tracked: TrackedRequest, phase: Phase) -> None:
        """Removes a waiting request from wherever it stands."""
        tracked.phase = phase
        team = tracked.key.team
        self._remove_one(team)
        line = self._teams.get(team)
        if line is not None:
            line.compact()

    def _remove_one(self, team: TeamName) -> None:
        line = self._teams[team]
        line.live -= 1
        self.size -= 1
        if line.live == 0:
            del self._teams[team]
