"""Records of everything that happens while a scenario runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..domain.ids import AttemptId
from ..domain.invariants import TaskEnded, TaskStarted, Watchdog
from ..domain.invariants.running import IN_FORCE_MS
from ..domain.requests.model import WorkClass

if TYPE_CHECKING:
    from ..domain.invariants import Observation

__all__ = ["IN_FORCE_MS", "AttemptArrival", "Call", "History", "TaskRun"]


@dataclass(slots=True)
class Call:
    """One submission of a request from the point of view of its caller.

    Attributes:
        request_id: Id of the request, empty until an entry has issued one.
        name: Name of the request in the scenario, empty without one.
        team: Team of the key that was sent, empty without one.
        outcome: How it ended, empty until then.
    """

    request_id: str
    name: str
    team: str
    key: str
    queue: str
    work_class: WorkClass
    entry: str
    sent_ms: int
    accepted_ms: int | None = None
    started_ms: int | None = None
    outcome: str = ""
    reason: str = ""
    ended_ms: int = 0


@dataclass(slots=True)
class TaskRun:
    """One run of a task on a host."""

    at_ms: int
    request_id: str
    team: str
    host: str
    ended_ms: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptArrival:
    """An attempt that reached a host, accepted or refused."""

    at_ms: int
    host: str


@dataclass(slots=True)
class History:
    """Everything that the stated outcomes are checked against.

    Attributes:
        extra_violations: Broken promises that the checkers of the watchdog
            cannot detect, each with its name and details.
        expectations: Place of each commit step, with the result that it expects
            and the one that the operator received.
        in_force: Time and revision of each change by entry; revision 0 marks the
            start of an incarnation.
    """

    watchdog: Watchdog = field(default_factory=Watchdog)
    calls: list[Call] = field(default_factory=list)
    task_runs: dict[AttemptId, TaskRun] = field(default_factory=dict)
    arrivals: list[AttemptArrival] = field(default_factory=list)
    extra_violations: list[tuple[str, str]] = field(default_factory=list)
    expectations: list[tuple[str, str, str]] = field(default_factory=list)
    in_force: dict[str, list[tuple[int, int]]] = field(default_factory=dict)

    def observe(self, observation: Observation) -> None:
        """Passes an observation to all checkers and records runs of tasks."""
        match observation:
            case TaskStarted():
                self.task_runs[observation.attempt_id] = TaskRun(
                    observation.at_ms,
                    observation.request_id,
                    observation.team,
                    observation.host,
                )
                self._record_start(observation)
            case TaskEnded():
                self.task_runs[observation.attempt_id].ended_ms = observation.at_ms
        self.watchdog.observe(observation)

    def record_arrival(self, at_ms: int, host: str) -> None:
        """Records that an attempt reached a host."""
        self.arrivals.append(AttemptArrival(at_ms, host))

    def broken_promises(self) -> list[tuple[str, str]]:
        """Returns the name of each broken promise, with what was observed."""
        violations = [(item.promise, item.detail) for item in self.watchdog.violations]
        return violations + self.extra_violations

    def _record_start(self, start: TaskStarted) -> None:
        for call in reversed(self.calls):
            if call.request_id == start.request_id and call.started_ms is None:
                call.started_ms = start.at_ms
                return
