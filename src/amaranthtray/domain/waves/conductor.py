"""State machine of the conductor, which runs one pool's moves and waves."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..budgets.model import OutageLedger, OutageStage
from ..budgets.rules import stamp_write
from ..ids import HostId, Millis, OperationId, PoolName, Revision, Term
from ..invariants.observations import OutCause
from ..placement.view import PoolView
from ._orders import issue_orders
from ._plan import next_ledger
from ._planning_context import PlanningContext
from .messages import (
    CasLedger,
    DutyGained,
    DutyLost,
    DutyRenewed,
    Fence,
    HealthChanged,
    HealthListed,
    HostDrained,
    HostRebooted,
    HostReturned,
    LedgerRead,
    LedgerSwapped,
    MovesCommitted,
    MovesRefused,
    OrderDropped,
    ReadLedger,
    StepDown,
    StoreCallFailed,
    SwapConflict,
    SwapOutcomeUnknown,
    Tick,
    ViewChanged,
)
from .settings import ConductorSettings

if TYPE_CHECKING:
    from .messages import ConductorEffect, ConductorMessage


@dataclass(frozen=True, slots=True)
class Duty:
    """The lease on the conductor's duty, valid until ``until_ms``, monotonic."""

    term: Term
    until_ms: Millis


@dataclass(frozen=True, slots=True)
class StoreCall:
    """The store call in flight; ``ledger`` is ``None`` for a read."""

    op_id: OperationId
    sent_ms: Millis
    ledger: OutageLedger | None = None


@dataclass(frozen=True, slots=True)
class Conductor:
    """State of one entry's conductor; everything durable is in the ledger.

    Attributes:
        pool: The pool.
        settings: Settings.
        duty: The duty; ``None`` while it is not held.
        view: The pool at the latest known revision.
        ledger: The ledger last known to be stored; ``None`` if it has to be read.
        version: Store version of the ledger.
        call: The store call in flight; at most one.
        has_unresolved_write: Whether a write with a lost reply may still take
            effect; the next write is then made even without changes, as its new
            version makes the late one fail.
        retry_at_ms: Earliest time of the next store call.
        consecutive_failures: Store calls that failed since the last success.
        is_health_known: Whether the health of all hosts was received since the duty
            was gained; nothing is taken out before.
        health: Unhealthy hosts and the cause.
        drained: Completed drain operations.
        rebooted: Completed reboot operations.
        returned: Completed return operations.
        refused: Move operations that the configuration log refused.
        committed: Move operations in the configuration log and their revisions.
        issued: Operation and stage of the latest order to each host that is out.
        reissue_at_ms: When the orders to all hosts that are out are issued again.
        seq: Number of operation ids generated under this duty.
    """

    pool: PoolName
    settings: ConductorSettings = field(default_factory=ConductorSettings)
    duty: Duty | None = None
    view: PoolView | None = None
    ledger: OutageLedger | None = None
    version: int = 0
    call: StoreCall | None = None
    has_unresolved_write: bool = False
    retry_at_ms: Millis = Millis(0)  # noqa: RUF009
    consecutive_failures: int = 0
    is_health_known: bool = False
    health: dict[HostId, OutCause] = field(default_factory=dict)
    drained: frozenset[tuple[HostId, OperationId]] = frozenset()
    rebooted: frozenset[tuple[HostId, OperationId]] = frozenset()
    returned: frozenset[tuple[HostId, OperationId]] = frozenset()
    refused: frozenset[OperationId] = frozenset()
    committed: dict[OperationId, Revision] = field(default_factory=dict)
    issued: dict[HostId, tuple[OperationId, OutageStage]] = field(default_factory=dict)
    reissue_at_ms: Millis = Millis(0)  # noqa: RUF009
    seq: int = 0

    @property
    def is_ledger_current(self) -> bool:
        """Returns whether no earlier write can still replace the known ledger.

        It was written under this duty's term, and none of the duty's writes is in
        flight or unresolved.
        """
        duty, ledger = self.duty, self.ledger
        if duty is None or ledger is None or ledger.term != duty.term:
            return False
        return self.call is None and not self.has_unresolved_write

    def step(
        self, message: ConductorMessage, *, now_ms: Millis, wall_ms: int
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        """Returns the next state and the effects that the runtime has to carry out.

        Args:
            message: What happened.
            now_ms: Monotonic time, used for leases and retries.
            wall_ms: Wall-clock time, used only for durations kept in the ledger.
        """
        state = self._handle_message(message, now_ms)
        if state.duty is None or isinstance(message, DutyRenewed):
            return state, ()
        if state.ledger is not None and state.ledger.term > state.duty.term:
            seen = state.ledger.term
            return state._without_duty(), (StepDown(seen),)
        if now_ms >= state.duty.until_ms - state.settings.lease_margin_ms:
            return state, ()
        state, orders = state._issue_orders(now_ms)
        state, calls = state._call_store(now_ms, wall_ms)
        return state, (*orders, *calls)

    def _handle_message(self, message: ConductorMessage, now_ms: Millis) -> Conductor:
        match message:
            case DutyGained(term, until_ms):
                return replace(self._without_duty(), duty=Duty(term, until_ms))
            case DutyRenewed(term, until_ms):
                return self._with_renewed_lease(term, until_ms)
            case DutyLost():
                return self._without_duty()
            case ViewChanged(view):
                is_older = self.view is not None and view.revision < self.view.revision
                return self if is_older else replace(self, view=view)
            case Tick():
                return self._check_timeout(now_ms)
            case HealthListed() | HealthChanged():
                return self._handle_health(message)
            case HostDrained(host, op_id):
                return replace(self, drained=self.drained | {(host, op_id)})
            case HostRebooted(host, op_id):
                return replace(self, rebooted=self.rebooted | {(host, op_id)})
            case HostReturned(host, op_id, takes_work):
                if not takes_work and self._is_member(host):
                    return self
                return replace(self, returned=self.returned | {(host, op_id)})
            case MovesCommitted(op_id, revision):
                return replace(self, committed={**self.committed, op_id: revision})
            case MovesRefused(op_id):
                return replace(self, refused=self.refused | {op_id})
            case OrderDropped():
                return replace(self, issued={})
            case _:
                return self._handle_store_reply(message, now_ms)

    def _is_member(self, host: HostId) -> bool:
        return self.view is None or self.view.pool_of(host) == self.pool

    def _handle_health(self, message: HealthListed | HealthChanged) -> Conductor:
        match message:
            case HealthListed(causes):
                return replace(self, health=dict(causes), is_health_known=True)
            case HealthChanged(host, cause):
                health = {key: val for key, val in self.health.items() if key != host}
                if cause is not None:
                    health[host] = cause
                return replace(self, health=health)

    def _handle_store_reply(
        self,
        message: LedgerRead
        | LedgerSwapped
        | SwapConflict
        | SwapOutcomeUnknown
        | StoreCallFailed,
        now_ms: Millis,
    ) -> Conductor:
        if self.call is None or self.call.op_id != message.op_id:
            return self
        match message:
            case LedgerRead(_, ledger, version) | SwapConflict(_, ledger, version):
                if version < self.version:
                    return self._schedule_retry(now_ms, is_effect_unknown=True)
                return self._with_ledger(ledger, version)
            case LedgerSwapped(_, version):
                updated = self._with_ledger(self.call.ledger, version)
                return replace(updated, has_unresolved_write=False)
            case SwapOutcomeUnknown():
                return self._schedule_retry(now_ms, is_effect_unknown=True)
            case StoreCallFailed():
                return self._schedule_retry(now_ms, is_effect_unknown=False)

    def _with_ledger(self, ledger: OutageLedger | None, version: int) -> Conductor:
        found = ledger if ledger is not None else OutageLedger(self.pool)
        pending = {(host, out.op_id) for host, out in found.out.items()}
        records = {out.record_op for out in found.out.values()}
        return replace(
            self,
            ledger=found,
            version=version,
            call=None,
            consecutive_failures=0,
            drained=self.drained & pending,
            rebooted=self.rebooted & pending,
            returned=self.returned & pending,
            refused=self.refused & records,
            committed={
                op: revision for op, revision in self.committed.items() if op in records
            },
        )

    def _schedule_retry(self, now_ms: Millis, *, is_effect_unknown: bool) -> Conductor:
        """Schedules a retry; reads the ledger again if a write may have changed it."""
        is_write = self.call is not None and self.call.ledger is not None
        # The limit of 16 keeps the shift small; max_retry_ms bounds the delay.
        delay_ms = self.settings.retry_ms << min(self.consecutive_failures, 16)
        delay_ms = min(delay_ms, self.settings.max_retry_ms)
        return replace(
            self,
            call=None,
            ledger=None if is_effect_unknown else self.ledger,
            has_unresolved_write=self.has_unresolved_write
            or (is_effect_unknown and is_write),
            consecutive_failures=self.consecutive_failures + 1,
            retry_at_ms=Millis(now_ms + delay_ms),
        )

    def _check_timeout(self, now_ms: Millis) -> Conductor:
        call = self.call
        if call is None or now_ms < call.sent_ms + self.settings.store_timeout_ms:
            return self
        return self._schedule_retry(now_ms, is_effect_unknown=True)

    def _with_renewed_lease(self, term: Term, until_ms: Millis) -> Conductor:
        if self.duty is None or self.duty.term != term:
            return self
        return replace(self, duty=Duty(term, max(until_ms, self.duty.until_ms)))

    def _without_duty(self) -> Conductor:
        return Conductor(self.pool, self.settings, view=self.view)

    def _issue_orders(
        self, now_ms: Millis
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        """Issues orders only for a ledger stored under this holder's own term."""
        duty, ledger = self.duty, self.ledger
        if duty is None or ledger is None or ledger.term != duty.term:
            return self, ()
        fence = self._make_fence(duty)
        is_due = now_ms >= self.reissue_at_ms
        issued, orders = issue_orders(ledger, self.issued, fence, reissue=is_due)
        if is_due:
            reissue_at_ms = Millis(now_ms + self.settings.reissue_ms)
            return replace(self, issued=issued, reissue_at_ms=reissue_at_ms), orders
        return (self if issued == self.issued else replace(self, issued=issued)), orders

    def _call_store(
        self, now_ms: Millis, wall_ms: int
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        if self.call is not None or now_ms < self.retry_at_ms:
            return self, ()
        if self.ledger is None:
            op_id = self._next_op_id()
            call = StoreCall(op_id, now_ms)
            state = replace(self, call=call, seq=self.seq + 1)
            return state, (ReadLedger(self.pool, op_id),)
        return self._write_next_ledger(self.ledger, now_ms, wall_ms)

    def _write_next_ledger(
        self, ledger: OutageLedger, now_ms: Millis, wall_ms: int
    ) -> tuple[Conductor, tuple[ConductorEffect, ...]]:
        duty, view = self.duty, self.view
        if duty is None or view is None or not self.is_health_known:
            return self, ()
        if view.revision < ledger.revision:
            return self, ()
        op_id = self._next_op_id()
        planned = next_ledger(
            ledger, self._planning_context(view, duty.term, op_id, wall_ms)
        )
        if (
            planned == ledger
            and ledger.term == duty.term
            and not self.has_unresolved_write
        ):
            return self, ()
        planned = stamp_write(
            planned, term=duty.term, revision=view.revision, op_id=op_id
        )
        effect = CasLedger(planned, self.version, self._make_fence(duty))
        call = StoreCall(op_id, now_ms, planned)
        return replace(self, call=call, seq=self.seq + 1), (effect,)

    def _make_fence(self, duty: Duty) -> Fence:
        not_after_ms = Millis(duty.until_ms - self.settings.lease_margin_ms)
        return Fence(self.pool, duty.term, self._next_op_id(), not_after_ms)

    def _next_op_id(self) -> OperationId:
        term = self.duty.term if self.duty is not None else 0
        return OperationId(f"{self.pool}-{term}-{self.seq + 1}")

    def _planning_context(
        self, view: PoolView, term: Term, op_id: OperationId, wall_ms: int
    ) -> PlanningContext:
        return PlanningContext(
            view=view,
            settings=self.settings,
            term=term,
            op_id=op_id,
            wall_ms=wall_ms,
            health=self.health,
            drained=self.drained,
            rebooted=self.rebooted,
            returned=self.returned,
            refused=self.refused,
            committed=self.committed,
        )
