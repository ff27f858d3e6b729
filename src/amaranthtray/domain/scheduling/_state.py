"""The state of a pool's scheduler: jobs, hosts, and records to be stored."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import HostId, PoolName
from ..jobs.catalog import Catalog, JobQueue
from ..jobs.job import Job
from ..jobs.model import JobId, StepSpec, TaskName
from ..jobs.record import encode_job
from ..jobs.record_limits import DEFAULT_LIMITS, RecordLimits
from ..jobs.task import RunPhase
from ..upkeep.moves import PoolLoad
from ._expiry import Removals
from ._forecaster import Forecaster
from ._job_facts import JobFacts
from ._queues import KnownQueues
from ._unplaced import UnplacedSteps
from .advice import AdviceCache
from .advice_queue import AdviceQueue
from .caps import CapTracker
from .crash_register import CrashRegister
from .evacuation import EvacuationState
from .gang_hosts import GangHosts
from .host import Host
from .host_choice import RecentShapes
from .messages import AcknowledgeEnds, Effect, StoreJobs, VacateRequested
from .placement import is_far
from .policy import SchedulingPolicy
from .rack_waits import RackWaits
from .ranking import job_objective_ms
from .reservations import Reservations
from .run_times import RunTimes
from .share_portions import SharePortions
from .shares import ShareMeter
from .team_service import TeamService

if TYPE_CHECKING:
    from ..jobs.task import Run, RunOutcome
    from .host import PlacedRun
    from .orders import StartRun


_ORDERED_PHASES = (RunPhase.STARTING, RunPhase.UNCONFIRMED, RunPhase.UNANSWERED)

NOTHING_TO_VACATE = VacateRequested(frozenset())


@dataclass(slots=True)
class SchedulerState:
    """State of a scheduler; its methods keep jobs, hosts and caps consistent.

    Attributes:
        pool: Name of the pool.
        catalog: Configuration in force.
        policy: Optional decisions.
        limits: What a job's record can hold.
        jobs: All jobs that are stored.
        early_cancellations: Times of cancellations of jobs that are not stored.
        active: Jobs that are not in a final state or still have runs.
        hosts: Hosts by id; a host that left the pool stays while it may have runs.
        queues: Queues of the jobs.
        vacate_request: Hosts that are to be emptied.
        vacant: Hosts to be emptied that are empty, as last stored.
        stored_vacate_number: Number of the request in the last report; None if that may
            not be stored.
        advice: Cached placement advice.
        advice_queue: Requests for advice that go next.
        shares: Meter of submissions beyond the teams' shares.
        unplaced: Steps with tasks that fit on no host.
        unmovable: Steps with tasks on hosts to be emptied that fit on no other host.
        crashes: Tasks under which hosts crashed.
        run_times: Expected run times of tasks.
        evacuation: Evacuated zones and the runs that leave them.
        run_times_record: What was learned, for the next batch; empty if it is not due.
        forecaster: Forecast for the entries that accept jobs.
        gang_hosts: Gangs for which hosts are kept without reservations.
        reservations: Hosts reserved for large tasks that wait.
        rack_waits: Tasks that wait for the busy rack of their data.
        shapes: Needs of the tasks that arrived last.
        settled: Jobs without a task to start until an event changes them.
        facts: What plans know of active jobs until an event changes them.
        caps: Portions of the teams' caps that the pool holds and uses.
        share_portions: Portions of the teams' weights, if they count over all pools.
        team_service: Ended jobs of each team, if shares count over all pools.
        load: Resources that the pool needs, as last stored.
        dirty: Jobs that changed since their record was stored.
        held_effects: Effects to release once the dirty records are stored.
        batch_effects: Effects to release once the current batch is stored.
        batch_jobs: Jobs whose records are in the current batch.
        removals: Ended jobs that the next batches remove.
        batch: Number of the last batch.
        is_storing: Whether a batch is being stored.
        first_planned_ms: Steady-clock time of this conductor's first plan; None before.
        now_ms: Steady-clock time of the current call.
        wall_ms: Wall-clock time of the current call.
    """

    pool: PoolName
    catalog: Catalog
    policy: SchedulingPolicy = field(default_factory=SchedulingPolicy)
    limits: RecordLimits = DEFAULT_LIMITS
    jobs: dict[JobId, Job] = field(default_factory=dict)
    early_cancellations: dict[JobId, int] = field(default_factory=dict)
    active: dict[JobId, Job] = field(default_factory=dict)
    hosts: dict[HostId, Host] = field(default_factory=dict)
    queues: KnownQueues = field(init=False)
    vacate_request: VacateRequested = NOTHING_TO_VACATE
    vacant: frozenset[str] = frozenset()
    stored_vacate_number: int | None = 0
    load: PoolLoad = field(default_factory=PoolLoad)
    advice: AdviceCache = field(default_factory=AdviceCache)
    advice_queue: AdviceQueue = field(default_factory=AdviceQueue)
    shares: ShareMeter = field(default_factory=ShareMeter)
    unplaced: UnplacedSteps = field(default_factory=UnplacedSteps)
    unmovable: UnplacedSteps = field(default_factory=UnplacedSteps)
    crashes: CrashRegister = field(default_factory=CrashRegister)
    run_times: RunTimes = field(default_factory=RunTimes)
    evacuation: EvacuationState = field(default_factory=EvacuationState)
    run_times_record: bytes = b""
    forecaster: Forecaster = field(default_factory=Forecaster)
    gang_hosts: GangHosts = field(default_factory=GangHosts)
    reservations: Reservations = field(default_factory=Reservations)
    rack_waits: RackWaits = field(default_factory=RackWaits)
    shapes: RecentShapes = field(default_factory=RecentShapes)
    settled: set[JobId] = field(default_factory=set)
    facts: dict[JobId, JobFacts] = field(default_factory=dict)
    caps: CapTracker = field(init=False)
    share_portions: SharePortions = field(init=False)
    team_service: TeamService = field(default_factory=TeamService)
    dirty: set[JobId] = field(default_factory=set)
    held_effects: list[Effect] = field(default_factory=list)
    batch_effects: list[Effect] = field(default_factory=list)
    batch_jobs: set[JobId] = field(default_factory=set)
    removals: Removals = field(default_factory=Removals)
    batch: int = 0
    is_storing: bool = False
    first_planned_ms: int | None = None
    now_ms: int = 0
    wall_ms: int = 0

    def __post_init__(self) -> None:
        self.caps = CapTracker(self.pool)
        self.queues = KnownQueues(self.pool)
        self.share_portions = SharePortions(self.pool)
        self.run_times.is_learning = self.policy.learn_run_times

    @property
    def to_vacate(self) -> frozenset[HostId]:
        """Returns the hosts that are to be emptied."""
        return self.vacate_request.hosts

    @property
    def is_vacancy_outdated(self) -> bool:
        """Returns whether empty hosts were last reported for an earlier request."""
        is_same = self.stored_vacate_number == self.vacate_request.number
        return bool(self.vacant) and not is_same

    def apply_catalog(self, catalog: Catalog) -> None:
        """Applies a version of the configuration."""
        self.caps.apply_catalog(self.catalog, catalog)
        self.catalog = catalog
        self.queues.apply(catalog)
        self.facts.clear()

    @property
    def enforces_capacity(self) -> bool:
        """Returns whether hosts refuse a run that does not fit beside their runs."""
        pool = self.catalog.pools.get(self.pool)
        return pool is None or pool.enforces_capacity

    def queue_of(self, job: Job) -> JobQueue:
        """Returns the queue of a job, as far as it is known if it was removed."""
        return self.queues.queue_of(job.spec)

    def needs_advice(self, job: Job) -> bool:
        """Returns whether a placement policy selects the hosts of a job."""
        return job.needs_ticket or self.queue_of(job).needs_advice

    def dirty_jobs(self) -> list[Job]:
        """Returns the jobs that changed since their record was stored."""
        return [self.jobs[job_id] for job_id in sorted(self.dirty)]

    def add_job(self, job: Job) -> None:
        """Adds a job and the runs that its record lists."""
        self.jobs[job.spec.id] = job
        if self.policy.look_ahead:
            self.shapes.record(job.spec)
        if not job.state.is_final or any(job.runs()):
            self.active[job.spec.id] = job
        for name, step, task in job.created_tasks():
            self.crashes.add_task(name, task)
            for run in task.runs:
                run.unanswered_ms = self.now_ms
                self.caps.add(job.spec.team, step.need)
                host = self.hosts.get(run.host)
                if host is not None:
                    host.add(name, step, run)

    def mark_dirty(self, job: Job) -> None:
        """Marks a job's record as changed, and cleans up after a final state."""
        if job.state.is_final:
            if not job.ended_ms:
                job.ended_ms = self.wall_ms
                if self.policy.share_over_pools:
                    limit_ms = job_objective_ms(job, self.queue_of(job), self.run_times)
                    self.team_service.record_end(job, limit_ms, self.now_ms)
            self.advice.remove_job(job.spec.id)
            self.advice_queue.remove_job(job.spec.id)
            self.shares.remove_job(job.spec.id)
            self.crashes.remove_job(job.spec.id)
            self.run_times.remove_job(job.spec)
            if not any(job.runs()):
                self.active.pop(job.spec.id, None)
        self.settled.discard(job.spec.id)
        self.facts.pop(job.spec.id, None)
        self.dirty.add(job.spec.id)

    def reserve_run(self, job: Job, name: TaskName, host: Host, number: int) -> Run:
        """Reserves a run on a host; it may be ordered once its record is stored."""
        step = job.spec.steps[name.step]
        run = job.reserve_run(name, number, host.info.id, host.born or 0)
        run.started_ms = self.now_ms
        task = job.task(name)
        run.is_resumed = task is not None and bool(task.checkpoint)
        host.add(name, step, run)
        self.caps.add(job.spec.team, step.need)
        if self.policy.weigh_remote_hosts and is_far(step, host):
            self.rack_waits.remote += 1
        self.mark_dirty(job)
        return run

    def confirm_start(self, placed: PlacedRun, confirmed_ms: int) -> None:
        """Applies that a host has started a run; a run that is stopped stays so."""
        name, _, run = placed
        self.jobs[name.job].has_started = True
        if run.phase in _ORDERED_PHASES:
            run.phase, run.confirmed_ms = RunPhase.RUNNING, confirmed_ms

    def end_run(
        self, name: TaskName, run: Run, outcome: RunOutcome, checkpoint: str
    ) -> None:
        """Applies the outcome of a run."""
        self._release_resources(name, run)
        job = self.jobs[name.job]
        job.end_run(name, run, outcome, checkpoint)
        self.mark_dirty(job)

    def apply_late_end(self, name: TaskName, number: int, outcome: RunOutcome) -> bool:
        """Applies the end of a run that was dropped before its host reported it.

        Returns whether the end changes the task.
        """
        job = self.jobs.get(name.job)
        if job is None or not job.apply_late_end(name, number, outcome):
            return False
        self.mark_dirty(job)
        return True

    def drop_run(self, name: TaskName, run: Run) -> None:
        """Removes a run that is on no host and whose outcome is unknown."""
        self._release_resources(name, run)
        job = self.jobs[name.job]
        job.drop_run(name, run)
        self.mark_dirty(job)

    def step_of(self, name: TaskName) -> StepSpec:
        """Returns the step of a task; its job must be known."""
        return self.jobs[name.job].spec.steps[name.step]

    def pending(self) -> dict[str, int]:
        """Returns the number of jobs of which no task has started, by queue."""
        counts: dict[str, int] = {}
        for job in self.active.values():
            queue = job.spec.queue
            counts[queue] = counts.get(queue, 0) + job.is_pending
        return counts

    def displaced(self) -> dict[str, int]:
        """Returns the number of such jobs of former queues, by the queue's address."""
        counts: dict[str, int] = {}
        for job in self.active.values():
            address = self.queues.displaced_address(job.spec)
            if address is not None and job.is_pending:
                counts[address] = counts.get(address, 0) + 1
        return counts

    def begin_batch(self) -> StoreJobs:
        """Begins a batch with the records of all dirty jobs."""
        self.batch += 1
        self.is_storing = True
        self.stored_vacate_number = self.vacate_request.number
        self.batch_jobs, self.dirty = self.dirty, set()
        self.batch_effects, self.held_effects = self.held_effects, []
        records, oversized = self._encode_records()
        learned, self.run_times_record = self.run_times_record, b""
        return StoreJobs(
            self.batch,
            records,
            self.pending(),
            self.vacant,
            self.load,
            self.removals.next_jobs,
            learned,
            self.forecaster.forecast,
            self.vacate_request.number,
            oversized,
            self.displaced(),
        )

    def handle_batch_stored(self, set_apart: tuple[JobId, ...] = ()) -> list[Effect]:
        """Ends a batch that was written; returns the effects that it held.

        Jobs whose record the store has rejected fail. The effects are then held until
        that is stored, as they may depend on these jobs.
        """
        self.is_storing = False
        self.removals.finish(self)
        rejected = [self.jobs[job_id] for job_id in set_apart if job_id in self.jobs]
        failed = [job for job in rejected if self._fail_job(job)]
        if failed:
            self.held_effects = self.batch_effects + self.held_effects
            self.batch_effects = []
        released, self.batch_effects = self.batch_effects, []
        return released

    def handle_batch_failure(self) -> None:
        """Marks the jobs of a batch that may not have been written as dirty again."""
        self.is_storing = False
        self.dirty |= self.batch_jobs
        self.held_effects = self.batch_effects + self.held_effects
        self.batch_effects = []
        self.stored_vacate_number = None
        self.run_times.stored = -1

    def _encode_records(
        self,
    ) -> tuple[tuple[tuple[JobId, bytes], ...], tuple[tuple[JobId, int], ...]]:
        """Returns the records of the batch, and jobs whose record is too large.

        These fail, as no task of theirs can be started any more. If even the record of
        the failed job is too large, the one in the store stays.
        """
        records: list[tuple[JobId, bytes]] = []
        oversized: list[tuple[JobId, int]] = []
        for job_id in sorted(self.batch_jobs):
            job = self.jobs.get(job_id)
            if job is None:
                continue
            data = encode_job(job)
            if len(data) > self.limits.value_bytes:
                oversized.append((job_id, len(data)))
                self._fail_job(job)
                data = encode_job(job)
            if len(data) <= self.limits.value_bytes:
                records.append((job_id, data))
        return tuple(records), tuple(oversized)

    def _fail_job(self, job: Job) -> bool:
        """Fails a job whose record can't be stored; returns whether it was open."""
        if not job.fail():
            return False
        for name, run in list(job.runs()):
            if run.phase is RunPhase.RESERVED:
                self.drop_run(name, run)
        self.mark_dirty(job)
        return True

    def find_run(self, order: StartRun) -> Run | None:
        """Returns the run that a held order would start, if it still exists."""
        job = self.jobs.get(order.name.job)
        task = job.task(order.name) if job else None
        return task.run_on(order.host, order.number) if task else None

    def acknowledge(self, host: Host, sequence: int) -> None:
        """Acknowledges a host's ends once the records that they changed are stored."""
        if sequence > host.acknowledged and host.born is not None:
            host.acknowledged = sequence
            self.held_effects.append(AcknowledgeEnds(host.info.id, host.born, sequence))

    def _release_resources(self, name: TaskName, run: Run) -> None:
        host = self.hosts.get(run.host)
        if host is not None:
            host.remove(name, run.number)
        spec = self.jobs[name.job].spec
        self.run_times.remove_run(spec, name, run)
        self.caps.remove(spec.team, spec.steps[name.step].need)
