"""The task that conducts one pool under one term."""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.scheduling.advice import RequestAdvice
from ..domain.scheduling.caps import ClaimPortion
from ..domain.scheduling.lease import SLOWEST_CLOCK_RATE, HostLease
from ..domain.scheduling.messages import (
    AcknowledgeEnds,
    BatchNotStored,
    BatchStored,
    CatalogChanged,
    Effect,
    Message,
    PaceRun,
    StartRun,
    StopRun,
    StoreJobs,
    Superseded,
    UnwatchHost,
    WatchHost,
)
from ..domain.scheduling.pool import PoolScheduler
from . import clock
from .advice_keeper import AdviceKeeper
from .cap_keeper import CapKeeper
from .host_link import HostLink
from .job_feed import JobFeed
from .record_writer import RecordWriter
from .times import LEASE_MS, RENEWAL_GRACE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import HostId, PoolName, Term
    from ..domain.jobs.catalog import Catalog
    from .context import Context

TICK_MS = 100
"""Longest time between looks at what is due."""

KEPT_MARGIN_MS = 60_000
"""Ended jobs are kept this much longer than promised: the time of day may jump."""

PLAN_EVERY_MS = 8
"""Shortest time between decisions; each may cost a write, and wakes hosts."""

STORE_RETRY_MS = 100


class TermWatch:
    """Whether a term may still be acted under; safe to use from any thread.

    Args:
        term: The term.
        held: Returns the term that is surely held at this moment.
    """

    def __init__(self, term: Term, held: Callable[[], Term | None]) -> None:
        self.term = term
        self._held = held
        self._last_held_ms = clock.steady_ms()
        self._superseded = threading.Event()

    def may_order(self) -> bool:
        """Returns whether orders may be given now."""
        if self._superseded.is_set() or self._held() != self.term:
            return False
        self._last_held_ms = clock.steady_ms()
        return True

    def may_renew(self) -> bool:
        """Returns whether leases may be renewed now."""
        if self._superseded.is_set():
            return False
        if self.may_order():
            return True
        return clock.steady_ms() - self._last_held_ms < RENEWAL_GRACE_MS

    def supersede(self) -> None:
        """Takes that a higher term is in force."""
        self._superseded.set()


@dataclass(slots=True)
class _Stop:
    """Ends the conductor."""


class PoolConductor:
    """Runs a pool's scheduler and carries out what it asks for.

    Args:
        pool: The pool.
        term: The term.
        held: Returns the term that is surely held at this moment.
        context: What all tasks of the entry share.
    """

    def __init__(
        self,
        pool: PoolName,
        term: Term,
        held: Callable[[], Term | None],
        context: Context,
    ) -> None:
        self.pool = pool
        self._term = TermWatch(term, held)
        self._context = context
        self._lease_ms = min(LEASE_MS, context.settings.hosts.max_lease_ms)
        wait_ms = RENEWAL_GRACE_MS + int(self._lease_ms / SLOWEST_CLOCK_RATE)
        self._unknown_until_ms = clock.steady_ms() + wait_ms
        self._mailbox: queue.SimpleQueue[Message | _Stop] = queue.SimpleQueue()
        self._batches: queue.SimpleQueue[StoreJobs | None] = queue.SimpleQueue()
        self._planned_ms = 0
        self._links: dict[HostId, HostLink] = {}
        self._stopping = threading.Event()
        self._ended = threading.Event()
        self._writer = RecordWriter(pool, term, store=context.store, log=context.log)
        self._caps = CapKeeper(pool, context, self.post, self._term.may_order)
        adviser = context.platform.adviser()
        self._advice = AdviceKeeper(adviser, self.post, context.log)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._writer_thread = threading.Thread(target=self._write_loop, daemon=True)

    def start(self) -> None:
        """Begins to conduct."""
        self._thread.start()

    def stop(self) -> None:
        """Ends soon; runs go on under their leases."""
        self._stopping.set()
        self._batches.put(None)
        self._mailbox.put(_Stop())

    @property
    def is_over(self) -> bool:
        """Returns whether it has ended by itself."""
        return self._ended.is_set()

    def post(self, message: Message) -> None:
        """Queues a message; safe from any thread."""
        self._mailbox.put(message)

    def take_catalog(self, catalog: Catalog) -> None:
        """Takes a version of the configuration."""
        self.post(CatalogChanged(catalog))

    def _run(self) -> None:
        log = self._context.log
        log.event("conducting", pool=self.pool, term=self._term.term)
        try:
            self._conduct()
        except Exception as exc:
            log.event("conductor-fault", pool=self.pool, why=repr(exc))
        finally:
            self._ended.set()
            self._context.hosts.unsubscribe(self.pool, self.post)
            self._caps.stop()
            self._advice.stop()
            for link in self._links.values():
                link.close()
            log.event("conducting-ended", pool=self.pool, term=self._term.term)

    def _conduct(self) -> None:
        while not self._writer.take():
            if self._writer.is_superseded or not self._goes_on():
                return
            self._stopping.wait(STORE_RETRY_MS / 1_000)
        while not self._caps.load():
            if not self._goes_on():
                return
            self._stopping.wait(STORE_RETRY_MS / 1_000)
        self._caps.start()
        self._advice.start()
        feed = JobFeed(self.pool, self._context, self.post, self._goes_on)
        if not feed.load():
            return
        feed.start()
        self._writer_thread.start()
        catalog = self._context.catalog()
        if catalog is None:
            return
        kept_s = self._context.settings.jobs.kept_after_end_s
        scheduler = PoolScheduler(
            self.pool,
            catalog,
            self._unknown_until_ms,
            int(kept_s * 1_000) + KEPT_MARGIN_MS,
        )
        self._context.hosts.subscribe(self.pool, self.post)
        while self._goes_on():
            self._round(scheduler)

    def _goes_on(self) -> bool:
        return not self._stopping.is_set() and self._term.may_renew()

    def _round(self, scheduler: PoolScheduler) -> None:
        """Handles what has come, then decides."""
        for message in self._messages():
            now_ms, wall_ms = clock.steady_ms(), clock.wall_ms()
            self._carry_out(scheduler.handle(message, now_ms, wall_ms))
        since_ms = clock.steady_ms() - self._planned_ms
        if since_ms < PLAN_EVERY_MS:
            self._stopping.wait((PLAN_EVERY_MS - since_ms) / 1_000)
        self._planned_ms = clock.steady_ms()
        if self._term.may_order():
            plan = scheduler.plan(clock.steady_ms(), clock.wall_ms())
            self._carry_out(plan)

    def _messages(self) -> list[Message]:
        try:
            messages = [self._mailbox.get(timeout=TICK_MS / 1_000)]
        except queue.Empty:
            return []
        while not self._mailbox.empty():
            messages.append(self._mailbox.get_nowait())
        return [each for each in messages if not isinstance(each, _Stop)]

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StoreJobs():
                    self._batches.put(effect)
                case RequestAdvice():
                    self._advice.ask(effect)
                case ClaimPortion():
                    self._caps.claim(effect)
                case StartRun() | StopRun() | PaceRun():
                    self._order(effect)
                case AcknowledgeEnds(host, born, sequence):
                    if host in self._links:
                        self._links[host].acknowledge(born, sequence)
                case WatchHost(info):
                    self._watch(info.id, effect)
                case UnwatchHost(host):
                    self._forget(host)
                case Superseded():
                    self._term.supersede()

    def _order(self, order: StartRun | StopRun | PaceRun) -> None:
        link = self._links.get(order.host)
        if link is not None:
            self._context.log.event(
                type(order).__name__,
                host=order.host,
                task=str(order.name),
                run=order.number,
                term=self._term.term,
            )
            link.order(order)

    def _watch(self, host: HostId, effect: WatchHost) -> None:
        self._forget(host)
        lease = HostLease(
            lease_ms=self._lease_ms,
            max_lease_ms=self._context.settings.hosts.max_lease_ms,
            earlier_leases_until_ms=self._unknown_until_ms,
        )
        link = HostLink(
            effect.info,
            orders=self._context.platform.orders_to(effect.info, self._term.term),
            lease=lease,
            term=self._term,
            post=self.post,
            log=self._context.log,
        )
        self._links[host] = link
        link.start()

    def _forget(self, host: HostId) -> None:
        link = self._links.pop(host, None)
        if link is not None:
            link.close()

    def _write_loop(self) -> None:
        while not self._stopping.is_set():
            batch = self._batches.get()
            if batch is None:
                return
            is_stored = self._term.may_order() and self._writer.write(batch)
            if self._writer.is_superseded:
                self._term.supersede()
            if is_stored:
                self.post(BatchStored(batch.batch))
            else:
                self._stopping.wait(STORE_RETRY_MS / 1_000)
                self.post(BatchNotStored(batch.batch))
