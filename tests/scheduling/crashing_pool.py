"""A pool on a virtual clock with tasks that crash the hosts that start them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthtray.domain.jobs.job import JobState
from amaranthtray.domain.jobs.model import TaskName
from amaranthtray.domain.jobs.record import decode_state
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.losses import LossCause
from amaranthtray.domain.scheduling.messages import (
    AcknowledgeEnds,
    BatchStored,
    Effect,
    EndReport,
    HostInfo,
    HostReport,
    HostRunsEnded,
    HostSilent,
    HostsListed,
    JobFound,
    RunReport,
    StartOutcome,
    StartReplied,
    StopReplied,
    StoreJobs,
)
from amaranthtray.domain.scheduling.orders import StartRun, StopRun
from amaranthtray.domain.scheduling.pool import PoolScheduler
from scheduling.parts import POOL, a_catalog, a_host

if TYPE_CHECKING:
    from amaranthtray.domain.ids import HostId
    from amaranthtray.domain.jobs.model import JobId, JobSpec

TICK_MS = 20
LEASE_WAIT_MS = 8_000
WORK_MS = 600
DOWN_MS = 3_300


@dataclass
class CrashableHost:
    """One incarnation of a machine."""

    info: HostInfo
    born: int
    is_up: bool = True
    running: dict[tuple[TaskName, int], int] = field(default_factory=dict)
    ends: list[EndReport] = field(default_factory=list)
    sequence: int = 0

    def end(self, name: TaskName, number: int, outcome: RunOutcome) -> None:
        """Ends a run with an outcome that the next report has."""
        if self.running.pop((name, number), None) is not None:
            self.sequence += 1
            self.ends.append(EndReport(self.sequence, name, number, outcome, ""))


class CrashingPool:
    """Hosts and a conductor, which may be replaced.

    Args:
        hosts: Number of machines.
        cores: Cores of each.
        confirms: Whether a host answers the start that crashes it.
        keeps_id: Whether a machine that is back has the host id that it had.
    """

    def __init__(
        self,
        hosts: int = 4,
        cores: int = 8,
        *,
        confirms: bool = False,
        keeps_id: bool = False,
    ) -> None:
        self.now_ms = 100_000
        self.confirms, self.keeps_id = confirms, keeps_id
        self.crashing: set[TaskName] = set()
        self.specs: dict[JobId, JobSpec] = {}
        self.records: dict[JobId, bytes] = {}
        self.starts: dict[TaskName, list[tuple[int, HostId]]] = defaultdict(list)
        self.lost: dict[TaskName, int] = defaultdict(int)
        self._lives = 0
        self._down: list[tuple[int, CrashableHost]] = []
        self.hosts: dict[HostId, CrashableHost] = {}
        for number in range(hosts):
            machine = f"m{number}"
            self._boot(a_host(f"{machine}-0", cores=cores, machine=machine))
        self.take_over()

    def take_over(self) -> None:
        """Starts a conductor that knows only what is stored."""
        self.scheduler = PoolScheduler(POOL, a_catalog(), self.now_ms + LEASE_WAIT_MS)
        for spec in self.specs.values():
            self._send(JobFound(spec, self.records.get(spec.id)))
        self._list_hosts()

    def submit(self, spec: JobSpec, *crashing: TaskName) -> None:
        """Submits a job, and names its tasks that crash their hosts."""
        self.crashing |= set(crashing)
        self.specs[spec.id] = spec
        self._send(JobFound(spec))

    def run(self, for_ms: int) -> None:
        """Lets time pass."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self._restart_hosts()
            for host in list(self.hosts.values()):
                if host.is_up:
                    self._end_due_runs(host)
                    self._report(host)
            self._apply(self.scheduler.plan(self.now_ms, self.now_ms))

    def state(self, job: JobId) -> JobState:
        """Returns a job's state as callers see it."""
        record = self.records.get(job)
        return decode_state(record) if record else JobState.QUEUED

    def crash(self, host: CrashableHost) -> None:
        """Crashes a host; what ran on it is lost."""
        host.is_up = False
        for name, _ in host.running:
            self.lost[name] += 1
        host.running, host.ends = {}, []
        self._send(HostSilent(host.info.id))
        self._down.append((self.now_ms + DOWN_MS, host))

    def up_hosts(self) -> list[CrashableHost]:
        """Returns the hosts that are up."""
        return [host for host in self.hosts.values() if host.is_up]

    def running(self) -> set[TaskName]:
        """Returns the tasks that run on a host that is up."""
        return {name for host in self.up_hosts() for name, _ in host.running}

    def _boot(self, info: HostInfo) -> None:
        self.hosts[info.id] = CrashableHost(info, self.now_ms)

    def _restart_hosts(self) -> None:
        due = [host for at_ms, host in self._down if at_ms <= self.now_ms]
        self._down = [each for each in self._down if each[1] not in due]
        for host in due:
            info = host.info
            del self.hosts[info.id]
            if self.keeps_id:
                self._boot(info)
                continue
            self._lives += 1
            name = f"{info.machine}-{self._lives}"
            self._boot(
                a_host(name, cores=info.capacity.cpu // 1_000, machine=info.machine)
            )
            self._send(HostRunsEnded(info.id, LossCause.ADDRESS_REUSED))
        if due:
            self._list_hosts()

    def _list_hosts(self) -> None:
        infos = tuple(host.info for host in self.hosts.values())
        self._send(HostsListed(infos))

    def _end_due_runs(self, host: CrashableHost) -> None:
        for (name, number), begun_ms in list(host.running.items()):
            is_lasting = self.specs[name.job].steps[name.step].is_lasting
            if not is_lasting and self.now_ms - begun_ms >= WORK_MS:
                host.end(name, number, RunOutcome.DONE)

    def _report(self, host: CrashableHost) -> None:
        running = tuple(
            RunReport(name, number, "", 100, 0) for name, number in host.running
        )
        self._send(
            HostReport(
                host.info.id,
                host.born,
                self.now_ms - 1,
                self.now_ms,
                running,
                tuple(host.ends),
            )
        )

    def _send(self, message: object) -> None:
        self._apply(self.scheduler.handle(message, self.now_ms, self.now_ms))  # type: ignore[arg-type]

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StoreJobs():
                    self.records.update(dict(effect.records))
                    self._send(BatchStored(effect.batch))
                case StartRun():
                    self._start(effect)
                case StopRun(host_id, name, number):
                    host = self.hosts.get(host_id)
                    if host is not None and host.is_up:
                        host.end(name, number, RunOutcome.STOPPED)
                        self._send(StopReplied(host_id, name, number, self.now_ms))
                case AcknowledgeEnds(host_id, born, sequence):
                    host = self.hosts.get(host_id)
                    if host is not None and host.born == born:
                        host.ends = [e for e in host.ends if e.sequence > sequence]

    def _start(self, order: StartRun) -> None:
        host = self.hosts.get(order.host)
        if host is None or not host.is_up:
            self._reply(order, StartOutcome.UNHEALTHY)
            return
        self.starts[order.name].append((self.now_ms, order.host))
        host.running[order.name, order.number] = self.now_ms
        if order.name not in self.crashing:
            self._reply(order, StartOutcome.STARTED)
            return
        outcome = StartOutcome.STARTED if self.confirms else StartOutcome.NO_REPLY
        self._reply(order, outcome)
        self.crash(host)

    def _reply(self, order: StartRun, outcome: StartOutcome) -> None:
        self._send(
            StartReplied(order.host, order.name, order.number, outcome, self.now_ms)
        )
