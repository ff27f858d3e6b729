"""The runtime of one entry in virtual time."""

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


class SimEntry:
    """The runtime of one entry: carries out the effects of its desk.

    Args:
        world: The world.
        desk: The desk.
    """

    def __init__(self, simulation: RequestsSimulation, desk: RequestDispatcher) -> None:
        self.simulation = simulation
        self.desk = desk
        self.finished: list[Finish] = []
        self.paused_until_ms = 0
        self._wake_ms: int | None = None
        self._inbox: deque[DispatcherMessage] = deque()

    def pause(self, ms: int) -> None:
        """Stops the process for a time; what arrives waits."""
        self.paused_until_ms = self.simulation.now + ms
        self.simulation.at(self.paused_until_ms, self._resume)

    def give(self, message: DispatcherMessage) -> None:
        """Hands a message to the desk, after a pause if there is one."""
        if self.simulation.now < self.paused_until_ms:
            self._inbox.append(message)
            return
        now = self.simulation.now
        self.carry_out(self.desk.handle(message, now))

    def end(self, attempt_id: AttemptId, result: AttemptResult) -> None:
        """Reports the end of an attempt."""
        self.give(AttemptEnded(attempt_id, result))

    def carry_out(self, effects: list[DispatcherEffect]) -> None:
        """Carries out effects in order and sets the next wake."""
        simulation = self.simulation
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._send(effect)
                case Finish():
                    self._finish(effect)
                case StopTask():
                    simulation.after(lambda e=effect: simulation.stop_asked(self, e))  # type: ignore[misc]
                case CheckpointTask():
                    simulation.after(lambda e=effect: simulation.checkpoint_asked(e))  # type: ignore[misc]
                case RenewLeases():
                    simulation.after(lambda e=effect: simulation.renew_asked(e))  # type: ignore[misc]
        self._set_wake()

    def _resume(self) -> None:
        if self.simulation.now < self.paused_until_ms:
            return
        while self._inbox:
            self.give(self._inbox.popleft())
        self._tick()

    def _send(self, start: StartAttempt) -> None:
        simulation = self.simulation
        simulation.at(start.give_up_ms, lambda: self.end(start.attempt_id, TimedOut()))
        task = Task(start, self, simulation.draw_fault(), 0)
        if task.fault is Fault.PAUSED:
            late_ms = simulation.now + int(simulation.rng.random() * PAUSE_MS)
            simulation.at(late_ms, lambda: self._send_task(task))
        else:
            self._send_task(task)

    def _send_task(self, task: Task) -> None:
        simulation, start = self.simulation, task.start
        if simulation.now > start.send_by_ms:
            late = NothingSent(is_host_fault=False)
            simulation.after(lambda: self.end(start.attempt_id, late))
            return
        match task.fault:
            case Fault.UNSENT:
                simulation.after(lambda: self.end(start.attempt_id, NothingSent()))
            case Fault.LOST_REQUEST:
                simulation.after(lambda: self.end(start.attempt_id, BrokeAfterSend()))
            case Fault.LATE_REQUEST:
                late_ms = simulation.now + int(
                    simulation.rng.random() * LATE_REQUEST_MS
                )
                self.end(start.attempt_id, BrokeAfterSend())
                simulation.at(late_ms, lambda: simulation.arrive(task))
            case _:
                simulation.after(lambda: simulation.arrive(task))

    def _finish(self, finish: Finish) -> None:
        self.finished.append(finish)
        simulation, req = self.simulation, finish.request
        match finish.outcome:
            case Answered(attempt_id=attempt_id):
                answers = simulation.answers[attempt_id].request_id
                is_whole = attempt_id in simulation.whole
                simulation.see(
                    AnswerGiven(simulation.now, req.request_id, answers, is_whole)
                )
            case NotRun():
                simulation.see(RefusedNotRun(simulation.now, req.request_id))

    def _set_wake(self) -> None:
        wake_ms = self.desk.next_wake_ms()
        if wake_ms is None:
            return
        if self._wake_ms is None or wake_ms < self._wake_ms:
            self._wake_ms = wake_ms
            self.simulation.at(wake_ms, self._tick)

    def _tick(self) -> None:
        if self.simulation.now < self.paused_until_ms:
            return
        if self._wake_ms is not None and self._wake_ms > self.simulation.now:
            return
        self._wake_ms = None
        self.give(Tick())
