"""Hosts that run tasks under leases of the entries that started them."""

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
    from ._limits_event_queue import Timeline

MAX_START_MS = 60


class Hosts:
    """Runs tasks; a start fails where the entry's own lease has lapsed.

    Args:
        time: Virtual time.
        rng: Source of every random choice.
        observe: Receives starts and ends as the hosts see them.
        timing: Durations of the escrow.
        faults: Chances of faults.
        task_ms: Times of which one is drawn for each task.
    """

    def __init__(
        self,
        time: Timeline,
        rng: random.Random,
        observe: Callable[[Observation], object],
        *,
        timing: EscrowTiming,
        faults: FaultProbabilities,
        task_ms: tuple[int, ...],
    ) -> None:
        self.started: Counter[TeamName] = Counter()
        self.tasks: dict[AttemptId, Task] = {}
        self._time = time
        self._rng = rng
        self._observe = observe
        self._timing = timing
        self._faults = faults
        self._task_ms = task_ms

    def start_tasks(self, process: EntryProcess) -> None:
        """Starts what waits at a process as far as its units go."""
        now_ms = process.clock(self._time.now_ms)
        for team, waiting in list(process.backlog.items()):
            while waiting and process.holding.try_acquire(team, now_ms):
                waiting -= 1
                self._send_start(process, team)
            process.backlog[team] = waiting
            process.holding.record_demand(team, waiting, now_ms)

    def _send_start(self, process: EntryProcess, team: TeamName) -> None:
        attempt_id = AttemptId(f"a{self._time.number()}")
        process.running[attempt_id] = team
        run_ms = self._rng.choice(self._task_ms)
        delay_ms = self._rng.uniform(0, MAX_START_MS)
        delay_ms += self._time.pause_left_ms(process)

        def arrive() -> None:
            if process.session_until_ms <= self._time.now_ms:
                self._tell_over(process, attempt_id, team)
                return
            lease_ms = self._time.now_ms + self._timing.task_lease_ms
            end_ms = self._time.now_ms + run_ms
            task = Task(attempt_id, team, process, lease_ms, end_ms)
            self.tasks[attempt_id] = task
            self.started[team] += 1
            self._observe(
                TaskStarted(
                    int(self._time.now_ms),
                    RequestId(attempt_id),
                    team,
                    attempt_id,
                    HostId("h"),
                    True,
                )
            )

        self._time.after(delay_ms, arrive)

    def renew_tasks(self, process: EntryProcess) -> None:
        """Renews leases as far as allowed; the process may be paused in between."""
        now_ms = process.clock(self._time.now_ms)
        allowed: Counter[TeamName] = Counter()
        for team in set(process.running.values()):
            allowed[team] = process.holding.renewable(team, now_ms)
        renewed = []
        for attempt_id, team in list(process.running.items()):
            if allowed[team] > 0:
                allowed[team] -= 1
                renewed.append(attempt_id)
            else:
                self._stop(attempt_id)
        delay_ms = self._rng.uniform(0, MAX_START_MS)
        if self._rng.random() < self._faults.late:
            pause_ms = self._rng.uniform(0, 2 * self._timing.task_lease_ms)
            self._time.pause(process, pause_ms)
            delay_ms += self._time.pause_left_ms(process)
        self._time.after(delay_ms, lambda: self._renewal_arrives(process, renewed))

    def _renewal_arrives(self, process: EntryProcess, renewed: list[AttemptId]) -> None:
        until_ms = self._time.now_ms + self._timing.task_lease_ms
        process.session_until_ms = until_ms
        for attempt_id in renewed:
            task = self.tasks.get(attempt_id)
            if task is not None and task.lease_until_ms > self._time.now_ms:
                task.lease_until_ms = until_ms

    def _stop(self, attempt_id: AttemptId) -> None:
        task = self.tasks.get(attempt_id)
        if task is not None and self._rng.random() >= self._faults.drop:
            task.end_ms = min(task.end_ms, self._time.now_ms + MAX_START_MS)

    def end_tasks(self) -> None:
        """Ends tasks that are done or whose lease has lapsed."""
        for task in list(self.tasks.values()):
            end_ms = min(task.end_ms, task.lease_until_ms)
            if end_ms > self._time.now_ms:
                continue
            del self.tasks[task.attempt_id]
            self._observe(TaskEnded(int(end_ms), task.attempt_id))
            self._tell_over(task.owner, task.attempt_id, task.team)

    def _tell_over(
        self, owner: EntryProcess, attempt_id: AttemptId, team: TeamName
    ) -> None:
        def hear() -> None:
            if owner.running.pop(attempt_id, None) is not None:
                owner.holding.release(team, owner.clock(self._time.now_ms))

        delay_ms = self._rng.uniform(0, MAX_START_MS)
        if self._rng.random() < self._faults.late:
            delay_ms += self._rng.uniform(0, self._faults.late_ms)
        self._time.after(delay_ms, lambda: self._time.when_awake(owner, hear))
