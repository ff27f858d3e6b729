"""The scheduler of one pool: it handles messages and returns effects, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.record_limits import DEFAULT_LIMITS, RecordLimits
from ..jobs.task import RunPhase
from ._advice_requests import apply_advice
from ._backoff import delay_starts
from ._evacuation import (
    apply_zones,
    evacuate,
    limit_loads,
    mark_hosts,
    withhold_starts,
)
from ._found_jobs import apply_cancellation, apply_found_job, stop_obsolete_runs
from ._late_starts import record_unanswered
from ._learning import restore_run_times, review_run_times
from ._load import pool_load
from ._lost_runs import LossReport, drop_ended_runs, drop_runs_of_unlisted_hosts
from ._pacing import pace_fillers
from ._planner import plan_starts
from ._progress import stop_stalled_runs
from ._reports import apply_report
from ._sharing import apply_portions, review_shares
from ._state import SchedulerState
from ._vacating import decide_stop_again, vacant_hosts, vacate_hosts
from .absence import StopUnconfirmed
from .activity import PoolActivity, pool_activity
from .advice import AdviceFailed, AdviceReceived
from .caps import ClaimFailed, PortionsRead
from .evacuation import ZonesEvacuated
from .host import Host
from .messages import (
    BatchNotStored,
    BatchStored,
    CatalogChanged,
    Effect,
    HostReport,
    HostRunsEnded,
    HostSilent,
    HostsListed,
    JobCancelled,
    JobFound,
    Message,
    StartOutcome,
    StartReplied,
    StopReplied,
    Superseded,
    UnwatchHost,
    VacateRequested,
    WatchHost,
)
from .orders import StartRun, StopRun
from .policy import SchedulingPolicy
from .rack_choice import rack_reports
from .run_time_events import RunTimesRead
from .share_portions import ShareRowsRead

if TYPE_CHECKING:
    from ..ids import HostId, PoolName
    from ..jobs.catalog import Catalog
    from .host import PlacedRun

INSPECT_EVERY_MS = 50
"""Shortest time between inspections of all hosts; hosts report less often."""

DEFAULT_RETENTION_MS = 180_000
"""Retention time of an ended job if the settings have none."""

EXPIRY_CHECK_EVERY_MS = 1_000
"""Time between searches for ended jobs whose retention time is over."""

MIN_REMOVAL_INTERVAL_MS = 100
"""Shortest time between batches that remove such jobs; each costs a write."""

DECLARED_ONLY = SchedulingPolicy()

LOAD_CHECK_EVERY_MS = 100
"""Shortest time between computations of the load."""

REPORT_EVERY_MS = 400
"""Longest delay until a changed load or number of waiting jobs is published."""


class PoolScheduler:
    """Schedules the tasks of one pool under one term.

    Args:
        pool: Name of the pool.
        catalog: Configuration in force.
        earlier_leases_until_ms: Steady-clock time at which leases granted by earlier
            terms have expired.
        retention_ms: Time for which an ended job is kept.
        policy: Optional decisions.
        limits: What a job's record can hold.
    """

    def __init__(
        self,
        pool: PoolName,
        catalog: Catalog,
        earlier_leases_until_ms: int,
        retention_ms: int = DEFAULT_RETENTION_MS,
        policy: SchedulingPolicy = DECLARED_ONLY,
        limits: RecordLimits = DEFAULT_LIMITS,
    ) -> None:
        self._retention_ms = retention_ms
        self._expiry_check_ms = EXPIRY_CHECK_EVERY_MS
        self._earlier_leases_until_ms: int | None = earlier_leases_until_ms
        self.state = SchedulerState(pool, catalog, policy, limits)
        self.state.apply_catalog(catalog)
        self._published: tuple[dict[str, int], dict[str, int]] = {}, {}
        self._published_ms = 0
        self._inspected_ms = -INSPECT_EVERY_MS
        self._inspected_to_vacate: frozenset[HostId] = frozenset()

    def handle(self, message: Message, now_ms: int, wall_ms: int) -> list[Effect]:
        """Handles one message; returns the effects to carry out at once."""
        self.state.now_ms, self.state.wall_ms = now_ms, wall_ms
        match message:
            case JobFound():
                return apply_found_job(self.state, message)
            case JobCancelled():
                return apply_cancellation(self.state, message)
            case PortionsRead() | ClaimFailed() | ShareRowsRead():
                apply_portions(self.state, message)
            case AdviceReceived() | AdviceFailed():
                return apply_advice(self.state, message)
            case VacateRequested():
                self.state.vacate_request = message
            case ZonesEvacuated(zones):
                apply_zones(self.state, zones)
            case HostsListed():
                return self._update_hosts(message)
            case HostReport():
                host = self.state.hosts.get(message.host)
                return apply_report(self.state, host, message) if host else []
            case HostSilent(host_id):
                return self._handle_silent_host(host_id)
            case HostRunsEnded():
                return self._handle_runs_ended(message)
            case StartReplied():
                return self._handle_start_reply(message)
            case RunTimesRead():
                return [*restore_run_times(self.state, message)]
            case StopReplied() | StopUnconfirmed():
                return self._handle_stop_reply(message)
            case CatalogChanged(catalog):
                self.state.apply_catalog(catalog)
            case BatchStored():
                return self._handle_batch_stored(message)
            case BatchNotStored(batch):
                if batch == self.state.batch:
                    self.state.handle_batch_failure()
        return []

    def plan(self, now_ms: int, wall_ms: int) -> list[Effect]:
        """Plans starts and stops, and begins a batch if one is due.

        Returns:
            Effects to carry out at once. Starts and acknowledgements are held until the
            records that they depend on are stored.
        """
        state = self.state
        state.now_ms, state.wall_ms = now_ms, wall_ms
        if state.first_planned_ms is None:
            state.first_planned_ms = now_ms
        if state.is_storing:
            return []
        stops: list[Effect] = [*self._drop_runs_of_unlisted()]
        for job in state.dirty_jobs():
            stops += stop_obsolete_runs(state, job)
        stops += self._inspect_hosts()
        limit_loads(state)
        stops += review_run_times(state)
        plan_starts(state)
        stops += evacuate(state)
        stops += state.caps.claims(state.catalog, now_ms)
        stops += review_shares(state)
        stops += state.advice_queue.take_next(now_ms)
        stops += [*state.reservations.take_reports(), *state.gang_hosts.take_reports()]
        stops += rack_reports(state)
        vacant, state.vacant = state.vacant, vacant_hosts(state)
        is_due = self._is_report_due()
        self._select_expired()
        is_due |= state.vacant != vacant or state.is_vacancy_outdated
        if state.dirty or is_due or state.removals.next_jobs:
            batch = state.begin_batch()
            self._published = batch.pending, batch.displaced
            return [*stops, batch]
        released, state.held_effects = state.held_effects, []
        return [*stops, *self._release_effects(released)]

    def activity(self) -> PoolActivity:
        """Returns sums over the pool's hosts, runs and waiting tasks."""
        return pool_activity(self.state)

    def take_forecast_errors(self) -> list[int]:
        """Returns the time in ms from the forecast to the actual end of ended jobs."""
        errors_ms, self.state.forecaster.errors_ms = self.state.forecaster.errors_ms, []
        return errors_ms

    def _inspect_hosts(self) -> list[Effect]:
        """Inspects all hosts at intervals: empties, stops stalled runs, paces."""
        state = self.state
        is_vacate_changed = state.to_vacate != self._inspected_to_vacate
        if (
            state.now_ms - self._inspected_ms < INSPECT_EVERY_MS
            and not is_vacate_changed
        ):
            return []
        self._inspected_ms, self._inspected_to_vacate = state.now_ms, state.to_vacate
        return [*vacate_hosts(state), *stop_stalled_runs(state), *pace_fillers(state)]

    def _select_expired(self) -> None:
        if self.state.now_ms >= self._expiry_check_ms:
            batches = self.state.removals.select(self.state, self._retention_ms)
            wait_ms = max(EXPIRY_CHECK_EVERY_MS // batches, MIN_REMOVAL_INTERVAL_MS)
            self._expiry_check_ms = self.state.now_ms + wait_ms

    def _drop_runs_of_unlisted(self) -> list[LossReport]:
        """Drops runs on unlisted hosts, once, when leases of earlier terms expired."""
        if (
            self._earlier_leases_until_ms is None
            or self.state.now_ms < self._earlier_leases_until_ms
        ):
            return []
        self._earlier_leases_until_ms = None
        return drop_runs_of_unlisted_hosts(self.state)

    def _is_report_due(self) -> bool:
        """Returns whether the pool's report changed and is due; updates the load."""
        state = self.state
        since_ms = state.now_ms - self._published_ms
        if since_ms < LOAD_CHECK_EVERY_MS:
            return False
        is_due = since_ms >= REPORT_EVERY_MS
        if not is_due and not state.dirty:
            return False
        self._published_ms = state.now_ms
        load, state.load = state.load, pool_load(state)
        is_forecast = state.policy.refuse_late_jobs and state.forecaster.update(state)
        is_changed = (state.pending(), state.displaced()) != self._published
        return state.load != load or is_changed or is_forecast

    def _update_hosts(self, message: HostsListed) -> list[Effect]:
        effects: list[Effect] = []
        hosts = self.state.hosts
        listed = {info.id for info in message.hosts}
        for info in message.hosts:
            host = hosts.get(info.id)
            if host is None:
                host = hosts[info.id] = Host(info)
                self._attach_runs(host)
                effects.append(WatchHost(info))
            elif host.info != info:
                if host.info.address != info.address:
                    effects.append(WatchHost(info))
                host.info = info
            host.is_listed = True
            host.record_leaving(self.state.now_ms)
        for host in hosts.values():
            if host.info.id not in listed:
                host.is_listed = False
        mark_hosts(self.state)
        return effects

    def _attach_runs(self, host: Host) -> None:
        """Adds the stored runs of a host that is new on the list."""
        for job in self.state.active.values():
            for name, run in job.runs():
                if run.host == host.info.id:
                    host.add(name, job.spec.steps[name.step], run)

    def _handle_silent_host(self, host_id: HostId) -> list[Effect]:
        host = self.state.hosts.get(host_id)
        if host is not None:
            host.is_silent = True
        return []

    def _handle_runs_ended(self, ended: HostRunsEnded) -> list[Effect]:
        lost = drop_ended_runs(self.state, ended)
        host = self.state.hosts.get(ended.host)
        if host is None or host.is_listed or host.placed_runs():
            return [*lost]
        del self.state.hosts[ended.host]
        return [*lost, UnwatchHost(ended.host)]

    def _handle_start_reply(self, reply: StartReplied) -> list[Effect]:
        host = self.state.hosts.get(reply.host)
        placed = host.find(reply.name, reply.number) if host else None
        if host is None or placed is None:
            return []
        is_unanswered = reply.outcome is StartOutcome.NO_REPLY or reply.was_repeated
        if is_unanswered:
            record_unanswered(placed.run, reply.replied_ms)
        if reply.outcome is StartOutcome.STARTED:
            # After a restart of the host, the reply is of its earlier incarnation.
            if placed.run.phase is RunPhase.STARTING:
                self.state.confirm_start(placed, reply.replied_ms)
            return []
        if reply.outcome is StartOutcome.FENCED:
            return [Superseded(reply.host)]
        delay_starts(self.state, host, reply)
        if is_unanswered:
            return self._settle_unanswered(placed, reply.replied_ms)
        self.state.drop_run(reply.name, placed.run)
        return []

    def _settle_unanswered(self, placed: PlacedRun, replied_ms: int) -> list[Effect]:
        """Stops a run of which a try had no reply: it may start at any time.

        Once the host has confirmed the stop, it rejects such a start. A run that the
        host has reported, or that is being stopped, can't start again. A lasting task
        may be at work already, so it is stopped only if its host doesn't report it.
        """
        name, step, run = placed
        if run.phase in (RunPhase.RUNNING, RunPhase.STOPPING):
            return []
        if step.is_lasting:
            run.phase, run.confirmed_ms = RunPhase.UNANSWERED, replied_ms
            return []
        run.phase, run.confirmed_ms = RunPhase.STOPPING, None
        return [StopRun(run.host, name, run.number)]

    def _handle_stop_reply(self, reply: StopReplied | StopUnconfirmed) -> list[Effect]:
        if isinstance(reply, StopUnconfirmed):
            decide_stop_again(self.state, reply)
            return []
        host = self.state.hosts.get(reply.host)
        placed = host.find(reply.name, reply.number) if host else None
        if placed is not None and placed.run.phase is RunPhase.STOPPING:
            placed.run.confirmed_ms = reply.replied_ms
        return []

    def _handle_batch_stored(self, stored: BatchStored) -> list[Effect]:
        if stored.batch != self.state.batch or not self.state.is_storing:
            return []
        return self._release_effects(self.state.handle_batch_stored(stored.set_apart))

    def _release_effects(self, effects: list[Effect]) -> list[Effect]:
        """Returns held effects, without starts of runs that are no longer wanted."""
        effects, withheld = withhold_starts(self.state, effects)
        released: list[Effect] = [*withheld]
        for effect in effects:
            if isinstance(effect, StartRun):
                run = self.state.find_run(effect)
                if run is None or run.phase is not RunPhase.RESERVED:
                    continue
                host = self.state.hosts.get(run.host)
                if host is None or not host.may_keep_reservations():
                    self.state.drop_run(effect.name, run)
                    continue
                run.phase = RunPhase.STARTING
            released.append(effect)
        return released
