"""The task that conducts one pool under one fenced term."""

from __future__ import annotations

import queue
import threading
from dataclasses import asdict, dataclass
from functools import partial
from typing import TYPE_CHECKING

from ..domain.jobs.record_limits import RecordLimits
from ..domain.scheduling.advice import RequestAdvice
from ..domain.scheduling.caps import ClaimPortion
from ..domain.scheduling.messages import (
    AcknowledgeEnds,
    BatchNotStored,
    BatchStored,
    CatalogChanged,
    Effect,
    Message,
    StartOutcome,
    StartReplied,
    StoreJobs,
    Superseded,
    UnwatchHost,
    WatchHost,
)
from ..domain.scheduling.orders import HostOrder, PaceRun, StartRun, StopRun
from ..domain.scheduling.policy import SchedulingPolicy
from ..domain.scheduling.pool import PoolScheduler
from ..domain.scheduling.share_portions import ClaimShare
from . import clock
from .advice_requester import AdviceRequester
from .cap_portion_writer import CapPortionWriter
from .conductor_log import ConductorLog
from .conductor_stats import ConductorStats
from .host_links import HostLinks, LinkMessage
from .job_feed import JobFeed
from .record_writer import RecordWriter
from .run_time_reader import load_run_times
from .scheduler_log import SchedulerLog
from .share_portion_writer import SharePortionWriter
from .steps import run_step
from .term_guard import TermGuard

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import PoolName, Term
    from ..domain.jobs.catalog import Catalog
    from ..settings.job_entry import SchedulingSection
    from .context import JobEntryContext

MAX_ROUND_INTERVAL_MS = 100
"""Longest wait for a message before the next round of scheduling."""

RETENTION_MARGIN_MS = 60_000
"""Added to the promised retention of ended jobs, as the wall clock may jump."""

MIN_PLAN_INTERVAL_MS = 8
"""Shortest time between plans; each may cost a store write and calls to hosts."""

STORE_RETRY_MS = 100


def _policy(section: SchedulingSection) -> SchedulingPolicy:
    return SchedulingPolicy(
        learn_run_times=section.learn_run_times,
        refuse_late_jobs=section.refuse_late_jobs,
        look_ahead=section.look_ahead,
        share_over_pools=section.share_over_pools,
        weigh_remote_hosts=section.weigh_remote_hosts,
        remote_factor=section.remote_factor,
    )


def _record_writer(
    pool: PoolName, term: Term, context: JobEntryContext, limits: RecordLimits
) -> RecordWriter:
    return RecordWriter(
        pool,
        term,
        store=context.store,
        log=context.log,
        value_bytes=limits.value_bytes,
    )


@dataclass(slots=True)
class _Stop:
    """Message that wakes the conductor so that it ends."""


class PoolConductor:
    """Runs a pool's scheduler and carries out its effects.

    Args:
        pool: The pool.
        term: Term of the conductor.
        held_term: Returns the term that is certainly held now; None if there is none.
        context: Objects that all tasks of the entry share.
    """

    def __init__(
        self,
        pool: PoolName,
        term: Term,
        held_term: Callable[[], Term | None],
        context: JobEntryContext,
    ) -> None:
        self.pool = pool
        self._guard = TermGuard(term, held_term)
        self._context = context
        self._mailbox: queue.SimpleQueue[Message | LinkMessage | _Stop]
        self._mailbox = queue.SimpleQueue()
        self._batches: queue.SimpleQueue[StoreJobs | None] = queue.SimpleQueue()
        self._last_plan_ms = 0
        self._stats = ConductorStats()
        self._log = ConductorLog(pool, term, context.log, context.metrics)
        self._reports = SchedulerLog(self._log)
        self._feed = JobFeed(pool, context, self.post, self._may_continue)
        self._links = HostLinks(
            context, self._guard, self.post, self._log, self._feed.age_ms
        )
        self._stopping = threading.Event()
        self._ended = threading.Event()
        self._limits = RecordLimits(context.settings.store.max_value_bytes)
        self._writer = _record_writer(pool, term, context, self._limits)
        self._cap_portions = CapPortionWriter(pool, context, self.post, self._guard)
        self._share_portions = SharePortionWriter(
            pool, context, self.post, self._guard.may_order
        )
        adviser = context.platform.adviser()
        self._advice = AdviceRequester(
            adviser, self.post, self._log, context.advice_turns
        )
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._writer_thread = threading.Thread(target=self._write_loop, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def resume(self) -> None:
        """Does nothing, as each start checks how old what it follows from is."""

    def stop(self) -> None:
        """Ends the conductor soon; runs continue under their leases."""
        self._stopping.set()
        self._batches.put(None)
        self._mailbox.put(_Stop())

    @property
    def is_over(self) -> bool:
        """Returns whether the conductor has ended, by ``stop`` or by itself."""
        return self._ended.is_set()

    @property
    def lacks_hosts(self) -> bool:
        """Returns whether all hosts of the pool are in evacuated zones."""
        return self._reports.evacuation.lacks_hosts and not self.is_over

    def worst_share(self) -> float | None:
        """Returns the share of jobs in time of the worst-served tenth of the teams."""
        return (
            None
            if self.is_over
            else self._reports.shares.worst_share(clock.steady_ms())
        )

    def post(self, message: Message | LinkMessage) -> None:
        """Queues a message; thread-safe."""
        self._mailbox.put(message)

    def apply_catalog(self, catalog: Catalog) -> None:
        """Applies a newer configuration."""
        self.post(CatalogChanged(catalog))

    def _run(self) -> None:
        log = self._context.log
        log.event("conducting", pool=self.pool, term=self._guard.term)
        try:
            self._conduct()
        except Exception as exc:
            log.event("conductor-fault", pool=self.pool, why=repr(exc))
        finally:
            self._ended.set()
            self._context.hosts.unsubscribe(self.pool, self.post)
            self._cap_portions.stop()
            self._share_portions.stop()
            self._advice.stop()
            self._links.close_all()
            self._context.evacuations.unsubscribe(self.pool, self.post)
            log.event("conducting-ended", pool=self.pool, term=self._guard.term)

    def _conduct(self) -> None:
        if not (
            self._repeat(self._writer.fence_older_terms)
            and self._repeat(self._cap_portions.load)
            and self._repeat(self._subscribe_to_evacuations)
        ):
            return
        if not load_run_times(
            self.pool, self._context, self.post, self._may_continue, self._stopping
        ):
            return
        self._cap_portions.start()
        if self._context.settings.scheduling.share_over_pools:
            self._share_portions.start()
        self._advice.start()
        if not self._feed.load() or not self._repeat(self._writer.mark_located):
            return
        self._feed.start()
        self._writer_thread.start()
        catalog = self._context.catalog()
        if catalog is None:
            return
        retention_s = self._context.settings.jobs.kept_after_end_s
        scheduler = PoolScheduler(
            self.pool,
            catalog,
            self._links.earlier_leases_until_ms,
            int(retention_s * 1_000) + RETENTION_MARGIN_MS,
            _policy(self._context.settings.scheduling),
            self._limits,
        )
        self._context.hosts.subscribe(self.pool, self.post)
        while self._may_continue():
            self._run_round(scheduler)

    def _subscribe_to_evacuations(self) -> bool:
        return self._context.evacuations.subscribe(self.pool, self.post)

    def _repeat(self, load: Callable[[], bool]) -> bool:
        """Repeats a call until it succeeds; returns False if the conductor must end."""
        while not load():
            if self._writer.is_superseded or not self._may_continue():
                return False
            self._stopping.wait(STORE_RETRY_MS / 1_000)
        return True

    def _may_continue(self) -> bool:
        return not self._stopping.is_set() and self._guard.may_continue()

    def _run_round(self, scheduler: PoolScheduler) -> None:
        """Handles the queued messages, then plans."""
        messages = self._receive()
        for sent in messages:
            message = self._links.receive(sent)
            if message is None:
                continue
            now_ms, wall_ms = clock.steady_ms(), clock.wall_ms()
            if isinstance(message, StartReplied):
                self._record_start_reply(message)
            self._apply_effects(scheduler.handle(message, now_ms, wall_ms))
        since_ms = clock.steady_ms() - self._last_plan_ms
        if since_ms < MIN_PLAN_INTERVAL_MS:
            self._stopping.wait((MIN_PLAN_INTERVAL_MS - since_ms) / 1_000)
        self._last_plan_ms = clock.steady_ms()
        if self._guard.may_order():
            plan = scheduler.plan(clock.steady_ms(), clock.wall_ms())
            self._apply_effects(plan)
        self._stats.record_round(len(messages))
        self._log_activity(scheduler)

    def _record_start_reply(self, reply: StartReplied) -> None:
        self._stats.record_reply(reply)
        if reply.outcome is StartOutcome.WITHHELD:
            self._reports.evacuation.count_unsent_start(reply.hindrance)
        if reply.outcome is not StartOutcome.STARTED:
            self._context.log.event(
                "start-not-confirmed",
                host=reply.host,
                task=str(reply.name),
                run=reply.number,
                outcome=reply.outcome,
                was_repeated=reply.was_repeated,
                hindrance=reply.hindrance,
                term=self._guard.term,
            )

    def _log_activity(self, scheduler: PoolScheduler) -> None:
        """Logs, once a second, what the pool does and how long it takes."""
        for error_ms in scheduler.take_forecast_errors():
            kind = "late" if error_ms > 0 else "early"
            metrics = self._log.metrics
            metrics.record_latency("forecast_error", kind, abs(error_ms))
        summary = self._stats.take_summary(clock.steady_ms())
        if summary is not None:
            sums = asdict(scheduler.activity())
            self._log.event("pool", **sums, **summary)

    def _receive(self) -> list[Message | LinkMessage]:
        try:
            messages = [self._mailbox.get(timeout=MAX_ROUND_INTERVAL_MS / 1_000)]
        except queue.Empty:
            return []
        while not self._mailbox.empty():
            messages.append(self._mailbox.get_nowait())
        return [each for each in messages if not isinstance(each, _Stop)]

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StoreJobs():
                    self._batches.put(effect)
                case RequestAdvice():
                    self._advice.request(effect)
                case ClaimPortion():
                    self._cap_portions.claim(effect)
                case ClaimShare():
                    self._share_portions.claim(effect)
                case StartRun() | StopRun() | PaceRun():
                    self._send_order(effect)
                case AcknowledgeEnds():
                    self._links.acknowledge(effect)
                case WatchHost(info):
                    self._links.open(info)
                case UnwatchHost(host):
                    self._links.close(host)
                case Superseded():
                    self._guard.mark_superseded()
                case _:
                    self._reports.record(effect)

    def _send_order(self, order: HostOrder) -> None:
        if not self._links.has(order.host):
            return
        details: dict[str, object] = {}
        if isinstance(order, StartRun):
            self._stats.record_order(order, clock.steady_ms())
            details["born"] = order.host_born
            if order.prior_crashes:
                details["prior_crashes"] = order.prior_crashes
        self._context.log.event(
            type(order).__name__,
            host=order.host,
            task=str(order.name),
            run=order.number,
            term=self._guard.term,
            **details,
        )
        self._links.order(order)

    def _write(self, batch: StoreJobs) -> bool:
        return self._guard.may_order() and self._writer.write(batch)

    def _write_loop(self) -> None:
        while not self._stopping.is_set():
            batch = self._batches.get()
            if batch is None:
                return
            begun_ms = clock.steady_ms()
            write = partial(self._write, batch)
            is_stored = run_step(self._context.log, "records", write, otherwise=False)
            self._stats.record_batch(batch, clock.steady_ms() - begun_ms)
            if self._writer.is_superseded:
                self._guard.mark_superseded()
            if is_stored:
                self._log.count_unstored(batch.oversized, self._writer.set_apart)
                self.post(BatchStored(batch.batch, self._writer.set_apart))
            else:
                self._stopping.wait(STORE_RETRY_MS / 1_000)
                self.post(BatchNotStored(batch.batch))
