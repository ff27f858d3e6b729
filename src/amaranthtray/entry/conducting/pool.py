"""One pool's conductor at one entry: its duty and the acts that it asks for."""

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
    from .conducting import ConductingParts

IDLE_TICK_MS = 1_000
MS_PER_S = 1_000


def wall_clock_ms() -> int:
    """Returns the wall clock in milliseconds."""
    return int(time.time() * MS_PER_S)


class PoolConducting:
    """Holds the duty of one pool and carries its conductor's effects out.

    Args:
        pool: The pool.
        parts: What the conductors work with.
        wall_clock: Wall clock in milliseconds.

    Attributes:
        conductor: The state; its duty is none while another entry holds it.
        is_listed: Whether the conductor knows the health of hosts.
    """

    def __init__(
        self,
        pool: PoolName,
        parts: ConductingParts,
        *,
        wall_clock: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self.pool = pool
        self.conductor = Conductor(pool)
        self.is_listed = False
        self._parts = parts
        self._wall_clock = wall_clock
        self._holder = DutyHolder(parts.entry, parts.incarnation, rng=parts.rng)
        self._duty = DutyRunner(
            conductor_duty(pool), self._holder, store=parts.raw_store, clock=parts.clock
        )
        self._term = Term(0)
        self._until_ms = 0
        self._tick_at_ms = 0

    @property
    def is_held(self) -> bool:
        """Returns whether the duty is held as far as known."""
        return self._term > 0

    def hold(self, *, is_wanted: bool) -> None:
        """Tries for the duty, or renews it."""
        self._holder.is_wanted = is_wanted
        term = self._duty.run() or Term(0)
        state = self._holder.state
        until_ms = state.until_ms if isinstance(state, Held) else 0
        if term != self._term:
            self._change(term, until_ms)
        elif term and until_ms != self._until_ms:
            self._until_ms = until_ms
            self.deliver(DutyRenewed(term, Millis(until_ms)))

    def show(self, view: PoolView) -> None:
        """Shows the pool as it is now."""
        if self.is_held and self.conductor.view is not view:
            self.deliver(ViewChanged(view))

    def tick(self) -> None:
        """Lets time pass; seldom while there is nothing to do."""
        now_ms = self._parts.clock()
        if self.is_held and (self._is_busy() or now_ms >= self._tick_at_ms):
            self._tick_at_ms = now_ms + IDLE_TICK_MS
            self.deliver(Tick())

    def deliver(self, *messages: ConductorMessage) -> None:
        """Takes messages and all that follows from them at once."""
        waiting = list(messages)
        while waiting and self.is_held:
            self.conductor, effects = self.conductor.step(
                waiting.pop(0),
                now_ms=Millis(self._parts.clock()),
                wall_ms=self._wall_clock(),
            )
            for effect in effects:
                reply = self._carry_out(effect)
                if reply is not None:
                    waiting.append(reply)
        self._settle_orders()

    def release(self) -> None:
        """Gives the duty up."""
        self._duty.release()
        self._change(Term(0), 0)

    def _is_busy(self) -> bool:
        state = self.conductor
        is_settled = state.is_ledger_current and state.is_health_known
        return not is_settled or state.ledger is None or bool(state.ledger.out)

    def _change(self, term: Term, until_ms: int) -> None:
        if self._term:
            self.deliver(DutyLost())
        self._term, self._until_ms = term, until_ms
        self.conductor, self.is_listed = Conductor(self.pool), False
        if term:
            self.deliver(DutyGained(term, Millis(until_ms)))
        else:
            self._parts.hosts.settle(self.pool, ())

    def _settle_orders(self) -> None:
        ledger = self.conductor.ledger
        out = ledger.out.values() if ledger is not None else ()
        self._parts.hosts.settle(self.pool, (item.op_id for item in out))

    def _carry_out(self, effect: ConductorEffect) -> ConductorMessage | None:
        parts = self._parts
        match effect:
            case ReadLedger():
                return read_ledger(parts.raw_store, effect)
            case StepDown():
                self.release()
                return None
            case _ if not self._is_in_time(effect.fence):
                return OrderDropped()
            case CasLedger():
                return swap_ledger(parts.raw_store, effect)
            case CommitMoves():
                return self._move(effect)
            case order:
                parts.hosts.order(order)
                return None

    def _is_in_time(self, fence: Fence) -> bool:
        return fence.term == self._term and self._parts.clock() <= fence.not_after_ms

    def _move(self, effect: CommitMoves) -> ConductorMessage | None:
        parts = self._parts
        done = commit_moves(parts.log, parts.view.current, effect, peer=parts.entry)
        if isinstance(done, Success):
            committed = done.unwrap()
            parts.view.offer_records(committed.records)
            parts.view.offer_snapshot(committed.cfg)
            return MovesCommitted(effect.fence.op_id, committed.revision)
        is_refused = isinstance(done.failure(), Problem)
        return MovesRefused(effect.fence.op_id) if is_refused else None
