"""The conductor of one pool's moves and maintenance waves."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..budgets.model import OutageLedger, OutageStage
from ..budgets.rules import stamp_write
from ..ids import HostId, Millis, OperationId, PoolName, Revision, Term
from ..invariants.observations import OutCause
from ..placement.view import PoolView
from ._orders import orders
from ._plan import next_ledger
from ._situation import Situation
from .messages import (
    CasLedger,
    DutyGained,
    DutyLost,
    DutyRenewed,
    Fence,
    HealthChanged,
    HealthListed,
    HostBack,
    HostDrained,
    HostReturned,
    LedgerRead,
    LedgerSwapped,
    MovesCommitted,
    MovesRefused,
    OrderDropped,
    ReadLedger,
    StepDown,
    StoreAway,
    SwapConflict,
    SwapUnknown,
    Tick,
    ViewChanged,
)
from .settings import ConductorSettings

if TYPE_CHECKING:
    from .messages import ConductorEffect, ConductorMessage


@dataclass(frozen=True, slots=True)
class Duty:
    """The right to conduct, until ``until_ms`` on the monotonic clock."""

    term: Term
    until_ms: Millis


@dataclass(frozen=True, slots=True)
class StoreCall:
    """The one store call in flight; ``ledger`` is none for a read."""

    op_id: OperationId
    sent_ms: Millis
    ledger: OutageLedger | None = None


@dataclass(frozen=True, slots=True)
class Conductor:
    """State of one holder of the duty; all that must last is in the ledger.

    Attributes:
        pool: The pool.
        settings: Settings.
        duty: The duty, none when not held.
        view: The pool at the latest revision known.
        ledger: The ledger as last known to be in the store, none before a read.
        version: Its version in the store.
        call: The store call in flight.
        is_unsure: Whether a write with a lost reply may still take effect later; the
            next write is made in any case, and fences it off.
        retry_at_ms: No store call before this time.
        failures: Store calls failed in a row.
        is_synced: Whether the health of all hosts is known since the duty began.
        health: Hosts that are not healthy.
        drained: Drain operations that ended.
        back: Reboot operations that ended.
        returned: Return operations that ended.
        refused: Move operations that the configuration log refused.
        committed: Move operations in the configuration log, and their revisions.
        told: Orders given to hosts, by operation and stage.
        reissue_at_ms: When the orders to hosts that are out are given again.
        seq: Operation ids made by this holder.
    """

    pool: PoolName
    settings: ConductorSettings = field(default_factory=ConductorSettings)
    duty: Duty | None = None
    view: PoolView | None = None
    ledger: OutageLedger | None = None
    version: int = 0
    call: StoreCall | None = None
    is_unsure: bool = False
    retry_at_ms: Millis = Millis(0)  # noqa: RUF009
    failures: int = 0
    is_synced: bool = False
    health: dict[HostId, OutCause] = field(default_factory=dict)
    drained: frozenset[tuple[HostId, OperationId]] = frozenset()
    back: frozenset[tuple[HostId, OperationId]] = frozenset()
    returned: frozenset[tuple[HostId, OperationId]] = frozenset()
    refused: frozenset[OperationId] = frozenset()
    committed: dict[OperationId, Revision] = field(default_factory=dict)
    told: dict[HostId, tuple[OperationId, OutageStage]] = field(default_factory=dict)
    reissue_at_ms: Millis = Millis(0)  # noqa: RUF009
    seq: int = 0

    @property
    def is_settled(self) -> bool:
        """Returns whether nothing but this holder's next write can take effect."""
        duty, ledger = self.duty, self.ledger
        if duty is None or ledger is None or ledger.term != duty.term:
            return False
        return self.call is None and not self.is_unsure

    def step(
        self, message: ConductorMessage, *, now_ms: Millis, wall_ms: int
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        """Returns the next state and what the runtime has to do.

        Args:
            message: What happened.
            now_ms: Monotonic clock; leases and retries go by it.
            wall_ms: Wall clock; only written into the ledger, for durations.
        """
        state = self._take(message, now_ms)
        if state.duty is None or isinstance(message, DutyRenewed):
            return state, ()
        if state.ledger is not None and state.ledger.term > state.duty.term:
            seen = state.ledger.term
            return state._without_duty(), (StepDown(seen),)
        if now_ms >= state.duty.until_ms - state.settings.lease_margin_ms:
            return state, ()
        state, acts = state._give_orders(now_ms)
        state, calls = state._call_store(now_ms, wall_ms)
        return state, (*acts, *calls)

    def _take(self, message: ConductorMessage, now_ms: Millis) -> Conductor:
        match message:
            case DutyGained(term, until_ms):
                return replace(self._without_duty(), duty=Duty(term, until_ms))
            case DutyRenewed(term, until_ms):
                return self._renewed(term, until_ms)
            case DutyLost():
                return self._without_duty()
            case ViewChanged(view):
                is_older = self.view is not None and view.revision < self.view.revision
                return self if is_older else replace(self, view=view)
            case Tick():
                return self._timed_out(now_ms)
            case HealthListed() | HealthChanged():
                return self._take_health(message)
            case HostDrained(host, op_id):
                return replace(self, drained=self.drained | {(host, op_id)})
            case HostBack(host, op_id):
                return replace(self, back=self.back | {(host, op_id)})
            case HostReturned(host, op_id, takes_work):
                if not takes_work and self._is_member(host):
                    return self
                return replace(self, returned=self.returned | {(host, op_id)})
            case MovesCommitted(op_id, revision):
                return replace(self, committed={**self.committed, op_id: revision})
            case MovesRefused(op_id):
                return replace(self, refused=self.refused | {op_id})
            case OrderDropped():
                return replace(self, told={})
            case _:
                return self._take_store(message, now_ms)

    def _is_member(self, host: HostId) -> bool:
        return self.view is None or self.view.pool_of(host) == self.pool

    def _take_health(self, message: HealthListed | HealthChanged) -> Conductor:
        match message:
            case HealthListed(causes):
                return replace(self, health=dict(causes), is_synced=True)
            case HealthChanged(host, cause):
                health = {key: val for key, val in self.health.items() if key != host}
                if cause is not None:
                    health[host] = cause
                return replace(self, health=health)

    def _take_store(
        self,
        message: LedgerRead | LedgerSwapped | SwapConflict | SwapUnknown | StoreAway,
        now_ms: Millis,
    ) -> Conductor:
        if self.call is None or self.call.op_id != message.op_id:
            return self
        match message:
            case LedgerRead(_, ledger, version) | SwapConflict(_, ledger, version):
                if version < self.version:
                    return self._call_failed(now_ms, is_unsure=True)
                return self._known(ledger, version)
            case LedgerSwapped(_, version):
                known = self._known(self.call.ledger, version)
                return replace(known, is_unsure=False)
            case SwapUnknown():
                return self._call_failed(now_ms, is_unsure=True)
            case StoreAway():
                return self._call_failed(now_ms, is_unsure=False)

    def _known(self, ledger: OutageLedger | None, version: int) -> Conductor:
        found = ledger if ledger is not None else OutageLedger(self.pool)
        pending = {(host, out.op_id) for host, out in found.out.items()}
        records = {out.record_op for out in found.out.values()}
        return replace(
            self,
            ledger=found,
            version=version,
            call=None,
            failures=0,
            drained=self.drained & pending,
            back=self.back & pending,
            returned=self.returned & pending,
            refused=self.refused & records,
            committed={op: at for op, at in self.committed.items() if op in records},
        )

    def _call_failed(self, now_ms: Millis, *, is_unsure: bool) -> Conductor:
        """A ledger that may have been overwritten has to be read again."""
        is_write = self.call is not None and self.call.ledger is not None
        delay_ms = self.settings.retry_ms << min(self.failures, 16)
        delay_ms = min(delay_ms, self.settings.max_retry_ms)
        return replace(
            self,
            call=None,
            ledger=None if is_unsure else self.ledger,
            is_unsure=self.is_unsure or (is_unsure and is_write),
            failures=self.failures + 1,
            retry_at_ms=Millis(now_ms + delay_ms),
        )

    def _timed_out(self, now_ms: Millis) -> Conductor:
        call = self.call
        if call is None or now_ms < call.sent_ms + self.settings.store_timeout_ms:
            return self
        return self._call_failed(now_ms, is_unsure=True)

    def _renewed(self, term: Term, until_ms: Millis) -> Conductor:
        if self.duty is None or self.duty.term != term:
            return self
        return replace(self, duty=Duty(term, max(until_ms, self.duty.until_ms)))

    def _without_duty(self) -> Conductor:
        return Conductor(self.pool, self.settings, view=self.view)

    def _give_orders(
        self, now_ms: Millis
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        """Orders go out only for what the store holds under this holder's term."""
        duty, ledger = self.duty, self.ledger
        if duty is None or ledger is None or ledger.term != duty.term:
            return self, ()
        fence = self._fence(duty)
        is_due = now_ms >= self.reissue_at_ms
        told, acts = orders(ledger, self.told, fence, give_again=is_due)
        if is_due:
            reissue_at_ms = Millis(now_ms + self.settings.reissue_ms)
            return replace(self, told=told, reissue_at_ms=reissue_at_ms), acts
        return (self if told == self.told else replace(self, told=told)), acts

    def _call_store(
        self, now_ms: Millis, wall_ms: int
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        if self.call is not None or now_ms < self.retry_at_ms:
            return self, ()
        if self.ledger is None:
            op_id = self._next_op()
            call = StoreCall(op_id, now_ms)
            state = replace(self, call=call, seq=self.seq + 1)
            return state, (ReadLedger(self.pool, op_id),)
        return self._propose(self.ledger, now_ms, wall_ms)

    def _propose(
        self, ledger: OutageLedger, now_ms: Millis, wall_ms: int
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        duty, view = self.duty, self.view
        if duty is None or view is None or not self.is_synced:
            return self, ()
        if view.revision < ledger.revision:
            return self, ()
        op_id = self._next_op()
        wanted = next_ledger(ledger, self._situation(view, duty.term, op_id, wall_ms))
        if wanted == ledger and ledger.term == duty.term and not self.is_unsure:
            return self, ()
        wanted = stamp_write(
            wanted, term=duty.term, revision=view.revision, op_id=op_id
        )
        effect = CasLedger(wanted, self.version, self._fence(duty))
        call = StoreCall(op_id, now_ms, wanted)
        return replace(self, call=call, seq=self.seq + 1), (effect,)

    def _fence(self, duty: Duty) -> Fence:
        not_after_ms = Millis(duty.until_ms - self.settings.lease_margin_ms)
        return Fence(self.pool, duty.term, self._next_op(), not_after_ms)

    def _next_op(self) -> OperationId:
        term = self.duty.term if self.duty is not None else 0
        return OperationId(f"{self.pool}-{term}-{self.seq + 1}")

    def _situation(
        self, view: PoolView, term: Term, op_id: OperationId, wall_ms: int
    ) -> Situation:
        return Situation(
            view=view,
            settings=self.settings,
            term=term,
            op_id=op_id,
            wall_ms=wall_ms,
            health=self.health,
            drained=self.drained,
            back=self.back,
            returned=self.returned,
            refused=self.refused,
            committed=self.committed,
        )
