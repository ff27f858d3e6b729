"""Simulates backend servers and the network around entries in virtual time."""

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
"""Longest time after which bytes sent on a broken connection still arrive."""

PAUSE_MS = 2_000
"""Longest pause of an entry between a decision and the sending of its request."""


class Fault(Enum):
    """A fault that one attempt meets."""

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


class AttemptSender(Protocol):
    """An entry that sends attempts and receives their results."""

    def deliver(self, message: DispatcherMessage) -> None:
        """Passes a message to the dispatcher."""

    def report_result(self, attempt_id: AttemptId, result: AttemptResult) -> None:
        """Passes the result of an attempt to the dispatcher."""


@dataclass(slots=True, eq=False)
class Task:
    """An attempt that was sent, and its run on a backend server once it starts."""

    start: StartAttempt
    entry: AttemptSender
    fault: Fault
    lease_until_ms: int
    ends_ms: int = 0
    has_ended: bool = False


@dataclass(slots=True, eq=False)
class SimulatedHost:
    """A backend server; an order to stop an attempt also prevents its start."""

    host: Host
    tasks: dict[AttemptId, Task] = field(default_factory=dict)
    stopped_attempts: set[AttemptId] = field(default_factory=set)
    is_alive: bool = True
    is_leaving: bool = False

    @property
    def free_slots(self) -> int:
        """Returns the number of slots that no task holds."""
        return self.host.slots - len(self.tasks)


class RequestsSimulation:
    """Simulates backend servers and the network in virtual time.

    Args:
        rng: Random source.
        hosts: Backend servers.
        service_ms: Draws the slot time of a task.
        delay_ms: Longest one-way delay of the network.
        observe: Receives each true event of the simulation, if given.
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
        self.hosts = {host.host_id: SimulatedHost(host) for host in hosts}
        self.service_ms = service_ms
        self.observe = observe
        self.draw_fault: Callable[[], Fault] = lambda: Fault.NONE
        self.control_loss = 0.0
        self.on_task_start: Callable[[Request, int], None] | None = None
        self.requests_by_attempt: dict[AttemptId, Request] = {}
        self.complete_answers: set[AttemptId] = set()
        self.refusals = 0
        self.checkpoint_ms = 100
        self.resume_ms = 100
        self.checkpoint_slot_ms = 0
        self._remaining_ms: dict[RequestId, int] = {}
        self._delay_ms = delay_ms
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def schedule_at(self, when_ms: int, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self._sequence += 1
        heappush(self._events, (max(when_ms, self.now), self._sequence, action))

    def after_delay(self, action: Callable[[], None]) -> None:
        """Schedules an action after one random network delay."""
        self.schedule_at(self.now + 1 + int(self.rng.random() * self._delay_ms), action)

    def run_until(self, until_ms: int) -> None:
        """Runs all actions up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            when_ms, _, action = heappop(self._events)
            self.now = Millis(when_ms)
            action()
        self.now = Millis(max(self.now, until_ms))

    def record_observation(self, observation: Observation) -> None:
        """Passes an observation to the observer, if there is one."""
        if self.observe is not None:
            self.observe(observation)

    def receive_request(self, task: Task) -> None:
        """Starts or refuses a request that has reached its backend server."""
        host = self.hosts[task.start.host]
        attempt_id = task.start.attempt_id
        if not host.is_alive:
            self.after_delay(
                lambda: task.entry.report_result(attempt_id, BrokeAfterSend())
            )
        elif host.is_leaving:
            self._refuse(task, RefusedByHost(is_leaving=True))
        elif host.free_slots <= 0 or attempt_id in host.stopped_attempts:
            self.refusals += 1
            self._refuse(task, RefusedByHost())
        else:
            self._start_task(host, task)

    def kill(self, host_id: HostId) -> None:
        """Ends a backend server together with its tasks and connections."""
        host = self.hosts[host_id]
        host.is_alive = False
        for task in list(host.tasks.values()):
            self.end_task(host, task)
            self._report_result(task, BrokeAfterSend())

    def start_leaving(self, host_id: HostId) -> None:
        """Makes a backend server refuse new tasks from now on."""
        self.hosts[host_id].is_leaving = True
        self.record_observation(HostLeaving(self.now, host_id))

    def end_task(self, host: SimulatedHost, task: Task) -> None:
        """Ends a task, whatever the cause."""
        if task.has_ended:
            return
        task.has_ended = True
        del host.tasks[task.start.attempt_id]
        self.record_observation(TaskEnded(self.now, task.start.attempt_id))

    def stop(self, entry: AttemptSender, effect: StopTask) -> None:
        """Stops a task on its backend server, or keeps it from ever starting."""
        host = self.hosts[effect.host]
        if not host.is_alive or self.rng.random() < self.control_loss:
            return
        host.stopped_attempts.add(effect.attempt_id)
        task = host.tasks.get(effect.attempt_id)
        if task is not None:
            self.end_task(host, task)
        if self.rng.random() >= self.control_loss:
            freed = SlotsFreed(effect.host, (effect.attempt_id,))
            self.after_delay(lambda: entry.deliver(freed))

    def checkpoint(self, effect: CheckpointTask) -> None:
        """Checkpoints a task on its backend server."""
        if self.rng.random() < self.control_loss:
            return

        def finish_checkpoint() -> None:
            host = self.hosts[effect.host]
            task = host.tasks.get(effect.attempt_id)
            if task is not None:
                self._remaining_ms[task.start.request.request_id] = (
                    task.ends_ms - self.now
                )
                self.checkpoint_slot_ms += self.checkpoint_ms + self.resume_ms
                self.end_task(host, task)
                self._report_result(task, Checkpointed())

        self.schedule_at(self.now + self.checkpoint_ms, finish_checkpoint)

    def renew(self, effect: RenewLeases) -> None:
        """Renews the leases of tasks on a backend server."""
        host = self.hosts[effect.host]
        if not host.is_alive or self.rng.random() < self.control_loss:
            return
        for attempt_id in effect.attempt_ids:
            task = host.tasks.get(attempt_id)
            if task is not None:
                self._renew_lease(host, task, effect.ttl_ms)

    def _start_task(self, host: SimulatedHost, task: Task) -> None:
        req = task.start.request
        attempt_id = task.start.attempt_id
        host.tasks[attempt_id] = task
        self.requests_by_attempt[attempt_id] = req
        if self.on_task_start is not None:
            self.on_task_start(req, self.now)
        self.record_observation(
            TaskStarted(
                self.now,
                req.request_id,
                req.team,
                attempt_id,
                task.start.host,
                req.repeatable,
            )
        )
        self._renew_lease(host, task, task.start.lease_ttl_ms)
        if task.fault is not Fault.HANG:
            task.ends_ms = self.now + self._service_time_ms(task.start)
            self.schedule_at(task.ends_ms, lambda: self._complete_task(host, task))

    def _service_time_ms(self, start: StartAttempt) -> int:
        remaining_ms = self._remaining_ms.pop(start.request.request_id, None)
        if start.resumes is None or remaining_ms is None:
            return max(1, self.service_ms(start.request))
        return max(1, remaining_ms) + self.resume_ms

    def _complete_task(self, host: SimulatedHost, task: Task) -> None:
        if task.has_ended:
            return
        self.end_task(host, task)
        match task.fault:
            case Fault.LOST_ANSWER:
                self._report_result(task, BrokeAfterSend())
            case Fault.CUT_ANSWER:
                self._report_result(task, AnswerCut())
            case Fault.ERROR:
                self._report_result(task, WholeAnswer(is_error=True))
            case Fault.DOUBLE:
                self._report_result(task, WholeAnswer())
                self._report_result(task, WholeAnswer())
            case Fault.LATE_REQUEST:
                pass
            case _:
                self._report_result(task, WholeAnswer())

    def _report_result(self, task: Task, result: AttemptResult) -> None:
        if isinstance(result, WholeAnswer):
            self.complete_answers.add(task.start.attempt_id)
        free_slots = self.hosts[task.start.host].free_slots
        ended = AttemptEnded(task.start.attempt_id, result, free_slots)
        self.after_delay(lambda: task.entry.deliver(ended))

    def _refuse(self, task: Task, refused: RefusedByHost) -> None:
        if task.fault is not Fault.LATE_REQUEST:
            self.after_delay(
                lambda: task.entry.report_result(task.start.attempt_id, refused)
            )

    def _renew_lease(self, host: SimulatedHost, task: Task, ttl_ms: int) -> None:
        task.lease_until_ms = self.now + ttl_ms

        def expire_lease() -> None:
            if not task.has_ended and task.lease_until_ms <= self.now:
                self.end_task(host, task)

        self.schedule_at(task.lease_until_ms, expire_lease)
