"""Selects the machines that move to another pool; without I/O.

A pool gets machines as soon as its work does not fit, and releases machines that it
has not needed for a while. Machines that no pool needs move to a standby pool, where
they cost nothing, if there is one.

In a burst a move takes as long as a caller can wait, so a growing need is extrapolated.
When the fleet is too small, late jobs draw few machines: those go to pools whose work
can still end in time. With a forecast of demand, machines that no pool needs are moved
to a pool before its next peak.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..ids import HostId, PoolName, ZoneId
from ..jobs.model import NO_RESOURCES, Resources
from .balance import Balance, neediest
from .demand import hosts_for
from .expectations import DemandReport, Expectations
from .model import Machine, MachineName, MachineState, MoveMachine
from .trend import NeedTrend

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .waves import Fleet

HEADROOM_FACTOR = 1.25
"""Multiple of the need that a pool gets, as tasks pack imperfectly and more arrive."""

ARRIVAL_MS = 2_300
"""Time ahead for which a growing need is extrapolated: that of a move (1.5 s), of the
report of the need before it, and of the listing of the new host after it."""

LATE_SHARE = 0.5
"""Part of the machines for late work that a pool asks for."""

MIN_HOSTS = 2
"""Minimum size of a pool, so that the loss of one host stops no work."""

SURPLUS_DELAY_MS = 1_500
"""Time for which a pool must have a surplus before machines leave it for a pool that
does not need them now."""

RETAINED_SHARE = 0.5
"""Part of the machines that operators gave a pool which it always retains: they must
suffice while the duty that moves machines has no holder or can't reach the platform."""

MOVE_TIMEOUT_MS = 15_000
"""Longest time for a move to complete; after it, the machine is planned again."""


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool as its conductor reports it.

    Attributes:
        need: Resources of the running and waiting tasks of jobs that can end in time.
        host: Resources of one host of the pool.
        idle: Hosts without runs.
        wanted: Number of hosts at which every task could be placed; 0 if every task
            is.
        late: Resources of the running and waiting tasks of the other jobs.
    """

    need: Resources = NO_RESOURCES
    host: Resources = NO_RESOURCES
    idle: tuple[HostId, ...] = ()
    wanted: int = 0
    late: Resources = NO_RESOURCES


@dataclass(slots=True)
class Moves:
    """State of the moves in progress and of the pools.

    Attributes:
        leaving: Machines that are being emptied, with their target pool.
        moving: Machines whose move was ordered, with target pool and time of the order.
        surplus_since_ms: Steady-clock time since which a pool has had more machines
            than its work needs.
        assigned_counts: Number of machines that operators first gave each pool.
        trends: Recent needs of each pool.
        demand: Peaks that are expected; None without a forecast of demand.
    """

    leaving: dict[MachineName, PoolName] = field(default_factory=dict)
    moving: dict[MachineName, tuple[PoolName, int]] = field(default_factory=dict)
    surplus_since_ms: dict[PoolName, int] = field(default_factory=dict)
    assigned_counts: dict[PoolName, int] = field(default_factory=dict)
    trends: dict[PoolName, NeedTrend] = field(default_factory=dict)
    demand: Expectations | None = None


@dataclass(frozen=True, slots=True)
class MovePlan:
    """Hosts to empty and moves to order now.

    Attributes:
        vacate: Hosts to empty, with their pool.
        orders: Moves to order.
        lacking: Number of machines that each pool lacked; negative for a surplus.
        demand: Expected peaks, and what became of them.
    """

    vacate: tuple[tuple[PoolName, HostId], ...]
    orders: tuple[MoveMachine, ...]
    lacking: Mapping[PoolName, int]
    demand: tuple[DemandReport, ...] = ()


def hosts_needed(load: PoolLoad) -> int:
    """Returns how many machines a pool needs for its work that can end in time."""
    by_amounts = math.ceil(HEADROOM_FACTOR * hosts_for(load.need, load.host))
    return max(MIN_HOSTS, by_amounts, load.wanted)


def plan_moves(
    moves: Moves,
    fleet: Fleet,
    loads: Mapping[PoolName, PoolLoad],
    standby: frozenset[PoolName],
    busy: frozenset[MachineName],
    now_ms: int,
    evacuated: frozenset[ZoneId] = frozenset(),
) -> MovePlan:
    """Selects machines to move, and updates ``moves``.

    Args:
        moves: State of the moves in progress.
        fleet: All machines and the hosts that were emptied.
        loads: Reported load of each pool.
        standby: Pools whose machines are off.
        busy: Machines that a wave is about to maintain.
        now_ms: Steady-clock time.
        evacuated: Zones whose machines neither move nor count.
    """
    _finish_moves(moves, fleet, busy, now_ms)
    kinds, listed = _kinds_by_pool(fleet), fleet.machines
    fleet = _outside(evacuated, fleet, moves)
    available = _available(moves, fleet, busy)
    withdrawn = moves.demand.withdraw(moves.leaving) if moves.demand else frozenset()
    balances = _balances(moves, fleet, loads, now_ms)
    lacked = {pool: balance.lacking for pool, balance in balances.items()}
    reports = _expect_peaks(moves, loads, balances, len(fleet.machines), now_ms)
    orders = _move_standby(moves, available, balances, standby, kinds)
    idle = _idle(available, loads, withdrawn)
    _select_leaving(moves, idle, balances, standby, kinds, now_ms)
    vacate = []
    for name, target in list(moves.leaving.items()):
        machine = fleet.machines[name]
        vacate.append((machine.pool, machine.host))
        if machine.host in fleet.vacant:
            del moves.leaving[name]
            orders.append(MoveMachine(name, target))
    vacate += _departing(moves, listed, standby)
    return MovePlan(tuple(vacate), tuple(orders), lacked, reports)


def record_order(moves: Moves, order: MoveMachine, now_ms: int) -> None:
    """Records that an order is about to be sent."""
    moves.moving[order.machine] = (order.pool, now_ms)


def remove_order(moves: Moves, name: MachineName) -> None:
    """Removes a move whose order was refused."""
    moves.moving.pop(name, None)


def _finish_moves(
    moves: Moves, fleet: Fleet, busy: frozenset[MachineName], now_ms: int
) -> None:
    """Removes moves that have arrived, timed out, or became obsolete."""
    for name, (target, ordered_ms) in list(moves.moving.items()):
        machine = fleet.machines.get(name)
        has_arrived = (
            machine is not None
            and machine.pool == target
            and machine.state is MachineState.UP
        )
        if machine is None or has_arrived or now_ms - ordered_ms > MOVE_TIMEOUT_MS:
            del moves.moving[name]
    for name in list(moves.leaving):
        machine = fleet.machines.get(name)
        if machine is None or name in busy or machine.state is not MachineState.UP:
            del moves.leaving[name]


def _departing(
    moves: Moves,
    machines: Mapping[MachineName, Machine],
    standby: frozenset[PoolName],
) -> list[tuple[PoolName, HostId]]:
    """Returns the hosts of machines whose move was ordered and that are still there.

    An order without a reply may be carried out at any time, so they stay empty.
    """
    return [
        (machine.pool, machine.host)
        for name, (target, _) in moves.moving.items()
        if (machine := machines.get(name)) is not None
        and machine.state is MachineState.UP
        and machine.pool != target
        and machine.pool not in standby
        and machine.host
    ]


def _available(
    moves: Moves, fleet: Fleet, busy: frozenset[MachineName]
) -> list[Machine]:
    """Returns the machines that are up and neither moving nor busy."""
    return [
        machine
        for machine in fleet.machines.values()
        if machine.state is MachineState.UP
        and machine.name not in busy
        and machine.name not in moves.moving
    ]


def _idle(
    available: Iterable[Machine],
    loads: Mapping[PoolName, PoolLoad],
    withdrawn: frozenset[MachineName],
) -> list[Machine]:
    """Returns the machines without runs, first those that are being emptied already.

    Hosts that are being emptied are not reported as idle.
    """
    idle = [
        machine
        for machine in available
        if machine.pool in loads
        and (machine.name in withdrawn or machine.host in loads[machine.pool].idle)
    ]
    return sorted(idle, key=lambda machine: machine.name not in withdrawn)


def _outside(evacuated: frozenset[ZoneId], fleet: Fleet, moves: Moves) -> Fleet:
    """Returns the machines outside evacuated zones; those inside stop leaving."""
    if not evacuated:
        return fleet
    machines = {
        name: machine
        for name, machine in fleet.machines.items()
        if machine.zone not in evacuated
    }
    for name in [name for name in moves.leaving if name not in machines]:
        del moves.leaving[name]
    return replace(fleet, machines=machines)


def _balances(
    moves: Moves, fleet: Fleet, loads: Mapping[PoolName, PoolLoad], now_ms: int
) -> dict[PoolName, Balance]:
    have: Counter[PoolName] = Counter()
    arrived: Counter[PoolName] = Counter()
    for machine in fleet.machines.values():
        pool = machine.pool
        if machine.name in moves.moving:
            pool = moves.moving[machine.name][0]
        elif machine.name in moves.leaving:
            pool = moves.leaving[machine.name]
        elif machine.state is MachineState.DOWN:
            continue
        have[pool] += 1
        arrived[machine.pool] += machine.state is MachineState.UP
    balances = {}
    for pool, load in loads.items():
        retained = math.ceil(RETAINED_SHARE * moves.assigned_counts.get(pool, 0))
        trend = moves.trends.setdefault(pool, NeedTrend())
        trend.record(load.need, now_ms)
        needed = hosts_needed(load)
        if needed > min(have[pool], arrived[pool]):
            # Also while enough machines for the present need are on their way: until
            # they arrive, the need of a burst has grown beyond them.
            forecast = trend.forecast(ARRIVAL_MS)
            needed = max(needed, math.ceil(hosts_for(forecast, load.host)))
        late = math.ceil(LATE_SHARE * hosts_for(load.late, load.host))
        balance = balances[pool] = Balance(have[pool], needed, late, retained)
        if balance.needed + balance.late < balance.have:
            moves.surplus_since_ms.setdefault(pool, now_ms)
        else:
            moves.surplus_since_ms.pop(pool, None)
    return balances


def _expect_peaks(
    moves: Moves,
    loads: Mapping[PoolName, PoolLoad],
    balances: Mapping[PoolName, Balance],
    machines: int,
    now_ms: int,
) -> tuple[DemandReport, ...]:
    """Records the needs, and adds machines for expected peaks to the balances."""
    demand = moves.demand
    if demand is None:
        return ()
    outcomes = demand.record(loads, now_ms)
    for pool, balance in balances.items():
        history = demand.histories[pool]
        peak = balance.peak = history.expected(now_ms)
        if peak is not None:
            balance.peak_machines = hosts_needed(PoolLoad(peak.need, history.host))
    return (*outcomes, *demand.hold(balances, machines, ARRIVAL_MS, now_ms))


def _move_standby(
    moves: Moves,
    available: Iterable[Machine],
    balances: Mapping[PoolName, Balance],
    standby: frozenset[PoolName],
    kinds: Mapping[PoolName, set[str]],
) -> list[MoveMachine]:
    """Orders standby machines to the pools that lack most."""
    orders = []
    ready = [m for m in available if m.pool in standby and m.name not in moves.leaving]
    for machine in ready:
        pool = neediest(balances, machine, kinds)
        if pool is not None:
            balances[pool].have += 1
            orders.append(MoveMachine(machine.name, pool))
    return orders


def _kinds_by_pool(fleet: Fleet) -> dict[PoolName, set[str]]:
    kinds: dict[PoolName, set[str]] = {}
    for machine in fleet.machines.values():
        kinds.setdefault(machine.pool, set()).add(machine.kind)
    return kinds


def _select_leaving(
    moves: Moves,
    idle: Iterable[Machine],
    balances: Mapping[PoolName, Balance],
    standby: frozenset[PoolName],
    kinds: Mapping[PoolName, set[str]],
    now_ms: int,
) -> None:
    """Selects idle machines of pools with a surplus to leave for another pool.

    Machines that a pool only retains for future load, or for late work, go to pools
    with a shortage.
    """
    for machine in idle:
        balance = balances.get(machine.pool)
        if balance is None or machine.name in moves.leaving:
            continue
        target = neediest(balances, machine, kinds)
        is_needed_now = target is not None and balances[target].shortage > 0
        since_ms = moves.surplus_since_ms.get(machine.pool, now_ms)
        if not is_needed_now and now_ms - since_ms < SURPLUS_DELAY_MS:
            continue
        if balance.shortage >= 0 or (balance.wanted >= 0 and not is_needed_now):
            continue
        if target is not None and not _may_leave(moves, machine, balances, target):
            continue
        if target is not None:
            balances[target].have += 1
        elif standby:
            target = min(standby)
        else:
            continue
        balance.have -= 1
        moves.leaving[machine.name] = target


def _may_leave(
    moves: Moves,
    machine: Machine,
    balances: Mapping[PoolName, Balance],
    target: PoolName,
) -> bool:
    """Returns whether a surplus machine may leave; records it if for a peak only."""
    if moves.demand is None or balances[target].lacking > 0:
        return True
    if not balances[machine.pool].may_lend(balances[target]):
        return False
    moves.demand.record_leaving(machine.name)
    return True
