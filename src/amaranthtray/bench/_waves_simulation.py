"""Holders of conductors' duties over a stand-in fleet, with faults between them.

Only the ends are stand-ins: every decision is the conductor's own.
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
from ._waves_fleet import Durations, Fleet

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

BIND_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Delays and chances of faults.

    Attributes:
        call_ms: Range of a store call or an order, there and back.
        view_ms: Range of the delay of a new view or of a host's health.
        lease_ms: Lease of a duty.
        tick_ms: Time between ticks of a holder.
        lost_reply: Chance that a write takes effect and its reply is lost.
        late_write: Chance that a write takes effect only much later.
        late_order: Chance that an order is carried out late without a check.
        doubled_report: Chance that a report arrives twice.
    """

    call_ms: tuple[int, int] = (2, 8)
    view_ms: tuple[int, int] = (10, 200)
    lease_ms: int = 10_000
    tick_ms: int = 5_000
    lost_reply: float = 0.0
    late_write: float = 0.0
    late_order: float = 0.0
    doubled_report: float = 0.0


@dataclass(slots=True)
class Holder:
    """An entry that holds, or believes that it holds, a conductor's duty."""

    conductor: Conductor
    term: Term
    until_ms: int
    paused_until_ms: int = 0
    is_dead: bool = False
    wall_shift_ms: int = 0
    inbox: list[ConductorMessage] = field(default_factory=list)
    known_out: dict[HostId, OutCause] = field(default_factory=dict)

    @property
    def pool(self) -> PoolName:
        """Returns the pool that it conducts."""
        return self.conductor.pool


class WavesSimulation:
    """A fleet and the conductors of its pools, on one virtual clock."""

    def __init__(
        self,
        cfg: Configuration,
        hosts: Iterable[Host],
        durations: dict[HostId, Durations],
        *,
        rng: random.Random,
        settings: SimulationSettings | None = None,
        conducting: ConductorSettings | None = None,
    ) -> None:
        self.rng = rng
        self.settings = settings if settings is not None else SimulationSettings()
        self.conducting = conducting if conducting is not None else ConductorSettings()
        self.clock = VirtualClock()
        self.fleet = Fleet(self.clock, cfg, hosts, durations)
        self.fleet.on_report = self._spread_report
        self.fleet.on_views = self._spread_views
        self.fleet.on_health = self._spread_health
        self.store_away_until_ms = 0
        self.holders: dict[PoolName, list[Holder]] = {}
        self._terms = itertools.count(1)
        for pool in self.fleet.views:
            self.holders[pool] = []
            self.appoint(pool)

    @property
    def now_ms(self) -> int:
        """Returns the time of the virtual clock."""
        return self.clock.now_ms

    def _is_away(self) -> bool:
        return self.now_ms < self.store_away_until_ms

    def appoint(self, pool: PoolName) -> Holder:
        """Gives the duty to a new holder with the next term."""
        term = Term(next(self._terms))
        until_ms = self.now_ms + self.settings.lease_ms
        holder = Holder(Conductor(pool, self.conducting), term, until_ms)
        self.holders[pool].append(holder)
        self.deliver(holder, DutyGained(term, Millis(until_ms)))
        self.deliver(holder, ViewChanged(self.fleet.views[pool]))
        self.deliver(holder, HealthListed(dict(self.fleet.failed)))
        self.clock.after(self.settings.lease_ms // 3, partial(self._renew, holder))
        self.clock.after(self.settings.tick_ms, partial(self._tick, holder))
        return holder

    def _renew(self, holder: Holder) -> None:
        """Renews a lease, or appoints the next holder when it has run out."""
        if self.holders[holder.pool][-1] is not holder:
            return
        is_paused = self.now_ms < holder.paused_until_ms
        has_lapsed = self.now_ms >= holder.until_ms
        if has_lapsed and not self._is_away():
            self.appoint(holder.pool)
            return
        is_able = not (is_paused or holder.is_dead or self._is_away())
        if not has_lapsed and is_able:
            holder.until_ms = self.now_ms + self.settings.lease_ms
            self.deliver(holder, DutyRenewed(holder.term, Millis(holder.until_ms)))
        self.clock.after(self.settings.lease_ms // 3, partial(self._renew, holder))

    def _tick(self, holder: Holder) -> None:
        if holder.is_dead:
            return
        if self.now_ms >= holder.paused_until_ms:
            self.deliver(holder, Tick())
        if self.holders[holder.pool][-1] is holder:
            self.clock.after(self.settings.tick_ms, partial(self._tick, holder))

    def pause(self, holder: Holder, length_ms: int) -> None:
        """Stops a holder; what happens meanwhile reaches it when it wakes."""
        holder.paused_until_ms = max(holder.paused_until_ms, self.now_ms + length_ms)
        self.clock.after(length_ms, partial(self._wake, holder))

    def _wake(self, holder: Holder) -> None:
        if self.now_ms < holder.paused_until_ms:
            return
        inbox, holder.inbox = holder.inbox, []
        for message in inbox:
            self.deliver(holder, message)

    def deliver(self, holder: Holder, message: ConductorMessage) -> None:
        """Gives a message to a holder and carries out the effects."""
        if holder.is_dead:
            return
        if self.now_ms < holder.paused_until_ms:
            holder.inbox.append(message)
            return
        _learn(holder, message)
        holder.conductor, effects = holder.conductor.step(
            message,
            now_ms=Millis(self.now_ms),
            wall_ms=self.now_ms + holder.wall_shift_ms,
        )
        for effect in effects:
            self._carry_out(holder, effect)

    def _carry_out(self, holder: Holder, effect: ConductorEffect) -> None:
        delay_ms = self.rng.randint(*self.settings.call_ms)
        match effect:
            case ReadLedger():
                self.clock.after(delay_ms, partial(self._read, holder, effect))
            case CasLedger():
                self._send_swap(holder, effect, delay_ms)
            case StepDown():
                pass
            case _:
                self._send_order(holder, effect, delay_ms)

    def _read(self, holder: Holder, effect: ReadLedger) -> None:
        if self._is_away():
            self.deliver(holder, StoreCallFailed(effect.op_id))
            return
        ledger, version = self.fleet.store.read(effect.pool)
        self.deliver(holder, LedgerRead(effect.op_id, ledger, version))

    def _send_swap(self, holder: Holder, effect: CasLedger, delay_ms: int) -> None:
        view, op_id = holder.conductor.view, effect.fence.op_id
        if view is None:
            raise AssertionError("a conductor wrote without a view")
        known = self._known_out(holder, view)
        chance = self.rng.random()
        is_late = chance < self.settings.late_write
        is_lost = chance < self.settings.late_write + self.settings.lost_reply
        replies: list[ConductorMessage] = []

        def act() -> None:
            replies.append(self._swap(effect, known, view))

        def answer() -> None:
            is_heard = replies and not is_lost
            self.deliver(holder, replies[0] if is_heard else SwapOutcomeUnknown(op_id))

        late_ms = self.rng.randint(1_000, 20_000) if is_late else 0
        self.clock.after(delay_ms // 2 + late_ms, act)
        self.clock.after(2_000 if is_lost else delay_ms, answer)

    def _swap(
        self, effect: CasLedger, known: dict[HostId, OutCause], view: PoolView
    ) -> ConductorMessage:
        op_id = effect.fence.op_id
        if self._is_away():
            return StoreCallFailed(op_id)
        if self.fleet.store.swap(effect, known, view.budget, self.now_ms):
            return LedgerSwapped(op_id, effect.version + 1)
        ledger, version = self.fleet.store.read(effect.ledger.pool)
        return SwapConflict(op_id, ledger, version)

    def _known_out(self, holder: Holder, view: PoolView) -> dict[HostId, OutCause]:
        """Returns hosts that the holder was told of and the ledger lacks so far."""
        known = dict(holder.known_out)
        for host, member in view.members.items():
            if member.is_missing:
                known[host] = OutCause.UNKNOWN
        ledger = self.fleet.ledgers.get(view.pool, OutageLedger(view.pool))
        return {
            host: cause
            for host, cause in known.items()
            if host in view.members
            and self.fleet.cfg.pool_of(host) == view.pool
            and host not in ledger.out
        }

    def _send_order(self, holder: Holder, order: Order, delay_ms: int) -> None:
        if self.rng.random() < self.settings.late_order:
            delay_ms += self.rng.randint(1_000, 30_000)
            self.clock.after(delay_ms, partial(self.fleet.obey, order))
        else:
            self.clock.after(delay_ms, partial(self._check_order, holder, order))

    def _check_order(self, holder: Holder, order: Order) -> None:
        if holder.is_dead:
            return
        wait_ms = holder.paused_until_ms - self.now_ms
        if wait_ms > 0:
            self.clock.after(wait_ms, partial(self._check_order, holder, order))
        elif self.now_ms > order.fence.not_after_ms:
            self.deliver(holder, OrderDropped())
        else:
            self.fleet.obey(order)

    def _spread_report(self, report: HostReport | MovesCommitted) -> None:
        """Reports go to the conductors of the pool whose order it was."""
        is_doubled = self.rng.random() < self.settings.doubled_report
        for holder in self._alive():
            if not report.op_id.startswith(f"{holder.pool}-"):
                continue
            for _ in range(2 if is_doubled else 1):
                delay_ms = self.rng.randint(*self.settings.call_ms)
                self.clock.after(delay_ms, partial(self.deliver, holder, report))

    def _spread_health(self, host: HostId, cause: OutCause | None) -> None:
        news = HealthChanged(host, cause)
        for holder in self._alive():
            delay_ms = self.rng.randint(*self.settings.view_ms)
            self.clock.after(delay_ms, partial(self.deliver, holder, news))

    def _spread_views(self) -> None:
        for holder in self._alive():
            view = self.fleet.views[holder.pool]
            delay_ms = self.rng.randint(*self.settings.view_ms)
            self.clock.after(delay_ms, partial(self._show, holder, view))

    def _show(self, holder: Holder, view: PoolView) -> None:
        self.deliver(holder, ViewChanged(view))
        self._bind_lower_budget(view.pool)

    def _bind_lower_budget(self, pool: PoolName) -> None:
        """A smaller budget binds once the writer goes by it and others are fenced."""
        budget = self.fleet.views[pool].budget
        holder = self.holders[pool][-1]
        state = holder.conductor
        is_in_force = (
            state.view is not None
            and state.view.budget == budget
            and state.is_ledger_current
            and not holder.inbox
        )
        if is_in_force:
            self.fleet.bind_budget(pool, budget.max_out)
        else:
            self.clock.after(BIND_RETRY_MS, partial(self._bind_lower_budget, pool))

    def _alive(self) -> list[Holder]:
        return [
            holder
            for holders in self.holders.values()
            for holder in holders[-3:]
            if not holder.is_dead
        ]


def _learn(holder: Holder, message: ConductorMessage) -> None:
    match message:
        case HealthListed(causes):
            holder.known_out = dict(causes)
        case HealthChanged(host, None):
            holder.known_out.pop(host, None)
        case HealthChanged(host, cause) if cause is not None:
            holder.known_out[host] = cause
