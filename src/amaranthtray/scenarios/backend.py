"""Simulated backend servers with slots, run times and task leases."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from ..bench._waves_clock import VirtualClock
from ..domain.ids import AttemptId
from ..domain.invariants import TaskEnded, TaskStarted
from ..domain.inventory import Host
from ..domain.requests.messages import (
    AnswerCut,
    BrokeAfterSend,
    Checkpointed,
    NothingSent,
    RefusedByHost,
    StartAttempt,
    WholeAnswer,
)
from .history import History

if TYPE_CHECKING:
    from ..domain.requests.messages import AttemptResult

    Respond = Callable[[AttemptResult, int], None]
    """Receives the result of an attempt and the number of free slots afterwards."""


@dataclass(slots=True)
class Task:
    """A running task."""

    attempt: StartAttempt
    respond: Respond
    fails: bool
    lease_until_ms: int


@dataclass(slots=True)
class VirtualBackend:
    """Simulated backend server of one host.

    Attributes:
        host: The host as the platform lists it.
        is_leaving: Whether it is leaving the fleet, not only draining.
        refuses: Whether it refuses new work.
        is_broken: Whether every task that it runs fails.
        replies_to_lose: Number of coming answers to cut or lose, in turn.
        on_empty: Called once when no task runs any more.
    """

    host: Host
    clock: VirtualClock
    history: History
    is_up: bool = True
    is_leaving: bool = False
    refuses: bool = False
    is_broken: bool = False
    replies_to_lose: int = 0
    on_empty: Callable[[], None] | None = None
    tasks: dict[AttemptId, Task] = field(default_factory=dict)

    @property
    def free_slots(self) -> int:
        """Returns the number of slots without a task."""
        return self.host.slots - len(self.tasks)

    def start(
        self, attempt: StartAttempt, run_ms: int, respond: Respond, *, fails: bool
    ) -> None:
        """Runs or refuses an attempt; fails the connection if the host is down."""
        if not self.is_up:
            respond(NothingSent("connection refused"), 0)
        elif self.refuses:
            respond(RefusedByHost(is_leaving=True), self.free_slots)
        elif self.free_slots <= 0:
            respond(RefusedByHost(), 0)
        else:
            self._run(attempt, run_ms, respond, fails=fails)

    def renew(self, attempt_ids: tuple[AttemptId, ...], ttl_ms: int) -> None:
        """Renews the leases of those tasks that still run."""
        for attempt_id in attempt_ids:
            task = self.tasks.get(attempt_id)
            if task is not None:
                task.lease_until_ms = self.clock.now_ms + ttl_ms
                self.clock.after(ttl_ms, partial(self._expire_lease, attempt_id))

    def stop(self, attempt_id: AttemptId) -> None:
        """Stops a task; afterwards it certainly does not run."""
        self._end(attempt_id)

    def checkpoint(self, attempt_id: AttemptId) -> None:
        """Stops a task at a checkpoint and reports that."""
        task = self._end(attempt_id)
        if task is not None:
            task.respond(Checkpointed(), self.free_slots)

    def kill(self) -> None:
        """Takes the host down: ends all tasks and breaks their connections."""
        self.is_up = False
        for attempt_id in list(self.tasks):
            task = self._end(attempt_id)
            if task is not None:
                task.respond(BrokeAfterSend("connection reset"), 0)

    def when_empty(self, act: Callable[[], None]) -> None:
        """Calls ``act`` once, as soon as no task runs."""
        self.on_empty = act
        self._run_on_empty()

    def _run(
        self, attempt: StartAttempt, run_ms: int, respond: Respond, *, fails: bool
    ) -> None:
        now_ms = self.clock.now_ms
        lease_ms = now_ms + attempt.lease_ttl_ms
        attempt_id, request = attempt.attempt_id, attempt.request
        self.tasks[attempt_id] = Task(attempt, respond, fails, lease_ms)
        self.history.observe(
            TaskStarted(
                now_ms,
                request.request_id,
                request.team,
                attempt_id,
                self.host.host_id,
                request.repeatable,
            )
        )
        self.clock.after(run_ms, lambda: self._finish(attempt_id))
        self.clock.after(attempt.lease_ttl_ms, lambda: self._expire_lease(attempt_id))

    def _finish(self, attempt_id: AttemptId) -> None:
        task = self._end(attempt_id)
        if task is None:
            return
        result: AttemptResult = WholeAnswer(is_error=task.fails or self.is_broken)
        if self.replies_to_lose > 0:
            self.replies_to_lose -= 1
            is_cut = self.replies_to_lose % 2 == 1
            result = AnswerCut("cut") if is_cut else BrokeAfterSend("reset")
        task.respond(result, self.free_slots)

    def _expire_lease(self, attempt_id: AttemptId) -> None:
        task = self.tasks.get(attempt_id)
        if task is not None and task.lease_until_ms <= self.clock.now_ms:
            self._end(attempt_id)

    def _end(self, attempt_id: AttemptId) -> Task | None:
        task = self.tasks.pop(attempt_id, None)
        if task is not None:
            self.history.observe(TaskEnded(self.clock.now_ms, attempt_id))
            self._run_on_empty()
        return task

    def _run_on_empty(self) -> None:
        if not self.tasks and self.on_empty is not None:
            act, self.on_empty = self.on_empty, None
            act()
