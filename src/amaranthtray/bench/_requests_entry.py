"""Simulates one entry around a request dispatcher."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..domain.invariants import AnswerGiven, RefusedNotRun
from ..domain.requests.messages import (
    AttemptEnded,
    BrokeAfterSend,
    CheckpointTask,
    Finish,
    NothingSent,
    RenewLeases,
    StartAttempt,
    StopTask,
    Tick,
    TimedOut,
)
from ..domain.requests.model import Answered, NotRun
from ._requests_simulation import LATE_REQUEST_MS, PAUSE_MS, Fault, Task

if TYPE_CHECKING:
    from ..domain.ids import AttemptId
    from ..domain.requests.dispatcher import RequestDispatcher
    from ..domain.requests.messages import (
        AttemptResult,
        DispatcherEffect,
        DispatcherMessage,
    )
    from ._requests_simulation import RequestsSimulation


class SimulatedEntry:
    """Executes the effects of the request dispatcher of one entry.

    Args:
        simulation: Backend servers, network and virtual time.
        dispatcher: The dispatcher whose effects are executed.
    """

    def __init__(
        self, simulation: RequestsSimulation, dispatcher: RequestDispatcher
    ) -> None:
        self.simulation = simulation
        self.dispatcher = dispatcher
        self.finished: list[Finish] = []
        self.paused_until_ms = 0
        self._wake_ms: int | None = None
        self._inbox: deque[DispatcherMessage] = deque()

    def pause(self, duration_ms: int) -> None:
        """Pauses the process; messages wait until the pause ends."""
        self.paused_until_ms = self.simulation.now + duration_ms
        self.simulation.schedule_at(self.paused_until_ms, self._end_pause)

    def deliver(self, message: DispatcherMessage) -> None:
        """Passes a message to the dispatcher, after the pause if there is one."""
        if self.simulation.now < self.paused_until_ms:
            self._inbox.append(message)
            return
        now = self.simulation.now
        self.execute_effects(self.dispatcher.handle(message, now))

    def report_result(self, attempt_id: AttemptId, result: AttemptResult) -> None:
        """Passes the result of an attempt to the dispatcher."""
        self.deliver(AttemptEnded(attempt_id, result))

    def execute_effects(self, effects: list[DispatcherEffect]) -> None:
        """Executes effects in order and schedules the next wake-up."""
        simulation = self.simulation
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._send_attempt(effect)
                case Finish():
                    self._record_finish(effect)
                case StopTask():
                    simulation.after_delay(lambda e=effect: simulation.stop(self, e))  # type: ignore[misc]
                case CheckpointTask():
                    simulation.after_delay(lambda e=effect: simulation.checkpoint(e))  # type: ignore[misc]
                case RenewLeases():
                    simulation.after_delay(lambda e=effect: simulation.renew(e))  # type: ignore[misc]
        self._schedule_wake()

    def _end_pause(self) -> None:
        if self.simulation.now < self.paused_until_ms:
            return
        while self._inbox:
            self.deliver(self._inbox.popleft())
        self._tick()

    def _send_attempt(self, start: StartAttempt) -> None:
        simulation = self.simulation
        simulation.schedule_at(
            start.give_up_ms, lambda: self.report_result(start.attempt_id, TimedOut())
        )
        task = Task(start, self, simulation.draw_fault(), 0)
        if task.fault is Fault.PAUSED:
            late_ms = simulation.now + int(simulation.rng.random() * PAUSE_MS)
            simulation.schedule_at(late_ms, lambda: self._send_request(task))
        else:
            self._send_request(task)

    def _send_request(self, task: Task) -> None:
        simulation, start = self.simulation, task.start
        if simulation.now > start.send_by_ms:
            not_sent = NothingSent(is_host_fault=False)
            simulation.after_delay(
                lambda: self.report_result(start.attempt_id, not_sent)
            )
            return
        match task.fault:
            case Fault.UNSENT:
                simulation.after_delay(
                    lambda: self.report_result(start.attempt_id, NothingSent())
                )
            case Fault.LOST_REQUEST:
                simulation.after_delay(
                    lambda: self.report_result(start.attempt_id, BrokeAfterSend())
                )
            case Fault.LATE_REQUEST:
                late_ms = simulation.now + int(
                    simulation.rng.random() * LATE_REQUEST_MS
                )
                self.report_result(start.attempt_id, BrokeAfterSend())
                simulation.schedule_at(
                    late_ms, lambda: simulation.receive_request(task)
                )
            case _:
                simulation.after_delay(lambda: simulation.receive_request(task))

    def _record_finish(self, finish: Finish) -> None:
        self.finished.append(finish)
        simulation, req = self.simulation, finish.request
        match finish.outcome:
            case Answered(attempt_id=attempt_id):
                answered_request = simulation.requests_by_attempt[attempt_id].request_id
                is_complete = attempt_id in simulation.complete_answers
                simulation.record_observation(
                    AnswerGiven(
                        simulation.now, req.request_id, answered_request, is_complete
                    )
                )
            case NotRun():
                simulation.record_observation(
                    RefusedNotRun(simulation.now, req.request_id)
                )

    def _schedule_wake(self) -> None:
        wake_ms = self.dispatcher.next_wake_ms()
        if wake_ms is None:
            return
        if self._wake_ms is None or wake_ms < self._wake_ms:
            self._wake_ms = wake_ms
            self.simulation.schedule_at(wake_ms, self._tick)

    def _tick(self) -> None:
        if self.simulation.now < self.paused_until_ms:
            return
        if self._wake_ms is not None and self._wake_ms > self.simulation.now:
            return
        self._wake_ms = None
        self.deliver(Tick())
