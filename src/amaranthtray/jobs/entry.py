"""An entry that accepts jobs and conducts pools, as a set of tasks."""

from __future__ import annotations

import secrets
import threading
import time
from typing import TYPE_CHECKING

from ..domain.duties.names import FLEET_DUTY, DutyName, conductor_duty
from ..domain.ids import EntryId, Incarnation
from .admission_controller import AdmissionController
from .config_follower import ConfigFollower
from .context import JobEntryContext
from .duty_claims import DutyClaims
from .duty_task import DutyTask, DutyView, DutyWork, WorkFactory
from .evacuation_follower import EvacuationFollower, NoEvacuations
from .event_log import EventLog
from .fleet_manager import FleetManager
from .forecast_follower import ForecastFollower
from .host_list_follower import HostListFollower
from .job_locator import JobLocator
from .ledger_view import LedgerView
from .pending_counter import PendingCounter
from .pool_conductor import PoolConductor
from .service import JobService
from .submission_writer import SubmissionWriter

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import PoolName, Term
    from ..domain.jobs.catalog import Catalog
    from ..settings.job_entry import JobEntrySettings
    from ..store.contract import TransactionalStore
    from .metrics_registry import MetricsRegistry
    from .ports import Platform

READY_VIEW_MS = 2_500
"""With an older configuration an entry isn't ready, as it may be partitioned off."""

DUTY_JOIN_S = 1.0


class JobEntry:
    """All tasks of one entry.

    Args:
        settings: Settings of the entry.
        store: The platform's store.
        platform: Translates the platform's documents and creates its clients.
        metrics: Counters and latencies of the entry.
    """

    def __init__(
        self,
        settings: JobEntrySettings,
        store: TransactionalStore,
        platform: Platform,
        metrics: MetricsRegistry,
    ) -> None:
        self._metrics = metrics
        cfg = settings.entry
        self.log = EventLog({"entry": cfg.name, "zone": cfg.zone})
        self._config = ConfigFollower(store, platform, self.log)
        hosts = HostListFollower(store, platform, self.log, settings.hosts)
        self._context = JobEntryContext(
            settings=settings,
            store=store,
            platform=platform,
            log=self.log,
            metrics=metrics,
            hosts=hosts,
            catalog=self._config.catalog,
            evacuations=_evacuation_follower(
                settings, store, platform, self.log, hosts
            ),
        )
        self._submissions = SubmissionWriter(
            store, platform.configuration_key, self.log
        )
        self._forecasts = ForecastFollower(store, self.log)
        self.service = self._new_service()
        self._view = DutyView(self._context)
        self._incarnation = Incarnation(secrets.token_hex(8))
        self._duties: dict[DutyName, DutyTask] = {}
        self._claims = DutyClaims()
        self._conductors: dict[PoolName, PoolConductor] = {}
        self._fleet_manager: FleetManager | None = None
        self._lock = threading.Lock()
        self._shutting_down = threading.Event()

    @property
    def is_ready(self) -> bool:
        """Returns whether the load balancer may send callers to this entry."""
        age_ms = self._config.age_ms()
        is_fresh = age_ms is not None and age_ms < READY_VIEW_MS
        return is_fresh and not self._shutting_down.is_set()

    def start(self) -> None:
        """Starts all tasks."""
        self.log.start()
        size = self._context.settings.machine.size
        self.log.event(
            "started",
            incarnation=self._incarnation,
            cores=size.cores,
            link_mbps=size.link_mbps,
        )
        self._config.subscribe(self._apply_catalog)
        for task in (self._config, self._context.hosts, self._submissions, self._view):
            task.start()
        self._context.evacuations.start()
        self._forecasts.start()

    def apply_settings(self, settings: JobEntrySettings) -> None:
        """Applies changed settings; addresses keep their values until a restart."""
        old = self._context.settings
        is_restart_needed = (settings.entry, settings.clients, settings.evacuation) != (
            old.entry,
            old.clients,
            old.evacuation,
        )
        self._context.settings = settings
        self.log.event("settings-taken", needs_restart=is_restart_needed)

    def shut_down(self, drain_s: float) -> None:
        """Becomes not ready, releases all duties and waits for the load balancer."""
        self.log.event("leaving", calls=self._metrics.totals("store_calls"))
        self._shutting_down.set()
        with self._lock:
            duties = list(self._duties.values())
        for duty in duties:
            duty.resign()
        time.sleep(drain_s)
        for duty in duties:
            duty.join(DUTY_JOIN_S)

    def render_metrics(self) -> str:
        """Returns all metrics as text."""
        age_ms, list_age_ms = self._config.age_ms(), self._context.hosts.age_ms()
        duties = list(self._duties.values())
        gauges: dict[str, float] = {
            "configuration_age_ms": -1 if age_ms is None else age_ms,
            "host_list_age_ms": -1 if list_age_ms is None else list_age_ms,
            "duties_held": sum(duty.is_held for duty in duties),
            "duties_without_work": sum(duty.lacks_work for duty in duties),
            "log_lines_dropped": self.log.dropped,
            "ready": int(self.is_ready),
        }
        if self._context.settings.evacuation is not None:
            conductors = list(self._conductors.values())
            gauges["zones_evacuated"] = len(self._context.evacuations.zones)
            gauges["pools_without_hosts"] = sum(c.lacks_hosts for c in conductors)
        shares = [c.worst_share() for c in list(self._conductors.values())]
        known = [share for share in shares if share is not None]
        if known:
            gauges["worst_teams_in_time"] = round(min(known), 3)
        if self._context.settings.scheduling.forecast_demand:
            manager = self._fleet_manager
            gauges["machines_held_for_peaks"] = manager.machines_held if manager else 0
        return self._metrics.render(gauges)

    def _new_service(self) -> JobService:
        writer = self._submissions
        ledgers = LedgerView(self._context.store, self.log)
        locator = JobLocator(self._context.store, self.log, ledgers)
        counter = PendingCounter(self._context.store, ledgers)
        self._config.subscribe(counter.apply_catalog)
        admission = AdmissionController(
            self._context, self._forecasts, writer.unsettled, locator
        )
        return JobService(
            self._context, self._config, writer, admission, locator, counter
        )

    def _apply_catalog(self, catalog: Catalog) -> None:
        with self._lock:
            for conductor in self._conductors.values():
                conductor.apply_catalog(catalog)
            if self._shutting_down.is_set():
                return
            if FLEET_DUTY not in self._duties:
                self._duties[FLEET_DUTY] = self._fleet_duty()
                self._duties[FLEET_DUTY].start()
            for pool in catalog.pools.values():
                duty = conductor_duty(pool.name)
                if duty not in self._duties and not pool.is_standby:
                    self._duties[duty] = self._pool_duty(pool.name)
                    self._duties[duty].start()

    def _fleet_duty(self) -> DutyTask:
        def start_work(term: Term, held_term: Callable[[], Term | None]) -> DutyWork:
            manager = FleetManager(
                term, held_term, self._context, self._may_be_conducted
            )
            self._fleet_manager = manager
            manager.start()
            return manager

        return self._new_duty(FLEET_DUTY, start_work)

    def _may_be_conducted(self, pool: PoolName) -> bool:
        return self._view.free_for_ms(conductor_duty(pool)) is None

    def _pool_duty(self, pool: PoolName) -> DutyTask:
        def start_work(term: Term, held_term: Callable[[], Term | None]) -> DutyWork:
            conductor = PoolConductor(pool, term, held_term, self._context)
            with self._lock:
                self._conductors[pool] = conductor
            conductor.start()
            return conductor

        return self._new_duty(conductor_duty(pool), start_work)

    def _new_duty(self, name: DutyName, start_work: WorkFactory) -> DutyTask:
        return DutyTask(
            name,
            EntryId(self._context.settings.entry.name),
            self._incarnation,
            context=self._context,
            view=self._view,
            claims=self._claims,
            start_work=start_work,
        )


def _evacuation_follower(
    settings: JobEntrySettings,
    store: TransactionalStore,
    platform: Platform,
    log: EventLog,
    hosts: HostListFollower,
) -> EvacuationFollower | NoEvacuations:
    """Returns what follows the evacuated zones, if the settings enable it."""
    if settings.evacuation is None:
        return NoEvacuations()
    return EvacuationFollower(
        store,
        platform,
        log,
        start_limit_ms=settings.evacuation.start_limit_ms,
        known_zones=hosts.zones,
    )
