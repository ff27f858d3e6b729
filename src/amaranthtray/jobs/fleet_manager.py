"""The task that maintains and moves machines, at one entry at a time."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.duties.names import FLEET_DUTY
from ..domain.ids import HostId, PoolName, WaveName
from ..domain.upkeep.model import MachineName
from ..domain.upkeep.outage import MachineOutage
from ..domain.upkeep.recent import RecentOrders
from ..domain.upkeep.waves import (
    Fleet,
    handle_reply,
    hosts_going_down,
    new_wave,
    plan_wave,
    record_order,
)
from ..store.contract import Put
from ..store.cursor import WatchCursor
from . import keys
from .clock import steady_ms, wall_ms
from .demand_recorder import DemandRecorder
from .fenced_ledger import FencedLedger, FleetLedger
from .ledger import decode_report
from .machine_mover import MachineMover
from .steps import run_step
from .term_guard import TermGuard
from .times import WATCH_MS
from .vacate_requests import VacateRequests
from .wave_progress import encode_progress, restore_progress

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..domain.ids import Term
    from ..domain.scheduling.messages import Message
    from ..domain.upkeep.model import Machine, MachineOrder, Wave
    from .context import JobEntryContext
    from .ports import MachineService

ROUND_INTERVAL_MS = 200
"""Pause between rounds, which read the machines and the reports of pools."""

RETRY_MS = 50
"""Pause before a new holder retries a failed takeover."""

HANDOVER_MARGIN_MS = 500
"""Added to the platform's minimum time between orders of two holders."""


class FleetManager:
    """Carries out maintenance waves and machine moves under one term.

    Args:
        term: Term of the holder.
        held_term: Returns the term that is certainly held now; None if there is none.
        context: Objects that all tasks of the entry share.
        is_conducted: Returns whether a pool may have a conductor.
    """

    def __init__(
        self,
        term: Term,
        held_term: Callable[[], Term | None],
        context: JobEntryContext,
        is_conducted: Callable[[PoolName], bool] = lambda pool: True,
    ) -> None:
        self._term = term
        self._guard = TermGuard(term, held_term)
        self._context = context
        self._stopping = threading.Event()
        self._ended = threading.Event()
        self._gaps = self._known_gaps = 0
        self._waves: dict[str, Wave] = {}
        self._saved_progress: dict[str, bytes] = {}
        self._vacating = VacateRequests(context.store, context.log, self._commit)
        self._outage = MachineOutage()
        self._cursor = WatchCursor(0)
        machines = context.settings.machines
        change_ms = machines.holder_change_ms if machines else 0
        self._recent_orders = RecentOrders(change_ms + HANDOVER_MARGIN_MS)
        self._ledger = FencedLedger(
            keys.FLEET_LEDGER_KEY, term, store=context.store, log=context.log
        )
        self._demand: DemandRecorder | None = None
        if context.settings.scheduling.forecast_demand:
            self._demand = DemandRecorder(term, context, is_conducted)
        self._mover = MachineMover(
            term,
            context,
            recent_orders=self._recent_orders,
            record_orders=lambda: self._commit(()),
            may_order=self._may_order,
            demand=self._demand,
        )
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def resume(self) -> None:
        """Lets no order follow from what was read before now."""
        self._gaps += 1

    def stop(self) -> None:
        """Ends the task after the order in progress."""
        self._stopping.set()

    @property
    def machines_held(self) -> int:
        """Returns the number of machines that are held for expected peaks."""
        if self._demand is None or self._stopping.is_set() or self.is_over:
            return 0
        return self._demand.expectations.held

    @property
    def is_over(self) -> bool:
        """Returns whether the task has ended, by ``stop`` or by itself."""
        return self._ended.is_set()

    def _may_continue(self) -> bool:
        return self._guard.may_continue() and not self._must_end()

    def _may_order(self) -> bool:
        is_held = self._guard.may_order() and self._gaps == self._known_gaps
        return is_held and not self._must_end()

    def _must_end(self) -> bool:
        return self._stopping.is_set() or self._ledger.is_superseded

    def _run(self) -> None:
        log, evacuations = self._context.log, self._context.evacuations
        try:
            self._manage()
        except Exception as exc:
            log.event("fleet-fault", why=repr(exc), term=self._term)
        finally:
            self._ended.set()
            self._mover.close()
            evacuations.unsubscribe(FLEET_DUTY, self._ignore)

    def _manage(self) -> None:
        service = self._context.platform.machine_service(self._term)
        if service is None:
            self._stopping.wait()
            return
        log = self._context.log
        while self._may_continue() and not run_step(
            log, "fleet", self.take_over, otherwise=False
        ):
            self._stopping.wait(RETRY_MS / 1_000)
        threading.Thread(target=self._follow_waves, daemon=True).start()
        while self._may_continue():
            try:
                self._run_round(service)
            except Exception as exc:
                log.event("fleet-fault", why=repr(exc), term=self._term)
            self._stopping.wait(ROUND_INTERVAL_MS / 1_000)
        service.close()

    def _run_round(self, service: MachineService) -> None:
        """Runs a step unless the term or what is known isn't certain now."""
        if self._guard.may_order() and self._read_after_gap():
            self.step(service)

    def _read_after_gap(self) -> bool:
        """Reads anew what rounds don't, once after each gap; False if it is not read.

        Nobody else had the duty in the gap, so this holder's own state is up to date.
        """
        gaps = self._gaps
        if gaps == self._known_gaps:
            return True
        is_read = self._commit(()) and self._list() and self._follow_evacuations()
        if is_read:
            self._known_gaps = gaps
        return is_read

    def take_over(self) -> bool:
        """Fences off older terms and reads the state that they stored; repeatable."""
        is_loaded = (
            self._fence_older_terms()
            and self._list()
            and (self._demand is None or self._demand.load())
        )
        return is_loaded and self._follow_evacuations()

    def _follow_evacuations(self) -> bool:
        return self._context.evacuations.subscribe(FLEET_DUTY, self._ignore)

    def _ignore(self, message: Message) -> None:
        """Ignores changes of the evacuated zones, which each round reads."""

    def _fence_older_terms(self) -> bool:
        """Fences off writes of older terms and reads their recent orders."""
        if not self._ledger.is_loaded:
            last = self._ledger.load(FleetLedger())
            if last is None:
                return False
            self._recent_orders.inherit(last.ordered, steady_ms())
        return self._commit(())

    def _commit(self, puts: Iterable[Put]) -> bool:
        """Writes under the term, with the orders that a next holder must wait for."""
        ledger = FleetLedger(ordered=self._recent_orders.names(steady_ms()))
        return self._ledger.commit(ledger, puts)

    def _list(self) -> bool:
        """Reads all waves and the progress that earlier holders made."""
        store = self._context.store
        waves = store.list(self._context.platform.waves_prefix)
        progress = store.list(keys.WAVE_PROGRESS_PREFIX)
        if not isinstance(waves, Success) or not isinstance(progress, Success):
            return False
        progress_by_key = {item.key: item.value for item in progress.unwrap().items}
        for item in waves.unwrap().items:
            self._add_wave(item.value, progress_by_key)
        catalog = self._context.catalog()
        if not self._vacating.load(catalog.pools if catalog else ()):
            return False
        self._cursor = WatchCursor(waves.unwrap().at_version)
        return True

    def _add_wave(self, value: bytes, progress: dict[str, bytes]) -> None:
        try:
            request = self._context.platform.decode_wave(value)
        except msgspec.MsgspecError as exc:
            self._context.log.event("wave-unreadable", why=str(exc))
            return
        name = str(request.number)
        if name in self._waves:
            return
        wave = new_wave(request, steady_ms(), wall_ms())
        stored = progress.get(keys.wave_progress_key(WaveName(name)))
        if stored is not None:
            restore_progress(wave, stored, steady_ms(), wall_ms())
            self._saved_progress[name] = stored
        if self._waves.setdefault(name, wave) is not wave:
            return
        self._context.log.event(
            "wave",
            number=request.number,
            machines=len(request.machines),
            cap=request.cap,
        )

    def _follow_waves(self) -> None:
        while self._may_continue():
            if not run_step(
                self._context.log, "waves", self._await_wave, otherwise=False
            ):
                self._stopping.wait(ROUND_INTERVAL_MS / 1_000)

    def _await_wave(self) -> bool:
        """Waits for new waves once; returns whether it read."""
        watched = self._context.store.watch(
            self._context.platform.waves_prefix,
            after_version=self._cursor.version,
            timeout_ms=WATCH_MS,
        )
        if not isinstance(watched, Success):
            self._stopping.wait(ROUND_INTERVAL_MS / 1_000)
            return self._list()
        for event in watched.unwrap().events:
            if event.value is not None:
                self._add_wave(event.value, {})
        self._cursor.advance(watched.unwrap(), steady_ms())
        return True

    def step(self, service: MachineService) -> None:
        """Reads the machines and reports once and sends the orders that are due."""
        listed = self._context.store.list(keys.REPORTS_PREFIX)
        # Read after the reports, as a machine may have another host since.
        by_name = self._read_machines(service)
        if by_name is None or not isinstance(listed, Success):
            return
        reports = {
            keys.pool_of_report(item.key): decode_report(item.value)
            for item in listed.unwrap().items
        }
        fleet = Fleet(by_name, self._vacating.vacant(reports))
        busy = set(self._recent_orders.in_quiet_period(steady_ms()))
        vacate = self._vacating.hosts_of(busy, fleet)
        for name, wave in list(self._waves.items()):
            if wave.is_over:
                continue
            plan = plan_wave(wave, fleet, steady_ms())
            busy |= {*wave.down, *wave.selected_machines}
            for pool, host in plan.vacate:
                vacate[pool].add(host)
            for pool, host in hosts_going_down(wave, fleet):
                vacate[pool].add(host)
            if self._save_progress(name, wave):
                for order in plan.orders:
                    if order.machine not in self._recent_orders.in_quiet_period(
                        steady_ms()
                    ):
                        machine = fleet.machines[order.machine]
                        self._order_maintenance(name, wave, machine, order, service)
        loads = {pool: report.load for pool, report in reports.items()}
        if self._demand is not None:
            self._demand.follow_reports(listed.unwrap().items)
        evacuated = self._context.evacuations.zones
        for pool, host in self._mover.step(
            fleet, loads, frozenset(busy), service, evacuated
        ):
            vacate[pool].add(host)
        self._store_round(vacate)

    def _read_machines(
        self, service: MachineService
    ) -> dict[MachineName, Machine] | None:
        """Returns the machines; releases emptied hosts if they can't be read."""
        log = self._context.log
        machines = run_step(log, "machines", service.machines, otherwise=None)
        now_ms = steady_ms()
        if machines is not None:
            by_name = {each.name: each for each in machines}
            if self._outage.record_read(by_name):
                log.event("machines-read-again", term=self._term)
            return by_name
        if self._outage.record_failure(now_ms):
            self._context.metrics.count("machine_service_outages")
            log.event("machines-not-read", term=self._term)
        if self._outage.is_long and not self._recent_orders.in_quiet_period(now_ms):
            recent = map(MachineName, self._recent_orders.names(now_ms))
            ordered = {*recent, *self._mover.moving}
            kept = self._outage.hosts_to_keep(self._waves.values(), ordered)
            self._vacating.retain(kept)
        return None

    def _store_round(self, vacate: dict[PoolName, set[HostId]]) -> None:
        """Stores the hosts to empty and, if they are due, the peaks of the pools."""
        self._vacating.request(vacate)
        if self._demand is not None:
            self._demand.store(self._commit)

    def _order_maintenance(
        self,
        name: str,
        wave: Wave,
        machine: Machine,
        order: MachineOrder,
        service: MachineService,
    ) -> None:
        is_repeated = machine.name in wave.down
        record_order(wave, machine, steady_ms())
        self._recent_orders.record((machine.name,), steady_ms())
        # A repeated order leaves the progress as it is, but is recorded again.
        is_recorded = self._save_progress(name, wave) and (
            not is_repeated or self._commit(())
        )
        checked_ms = steady_ms()
        if not is_recorded or not self._may_order():
            return
        outcome = service.order(order)
        self._context.log.event(
            "maintain",
            machine=machine.name,
            host=machine.host,
            pool=machine.pool,
            wave=name,
            outcome=outcome,
            since_check_ms=steady_ms() - checked_ms,
            term=self._term,
        )
        handle_reply(wave, machine.name, outcome)

    def _save_progress(self, name: str, wave: Wave) -> bool:
        """Stores progress and the operator's status; returns whether that succeeded."""
        is_over = not wave.left and not wave.down
        value = encode_progress(wave, is_over=is_over)
        if value == self._saved_progress.get(name):
            return True
        puts = [Put(keys.wave_progress_key(WaveName(name)), value)]
        if is_over or not wave.is_announced:
            status = self._context.platform.encode_wave_status(
                wave.request.number, is_over=is_over
            )
            puts.append(Put(*status))
        if not self._commit(puts):
            return False
        self._saved_progress[name] = value
        wave.is_announced, wave.is_over = True, is_over
        return True
