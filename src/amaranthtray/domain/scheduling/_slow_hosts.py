"""Placement on slow hosts: only where the work ends sooner there than elsewhere.

Load: some hosts take up to nine times the usual time. Tasks that are placed there by
their free resources end late, and their jobs with them.
"""

from __future__ import annotations

import bisect
import itertools
import operator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.task import RunPhase
from .host import Host
from .host_speed import TRIAL_RUNS
from .placement import place_each, place_gang

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ..jobs.model import StepKey, StepSpec
    from ._state import SchedulerState
    from .placement import Placement

ENDING_PHASES = (RunPhase.RESERVED, RunPhase.STARTING, RunPhase.RUNNING)


@dataclass(slots=True)
class SlowHosts:
    """Hosts of one plan that are slow or were until recently.

    Attributes:
        usual: Hosts of the plan that are not slow.
        hosts: The others.
    """

    usual: list[Host]
    hosts: list[Host]
    _waiting_cpu: int = 0
    _ends: list[tuple[float, int]] | None = field(default=None)

    @classmethod
    def split(cls, state: SchedulerState, hosts: list[Host]) -> SlowHosts:
        """Splits the hosts of a plan."""
        known = state.run_times.speeds.slow
        if not known:
            return cls(hosts, [])
        return cls(
            [host for host in hosts if host.info.id not in known],
            [host for host in hosts if host.info.id in known],
        )

    def place(
        self,
        state: SchedulerState,
        job: Job,
        key: StepKey,
        waiting: list[int],
        allowed: list[Host],
    ) -> list[Placement]:
        """Places tasks of a step for which the other hosts have no room.

        Args:
            state: State of the scheduler.
            job: Job of the step.
            key: Key of the step.
            waiting: Indices of the tasks, all without a run.
            allowed: Slow hosts that the placement policy allows.
        """
        step = job.spec.steps[key.step]
        reserved = state.crashes.reserved_hosts
        hosts = [
            host
            for host in allowed
            if host.info.id not in reserved and not host.quarantined_runs
        ]
        if step.is_gang:
            if not state.unplaced.is_overdue(key, step, state.now_ms):
                return []
            return place_gang(step, key, waiting, [*self.usual, *hosts])
        speeds = state.run_times.speeds
        hosts.sort(key=lambda host: speeds.slowness(host.info.id))
        placements: list[Placement] = []
        left = list(waiting)
        for host in hosts:
            fitting = place_each(step, key, left, [host])
            useful = self._useful_count(state, job, key, step, host, len(left))
            count = min(useful, len(fitting))
            placements += fitting[:count]
            left = left[count:]
        self._waiting_cpu += len(left) * step.reserved.cpu
        return placements

    def _useful_count(
        self,
        state: SchedulerState,
        job: Job,
        key: StepKey,
        step: StepSpec,
        host: Host,
        waiting: int,
    ) -> int:
        """Returns how many of the waiting tasks would end sooner on a slow host."""
        run_times, now_ms = state.run_times, state.now_ms
        # A lasting task never ends: any host is better than none.
        if step.is_lasting:
            return waiting
        run_count = len(host.placed_runs())
        if not run_times.speeds.is_avoided(host.info.id, run_count, now_ms):
            return TRIAL_RUNS - run_count
        expected_ms = run_times.of_step(job.spec, key.step).expected_ms
        longer_ms = expected_ms * (run_times.speeds.slowness(host.info.id) - 1)
        cpu = step.reserved.cpu
        waits = (
            self._wait_ms(state, self._waiting_cpu + number * cpu)
            for number in range(1, waiting + 1)
        )
        return sum(wait_ms > longer_ms for wait_ms in waits)

    def _wait_ms(self, state: SchedulerState, cpu: int) -> float:
        """Returns when the other hosts will have freed that much CPU."""
        if self._ends is None:
            self._ends = _freed_cpu(state, self.usual)
        if not self._ends:
            return 0.0
        last_ms, most = self._ends[-1]
        if cpu > most:
            return last_ms * cpu / max(most, 1)
        found = bisect.bisect_left(self._ends, cpu, key=operator.itemgetter(1))
        return self._ends[found][0]


def _freed_cpu(state: SchedulerState, hosts: list[Host]) -> list[tuple[float, int]]:
    """Returns when runs end, with the CPU that is freed until then."""
    run_times, now_ms = state.run_times, state.now_ms
    ends: list[tuple[float, int]] = []
    for host in hosts:
        for name, step, run in host.placed_runs():
            if step.is_lasting or run.phase not in ENDING_PHASES:
                continue
            spec = state.jobs[name.job].spec
            rest = run_times.remaining(spec, name.step, run, now_ms)
            ends.append((rest.expected_ms, step.reserved.cpu))
    ends.sort()
    sums = itertools.accumulate(cpu for _, cpu in ends)
    return [(rest_ms, cpu) for (rest_ms, _), cpu in zip(ends, sums, strict=True)]
