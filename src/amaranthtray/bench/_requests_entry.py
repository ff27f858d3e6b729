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

    def __init__(self, world: RequestsSimulation, desk: RequestDispatcher) -> None:
        self.world = world
        self.desk = desk
        self.finished: list[Finish] = []
        self.paused_until_ms = 0
        self._wake_ms: int | None = None
        self._inbox: deque[DispatcherMessage] = deque()

    def pause(self, ms: int) -> None:
        """Stops the process for a time; what arrives waits."""
        self.paused_until_ms = self.world.now + ms
        self.world.at(self.paused_until_ms, self._resume)

    def give(self, message: DispatcherMessage) -> None:
        """Hands a message to the desk, after a pause if there is one."""
        if self.world.now < self.paused_until_ms:
            self._inbox.append(message)
            return
        now = self.world.now
        self.carry_out(self.desk.handle(message, now))

    def end(self, attempt_id: AttemptId, result: AttemptResult) -> None:
        """Reports the end of an attempt."""
        self.give(AttemptEnded(attempt_id, result))

    def carry_out(self, effects: list[DispatcherEffect]) -> None:
        """Carries out effects in order and sets the next wake."""
        world = self.world
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._send(effect)
                case Finish():
                    self._finish(effect)
                case StopTask():
                    world.after(lambda e=effect: world.stop_asked(self, e))  # type: ignore[misc]
                case CheckpointTask():
                    world.after(lambda e=effect: world.checkpoint_asked(e))  # type: ignore[misc]
                case RenewLeases():
                    world.after(lambda e=effect: world.renew_asked(e))  # type: ignore[misc]
        self._set_wake()

    def _resume(self) -> None:
        if self.world.now < self.paused_until_ms:
            return
        while self._inbox:
            self.give(self._inbox.popleft())
        self._tick()

    def _send(self, start: StartAttempt) -> None:
        world = self.world
        world.at(start.give_up_ms, lambda: self.end(start.attempt_id, TimedOut()))
        task = Task(start, self, world.draw_fault(), 0)
        if task.fault is Fault.PAUSED:
            late_ms = world.now + int(world.rng.random() * PAUSE_MS)
            world.at(late_ms, lambda: self._send_task(task))
        else:
            self._send_task(task)

    def _send_task(self, task: Task) -> None:
        world, start = self.world, task.start
        if world.now > start.send_by_ms:
            late = NothingSent(is_host_fault=False)
            world.after(lambda: self.end(start.attempt_id, late))
            return
        match task.fault:
            case Fault.UNSENT:
                world.after(lambda: self.end(start.attempt_id, NothingSent()))
            case Fault.LOST_REQUEST:
                world.after(lambda: self.end(start.attempt_id, BrokeAfterSend()))
            case Fault.LATE_REQUEST:
                late_ms = world.now + int(world.rng.random() * LATE_REQUEST_MS)
                self.end(start.attempt_id, BrokeAfterSend())
                world.at(late_ms, lambda: world.arrive(task))
            case _:
                world.after(lambda: world.arrive(task))

    def _finish(self, finish: Finish) -> None:
        self.finished.append(finish)
        world, req = self.world, finish.request
        match finish.outcome:
            case Answered(attempt_id=attempt_id):
                answers = world.answers[attempt_id].request_id
                is_whole = attempt_id in world.whole
                world.see(AnswerGiven(world.now, req.request_id, answers, is_whole))
            case NotRun():
                world.see(RefusedNotRun(world.now, req.request_id))

    def _set_wake(self) -> None:
        wake_ms = self.desk.next_wake_ms()
        if wake_ms is None:
            return
        if self._wake_ms is None or wake_ms < self._wake_ms:
            self._wake_ms = wake_ms
            self.world.at(wake_ms, self._tick)

    def _tick(self) -> None:
        if self.world.now < self.paused_until_ms:
            return
        if self._wake_ms is not None and self._wake_ms > self.world.now:
            return
        self._wake_ms = None
        self.give(Tick())
