"""Tasks that wait for the busy rack of their data, from one plan to the next.

This is neither stored nor seen by hosts: a new conductor plans anew.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from ..ids import HostId, RackId
from ..jobs.model import Resources, StepKey, TaskName

if TYPE_CHECKING:
    from collections.abc import Collection

REPORT_EVERY_MS = 5_000
"""Shortest time between reports on one rack."""


class RackWait(NamedTuple):
    """Reports that tasks wait for a rack although another host has room for them.

    Attributes:
        rack: The rack.
        tasks: Number of tasks that wait.
        longest_ms: Longest wait since the last report, so far.
        expected_ms: Time until the last of them starts, as expected.
        hosts: Hosts of the rack that accept runs.
        report_age_ms: Age of the oldest last report of these hosts.
    """

    rack: RackId
    tasks: int
    longest_ms: int
    expected_ms: int
    hosts: int = 0
    report_age_ms: int = 0


class RackStarts(NamedTuple):
    """Reports how many tasks were placed since the last report.

    Attributes:
        near: Tasks that have waited for the rack of their data and got it.
        far: Tasks that have waited for it and were placed in another rack.
        remote: All tasks that were placed in another rack than their data.
    """

    near: int
    far: int
    remote: int


RackReport: TypeAlias = RackWait | RackStarts


class KnownEnds(NamedTuple):
    """Expected ends of a host's runs.

    Attributes:
        used: Resources of these runs; a new object for each change.
        computed_ms: Steady-clock time of the computation.
        ends: Steady-clock time of each end, and the resources that it frees, in order.
        by_run: Steady-clock time of the end of each run.
    """

    used: Resources
    computed_ms: int
    ends: list[tuple[float, Resources]]
    by_run: dict[tuple[TaskName, int], float]


@dataclass(slots=True)
class _StepWait:
    """Wait of a step's tasks.

    Attributes:
        rack: Rack of the data.
        since_ms: Steady-clock time at which the first of them was held back.
        tasks: Tasks that were held back and have not been placed.
        held: Tasks that the current plan holds back.
        expected_ms: Time until the last of these starts.
    """

    rack: RackId
    since_ms: int
    tasks: int = 0
    held: int = 0
    expected_ms: float = 0.0


@dataclass(slots=True)
class RackWaits:
    """Waits for racks.

    Attributes:
        ends: Expected ends of runs by host; computed again after a short time.
        remote: Tasks placed in another rack than their data since the last report.
    """

    ends: dict[HostId, KnownEnds] = field(default_factory=dict)
    remote: int = 0
    _near: int = 0
    _far: int = 0
    _steps: dict[StepKey, _StepWait] = field(default_factory=dict)
    _longest_ms: dict[RackId, int] = field(default_factory=dict)
    _reported_ms: dict[RackId, int] = field(default_factory=dict)

    def begin_plan(
        self, waiting: Collection[StepKey], hosts: Collection[HostId]
    ) -> None:
        """Forgets what is over; no task is held back yet.

        Args:
            waiting: Steps with waiting tasks whose data has a rack.
            hosts: Hosts that may have runs.
        """
        self._steps = {key: self._steps[key] for key in self._steps if key in waiting}
        for wait in self._steps.values():
            wait.held = 0
        if len(self.ends) > len(hosts):
            self.ends = {host: self.ends[host] for host in self.ends if host in hosts}

    def waited_ms(self, key: StepKey, now_ms: int) -> int:
        """Returns the time since tasks of a step were held back first; 0 if never."""
        wait = self._steps.get(key)
        return now_ms - wait.since_ms if wait else 0

    def held(self, key: StepKey) -> int:
        """Returns how many tasks of a step the current plan holds back."""
        wait = self._steps.get(key)
        return wait.held if wait else 0

    def record_starts(self, key: StepKey, near: int, far: int) -> None:
        """Records the placed tasks of a step; those that have waited count first."""
        wait = self._steps.get(key)
        if wait is not None:
            near = min(near, wait.tasks)
            far = min(far, wait.tasks - near)
            wait.tasks -= near + far
            self._near += near
            self._far += far

    def hold(
        self, key: StepKey, rack: RackId, tasks: int, expected_ms: float, now_ms: int
    ) -> None:
        """Records that the current plan holds back tasks of a step.

        Args:
            key: The step.
            rack: Rack of its data.
            tasks: Number of its tasks that wait.
            expected_ms: Time until the last of these starts, as expected.
            now_ms: Steady-clock time.
        """
        wait = self._steps.setdefault(key, _StepWait(rack, now_ms))
        wait.held, wait.expected_ms = tasks, expected_ms
        wait.tasks = max(wait.tasks, tasks)
        longest_ms = max(self._longest_ms.get(rack, 0), now_ms - wait.since_ms)
        self._longest_ms[rack] = longest_ms

    def take_starts(self) -> RackStarts | None:
        """Returns the tasks placed since the last call; None without any."""
        starts = RackStarts(self._near, self._far, self.remote)
        self._near = self._far = self.remote = 0
        return starts if any(starts) else None

    def take_waits(self, now_ms: int) -> list[RackWait]:
        """Returns the racks for which tasks are held back and a report is due.

        The number of hosts and the age of their reports are left at zero.
        """
        held: dict[RackId, list[_StepWait]] = {}
        for wait in self._steps.values():
            last_ms = self._reported_ms.get(wait.rack)
            is_due = last_ms is None or now_ms - last_ms >= REPORT_EVERY_MS
            if wait.held and is_due:
                held.setdefault(wait.rack, []).append(wait)
        reports: list[RackWait] = []
        for rack, waits in held.items():
            self._reported_ms[rack] = now_ms
            tasks = sum(wait.held for wait in waits)
            expected_ms = round(max(wait.expected_ms for wait in waits))
            longest_ms = self._longest_ms.pop(rack)
            reports.append(RackWait(rack, tasks, longest_ms, expected_ms))
        return reports
