"""When the next tasks that wait for a rack can start there, as expected."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ..jobs.model import Resources
from .host import Host
from .profile import expected_rest_ms
from .rack_waits import KnownEnds

if TYPE_CHECKING:
    from ..ids import HostId
    from ..jobs.model import StepKey, StepSpec, TaskName
    from ._state import SchedulerState

REFRESH_MS = 100
"""Time for which the expected ends of a host's runs are kept: short against waits of a
run's length, and long enough for several plans."""


class _End(NamedTuple):
    """Expected end of a run on one of the rack's hosts.

    Attributes:
        at_ms: Steady-clock time.
        place: Place of the host in the rack.
        following: Place of the host's next end among its known ends; 0 for a run that
            the plan has placed.
        freed: Resources that become free.
    """

    at_ms: float
    place: int
    following: int
    freed: Resources


class _Unmet(NamedTuple):
    """Need for which the rack has no turn left before a time."""

    need: Resources
    until_ms: float


@dataclass(slots=True)
class _HostRoom:
    """Free resources of a host from the time of its last end that was counted."""

    host: Host
    room: Resources
    at_ms: float


class RackTurns:
    """The next starts in a rack, given to steps in their order.

    Each run that ends frees its resources on its host. Each start uses them until its
    own expected end. A task that gets no turn leaves them to the tasks behind it.

    Args:
        state: State of the scheduler.
        hosts: Hosts of the rack that accept runs.
    """

    def __init__(self, state: SchedulerState, hosts: list[Host]) -> None:
        now_ms = float(state.now_ms)
        self._rooms = [_HostRoom(host, host.room, now_ms) for host in hosts]
        self._indices = {host.info.id: index for index, host in enumerate(hosts)}
        self._known = [expected_ends(state, host) for host in hosts]
        self._ends = [
            _End(ends[0][0], index, 1, ends[0][1])
            for index, ends in enumerate(self._known)
            if ends
        ]
        heapq.heapify(self._ends)
        self._unmet: list[_Unmet] = []

    def occupy(self, host: HostId, need: Resources, ends_ms: float) -> None:
        """Counts a run that the current plan has placed.

        Args:
            host: Host of the run.
            need: Its resources.
            ends_ms: Steady-clock time of its expected end.
        """
        index = self._indices.get(host)
        if index is not None:
            self._rooms[index].room = self._rooms[index].room.minus(need)
            heapq.heappush(self._ends, _End(ends_ms, index, 0, need))

    def take(
        self, key: StepKey, step: StepSpec, count: int, run_ms: float, until_ms: float
    ) -> list[float]:
        """Gives the next turns to tasks of a step; returns their times, ascending.

        Args:
            key: The step.
            step: Its specification.
            count: Number of tasks.
            run_ms: Expected run time of a task.
            until_ms: Steady-clock time before which a turn must come.
        """
        need = step.reserved
        if any(
            each.need.fits(need) and until_ms <= each.until_ms for each in self._unmet
        ):
            return []
        turns: list[float] = []
        taken: Counter[int] = Counter()
        fitting = [room for room in self._rooms if need.fits(room.room)]
        for room in sorted(fitting, key=lambda each: each.at_ms):
            if room.at_ms < until_ms:
                self._fill(room, key, step, run_ms, count, turns, taken)
        while len(turns) < count and self._ends and self._ends[0].at_ms < until_ms:
            room = self._end_next()
            self._fill(room, key, step, run_ms, count, turns, taken)
        if len(turns) < count and not (step.required_label or step.max_per_host):
            self._unmet.append(_Unmet(need, until_ms))
        return sorted(turns)

    def _end_next(self) -> _HostRoom:
        """Counts the next end; returns its host, which has more room from then on."""
        end = heapq.heappop(self._ends)
        known = self._known[end.place]
        if 0 < end.following < len(known):
            at_ms, freed = known[end.following]
            following = _End(at_ms, end.place, end.following + 1, freed)
            heapq.heappush(self._ends, following)
        room = self._rooms[end.place]
        room.room = room.room.plus(end.freed)
        room.at_ms = max(room.at_ms, end.at_ms)
        return room

    def _fill(
        self,
        room: _HostRoom,
        key: StepKey,
        step: StepSpec,
        run_ms: float,
        count: int,
        turns: list[float],
        taken: Counter[int],
    ) -> None:
        """Gives the room of one host to tasks that still need a turn."""
        info = room.host.info
        if step.required_label and step.required_label not in info.labels:
            return
        index = self._indices[info.id]
        most = count - len(turns)
        if step.max_per_host:
            placed = room.host.task_count(key) + taken[index]
            most = min(most, step.max_per_host - placed)
        while most > 0 and step.reserved.fits(room.room):
            room.room = room.room.minus(step.reserved)
            heapq.heappush(
                self._ends, _End(room.at_ms + run_ms, index, 0, step.reserved)
            )
            turns.append(room.at_ms)
            taken[index] += 1
            most -= 1


def expected_ends(state: SchedulerState, host: Host) -> list[tuple[float, Resources]]:
    """Returns when the runs of a host end, as expected, and what each frees, in order.

    Lasting runs don't end.
    """
    known = state.rack_waits.ends.get(host.info.id)
    computed_ms, earlier = state.now_ms, {}
    if known is not None and state.now_ms - known.computed_ms < REFRESH_MS:
        if known.used is host.used:
            return known.ends
        computed_ms, earlier = known.computed_ms, known.by_run
    by_run: dict[tuple[TaskName, int], float] = {}
    ends: list[tuple[float, Resources]] = []
    for placed in host.placed_runs():
        if not placed.step.is_lasting:
            run = placed.name, placed.run.number
            at_ms = earlier.get(run)
            if at_ms is None:
                at_ms = state.now_ms + expected_rest_ms(state, host, placed)
            by_run[run] = at_ms
            ends.append((at_ms, placed.step.reserved))
    ends.sort()
    known = KnownEnds(host.used, computed_ms, ends, by_run)
    state.rack_waits.ends[host.info.id] = known
    return ends
