"""Backend servers, network and entries in virtual time around request desks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Protocol

from ..domain.ids import AttemptId, HostId, Millis, RequestId
from ..domain.invariants import (
    HostLeaving,
    Observation,
    TaskEnded,
    TaskStarted,
)
from ..domain.inventory import Host
from ..domain.requests.messages import (
    AnswerCut,
    AttemptEnded,
    AttemptResult,
    BrokeAfterSend,
    Checkpointed,
    CheckpointTask,
    RefusedByHost,
    RenewLeases,
    SlotsFreed,
    StartAttempt,
    StopTask,
    WholeAnswer,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..domain.requests.messages import DispatcherMessage
    from ..domain.requests.model import Request

LATE_REQUEST_MS = 400
"""Longest time for which bytes outlive their broken connection."""

PAUSE_MS = 2_000
"""Longest pause of an entry between a decision and its sending."""


class Fault(Enum):
    """What goes wrong with one attempt."""

    NONE = "none"
    UNSENT = "unsent"
    LOST_REQUEST = "lost_request"
    LATE_REQUEST = "late_request"
    LOST_ANSWER = "lost_answer"
    CUT_ANSWER = "cut_answer"
    ERROR = "error"
    HANG = "hang"
    DOUBLE = "double"
    PAUSED = "paused"


class Runtime(Protocol):
    """The entry that an attempt came from."""

    def give(self, message: DispatcherMessage) -> None:
        """Hands a message to the desk."""

    def end(self, attempt_id: AttemptId, result: AttemptResult) -> None:
        """Reports the end of an attempt."""


@dataclass(slots=True, eq=False)
class Task:
    """A task as its backend server sees it."""

    start: StartAttempt
    entry: Runtime
    fault: Fault
    lease_until_ms: int
    ends_ms: int = 0
    has_ended: bool = False


@dataclass(slots=True, eq=False)
class SimHost:
    """A backend server with slots, worker leases and a memory of stopped tasks."""

    host: Host
    tasks: dict[AttemptId, Task] = field(default_factory=dict)
    stopped: set[AttemptId] = field(default_factory=set)
    is_alive: bool = True
    is_leaving: bool = False

    @property
    def free_slots(self) -> int:
        """Returns the slots that no task holds."""
        return self.host.slots - len(self.tasks)


class RequestsSimulation:
    """Virtual time, backend servers and the network.

    Args:
        rng: Random source.
        hosts: Backend servers.
        service_ms: Draws the slot time of a task.
        delay_ms: Longest one-way delay.
        observe: Takes what an all-seeing observer records, if any.
    """

    def __init__(
        self,
        rng: random.Random,
        hosts: tuple[Host, ...],
        service_ms: Callable[[Request], int],
        *,
        delay_ms: int = 3,
        observe: Callable[[Observation], object] | None = None,
    ) -> None:
        self.rng = rng
        self.now = Millis(0)
        self.hosts = {host.host_id: SimHost(host) for host in hosts}
        self.service_ms = service_ms
        self.observe = observe
        self.draw_fault: Callable[[], Fault] = lambda: Fault.NONE
        self.control_loss = 0.0
        self.on_start: Callable[[Request, int], None] | None = None
        self.answers: dict[AttemptId, Request] = {}
        self.whole: set[AttemptId] = set()
        self.refusals = 0
        self.checkpoint_ms = 100
        self.resume_ms = 100
        self.lost_slot_ms = 0
        self._left_ms: dict[RequestId, int] = {}
        self._delay_ms = delay_ms
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._seq = 0

    def at(self, when_ms: int, act: Callable[[], None]) -> None:
        """Schedules an act."""
        self._seq += 1
        heappush(self._events, (max(when_ms, self.now), self._seq, act))

    def after(self, act: Callable[[], None]) -> None:
        """Schedules an act one network delay from now."""
        self.at(self.now + 1 + int(self.rng.random() * self._delay_ms), act)

    def run_until(self, until_ms: int) -> None:
        """Carries out everything up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            when_ms, _, act = heappop(self._events)
            self.now = Millis(when_ms)
            act()
        self.now = Millis(max(self.now, until_ms))

    def see(self, seen: Observation) -> None:
        """Records an observation."""
        if self.observe is not None:
            self.observe(seen)

    def arrive(self, task: Task) -> None:
        """A whole request reaches its backend server."""
        host = self.hosts[task.start.host]
        attempt_id = task.start.attempt_id
        if not host.is_alive:
            self.after(lambda: task.entry.end(attempt_id, BrokeAfterSend()))
        elif host.is_leaving:
            self._refuse(task, RefusedByHost(is_leaving=True))
        elif host.free_slots <= 0 or attempt_id in host.stopped:
            self.refusals += 1
            self._refuse(task, RefusedByHost())
        else:
            self._begin(host, task)

    def kill(self, host_id: HostId) -> None:
        """A backend server dies with its tasks and connections."""
        host = self.hosts[host_id]
        host.is_alive = False
        for task in list(host.tasks.values()):
            self.stop(host, task)
            self._report(task, BrokeAfterSend())

    def leave(self, host_id: HostId) -> None:
        """A backend server begins to leave."""
        self.hosts[host_id].is_leaving = True
        self.see(HostLeaving(self.now, host_id))

    def stop(self, host: SimHost, task: Task) -> None:
        """A task ends, for whatever cause."""
        if task.has_ended:
            return
        task.has_ended = True
        del host.tasks[task.start.attempt_id]
        self.see(TaskEnded(self.now, task.start.attempt_id))

    def stop_asked(self, entry: Runtime, effect: StopTask) -> None:
        """A backend server is asked to stop a task and never to start it."""
        host = self.hosts[effect.host]
        if not host.is_alive or self.rng.random() < self.control_loss:
            return
        host.stopped.add(effect.attempt_id)
        task = host.tasks.get(effect.attempt_id)
        if task is not None:
            self.stop(host, task)
        if self.rng.random() >= self.control_loss:
            freed = SlotsFreed(effect.host, (effect.attempt_id,))
            self.after(lambda: entry.give(freed))

    def checkpoint_asked(self, effect: CheckpointTask) -> None:
        """A backend server is asked to checkpoint a task."""
        if self.rng.random() < self.control_loss:
            return

        def checkpoint() -> None:
            host = self.hosts[effect.host]
            task = host.tasks.get(effect.attempt_id)
            if task is not None:
                self._left_ms[task.start.request.request_id] = task.ends_ms - self.now
                self.lost_slot_ms += self.checkpoint_ms + self.resume_ms
                self.stop(host, task)
                self._report(task, Checkpointed())

        self.at(self.now + self.checkpoint_ms, checkpoint)

    def renew_asked(self, effect: RenewLeases) -> None:
        """A backend server is asked to renew the leases of tasks."""
        host = self.hosts[effect.host]
        if not host.is_alive or self.rng.random() < self.control_loss:
            return
        for attempt_id in effect.attempt_ids:
            task = host.tasks.get(attempt_id)
            if task is not None:
                self._lease(host, task, effect.ttl_ms)

    def _begin(self, host: SimHost, task: Task) -> None:
        req = task.start.request
        attempt_id = task.start.attempt_id
        host.tasks[attempt_id] = task
        self.answers[attempt_id] = req
        if self.on_start is not None:
            self.on_start(req, self.now)
        self.see(
            TaskStarted(
                self.now,
                req.request_id,
                req.team,
                attempt_id,
                task.start.host,
                req.repeatable,
            )
        )
        self._lease(host, task, task.start.lease_ttl_ms)
        if task.fault is not Fault.HANG:
            task.ends_ms = self.now + self._slot_ms(task.start)
            self.at(task.ends_ms, lambda: self._complete(host, task))

    def _slot_ms(self, start: StartAttempt) -> int:
        left_ms = self._left_ms.pop(start.request.request_id, None)
        if start.resumes is None or left_ms is None:
            return max(1, self.service_ms(start.request))
        return max(1, left_ms) + self.resume_ms

    def _complete(self, host: SimHost, task: Task) -> None:
        if task.has_ended:
            return
        self.stop(host, task)
        match task.fault:
            case Fault.LOST_ANSWER:
                self._report(task, BrokeAfterSend())
            case Fault.CUT_ANSWER:
                self._report(task, AnswerCut())
            case Fault.ERROR:
                self._report(task, WholeAnswer(is_error=True))
            case Fault.DOUBLE:
                self._report(task, WholeAnswer())
                self._report(task, WholeAnswer())
            case Fault.LATE_REQUEST:
                pass
            case _:
                self._report(task, WholeAnswer())

    def _report(self, task: Task, result: AttemptResult) -> None:
        if isinstance(result, WholeAnswer):
            self.whole.add(task.start.attempt_id)
        free = self.hosts[task.start.host].free_slots
        ended = AttemptEnded(task.start.attempt_id, result, free)
        self.after(lambda: task.entry.give(ended))

    def _refuse(self, task: Task, refused: RefusedByHost) -> None:
        if task.fault is not Fault.LATE_REQUEST:
            self.after(lambda: task.entry.end(task.start.attempt_id, refused))

    def _lease(self, host: SimHost, task: Task, ttl_ms: int) -> None:
        task.lease_until_ms = self.now + ttl_ms

        def lapse() -> None:
            if not task.has_ended and task.lease_until_ms <= self.now:
                self.stop(host, task)

        self.at(task.lease_until_ms, lapse)
