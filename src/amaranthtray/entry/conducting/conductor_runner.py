"""Runs the conductor of one pool: holds its duty and carries out its effects."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from returns.result import Success

from ...domain.duties import DutyHolder, Held, conductor_duty
from ...domain.errors import Problem
from ...domain.ids import Millis, Term
from ...domain.waves import (
    CasLedger,
    CommitMoves,
    Conductor,
    DutyGained,
    DutyLost,
    DutyRenewed,
    MovesCommitted,
    MovesRefused,
    OrderDropped,
    ReadLedger,
    StepDown,
    Tick,
    ViewChanged,
)
from ...store.duties import DutyRunner
from .ledgers import read_ledger, swap_ledger
from .moves import commit_moves

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...domain.ids import PoolName
    from ...domain.placement import PoolView
    from ...domain.waves import ConductorEffect, ConductorMessage, Fence
    from .conducting import ConductorContext

IDLE_TICK_INTERVAL_MS = 1_000
MS_PER_S = 1_000


def wall_clock_ms() -> int:
    """Returns the wall clock in milliseconds."""
    return int(time.time() * MS_PER_S)


class ConductorRunner:
    """Holds the conductor duty of one pool and carries out its conductor's effects.

    Args:
        pool: The pool.
        context: The environment of the conductors.
        wall_clock: Wall clock in milliseconds.

    Attributes:
        conductor: The conductor; it has no duty while this entry does not hold it.
        has_initial_health: Whether the conductor got the health of all hosts.
    """

    def __init__(
        self,
        pool: PoolName,
        context: ConductorContext,
        *,
        wall_clock: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self.pool = pool
        self.conductor = Conductor(pool)
        self.has_initial_health = False
        self._context = context
        self._wall_clock = wall_clock
        self._holder = DutyHolder(context.entry, context.incarnation, rng=context.rng)
        self._duty = DutyRunner(
            conductor_duty(pool),
            self._holder,
            store=context.raw_store,
            clock=context.clock,
        )
        self._term = Term(0)
        self._until_ms = 0
        self._tick_due_ms = 0

    @property
    def is_held(self) -> bool:
        """Returns whether this entry held the duty at the last renewal."""
        return self._term > 0

    def run_duty(self, *, is_wanted: bool) -> None:
        """Acquires the duty if it is wanted, or renews it."""
        self._holder.is_wanted = is_wanted
        term = self._duty.run() or Term(0)
        state = self._holder.state
        until_ms = state.until_ms if isinstance(state, Held) else 0
        if term != self._term:
            self._change_term(term, until_ms)
        elif term and until_ms != self._until_ms:
            self._until_ms = until_ms
            self.deliver(DutyRenewed(term, Millis(until_ms)))

    def update_view(self, view: PoolView) -> None:
        """Passes a new view of the pool to the conductor."""
        if self.is_held and self.conductor.view is not view:
            self.deliver(ViewChanged(view))

    def tick(self) -> None:
        """Ticks the conductor; less often while it has nothing to do."""
        now_ms = self._context.clock()
        if self.is_held and (self._is_busy() or now_ms >= self._tick_due_ms):
            self._tick_due_ms = now_ms + IDLE_TICK_INTERVAL_MS
            self.deliver(Tick())

    def deliver(self, *messages: ConductorMessage) -> None:
        """Handles messages, and the replies to the effects that result from them."""
        pending = list(messages)
        while pending and self.is_held:
            self.conductor, effects = self.conductor.step(
                pending.pop(0),
                now_ms=Millis(self._context.clock()),
                wall_ms=self._wall_clock(),
            )
            for effect in effects:
                reply = self._carry_out(effect)
                if reply is not None:
                    pending.append(reply)
        self._retain_open_orders()

    def release(self) -> None:
        """Releases the duty."""
        self._duty.release()
        self._change_term(Term(0), 0)

    def _is_busy(self) -> bool:
        state = self.conductor
        is_up_to_date = state.is_ledger_current and state.is_health_known
        return not is_up_to_date or state.ledger is None or bool(state.ledger.out)

    def _change_term(self, term: Term, until_ms: int) -> None:
        if self._term:
            self.deliver(DutyLost())
        self._term, self._until_ms = term, until_ms
        self.conductor, self.has_initial_health = Conductor(self.pool), False
        if term:
            self.deliver(DutyGained(term, Millis(until_ms)))
        else:
            self._context.hosts.retain_orders(self.pool, ())

    def _retain_open_orders(self) -> None:
        ledger = self.conductor.ledger
        out = ledger.out.values() if ledger is not None else ()
        self._context.hosts.retain_orders(self.pool, (item.op_id for item in out))

    def _carry_out(self, effect: ConductorEffect) -> ConductorMessage | None:
        context = self._context
        match effect:
            case ReadLedger():
                return read_ledger(context.raw_store, effect)
            case StepDown():
                self.release()
                return None
            case _ if not self._is_in_time(effect.fence):
                return OrderDropped()
            case CasLedger():
                return swap_ledger(context.raw_store, effect)
            case CommitMoves():
                return self._commit_moves(effect)
            case order:
                context.hosts.send_order(order)
                return None

    def _is_in_time(self, fence: Fence) -> bool:
        return fence.term == self._term and self._context.clock() <= fence.not_after_ms

    def _commit_moves(self, effect: CommitMoves) -> ConductorMessage | None:
        context = self._context
        result = commit_moves(
            context.log,
            context.view.current,
            effect,
            hosts=context.list_hosts(),
            peer=context.entry,
        )
        if isinstance(result, Success):
            committed = result.unwrap()
            context.view.offer_records(committed.records)
            context.view.offer_snapshot(committed.cfg)
            return MovesCommitted(effect.fence.op_id, committed.revision)
        is_refused = isinstance(result.failure(), Problem)
        return MovesRefused(effect.fence.op_id) if is_refused else None
