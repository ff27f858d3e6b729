"""An adviser that answers one call at a time, and jobs that come to its queue."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.advice import (
    AdviceFailed,
    AdviceReceived,
    RequestAdvice,
)
from amaranthtray.domain.scheduling.messages import StartOutcome
from amaranthtray.domain.scheduling.orders import StartRun
from scheduling.parts import (
    SchedulerHarness,
    a_catalog,
    a_host,
    a_job,
    a_step,
    an_end,
)

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.messages import Effect

TICK_MS = 10
WORK_MS = 800
VALID_MS = 10_000
HOSTS = tuple(f"h{number}" for number in range(8))


@dataclass
class AdvisedPool:
    """A pool of eight hosts whose queue has a placement policy, on a manual clock.

    Attributes:
        call_ms: Time of the service for one call.
        silent: Interval in ms in which calls get no answer.
        asked: Steps in the order of their calls.
        started_ms: Time of the first start of each job.
    """

    call_ms: int = 136
    silent: range = range(0)
    asked: list[str] = field(default_factory=list)
    submitted_ms: dict[str, int] = field(default_factory=dict)
    started_ms: dict[str, int] = field(default_factory=dict)
    calls: deque[RequestAdvice] = field(default_factory=deque)
    _busy_until_ms: int = 0
    _running: list[tuple[int, StartRun]] = field(default_factory=list)
    _ends: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        hosts = [a_host(name) for name in HOSTS]
        self.harness = SchedulerHarness(*hosts, catalog=a_catalog(needs_advice=True))

    def submit(self, name: str, count: int = 2) -> None:
        """Submits a job of small tasks."""
        self.harness.submit(a_job(a_step(count), name=name))
        self.submitted_ms[name] = self.harness.now_ms

    def tick(self) -> None:
        """Lets the service, the hosts and the scheduler work for a moment."""
        self.harness.now_ms += TICK_MS
        self._answer()
        self._end_runs()
        self._apply(self.harness.plan())

    def waits_ms(self, since_ms: int) -> list[int]:
        """Returns the time to the start of each job submitted since a time."""
        end_ms = self.harness.now_ms
        return [
            self.started_ms.get(name, end_ms) - at_ms
            for name, at_ms in self.submitted_ms.items()
            if at_ms >= since_ms
        ]

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, RequestAdvice):
                if not self.calls:
                    self._busy_until_ms = self.harness.now_ms + self.call_ms
                self.calls.append(effect)
                self.asked.append(effect.step.job)
            elif isinstance(effect, StartRun):
                self.started_ms.setdefault(effect.name.job, self.harness.now_ms)
                self.harness.reply_to_start(effect, StartOutcome.STARTED)
                self._running.append((self.harness.now_ms + WORK_MS, effect))

    def _answer(self) -> None:
        now_ms = self.harness.now_ms
        if not self.calls or now_ms < self._busy_until_ms:
            return
        call = self.calls.popleft()
        self._busy_until_ms = now_ms + self.call_ms
        if now_ms in self.silent:
            self._apply(self.harness.send(AdviceFailed(call.step)))
            return
        tickets = {HostId(host): "ticket" for host in call.hosts}
        received = AdviceReceived(call.step, call.hosts, tickets, now_ms + VALID_MS)
        self._apply(self.harness.send(received))

    def _end_runs(self) -> None:
        due = [run for at_ms, run in self._running if at_ms <= self.harness.now_ms]
        self._running = [each for each in self._running if each[1] not in due]
        for host in {run.host for run in due}:
            ended = [run for run in due if run.host == host]
            first = self._ends.get(host, 0) + 1
            self._ends[host] = first + len(ended) - 1
            ends = tuple(
                an_end(run, RunOutcome.DONE, number)
                for number, run in enumerate(ended, first)
            )
            listed = tuple(
                (run.name, run.number) for _, run in self._running if run.host == host
            )
            self.harness.report(host, running=listed, ends=ends)
