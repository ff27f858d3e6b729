"""Which machines change their pool; pure.

A pool gets machines as soon as its work does not fit, and gives back those that it
does not need after a while. Machines that no pool needs stand by, where they cost
nothing, if there is a pool for that.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import HostId, PoolName
from ..jobs.model import NO_RESOURCES, Resources
from .model import Machine, MachineName, MachineState, MoveMachine

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .waves import Fleet

HEADROOM = 1.25
"""Machines beyond the need: work does not pack perfectly, and more comes."""

MIN_HOSTS = 2
"""A pool keeps so many machines, so that the loss of one stops nothing."""

SURPLUS_MS = 1_500
"""A pool may spare a machine once it has had too many for this long."""

KEPT_SHARE = 0.5
"""A pool keeps this part of the machines that operators gave it: it has to do with
them while the duty that moves machines has no holder or can't reach the platform."""

MOVE_TIMEOUT_MS = 15_000
"""A machine that has not come up elsewhere by then is looked at anew."""


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What a pool's conductor says of it.

    Attributes:
        need: What runs, and what waits and can still be in time.
        host: What one of its hosts has.
        idle: Hosts that run nothing.
        wanted: Hosts that it takes so that each task finds a place; 0 if each does.
    """

    need: Resources = NO_RESOURCES
    host: Resources = NO_RESOURCES
    idle: tuple[HostId, ...] = ()
    wanted: int = 0


@dataclass(slots=True)
class Moves:
    """Moves under way and what is remembered of pools.

    Attributes:
        leaving: Machines that are being emptied, and where they are to go.
        moving: Machines that were ordered to move, with the time of the order.
        surplus_since_ms: Since when a pool has had more machines than its work takes.
        homes: Machines that each pool had at first, as operators gave them.
    """

    leaving: dict[MachineName, PoolName] = field(default_factory=dict)
    moving: dict[MachineName, tuple[PoolName, int]] = field(default_factory=dict)
    surplus_since_ms: dict[PoolName, int] = field(default_factory=dict)
    homes: dict[PoolName, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MovePlan:
    """What the moves need now.

    Attributes:
        vacate: Lives that are to be emptied, by pool.
        orders: Machines that move now.
        lacking: Machines that each pool lacked, negative if it had too many.
    """

    vacate: tuple[tuple[PoolName, HostId], ...]
    orders: tuple[MoveMachine, ...]
    lacking: Mapping[PoolName, int]


def hosts_needed(load: PoolLoad) -> int:
    """Returns how many machines a pool's work takes."""
    shares = [
        amount / each for amount, each in zip(load.need, load.host, strict=True) if each
    ]
    by_amounts = math.ceil(HEADROOM * max(shares, default=0.0))
    return max(MIN_HOSTS, by_amounts, load.wanted)


def plan_moves(
    moves: Moves,
    fleet: Fleet,
    loads: Mapping[PoolName, PoolLoad],
    standby: frozenset[PoolName],
    busy: frozenset[MachineName],
    now_ms: int,
) -> MovePlan:
    """Chooses moves.

    Args:
        moves: What is under way; brought up to date.
        fleet: All machines, and lives that were emptied.
        loads: What the conductors say of their pools.
        standby: Pools whose machines are off.
        busy: Machines that a wave is about to maintain.
        now_ms: Steady time.
    """
    _settle(moves, fleet, busy, now_ms)
    up = [
        machine
        for machine in fleet.machines.values()
        if machine.state is MachineState.UP
        and machine.name not in busy
        and machine.name not in moves.moving
    ]
    balances = _balances(moves, fleet, loads, now_ms)
    lacked = {pool: balance.lacking for pool, balance in balances.items()}
    kinds = _kinds(fleet)
    orders = _from_standby(moves, up, balances, standby, kinds)
    _choose_leaving(moves, up, loads, balances, standby, kinds, now_ms)
    vacate = []
    for name, target in list(moves.leaving.items()):
        machine = fleet.machines[name]
        vacate.append((machine.pool, machine.host))
        if machine.host in fleet.vacant:
            del moves.leaving[name]
            orders.append(MoveMachine(name, target))
    return MovePlan(tuple(vacate), tuple(orders), lacked)


def record_order(moves: Moves, order: MoveMachine, now_ms: int) -> None:
    """Notes that an order is about to be given."""
    moves.moving[order.machine] = (order.pool, now_ms)


def remove_order(moves: Moves, name: MachineName) -> None:
    """Takes that an order was refused."""
    moves.moving.pop(name, None)


def _settle(
    moves: Moves, fleet: Fleet, busy: frozenset[MachineName], now_ms: int
) -> None:
    """Ends moves that are over."""
    for name, (target, ordered_ms) in list(moves.moving.items()):
        machine = fleet.machines.get(name)
        is_there = (
            machine is not None
            and machine.pool == target
            and machine.state is MachineState.UP
        )
        if machine is None or is_there or now_ms - ordered_ms > MOVE_TIMEOUT_MS:
            del moves.moving[name]
    for name in list(moves.leaving):
        machine = fleet.machines.get(name)
        if machine is None or name in busy or machine.state is not MachineState.UP:
            del moves.leaving[name]


@dataclass(slots=True)
class _Balance:
    """Machines of one pool: what it has, needs now, and keeps for what may come."""

    have: int
    needed: int
    kept: int

    @property
    def short(self) -> int:
        return self.needed - self.have

    @property
    def lacking(self) -> int:
        return max(self.needed, self.kept) - self.have


def _balances(
    moves: Moves, fleet: Fleet, loads: Mapping[PoolName, PoolLoad], now_ms: int
) -> dict[PoolName, _Balance]:
    have: Counter[PoolName] = Counter()
    for machine in fleet.machines.values():
        pool = machine.pool
        if machine.name in moves.moving:
            pool = moves.moving[machine.name][0]
        elif machine.name in moves.leaving:
            pool = moves.leaving[machine.name]
        elif machine.state is MachineState.DOWN:
            continue
        have[pool] += 1
    balances = {}
    for pool, load in loads.items():
        kept = math.ceil(KEPT_SHARE * moves.homes.get(pool, 0))
        balance = _Balance(have[pool], hosts_needed(load), kept)
        balances[pool] = balance
        if balance.short < 0:
            moves.surplus_since_ms.setdefault(pool, now_ms)
        else:
            moves.surplus_since_ms.pop(pool, None)
    return balances


def _neediest(
    balances: Mapping[PoolName, _Balance],
    machine: Machine,
    kinds: Mapping[PoolName, set[str]],
) -> PoolName | None:
    """Returns the pool that a machine helps most: work goes before readiness."""
    pools = [
        pool
        for pool, balance in balances.items()
        if balance.lacking > 0 and machine.kind in kinds.get(pool, {machine.kind})
    ]
    return max(
        pools,
        key=lambda pool: (max(balances[pool].short, 0), balances[pool].lacking),
        default=None,
    )


def _from_standby(
    moves: Moves,
    up: Iterable[Machine],
    balances: Mapping[PoolName, _Balance],
    standby: frozenset[PoolName],
    kinds: Mapping[PoolName, set[str]],
) -> list[MoveMachine]:
    """Orders machines that stand by to the pools that lack most."""
    orders = []
    ready = [m for m in up if m.pool in standby and m.name not in moves.leaving]
    for machine in ready:
        pool = _neediest(balances, machine, kinds)
        if pool is not None:
            balances[pool].have += 1
            orders.append(MoveMachine(machine.name, pool))
    return orders


def _kinds(fleet: Fleet) -> dict[PoolName, set[str]]:
    kinds: dict[PoolName, set[str]] = {}
    for machine in fleet.machines.values():
        kinds.setdefault(machine.pool, set()).add(machine.kind)
    return kinds


def _choose_leaving(
    moves: Moves,
    up: Iterable[Machine],
    loads: Mapping[PoolName, PoolLoad],
    balances: Mapping[PoolName, _Balance],
    standby: frozenset[PoolName],
    kinds: Mapping[PoolName, set[str]],
    now_ms: int,
) -> None:
    """Lets idle machines of pools with too many go where they are needed.

    Machines that are only kept for what may come go to pools that are short now.
    """
    for machine in up:
        load, balance = loads.get(machine.pool), balances.get(machine.pool)
        if load is None or balance is None or machine.name in moves.leaving:
            continue
        since_ms = moves.surplus_since_ms.get(machine.pool, now_ms)
        if machine.host not in load.idle or now_ms - since_ms < SURPLUS_MS:
            continue
        target = _neediest(balances, machine, kinds)
        is_lent = target is not None and balances[target].short > 0
        if balance.short >= 0 or (balance.lacking >= 0 and not is_lent):
            continue
        if target is not None:
            balances[target].have += 1
        elif standby:
            target = min(standby)
        else:
            continue
        balance.have -= 1
        moves.leaving[machine.name] = target
