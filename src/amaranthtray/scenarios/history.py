"""What an all-seeing observer records while a scenario runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..domain.ids import AttemptId
from ..domain.invariants import TaskEnded, TaskStarted, Watchdog
from ..domain.invariants.running import IN_FORCE_MS
from ..domain.requests.model import WorkClass

if TYPE_CHECKING:
    from ..domain.invariants import Observation

__all__ = ["IN_FORCE_MS", "Call", "History", "Sending", "Started"]


@dataclass(slots=True)
class Call:
    """One submission as its caller sees it.

    Attributes:
        request_id: As it was sent.
        name: Name in the scenario.
        team: Team of the key that came with it, empty without one.
        outcome: How it ended, empty until it did.
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
class Started:
    """One task on a host."""

    at_ms: int
    request_id: str
    team: str
    host: str
    ended_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Sending:
    """An attempt that reached a host, whether it was taken or not."""

    at_ms: int
    host: str


@dataclass(slots=True)
class History:
    """Everything that outcomes are judged by.

    Attributes:
        faults: Broken promises that the checkers cannot see by themselves.
        expectations: What operators were told, where a step states it.
        in_force: Revisions by entry, with the time of each; 0 where a run begins.
    """

    watchdog: Watchdog = field(default_factory=Watchdog)
    calls: list[Call] = field(default_factory=list)
    started: dict[AttemptId, Started] = field(default_factory=dict)
    sendings: list[Sending] = field(default_factory=list)
    faults: list[tuple[str, str]] = field(default_factory=list)
    expectations: list[tuple[str, str, str]] = field(default_factory=list)
    in_force: dict[str, list[tuple[int, int]]] = field(default_factory=dict)

    def observe(self, seen: Observation) -> None:
        """Gives an observation to all checkers and keeps what runs."""
        match seen:
            case TaskStarted():
                self.started[seen.attempt_id] = Started(
                    seen.at_ms, seen.request_id, seen.team, seen.host
                )
                self._note_start(seen)
            case TaskEnded():
                self.started[seen.attempt_id].ended_ms = seen.at_ms
        self.watchdog.observe(seen)

    def note_sending(self, at_ms: int, host: str) -> None:
        """Records that an attempt reached a host."""
        self.sendings.append(Sending(at_ms, host))

    def broken(self) -> list[tuple[str, str]]:
        """Returns every promise that was broken, with what was seen."""
        seen = [(item.promise, item.detail) for item in self.watchdog.violations]
        return seen + self.faults

    def _note_start(self, seen: TaskStarted) -> None:
        for call in reversed(self.calls):
            if call.request_id == seen.request_id and call.started_ms is None:
                call.started_ms = seen.at_ms
                return
