"""The state of a pool's scheduler: jobs, hosts, and what waits to be stored."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import HostId, PoolName, QueueName
from ..jobs.catalog import Catalog, JobQueue
from ..jobs.job import Job
from ..jobs.model import JobId, StepSpec, TaskName
from ..jobs.record import encode_job
from ..upkeep.moves import PoolLoad
from ._unplaced import Unplaced
from .advice import AdviceBook, RequestAdvice
from .caps import CapBook
from .host import Host
from .messages import AcknowledgeEnds, Effect, StartRun, StoreJobs
from .shares import ShareMeter

if TYPE_CHECKING:
    from ..jobs.task import Run, RunOutcome


MAX_REMOVED = 9
"""Jobs removed in one batch: three keys each, in one transaction."""


@dataclass(slots=True)
class SchedulerState:
    """What the scheduler knows; its methods keep the parts in step.

    Attributes:
        pool: The pool.
        catalog: Configuration in force.
        jobs: All jobs that are stored.
        active: Jobs that may run or have runs somewhere.
        hosts: Hosts by id, those that are gone for as long as runs may be there.
        queues: All queues that the conductor has known.
        to_vacate: Hosts that are to be emptied.
        vacant: Those of them that are empty, as last stored.
        advice: What is known of policies.
        questions: What is to be asked of them.
        shares: What teams submitted beyond their shares.
        unplaced: Steps that found no place.
        caps: What is known of the teams' caps.
        load: What the pool needs, as last stored.
        dirty: Jobs whose record is behind.
        gated: Effects that may happen once the dirty records are stored.
        in_flight: Effects that wait for the batch that is being stored.
        expired: Ended jobs that the next batch removes.
        batch: Number of the last batch.
        is_storing: Whether a batch is being stored.
        began_ms: Steady time at which this conductor first decided, once it has.
        now_ms: Steady time of the message that is handled.
        wall_ms: Wall time of it.
    """

    pool: PoolName
    catalog: Catalog
    jobs: dict[JobId, Job] = field(default_factory=dict)
    active: dict[JobId, Job] = field(default_factory=dict)
    hosts: dict[HostId, Host] = field(default_factory=dict)
    queues: dict[QueueName, JobQueue] = field(default_factory=dict)
    to_vacate: frozenset[HostId] = frozenset()
    vacant: frozenset[str] = frozenset()
    load: PoolLoad = field(default_factory=PoolLoad)
    advice: AdviceBook = field(default_factory=AdviceBook)
    questions: list[RequestAdvice] = field(default_factory=list)
    shares: ShareMeter = field(default_factory=ShareMeter)
    unplaced: Unplaced = field(default_factory=Unplaced)
    caps: CapBook = field(init=False)
    dirty: set[JobId] = field(default_factory=set)
    gated: list[Effect] = field(default_factory=list)
    in_flight: list[Effect] = field(default_factory=list)
    stored_jobs: set[JobId] = field(default_factory=set)
    expired: tuple[JobId, ...] = ()
    batch: int = 0
    is_storing: bool = False
    began_ms: int | None = None
    now_ms: int = 0
    wall_ms: int = 0

    def __post_init__(self) -> None:
        self.caps = CapBook(self.pool)

    def take_catalog(self, catalog: Catalog) -> None:
        """Takes a version of the configuration; removed queues are remembered."""
        self.caps.take_catalog(self.catalog, catalog)
        self.catalog = catalog
        self.queues.update({queue.name: queue for queue in catalog.queues})

    @property
    def enforces_capacity(self) -> bool:
        """Returns whether hosts refuse what does not fit beside all that they run."""
        pool = self.catalog.pools.get(self.pool)
        return pool is None or pool.enforces_capacity

    def queue_of(self, job: Job) -> JobQueue:
        """Returns the queue of a job, or what stands for one long removed."""
        name = job.spec.queue
        found = self.queues.get(name)
        return found or JobQueue(
            name=name, host_header="", path_prefix="", pool=self.pool
        )

    def changed(self) -> list[Job]:
        """Returns the jobs whose record is behind."""
        return [self.jobs[job_id] for job_id in sorted(self.dirty)]

    def add_job(self, job: Job) -> None:
        """Takes a job, with the runs that it may have."""
        self.jobs[job.spec.id] = job
        if not job.state.is_final or any(job.runs()):
            self.active[job.spec.id] = job
        for name, step, task in job.touched():
            for run in task.runs:
                self.caps.add(job.spec.team, step.need)
                host = self.hosts.get(run.host)
                if host is not None:
                    host.add(name, step, run)

    def touch(self, job: Job) -> None:
        """Notes that a job's record has changed."""
        if job.state.is_final:
            if not job.ended_ms:
                job.ended_ms = self.wall_ms
            self.advice.forget(job.spec.id)
            self.shares.forget(job.spec.id)
            if not any(job.runs()):
                self.active.pop(job.spec.id, None)
        self.dirty.add(job.spec.id)

    def place(self, job: Job, name: TaskName, host: Host, number: int) -> Run:
        """Places a run on a host; it is ordered once that is stored."""
        step = job.spec.steps[name.step]
        run = job.place(name, number, host.info.id, host.born or 0)
        run.started_ms = self.now_ms
        host.add(name, step, run)
        self.caps.add(job.spec.team, step.need)
        self.touch(job)
        return run

    def end(self, name: TaskName, run: Run, how: RunOutcome, saved: str) -> None:
        """Takes the end of a run."""
        self._leave(name, run)
        job = self.jobs[name.job]
        job.end(name, run, how, saved)
        self.touch(job)

    def drop(self, name: TaskName, run: Run) -> None:
        """Takes that a run is nowhere and left no end."""
        self._leave(name, run)
        job = self.jobs[name.job]
        job.drop(name, run)
        self.touch(job)

    def step_of(self, name: TaskName) -> StepSpec:
        """Returns the step of a task of a known job."""
        return self.jobs[name.job].spec.steps[name.step]

    def find_expired(self, kept_ms: int) -> None:
        """Chooses jobs that ended so long ago that nobody asks for them."""
        over = (
            job_id
            for job_id, job in self.jobs.items()
            if job.ended_ms
            and job_id not in self.active
            and job_id not in self.dirty
            and self.wall_ms - job.ended_ms > kept_ms
        )
        self.expired = tuple(itertools.islice(over, MAX_REMOVED))

    def pending(self) -> dict[str, int]:
        """Returns how many jobs of each queue have not begun."""
        counts: dict[str, int] = {}
        for job in self.active.values():
            queue = job.spec.queue
            waits = job.state.value == "queued"
            counts[queue] = counts.get(queue, 0) + waits
        return counts

    def next_batch(self) -> StoreJobs:
        """Starts a batch with all that is behind."""
        self.batch += 1
        self.is_storing = True
        self.stored_jobs, self.dirty = self.dirty, set()
        self.in_flight, self.gated = self.gated, []
        records = tuple(
            (job_id, encode_job(self.jobs[job_id]))
            for job_id in sorted(self.stored_jobs)
            if job_id in self.jobs
        )
        return StoreJobs(
            self.batch, records, self.pending(), self.vacant, self.load, self.expired
        )

    def batch_stored(self) -> list[Effect]:
        """Ends a batch that was written; returns what waited for it."""
        self.is_storing = False
        for job_id in self.expired:
            self.jobs.pop(job_id, None)
        self.expired = ()
        released, self.in_flight = self.in_flight, []
        return released

    def batch_failed(self) -> None:
        """Takes back a batch that was not surely written."""
        self.is_storing = False
        self.dirty |= self.stored_jobs
        self.gated = self.in_flight + self.gated
        self.in_flight = []

    def still_wanted(self, order: StartRun) -> Run | None:
        """Returns the run that an order that waited is for, if it is still there."""
        job = self.jobs.get(order.name.job)
        task = job.task(order.name) if job else None
        return task.run_on(order.host, order.number) if task else None

    def acknowledge(self, host: Host, sequence: int) -> None:
        """Lets a host forget its ends once what they changed is stored."""
        if sequence > host.acknowledged and host.born is not None:
            host.acknowledged = sequence
            self.gated.append(AcknowledgeEnds(host.info.id, host.born, sequence))

    def _leave(self, name: TaskName, run: Run) -> None:
        host = self.hosts.get(run.host)
        if host is not None:
            host.remove(name, run.number)
        self.caps.remove(self.jobs[name.job].spec.team, self.step_of(name).need)
