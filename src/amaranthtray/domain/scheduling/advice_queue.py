"""Which request for placement advice goes next: one at a time, the most useful first.

The load that this addresses: for some seconds more steps need advice than the service
can answer. Each plan lists anew what is worth asking, so that nothing waits that has
become useless meanwhile, and a step that waits for its answer adds no further request.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..jobs.model import StepKey
from .advice import RequestAdvice

if TYPE_CHECKING:
    from ..jobs.model import JobId

MAX_LISTED = 8
"""Requests of each purpose that are listed; they last until the next plan."""

SERVICE_PAUSE_MS = 200
"""Pause after a call that was refused or had no answer; doubles with each further."""

MAX_SERVICE_PAUSE_MS = 1_600

STEP_PAUSE_MS = 400
"""Time in which others go before a step whose request failed; doubles likewise."""

MAX_STEP_PAUSE_MS = 12_800


class Purpose(Enum):
    """What a request is for.

    Attributes:
        START: A task starts at once if a host is allowed, or a gang is completed.
        MOVE: A run can leave an evacuated zone, or a host that is to be emptied.
        PREPARE: None of the hosts has room now.
    """

    START = "start"
    MOVE = "move"
    PREPARE = "prepare"


@dataclass(slots=True)
class _Pause:
    """Time without requests after failures in a row."""

    until_ms: int = 0
    failures: int = 0

    def extend(self, now_ms: int, first_ms: int, longest_ms: int) -> None:
        self.until_ms = now_ms + min(first_ms << self.failures, longest_ms)
        # Beyond this the pause has long reached its maximum.
        self.failures = min(self.failures + 1, 16)


@dataclass(slots=True)
class AdviceQueue:
    """The request under way and those that go next.

    Attributes:
        outstanding: Step of the request that has no answer yet; None if there is none.
        waiting: Number of steps for which the last plan wanted advice.
    """

    outstanding: StepKey | None = None
    waiting: int = 0
    _listed: dict[Purpose, deque[RequestAdvice]] = field(
        default_factory=lambda: {purpose: deque() for purpose in Purpose}
    )
    _service: _Pause = field(default_factory=_Pause)
    _steps: dict[StepKey, _Pause] = field(default_factory=dict)
    _last_purpose: Purpose = Purpose.PREPARE

    def begin_plan(self) -> None:
        """Forgets the listed requests for starts; the plan lists them anew.

        Moves are not planned each time, so their requests stay until they are sent.
        """
        self.waiting = len(self._listed[Purpose.MOVE])
        self._listed[Purpose.START].clear()
        self._listed[Purpose.PREPARE].clear()

    def accepts(self, step: StepKey, purpose: Purpose, now_ms: int) -> bool:
        """Returns whether a request for a step may be listed; counts one that waits."""
        for listed in self._listed.values():
            if any(request.step == step for request in listed):
                return False
        pause = self._steps.get(step)
        is_accepted = (
            step != self.outstanding
            and len(self._listed[purpose]) < MAX_LISTED
            and (pause is None or now_ms >= pause.until_ms)
        )
        self.waiting += not is_accepted
        return is_accepted

    def add(self, request: RequestAdvice, purpose: Purpose) -> None:
        """Lists a request after those of its purpose; the first ones are kept."""
        self.waiting += 1
        if len(self._listed[purpose]) < MAX_LISTED:
            self._listed[purpose].append(request)

    def take_next(self, now_ms: int) -> list[RequestAdvice]:
        """Returns the request to send now, if none is under way.

        Starts and moves take turns; what can only prepare a start goes last.
        """
        if self.outstanding is not None or now_ms < self._service.until_ms:
            return []
        order = [Purpose.START, Purpose.MOVE, Purpose.PREPARE]
        if self._last_purpose is Purpose.START:
            order[:2] = [Purpose.MOVE, Purpose.START]
        for purpose in order:
            if self._listed[purpose]:
                request = self._listed[purpose].popleft()
                self._last_purpose, self.outstanding = purpose, request.step
                return [request]
        return []

    def handle_answer(self, step: StepKey) -> None:
        """Applies that a request was answered."""
        self._end(step)
        self._service = _Pause()
        self._steps.pop(step, None)

    def handle_failure(self, step: StepKey, now_ms: int) -> None:
        """Applies that a request failed: the service gets a pause, the step a longer.

        With the step's own pause a request that always fails doesn't hold up others.
        """
        self._end(step)
        self._service.extend(now_ms, SERVICE_PAUSE_MS, MAX_SERVICE_PAUSE_MS)
        pause = self._steps.setdefault(step, _Pause())
        pause.extend(now_ms, STEP_PAUSE_MS, MAX_STEP_PAUSE_MS)

    def remove_job(self, job: JobId) -> None:
        """Forgets the requests of a job that is over, except for one under way."""
        for purpose, listed in self._listed.items():
            if any(request.step.job == job for request in listed):
                kept = (each for each in listed if each.step.job != job)
                self._listed[purpose] = deque(kept)
        for step in [step for step in self._steps if step.job == job]:
            del self._steps[step]

    def _end(self, step: StepKey) -> None:
        if step == self.outstanding:
            self.outstanding = None
