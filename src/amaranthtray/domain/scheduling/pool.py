"""The scheduler of one pool: messages and time in, effects out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import StepKey
from ..jobs.record import restore
from ..jobs.task import RunPhase
from ._load import pool_load
from ._pacing import pace_fillers
from ._planner import plan_starts
from ._progress import stop_stuck
from ._reports import take_report
from ._state import SchedulerState
from ._vacating import vacant_hosts, vacate_hosts
from .advice import AdviceReceived
from .caps import PortionsRead
from .host import Host
from .messages import (
    BatchNotStored,
    BatchStored,
    CatalogChanged,
    Effect,
    ForgetHost,
    HostReport,
    HostRunsEnded,
    HostSilent,
    HostsListed,
    JobCancelled,
    JobFound,
    Message,
    StartOutcome,
    StartReplied,
    StartRun,
    StopReplied,
    StopRun,
    Superseded,
    VacateRequested,
    WatchHost,
)

if TYPE_CHECKING:
    from ..ids import HostId, PoolName
    from ..jobs.catalog import Catalog
    from ..jobs.job import Job
    from ..jobs.model import JobId

FULL_PAUSE_MS = 500
"""A host that refused a run for want of room gets none for this long."""

UNHEALTHY_PAUSE_MS = 1_000
"""A host that called itself unhealthy gets no runs for this long."""

SWEEP_EVERY_MS = 50
"""Shortest time between looks at all hosts; hosts report less often."""

DEFAULT_KEPT_MS = 180_000
"""An ended job is kept this long unless settings say otherwise."""

EXPIRY_EVERY_MS = 1_000
"""Time between looks for jobs that ended long ago."""

LOOK_EVERY_MS = 100
"""Shortest time between looks at the load."""

REPORT_EVERY_MS = 400
"""Longest time that changed loads and numbers of waiting jobs stay unpublished."""


class PoolScheduler:
    """Decides for one pool under one term.

    Args:
        pool: The pool.
        catalog: Configuration in force.
        earlier_leases_until_ms: Steady time at which leases that earlier terms granted have
            surely run out.
        kept_ms: How long a job is kept after its end.
    """

    def __init__(
        self,
        pool: PoolName,
        catalog: Catalog,
        earlier_leases_until_ms: int,
        kept_ms: int = DEFAULT_KEPT_MS,
    ) -> None:
        self._kept_ms = kept_ms
        self._expiry_ms = 0
        self._unknown_until_ms: int | None = earlier_leases_until_ms
        self.state = SchedulerState(pool, catalog)
        self.state.take_catalog(catalog)
        self._published: dict[str, int] = {}
        self._published_ms = 0
        self._swept_ms = -SWEEP_EVERY_MS
        self._swept_for: frozenset[HostId] = frozenset()

    def handle(self, message: Message, now_ms: int, wall_ms: int) -> list[Effect]:
        """Takes one message; returns what is to be done at once."""
        self.state.now_ms, self.state.wall_ms = now_ms, wall_ms
        match message:
            case JobFound():
                return self._job_found(message)
            case JobCancelled(job):
                return self._cancelled(job)
            case PortionsRead(team, row):
                self.state.caps.rows[team] = row
            case AdviceReceived():
                self.state.advice.take(message)
            case VacateRequested(hosts):
                self.state.to_vacate = hosts
            case HostsListed():
                return self._hosts_listed(message)
            case HostReport():
                host = self.state.hosts.get(message.host)
                return take_report(self.state, host, message) if host else []
            case HostSilent(host_id):
                return self._silent(host_id)
            case HostRunsEnded(host_id):
                return self._lapsed(host_id)
            case StartReplied():
                return self._start_replied(message)
            case StopReplied():
                return self._stop_replied(message)
            case CatalogChanged(catalog):
                self.state.take_catalog(catalog)
            case BatchStored(batch):
                return self._stored(batch)
            case BatchNotStored(batch):
                if batch == self.state.batch:
                    self.state.batch_failed()
        return []

    def plan(self, now_ms: int, wall_ms: int) -> list[Effect]:
        """Chooses what to start, and begins a batch if one is due."""
        state = self.state
        state.now_ms, state.wall_ms = now_ms, wall_ms
        if state.began_ms is None:
            state.began_ms = now_ms
        if state.is_storing:
            return []
        self._drop_unlisted()
        stops: list[Effect] = []
        for job in state.changed():
            stops += self._stop_needless(job)
        stops += self._sweep()
        plan_starts(state)
        stops += state.caps.claims(state.catalog, now_ms)
        stops += state.questions
        state.questions = []
        vacant, state.vacant = state.vacant, vacant_hosts(state)
        is_due = self._is_report_due()
        self._find_expired()
        if state.dirty or state.vacant != vacant or is_due or state.expired:
            batch = state.next_batch()
            self._published = batch.pending
            return [*stops, batch]
        released, state.gated = state.gated, []
        return [*stops, *self._release(released)]

    def _sweep(self) -> list[Effect]:
        """Looks at all hosts, now and then: what is to be emptied, stuck or paced."""
        state = self.state
        is_asked = state.to_vacate != self._swept_for
        if state.now_ms - self._swept_ms < SWEEP_EVERY_MS and not is_asked:
            return []
        self._swept_ms, self._swept_for = state.now_ms, state.to_vacate
        return [*vacate_hosts(state), *stop_stuck(state), *pace_fillers(state)]

    def _find_expired(self) -> None:
        if self.state.now_ms - self._expiry_ms >= EXPIRY_EVERY_MS:
            self._expiry_ms = self.state.now_ms
            self.state.find_expired(self._kept_ms)

    def _drop_unlisted(self) -> None:
        """Drops, once, the runs of earlier terms on hosts that left the list."""
        state = self.state
        if self._unknown_until_ms is None or state.now_ms < self._unknown_until_ms:
            return
        self._unknown_until_ms = None
        for job in list(state.active.values()):
            for name, run in list(job.runs()):
                if run.host not in state.hosts:
                    state.drop(name, run)

    def _is_report_due(self) -> bool:
        """Returns whether others are to be told of the pool; looks at its load."""
        state = self.state
        since_ms = state.now_ms - self._published_ms
        if since_ms < LOOK_EVERY_MS:
            return False
        is_due = since_ms >= REPORT_EVERY_MS
        if not is_due and not state.dirty:
            return False
        self._published_ms = state.now_ms
        load, state.load = state.load, pool_load(state)
        return state.load != load or state.pending() != self._published

    def _job_found(self, found: JobFound) -> list[Effect]:
        spec = found.spec
        if spec.id not in self.state.jobs:
            self.state.add_job(restore(spec, found.record))
            if found.record is None:
                self.state.shares.note(spec, self.state.catalog, self.state.now_ms)
        return self._cancelled(spec.id) if found.is_cancelled else []

    def _cancelled(self, job_id: JobId) -> list[Effect]:
        job = self.state.jobs.get(job_id)
        if job is None or not job.cancel():
            return []
        self.state.touch(job)
        return self._stop_needless(job)

    def _stop_needless(self, job: Job) -> list[Effect]:
        """Stops runs whose task or job is over; those not ordered yet are dropped."""
        effects: list[Effect] = []
        for name, run in list(job.runs()):
            if not job.is_over(name) and not job.is_gang_broken(name):
                continue
            if run.phase is RunPhase.RESERVED:
                self.state.drop(name, run)
            elif run.phase is not RunPhase.STOPPING:
                run.phase, run.settled_ms = RunPhase.STOPPING, None
                effects.append(StopRun(run.host, name, run.number))
        return effects

    def _hosts_listed(self, message: HostsListed) -> list[Effect]:
        effects: list[Effect] = []
        hosts = self.state.hosts
        listed = {info.id for info in message.hosts}
        for info in message.hosts:
            host = hosts.get(info.id)
            if host is None:
                host = hosts[info.id] = Host(info)
                self._adopt_runs(host)
                effects.append(WatchHost(info))
            elif host.info != info:
                if host.info.address != info.address:
                    effects.append(WatchHost(info))
                host.info = info
            host.is_listed = True
        for host in hosts.values():
            if host.info.id not in listed:
                host.is_listed = False
        return effects

    def _adopt_runs(self, host: Host) -> None:
        for job in self.state.active.values():
            for name, run in job.runs():
                if run.host == host.info.id:
                    host.add(name, job.spec.steps[name.step], run)

    def _silent(self, host_id: HostId) -> list[Effect]:
        host = self.state.hosts.get(host_id)
        if host is not None:
            host.is_silent = True
        return []

    def _lapsed(self, host_id: HostId) -> list[Effect]:
        host = self.state.hosts.get(host_id)
        if host is None:
            return []
        for placed in host.placed():
            self.state.drop(placed.name, placed.run)
        host.born = None
        if host.is_listed:
            return []
        del self.state.hosts[host_id]
        return [ForgetHost(host_id)]

    def _start_replied(self, reply: StartReplied) -> list[Effect]:
        host = self.state.hosts.get(reply.host)
        placed = host.find(reply.name, reply.number) if host else None
        if host is None or placed is None:
            return []
        run = placed.run
        if reply.outcome is StartOutcome.STARTED:
            if run.phase is RunPhase.STARTING:
                run.phase, run.settled_ms = RunPhase.RUNNING, reply.replied_ms
            return []
        if reply.outcome is StartOutcome.NO_REPLY:
            run.phase, run.settled_ms = RunPhase.STOPPING, None
            return [StopRun(reply.host, reply.name, reply.number)]
        if reply.outcome is StartOutcome.FENCED:
            return [Superseded(reply.host)]
        if reply.was_repeated:
            # The first try may have started it, and it may have ended since: the
            # host's lists tell.
            run.phase, run.settled_ms = RunPhase.RUNNING, reply.replied_ms
        else:
            self.state.drop(reply.name, run)
        self._pause(host, reply)
        return []

    def _pause(self, host: Host, reply: StartReplied) -> None:
        now_ms = self.state.now_ms
        match reply.outcome:
            case StartOutcome.NO_ROOM:
                host.avoid_until_ms = now_ms + FULL_PAUSE_MS
            case StartOutcome.UNHEALTHY:
                host.avoid_until_ms = now_ms + UNHEALTHY_PAUSE_MS
            case StartOutcome.REFUSED | StartOutcome.NO_TICKET:
                self.state.advice.refuse(StepKey(*reply.name[:3]), reply.host)
                task = self.state.jobs[reply.name.job].task(reply.name)
                if task is not None:
                    task.not_before_ms = now_ms + FULL_PAUSE_MS

    def _stop_replied(self, reply: StopReplied) -> list[Effect]:
        host = self.state.hosts.get(reply.host)
        placed = host.find(reply.name, reply.number) if host else None
        if placed is not None and placed.run.phase is RunPhase.STOPPING:
            placed.run.settled_ms = reply.replied_ms
        return []

    def _stored(self, batch: int) -> list[Effect]:
        if batch != self.state.batch or not self.state.is_storing:
            return []
        return self._release(self.state.batch_stored())

    def _release(self, effects: list[Effect]) -> list[Effect]:
        """Lets effects happen that waited; orders that lost their purpose do not."""
        released: list[Effect] = []
        for effect in effects:
            if isinstance(effect, StartRun):
                run = self.state.still_wanted(effect)
                if run is None or run.phase is not RunPhase.RESERVED:
                    continue
                run.phase = RunPhase.STARTING
            released.append(effect)
        return released
