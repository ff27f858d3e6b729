"""Moves between pools: by need, with a floor, and only of empty machines."""

from __future__ import annotations

from amaranthtray.domain.ids import HostId, PoolName
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.upkeep.model import Machine, MachineName, MachineState
from amaranthtray.domain.upkeep.moves import (
    MovePlan,
    Moves,
    PoolLoad,
    plan_moves,
    take_order,
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
    return Moves(homes={BUSY: 6, IDLE: 6})


def test_machines_that_stand_by_go_to_the_pool_that_lacks() -> None:
    orders = plan(some_moves(), a_fleet(), {BUSY: 60, IDLE: 30}).orders
    assert [order.pool for order in orders] == [BUSY, BUSY]


def test_an_idle_pool_keeps_two_thirds() -> None:
    moves, fleet = some_moves(), a_fleet(vacant=True)
    plan(moves, fleet, {BUSY: 48, IDLE: 0})
    orders = plan(moves, fleet, {BUSY: 48, IDLE: 0}, 2_000).orders
    assert [order.pool for order in orders] == [SPARE]


def test_a_machine_moves_only_once_it_is_empty() -> None:
    moves, fleet = some_moves(), a_fleet()
    plan(moves, fleet, {BUSY: 48, IDLE: 0})
    found = plan(moves, fleet, {BUSY: 48, IDLE: 0}, 2_000)
    assert not found.orders
    assert [pool for pool, _ in found.vacate] == [IDLE]


def test_a_move_under_way_counts_where_it_goes() -> None:
    moves, fleet = some_moves(), a_fleet()
    for order in plan(moves, fleet, {BUSY: 60, IDLE: 30}).orders:
        take_order(moves, order, 0)
    assert not plan(moves, fleet, {BUSY: 60, IDLE: 30}, 500).orders
