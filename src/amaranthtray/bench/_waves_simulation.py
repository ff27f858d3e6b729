"""Simulates conductors over a fleet of stand-in hosts, with faults between them.

Hosts, store and network are stand-ins; the conductor is the production code.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from ..domain.budgets import OutageLedger
from ..domain.ids import HostId, Millis, Term
from ..domain.invariants import OutCause
from ..domain.waves import (
    CasLedger,
    Conductor,
    ConductorMessage,
    ConductorSettings,
    DutyGained,
    DutyRenewed,
    HealthChanged,
    HealthListed,
    LedgerRead,
    LedgerSwapped,
    MovesCommitted,
    OrderDropped,
    ReadLedger,
    StepDown,
    StoreCallFailed,
    SwapConflict,
    SwapOutcomeUnknown,
    Tick,
    ViewChanged,
)
from ._waves_clock import VirtualClock
from ._waves_fleet import HostDurations, SimulatedFleet

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from ..domain.configuration import Configuration
    from ..domain.ids import PoolName
    from ..domain.inventory import Host
    from ..domain.placement import PoolView
    from ..domain.waves import ConductorEffect
    from ._waves_fleet import Order
    from ._waves_hosts import HostReport

BUDGET_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Delays and probabilities of faults.

    Attributes:
        call_ms: Range of the round-trip time of a store call or an order.
        view_ms: Range of the delay until a new view or a host's health arrives.
        lease_ms: Duration of the lease of a duty.
        tick_ms: Time between ticks of a holder.
        lost_reply_probability: That a write takes effect and its reply is lost.
        late_write_probability: That a write takes effect only seconds later.
        late_order_probability: That an order is executed late without a check.
        duplicate_report_probability: That a report arrives twice.
    """

    call_ms: tuple[int, int] = (2, 8)
    view_ms: tuple[int, int] = (10, 200)
    lease_ms: int = 10_000
    tick_ms: int = 5_000
    lost_reply_probability: float = 0.0
    late_write_probability: float = 0.0
    late_order_probability: float = 0.0
    duplicate_report_probability: float = 0.0


@dataclass(slots=True)
class Holder:
    """An entry that holds, or believes that it holds, a conductor's duty."""

    conductor: Conductor
    term: Term
    lease_until_ms: int
    paused_until_ms: int = 0
    is_dead: bool = False
    wall_clock_offset_ms: int = 0
    inbox: list[ConductorMessage] = field(default_factory=list)
    known_outages: dict[HostId, OutCause] = field(default_factory=dict)

    @property
    def pool(self) -> PoolName:
        """Returns the pool whose conductor it runs."""
        return self.conductor.pool


class WavesSimulation:
    """A fleet and the conductors of its pools, on one virtual clock."""

    def __init__(
        self,
        cfg: Configuration,
        hosts: Iterable[Host],
        durations: dict[HostId, HostDurations],
        *,
        rng: random.Random,
        settings: SimulationSettings | None = None,
        conductor_settings: ConductorSettings | None = None,
    ) -> None:
        self.rng = rng
        self.settings = settings if settings is not None else SimulationSettings()
        self.conductor_settings = (
            conductor_settings
            if conductor_settings is not None
            else ConductorSettings()
        )
        self.clock = VirtualClock()
        self.fleet = SimulatedFleet(self.clock, cfg, hosts, durations)
        self.fleet.on_report = self._broadcast_report
        self.fleet.on_views = self._broadcast_views
        self.fleet.on_health = self._broadcast_health
        self.store_unavailable_until_ms = 0
        self.holders: dict[PoolName, list[Holder]] = {}
        self._terms = itertools.count(1)
        for pool in self.fleet.views:
            self.holders[pool] = []
            self.start_holder(pool)

    @property
    def now_ms(self) -> int:
        """Returns the time of the virtual clock."""
        return self.clock.now_ms

    def _is_store_unavailable(self) -> bool:
        return self.now_ms < self.store_unavailable_until_ms

    def start_holder(self, pool: PoolName) -> Holder:
        """Grants the duty to a new holder with the next term."""
        term = Term(next(self._terms))
        lease_until_ms = self.now_ms + self.settings.lease_ms
        holder = Holder(Conductor(pool, self.conductor_settings), term, lease_until_ms)
        self.holders[pool].append(holder)
        self.deliver(holder, DutyGained(term, Millis(lease_until_ms)))
        self.deliver(holder, ViewChanged(self.fleet.views[pool]))
        self.deliver(holder, HealthListed(dict(self.fleet.failed_hosts)))
        self.clock.after(self.settings.lease_ms // 3, partial(self._renew, holder))
        self.clock.after(self.settings.tick_ms, partial(self._tick, holder))
        return holder

    def _renew(self, holder: Holder) -> None:
        """Renews a lease, or starts the next holder if the lease has expired."""
        if self.holders[holder.pool][-1] is not holder:
            return
        is_paused = self.now_ms < holder.paused_until_ms
        is_lease_expired = self.now_ms >= holder.lease_until_ms
        if is_lease_expired and not self._is_store_unavailable():
            self.start_holder(holder.pool)
            return
        can_renew = not (is_paused or holder.is_dead or self._is_store_unavailable())
        if not is_lease_expired and can_renew:
            holder.lease_until_ms = self.now_ms + self.settings.lease_ms
            self.deliver(
                holder, DutyRenewed(holder.term, Millis(holder.lease_until_ms))
            )
        self.clock.after(self.settings.lease_ms // 3, partial(self._renew, holder))

    def _tick(self, holder: Holder) -> None:
        if holder.is_dead:
            return
        if self.now_ms >= holder.paused_until_ms:
            self.deliver(holder, Tick())
        if self.holders[holder.pool][-1] is holder:
            self.clock.after(self.settings.tick_ms, partial(self._tick, holder))

    def pause(self, holder: Holder, length_ms: int) -> None:
        """Pauses a holder; messages wait until the pause ends."""
        holder.paused_until_ms = max(holder.paused_until_ms, self.now_ms + length_ms)
        self.clock.after(length_ms, partial(self._wake, holder))

    def _wake(self, holder: Holder) -> None:
        if self.now_ms < holder.paused_until_ms:
            return
        inbox, holder.inbox = holder.inbox, []
        for message in inbox:
            self.deliver(holder, message)

    def deliver(self, holder: Holder, message: ConductorMessage) -> None:
        """Passes a message to a holder's conductor and executes the effects."""
        if holder.is_dead:
            return
        if self.now_ms < holder.paused_until_ms:
            holder.inbox.append(message)
            return
        _record_outages(holder, message)
        holder.conductor, effects = holder.conductor.step(
            message,
            now_ms=Millis(self.now_ms),
            wall_ms=self.now_ms + holder.wall_clock_offset_ms,
        )
        for effect in effects:
            self._execute(holder, effect)

    def _execute(self, holder: Holder, effect: ConductorEffect) -> None:
        delay_ms = self.rng.randint(*self.settings.call_ms)
        match effect:
            case ReadLedger():
                self.clock.after(delay_ms, partial(self._read, holder, effect))
            case CasLedger():
                self._send_write(holder, effect, delay_ms)
            case StepDown():
                pass
            case _:
                self._send_order(holder, effect, delay_ms)

    def _read(self, holder: Holder, effect: ReadLedger) -> None:
        if self._is_store_unavailable():
            self.deliver(holder, StoreCallFailed(effect.op_id))
            return
        ledger, version = self.fleet.store.read(effect.pool)
        self.deliver(holder, LedgerRead(effect.op_id, ledger, version))

    def _send_write(self, holder: Holder, effect: CasLedger, delay_ms: int) -> None:
        view, op_id = holder.conductor.view, effect.fence.op_id
        if view is None:
            raise AssertionError("a conductor wrote without a view")
        known_outages = self._unrecorded_outages(holder, view)
        draw = self.rng.random()
        is_late = draw < self.settings.late_write_probability
        is_lost = (
            draw
            < self.settings.late_write_probability
            + self.settings.lost_reply_probability
        )
        replies: list[ConductorMessage] = []

        def write() -> None:
            replies.append(self._write(effect, known_outages, view))

        def reply() -> None:
            is_reply_received = replies and not is_lost
            self.deliver(
                holder, replies[0] if is_reply_received else SwapOutcomeUnknown(op_id)
            )

        late_ms = self.rng.randint(1_000, 20_000) if is_late else 0
        self.clock.after(delay_ms // 2 + late_ms, write)
        self.clock.after(2_000 if is_lost else delay_ms, reply)

    def _write(
        self, effect: CasLedger, known_outages: dict[HostId, OutCause], view: PoolView
    ) -> ConductorMessage:
        op_id = effect.fence.op_id
        if self._is_store_unavailable():
            return StoreCallFailed(op_id)
        if self.fleet.store.compare_and_swap(
            effect, known_outages, view.budget, self.now_ms
        ):
            return LedgerSwapped(op_id, effect.version + 1)
        ledger, version = self.fleet.store.read(effect.ledger.pool)
        return SwapConflict(op_id, ledger, version)

    def _unrecorded_outages(
        self, holder: Holder, view: PoolView
    ) -> dict[HostId, OutCause]:
        """Returns outages that the holder knows of and the ledger does not list yet."""
        known_outages = dict(holder.known_outages)
        for host, member in view.members.items():
            if member.is_missing:
                known_outages[host] = OutCause.UNKNOWN
        ledger = self.fleet.ledgers.get(view.pool, OutageLedger(view.pool))
        return {
            host: cause
            for host, cause in known_outages.items()
            if host in view.members
            and self.fleet.cfg.pool_of(host) == view.pool
            and host not in ledger.out
        }

    def _send_order(self, holder: Holder, order: Order, delay_ms: int) -> None:
        if self.rng.random() < self.settings.late_order_probability:
            delay_ms += self.rng.randint(1_000, 30_000)
            self.clock.after(delay_ms, partial(self.fleet.execute_order, order))
        else:
            self.clock.after(delay_ms, partial(self._deliver_order, holder, order))

    def _deliver_order(self, holder: Holder, order: Order) -> None:
        if holder.is_dead:
            return
        wait_ms = holder.paused_until_ms - self.now_ms
        if wait_ms > 0:
            self.clock.after(wait_ms, partial(self._deliver_order, holder, order))
        elif self.now_ms > order.fence.not_after_ms:
            self.deliver(holder, OrderDropped())
        else:
            self.fleet.execute_order(order)

    def _broadcast_report(self, report: HostReport | MovesCommitted) -> None:
        """Sends a report to the holders of the pool that gave the order."""
        is_duplicated = self.rng.random() < self.settings.duplicate_report_probability
        for holder in self._live_holders():
            if not report.op_id.startswith(f"{holder.pool}-"):
                continue
            for _ in range(2 if is_duplicated else 1):
                delay_ms = self.rng.randint(*self.settings.call_ms)
                self.clock.after(delay_ms, partial(self.deliver, holder, report))

    def _broadcast_health(self, host: HostId, cause: OutCause | None) -> None:
        message = HealthChanged(host, cause)
        for holder in self._live_holders():
            delay_ms = self.rng.randint(*self.settings.view_ms)
            self.clock.after(delay_ms, partial(self.deliver, holder, message))

    def _broadcast_views(self) -> None:
        for holder in self._live_holders():
            view = self.fleet.views[holder.pool]
            delay_ms = self.rng.randint(*self.settings.view_ms)
            self.clock.after(delay_ms, partial(self._deliver_view, holder, view))

    def _deliver_view(self, holder: Holder, view: PoolView) -> None:
        self.deliver(holder, ViewChanged(view))
        self._apply_lowered_budget(view.pool)

    def _apply_lowered_budget(self, pool: PoolName) -> None:
        """Applies a lower budget once the writer uses it and others are fenced.

        A writer with an equal budget of an earlier revision may still read those in
        between, one of which may be higher.
        """
        view = self.fleet.views[pool]
        holder = self.holders[pool][-1]
        conductor = holder.conductor
        is_applied = (
            conductor.view is not None
            and conductor.view.revision >= view.revision
            and conductor.is_ledger_current
            and not holder.inbox
        )
        if is_applied:
            self.fleet.apply_budget(pool, view.budget.max_out)
        else:
            self.clock.after(BUDGET_RETRY_MS, partial(self._apply_lowered_budget, pool))

    def _live_holders(self) -> list[Holder]:
        return [
            holder
            for holders in self.holders.values()
            for holder in holders[-3:]
            if not holder.is_dead
        ]


def _record_outages(holder: Holder, message: ConductorMessage) -> None:
    match message:
        case HealthListed(causes):
            holder.known_outages = dict(causes)
        case HealthChanged(host, None):
            holder.known_outages.pop(host, None)
        case HealthChanged(host, cause) if cause is not None:
            holder.known_outages[host] = cause
