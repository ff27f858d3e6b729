"""Queue of waiting requests of one pool and work class, by team."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from .tracked_request import Phase

if TYPE_CHECKING:
    from collections.abc import KeysView

    from ..ids import TeamName
    from .tracked_request import TrackedRequest

MIN_REMOVED_TO_COMPACT = 32
"""Number of removed items of a team up to which its queue is not compacted."""


class _TeamQueue:
    """Requests of one team; removed ones stay until skipped or compacted."""

    __slots__ = ("items", "live")

    def __init__(self) -> None:
        self.items: deque[TrackedRequest] = deque()
        self.live = 0

    def compact(self) -> None:
        dead = len(self.items) - self.live
        if dead > MIN_REMOVED_TO_COMPACT and dead > self.live:
            self.items = deque(
                item for item in self.items if item.phase is Phase.WAITING
            )


class WaitQueue:
    """Waiting requests in order within each team.

    Push, pop and removal take O(1) amortized time.

    Attributes:
        size: Number of waiting requests.
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
        """Returns the number of waiting requests of a team."""
        team_queue = self._teams.get(team)
        return 0 if team_queue is None else team_queue.live

    def stored(self, team: TeamName) -> int:
        """Returns the number of stored items of a team, including removed ones."""
        team_queue = self._teams.get(team)
        return 0 if team_queue is None else len(team_queue.items)

    def push(self, item: TrackedRequest, *, front: bool = False) -> None:
        """Adds a request at the end, or at the front if it waited before."""
        item.phase = Phase.WAITING
        team_queue = self._teams.get(item.key.team)
        if team_queue is None:
            team_queue = self._teams[item.key.team] = _TeamQueue()
        if front:
            team_queue.items.appendleft(item)
        else:
            team_queue.items.append(item)
        team_queue.live += 1
        self.size += 1

    def head(self, team: TeamName) -> TrackedRequest:
        """Returns the first waiting request of a team, which must have one."""
        items = self._teams[team].items
        while items[0].phase is not Phase.WAITING:
            items.popleft()
        return items[0]

    def pop(self, team: TeamName) -> TrackedRequest:
        """Removes and returns what ``head`` returns; the caller sets its phase."""
        item = self.head(team)
        self._teams[team].items.popleft()
        self._decrement(team)
        return item

    def discard(self, item: TrackedRequest, phase: Phase) -> None:
        """Removes a waiting request from any position and sets its phase."""
        item.phase = phase
        team = item.key.team
        self._decrement(team)
        team_queue = self._teams.get(team)
        if team_queue is not None:
            team_queue.compact()

    def _decrement(self, team: TeamName) -> None:
        team_queue = self._teams[team]
        team_queue.live -= 1
        self.size -= 1
        if team_queue.live == 0:
            del self._teams[team]
