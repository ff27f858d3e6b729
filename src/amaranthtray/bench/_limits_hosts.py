"""Simulated hosts that run tasks under leases that entries renew."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..domain.ids import AttemptId, HostId, RequestId, TeamName
from ..domain.invariants.observations import TaskEnded, TaskStarted
from ._limits_parts import EntryProcess, FaultProbabilities, Task

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..domain.invariants.observations import Observation
    from ..domain.limits import EscrowTiming
    from ._limits_event_queue import EventQueue

MAX_DELAY_MS = 60
"""Longest delay of a call to a host or of its answer."""


class SimulatedHosts:
    """Runs tasks; a start fails if the lease of the entry has expired.

    Args:
        events: Queue of the events of the simulation, with its virtual time.
        rng: Source of every random choice.
        observe: Receives starts and ends of tasks at the time of the host.
        timing: Durations of the escrow of limit units.
        faults: Probabilities of faults.
        task_ms: Durations; one is chosen at random for each task.
    """

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        observe: Callable[[Observation], object],
        *,
        timing: EscrowTiming,
        faults: FaultProbabilities,
        task_ms: tuple[int, ...],
    ) -> None:
        self.started: Counter[TeamName] = Counter()
        self.tasks: dict[AttemptId, Task] = {}
        self._events = events
        self._rng = rng
        self._observe = observe
        self._timing = timing
        self._faults = faults
        self._task_ms = task_ms

    def start_tasks(self, process: EntryProcess) -> None:
        """Starts waiting tasks of a process while it can acquire units for them."""
        now_ms = process.clock(self._events.now_ms)
        for team, waiting in list(process.backlog.items()):
            while waiting and process.units.try_acquire(team, now_ms):
                waiting -= 1
                self._send_start(process, team)
            process.backlog[team] = waiting
            process.units.record_demand(team, waiting, now_ms)

    def _send_start(self, process: EntryProcess, team: TeamName) -> None:
        attempt_id = AttemptId(f"a{self._events.next_number()}")
        process.running[attempt_id] = team
        run_ms = self._rng.choice(self._task_ms)
        delay_ms = self._rng.uniform(0, MAX_DELAY_MS)
        delay_ms += self._events.remaining_pause_ms(process)

        def start() -> None:
            if process.entry_lease_until_ms <= self._events.now_ms:
                self._report_end(process, attempt_id, team)
                return
            lease_until_ms = self._events.now_ms + self._timing.task_lease_ms
            end_ms = self._events.now_ms + run_ms
            task = Task(attempt_id, team, process, lease_until_ms, end_ms)
            self.tasks[attempt_id] = task
            self.started[team] += 1
            self._observe(
                TaskStarted(
                    int(self._events.now_ms),
                    RequestId(attempt_id),
                    team,
                    attempt_id,
                    HostId("h"),
                    True,
                )
            )

        self._events.schedule(delay_ms, start)

    def renew_tasks(self, process: EntryProcess) -> None:
        """Renews as many task leases as the units allow and stops the other tasks.

        The process may be paused between the decision and the call.
        """
        now_ms = process.clock(self._events.now_ms)
        renewable: Counter[TeamName] = Counter()
        for team in set(process.running.values()):
            renewable[team] = process.units.renewable(team, now_ms)
        renewed = []
        for attempt_id, team in list(process.running.items()):
            if renewable[team] > 0:
                renewable[team] -= 1
                renewed.append(attempt_id)
            else:
                self._stop_task(attempt_id)
        delay_ms = self._rng.uniform(0, MAX_DELAY_MS)
        if self._rng.random() < self._faults.delay:
            pause_ms = self._rng.uniform(0, 2 * self._timing.task_lease_ms)
            self._events.pause(process, pause_ms)
            delay_ms += self._events.remaining_pause_ms(process)
        self._events.schedule(delay_ms, lambda: self._apply_renewal(process, renewed))

    def _apply_renewal(self, process: EntryProcess, renewed: list[AttemptId]) -> None:
        until_ms = self._events.now_ms + self._timing.task_lease_ms
        process.entry_lease_until_ms = until_ms
        for attempt_id in renewed:
            task = self.tasks.get(attempt_id)
            if task is not None and task.lease_until_ms > self._events.now_ms:
                task.lease_until_ms = until_ms

    def _stop_task(self, attempt_id: AttemptId) -> None:
        task = self.tasks.get(attempt_id)
        if task is not None and self._rng.random() >= self._faults.drop:
            task.end_ms = min(task.end_ms, self._events.now_ms + MAX_DELAY_MS)

    def end_tasks(self) -> None:
        """Ends tasks that are complete or whose lease has expired."""
        for task in list(self.tasks.values()):
            end_ms = min(task.end_ms, task.lease_until_ms)
            if end_ms > self._events.now_ms:
                continue
            del self.tasks[task.attempt_id]
            self._observe(TaskEnded(int(end_ms), task.attempt_id))
            self._report_end(task.owner, task.attempt_id, task.team)

    def _report_end(
        self, owner: EntryProcess, attempt_id: AttemptId, team: TeamName
    ) -> None:
        def handle_end() -> None:
            if owner.running.pop(attempt_id, None) is not None:
                owner.units.release(team, owner.clock(self._events.now_ms))

        delay_ms = self._rng.uniform(0, MAX_DELAY_MS)
        if self._rng.random() < self._faults.delay:
            delay_ms += self._rng.uniform(0, self._faults.max_delay_ms)
        self._events.schedule(
            delay_ms, lambda: self._events.run_when_awake(owner, handle_end)
        )
