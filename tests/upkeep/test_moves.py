"""Moves between pools: by need, with a retained share, and only of empty machines."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.ids import HostId, PoolName, ZoneId
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.upkeep.model import (
    Machine,
    MachineName,
    MachineState,
    MoveMachine,
)
from amaranthtray.domain.upkeep.moves import (
    MovePlan,
    Moves,
    PoolLoad,
    plan_moves,
    record_order,
)
from amaranthtray.domain.upkeep.waves import Fleet

BUSY, IDLE, SPARE = PoolName("busy"), PoolName("idle"), PoolName("spare")
SIZE = Resources(10_000, 10_000, 0)


def machines(pool: PoolName, count: int) -> list[Machine]:
    return [
        Machine(
            name=MachineName(f"{pool}-{number}"),
            pool=pool,
            state=MachineState.UP,
            host=HostId(f"life-{pool}-{number}"),
            kind="a",
        )
        for number in range(count)
    ]


def plan(
    moves: Moves, fleet: Fleet, cores: dict[PoolName, int], now_ms: int = 0
) -> MovePlan:
    loads = {
        pool: PoolLoad(
            Resources(1_000 * need, 0, 0),
            SIZE,
            tuple(m.host for m in fleet.machines.values() if m.pool == pool),
        )
        for pool, need in cores.items()
    }
    return plan_moves(moves, fleet, loads, frozenset({SPARE}), frozenset(), now_ms)


def a_fleet(vacant: bool = False) -> Fleet:
    every = machines(BUSY, 6) + machines(IDLE, 6) + machines(SPARE, 3)
    hosts = {machine.host for machine in every} if vacant else set()
    return Fleet({machine.name: machine for machine in every}, hosts)


def some_moves() -> Moves:
    return Moves(assigned_counts={BUSY: 6, IDLE: 6})


def test_standby_machines_go_to_the_pool_with_a_shortage() -> None:
    orders = plan(some_moves(), a_fleet(), {BUSY: 60, IDLE: 30}).orders
    assert [order.pool for order in orders] == [BUSY, BUSY]


def test_an_idle_pool_keeps_its_retained_share() -> None:
    moves, fleet = some_moves(), a_fleet(vacant=True)
    plan(moves, fleet, {BUSY: 48, IDLE: 0})
    orders = plan(moves, fleet, {BUSY: 48, IDLE: 0}, 2_000).orders
    assert [order.pool for order in orders] == [SPARE] * 3


def test_a_machine_moves_only_once_it_is_empty() -> None:
    moves, fleet = some_moves(), a_fleet()
    plan(moves, fleet, {BUSY: 48, IDLE: 0})
    planned = plan(moves, fleet, {BUSY: 48, IDLE: 0}, 2_000)
    assert not planned.orders
    assert [pool for pool, _ in planned.vacate] == [IDLE] * 3


def test_a_shortage_does_not_wait_while_another_pool_has_idle_machines() -> None:
    planned = plan(some_moves(), a_fleet(), {BUSY: 100, IDLE: 0})
    assert [pool for pool, _ in planned.vacate] == [IDLE] * 4


def test_a_short_surplus_sends_no_machine_to_standby() -> None:
    planned = plan(some_moves(), a_fleet(), {BUSY: 48, IDLE: 0}, 1_000)
    assert not planned.vacate


def test_a_moving_machine_counts_for_its_target_pool() -> None:
    moves, fleet = some_moves(), a_fleet()
    for order in plan(moves, fleet, {BUSY: 60, IDLE: 30}).orders:
        record_order(moves, order, 0)
    assert not plan(moves, fleet, {BUSY: 60, IDLE: 30}, 500).orders


def test_retained_machines_go_to_a_pool_with_a_shortage() -> None:
    moves, fleet = some_moves(), a_fleet(vacant=True)
    cores = {BUSY: 120, IDLE: 0}
    plan(moves, fleet, cores)
    orders = plan(moves, fleet, cores, 2_000).orders
    from_idle = [each for each in orders if each.machine.startswith(IDLE)]
    assert [each.pool for each in from_idle] == [BUSY] * 4


def test_a_shortage_goes_before_the_retained_share() -> None:
    moves = some_moves()
    every = machines(BUSY, 6) + machines(IDLE, 2) + machines(SPARE, 1)
    fleet = Fleet({machine.name: machine for machine in every}, set())
    orders = plan(moves, fleet, {BUSY: 52, IDLE: 0}).orders
    assert [order.pool for order in orders] == [BUSY]


def test_machines_go_to_work_in_time_before_late_work() -> None:
    """The other pool is in arrears with several times as much."""
    fleet = a_fleet()
    loads = {
        BUSY: PoolLoad(need=Resources(60_000), host=SIZE),
        IDLE: PoolLoad(late=Resources(400_000), host=SIZE),
    }
    orders = plan_moves(
        some_moves(), fleet, loads, frozenset({SPARE}), frozenset(), 0
    ).orders
    assert [order.pool for order in orders] == [BUSY, BUSY, IDLE]


def test_no_machine_moves_to_a_pool_of_another_kind() -> None:
    moves = some_moves()
    every = machines(BUSY, 6) + [
        replace(machine, kind="b") for machine in machines(IDLE, 6)
    ]
    hosts = {machine.host for machine in every}
    fleet = Fleet({machine.name: machine for machine in every}, hosts)
    cores = {BUSY: 120, IDLE: 0}
    plan(moves, fleet, cores)
    orders = plan(moves, fleet, cores, 2_000).orders
    assert all(order.pool == SPARE for order in orders)


def test_machines_of_an_evacuated_zone_neither_move_nor_count() -> None:
    """Of both pools' and the standby machines, the odd ones are in the zone."""
    zones = (ZoneId("kept"), ZoneId("evacuated"))
    every = [
        replace(machine, zone=zones[number % 2])
        for pool, count in ((BUSY, 6), (IDLE, 6), (SPARE, 4))
        for number, machine in enumerate(machines(pool, count))
    ]
    moves = some_moves()
    fleet = Fleet({machine.name: machine for machine in every}, {m.host for m in every})
    idle = PoolLoad(host=SIZE, idle=tuple(machine.host for machine in every))
    loads = {BUSY: PoolLoad(need=Resources(60_000), host=SIZE), IDLE: idle}
    moves.leaving[MachineName("idle-1")] = BUSY
    none, evacuated = frozenset[MachineName](), frozenset({zones[1]})
    planned = plan_moves(moves, fleet, loads, frozenset({SPARE}), none, 0, evacuated)
    moved = {order.machine for order in planned.orders}
    assert planned.lacking[BUSY] == 5
    assert planned.lacking[IDLE] == 0
    assert moved == {"spare-0", "spare-2", "idle-0"}
    assert not moves.leaving


def test_the_host_of_a_machine_whose_move_has_no_reply_stays_empty() -> None:
    """Guards against runs on a host that a late order takes away."""
    moves, fleet = some_moves(), a_fleet()
    machine = fleet.machines[MachineName("idle-0")]
    record_order(moves, MoveMachine(machine.name, BUSY), 0)
    assert (IDLE, machine.host) in plan(moves, fleet, {BUSY: 40, IDLE: 10}).vacate
    arrived = replace(machine, pool=BUSY, host=HostId("next-life"))
    fleet = replace(fleet, machines={**fleet.machines, machine.name: arrived})
    assert not plan(moves, fleet, {BUSY: 40, IDLE: 10}).vacate
