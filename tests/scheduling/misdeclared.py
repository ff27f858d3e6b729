"""Pools whose callers declare run times that are far off, some with slow hosts."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources, StepSpec, TaskName
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import (
    EndReport,
    HostReport,
    RunReport,
    StartOutcome,
    StartReplied,
    StopReplied,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from scheduling.load import SLOWDOWN, TARGET_MS, LoadedPool, Submitted
from scheduling.parts import QUEUE, TEAM

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.messages import Effect

STEP_DEVIATION, TASK_DEVIATION = 0.5, 0.2
"""Of the logarithms of the actual run times of a queue's steps, and of one step."""
MEDIAN_MS = 900
REPORT_EVERY_MS = 200


@dataclass
class Misdeclared(Submitted):
    """A job whose objective follows from what its caller declared."""

    @property
    def lateness_of_declared(self) -> float:
        """Returns the time to its end as a multiple of the declared objective."""
        if self.ended_ms is None:
            return math.inf
        declared_ms = sum(step.estimated_ms for step in self.spec.steps)
        objective_ms = SLOWDOWN * declared_ms + TARGET_MS
        return (self.ended_ms - self.submitted_ms) / objective_ms


def a_misdeclared_job(
    rng: random.Random, at_ms: int, deviation: float, **fields: bool
) -> Misdeclared:
    """Returns a job; ``deviation`` is that of the logarithm of the declared error."""
    steps: list[StepSpec] = []
    lengths: list[int] = []
    for number in range(max(1, min(4, round(rng.gauss(1.6, 0.6))))):
        length_ms = max(20, int(MEDIAN_MS * rng.lognormvariate(0, STEP_DEVIATION)))
        cpu = int(max(200, min(2_300 * rng.lognormvariate(-0.1, 0.43), 6_800)))
        step = StepSpec(
            count=max(1, min(32, int(8 * rng.lognormvariate(-0.15, 0.55)))),
            need=Resources(cpu, 2_000, 0),
            estimated_ms=max(10, int(length_ms * rng.lognormvariate(0, deviation))),
            after=(number - 1,) if number else (),
            **fields,
        )
        steps.append(step)
        lengths.append(length_ms)
    spec = JobSpec(
        id=JobId(f"{rng.getrandbits(64):016x}"),
        queue=QUEUE,
        team=TEAM,
        payload="",
        steps=tuple(steps),
        accepted_ms=at_ms,
    )
    return Misdeclared(spec, at_ms, tuple(lengths))


@dataclass
class MisdeclaredPool(LoadedPool):
    """A pool whose tasks differ within a step, with hosts of different speeds.

    Attributes:
        deviation: Standard deviation of the logarithm of the declared error.
        slowness: Hosts on which work takes a multiple of the usual time.
    """

    deviation: float = 1.0
    fields: dict[str, bool] = field(default_factory=dict)
    slowness: dict[HostId, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.effects: list[Effect] = []
        self.thrown_away_ms = 0.0
        self._work: dict[tuple[TaskName, int], _Work] = {}

    def submit_for(self, until_ms: int, per_s: float) -> None:
        """Schedules arrivals from now on."""
        at_ms = float(self.time.now_ms)
        while (at_ms := at_ms + self._rng.expovariate(per_s / 1_000)) < until_ms:
            job = a_misdeclared_job(
                self._rng, int(at_ms), self.deviation, **self.fields
            )
            delay_ms = int(at_ms) - self.time.now_ms
            self.time.after(delay_ms, lambda job=job: self._submit(job))

    def report_hosts(self) -> None:
        """Lets all hosts report the progress of their runs, again and again."""
        for host in self.hosts:
            self._report(host, ())
        self.time.after(REPORT_EVERY_MS, self.report_hosts)

    def set_slowness(self, slowness: dict[HostId, float]) -> None:
        """Changes the speed of hosts; running tasks go on at the new speed."""
        for host, runs in self.hosts.items():
            for name, number in runs.items():
                work = self._work[name, number]
                work.done = self._progress(name, number, host)
                work.since_ms = self.time.now_ms
        self.slowness = slowness
        for runs in self.hosts.values():
            for name, number in runs.items():
                work = self._work[name, number]
                self._schedule_end(work.order, work)

    def _apply(self, effects: list[Effect]) -> None:
        super()._apply(effects)
        self.effects += effects
        for effect in effects:
            if isinstance(effect, StopRun):
                self.time.after(3, lambda each=effect: self._stop(each))

    def _start(self, order: StartRun) -> None:
        length_ms = self.jobs[order.name.job].lengths_ms[order.name.step]
        rng = random.Random(f"{self.seed} {order.name}")
        whole_ms = length_ms * rng.lognormvariate(0, TASK_DEVIATION)
        begun = float(order.checkpoint or 0)
        work = _Work(order, whole_ms, begun, begun, self.time.now_ms)
        self._work[order.name, order.number] = work
        self.hosts[order.host][order.name] = order.number
        self._schedule_end(order, work)
        outcome, now_ms = StartOutcome.STARTED, self.time.now_ms
        self._send(StartReplied(order.host, order.name, order.number, outcome, now_ms))

    def _schedule_end(self, order: StartRun, work: _Work) -> None:
        rest_ms = work.whole_ms * (1 - work.done) * self.slowness.get(order.host, 1.0)
        work.version += 1
        version = work.version
        self.time.after(
            max(1, int(rest_ms)), lambda: self._finish_if_current(order, work, version)
        )

    def _finish_if_current(self, order: StartRun, work: _Work, version: int) -> None:
        if (
            version == work.version
            and self.hosts[order.host].get(order.name) == order.number
        ):
            self._finish(order)

    def _stop(self, order: StopRun) -> None:
        now_ms = self.time.now_ms
        if self.hosts[order.host].get(order.name) == order.number:
            done = self._progress(order.name, order.number, order.host)
            work = self._work[order.name, order.number]
            step = self.jobs[order.name.job].spec.steps[order.name.step]
            kept = f"{done:.3f}" if step.is_checkpointing else ""
            lost = 0.0 if step.is_checkpointing else done - work.begun
            self.thrown_away_ms += lost * work.whole_ms
            del self.hosts[order.host][order.name]
            self._sequences[order.host] += 1
            sequence = self._sequences[order.host]
            stopped = RunOutcome.STOPPED
            end = EndReport(sequence, order.name, order.number, stopped, kept)
            self._report(order.host, (end,))
        self._send(StopReplied(order.host, order.name, order.number, now_ms))

    def _progress(self, name: TaskName, number: int, host: HostId) -> float:
        work = self._work[name, number]
        speed = work.whole_ms * self.slowness.get(host, 1.0)
        return min(work.done + (self.time.now_ms - work.since_ms) / speed, 1.0)

    def _report(self, host: HostId, ends: tuple[EndReport, ...]) -> None:
        rows = tuple(
            RunReport(
                name, number, "", int(100 * self._progress(name, number, host)), 0
            )
            for name, number in self.hosts[host].items()
        )
        now_ms = self.time.now_ms
        self._send(HostReport(host, 1, now_ms, now_ms, rows, ends))


@dataclass
class _Work:
    """Work of a run: its length, and the parts done at its start and at a time."""

    order: StartRun
    whole_ms: float
    begun: float
    done: float
    since_ms: int
    version: int = 0
