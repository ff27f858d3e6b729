"""The conductors of a virtual entry, one for each pool whose duty it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.configuration import SPARE_POOL
from ..domain.errors import Problem
from ..domain.ids import HostId, Millis, PoolName
from ..domain.placement import pool_views
from ..domain.waves import (
    CasLedger,
    CommitMoves,
    Conductor,
    DutyGained,
    DutyLost,
    DutyRenewed,
    HealthChanged,
    HealthListed,
    MovesRefused,
    OrderDropped,
    ReadLedger,
    StepDown,
    Tick,
    ViewChanged,
)
from ..entry.conducting.ledgers import read_ledger, swap_ledger
from ..entry.conducting.moves import commit_moves
from .duty import Duty, DutyChange

if TYPE_CHECKING:
    from ..domain.invariants import OutCause
    from ..domain.waves import ConductorEffect, ConductorMessage, Fence
    from .entry import VirtualEntry
    from .world import World

DUTY_PREFIX = "duty/conductor/"


class VirtualConductors:
    """All conductors of one incarnation of an entry."""

    def __init__(self, world: World, entry: VirtualEntry) -> None:
        self.world = world
        self.entry = entry
        self._duties: dict[PoolName, Duty] = {}
        self._conductors: dict[PoolName, Conductor] = {}

    def step(self) -> None:
        """Renews or acquires the duty of each pool and ticks its conductor."""
        cfg = self.entry.control.cfg
        for pool in sorted({*cfg.pools, SPARE_POOL}):
            duty = self._duties.get(pool)
            if duty is None:
                store = self.entry.control.store
                duty = Duty(store, DUTY_PREFIX + pool, self.entry.incarnation)
                self._duties[pool] = duty
            self._step_duty(pool, duty)

    def handle(self, message: ConductorMessage) -> None:
        """Passes a host's report or a change of its health to all conductors."""
        for pool in list(self._conductors):
            if isinstance(message, HealthChanged) and message.cause is not None:
                self.world.observer.observe_host_out(
                    self._pool_of(message.host), message
                )
            self._deliver(pool, message)

    def stop(self) -> None:
        """Releases all duties and drops their conductors."""
        for duty in self._duties.values():
            duty.resign()
        self._conductors.clear()

    def _pool_of(self, host: HostId) -> PoolName:
        return self.entry.control.cfg.pool_of(host)

    def _step_duty(self, pool: PoolName, duty: Duty) -> None:
        change = duty.step(self.world.now_ms)
        until_ms = Millis(duty.held_until_ms)
        match change:
            case DutyChange.GAINED:
                self._conductors[pool] = Conductor(pool)
                self._deliver(pool, DutyGained(duty.term, until_ms))
                causes: dict[HostId, OutCause] = dict(self.world.maintenance.failed)
                for host, cause in causes.items():
                    self.world.observer.observe_host_out(
                        self._pool_of(host), HealthChanged(host, cause)
                    )
                self._deliver(pool, HealthListed(causes))
            case DutyChange.RENEWED:
                self._deliver(pool, DutyRenewed(duty.term, until_ms))
            case DutyChange.LOST:
                self._deliver(pool, DutyLost())
                self._conductors.pop(pool, None)
        if pool in self._conductors:
            self._update_view(pool)
            self._deliver(pool, Tick())

    def _update_view(self, pool: PoolName) -> None:
        control = self.entry.control
        done = {
            name: {wave: record.done for wave, record in ledger.waves.items()}
            for name, ledger in self.world.maintenance.ledgers.items()
        }
        views = pool_views(
            control.cfg, control.listed, done=done, only=frozenset({pool})
        )
        if self._conductors[pool].view != views[pool]:
            self._deliver(pool, ViewChanged(views[pool]))

    def _deliver(self, pool: PoolName, message: ConductorMessage) -> None:
        conductor = self._conductors.get(pool)
        if conductor is None:
            return
        now_ms = self.world.now_ms
        self._conductors[pool], effects = conductor.step(
            message, now_ms=Millis(now_ms), wall_ms=now_ms
        )
        for effect in effects:
            self._execute(pool, effect)

    def _execute(self, pool: PoolName, effect: ConductorEffect) -> None:
        delay_ms = self.world.store_call_ms
        match effect:
            case ReadLedger():
                reply = read_ledger(self.entry.control.store, effect)
                self._deliver_later(delay_ms, pool, reply)
            case CasLedger() if self._is_before_deadline(effect.fence):
                self._deliver_later(delay_ms, pool, self._swap_ledger(effect))
            case CommitMoves() if self._is_before_deadline(effect.fence):
                self._commit_moves(pool, effect)
            case StepDown():
                self._duties[pool].resign()
                self._conductors.pop(pool, None)
            case CasLedger() | CommitMoves():
                self._deliver_later(1, pool, OrderDropped())
            case _:
                self.world.maintenance.execute_order(self.entry, effect)

    def _is_before_deadline(self, fence: Fence) -> bool:
        return self.world.now_ms <= fence.not_after_ms

    def _deliver_later(
        self, delay_ms: int, pool: PoolName, message: ConductorMessage
    ) -> None:
        def deliver() -> None:
            self.entry.run(lambda: self._deliver(pool, message))

        self.world.clock.after(delay_ms, deliver)

    def _swap_ledger(self, effect: CasLedger) -> ConductorMessage:
        reply = swap_ledger(self.entry.control.store, effect)
        self.world.maintenance.observe_ledgers()
        return reply

    def _commit_moves(self, pool: PoolName, effect: CommitMoves) -> None:
        control = self.entry.control

        done = commit_moves(
            control.log,
            control.cfg,
            effect,
            hosts=control.listed,
            peer=self.entry.name,
        )
        self.world.observer.observe_commits()
        if isinstance(done, Success):
            control.view.offer_snapshot(done.unwrap().cfg)
        elif isinstance(done.failure(), Problem):
            self._deliver_later(1, pool, MovesRefused(effect.fence.op_id))
