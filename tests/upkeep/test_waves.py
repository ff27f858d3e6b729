"""Waves: the cap holds, and only machines that had their maintenance count."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.ids import HostId, PoolName
from amaranthtray.domain.upkeep.model import (
    Machine,
    MachineName,
    MachineState,
    OrderOutcome,
    Wave,
    WaveRequest,
)
from amaranthtray.domain.upkeep.waves import (
    Fleet,
    handle_reply,
    new_wave,
    plan_wave,
    record_order,
    resume,
)

NAMES = tuple(MachineName(f"m{number}") for number in range(4))


def a_wave(cap: int = 2) -> Wave:
    request = WaveRequest(number=1, machines=NAMES, duration_ms=10_000, cap=cap)
    return new_wave(request, 0, 0)


def a_machine(name: str, host: str = "", state: MachineState = MachineState.UP):  # noqa: ANN201
    return Machine(
        name=MachineName(name),
        pool=PoolName("p"),
        state=state,
        host=HostId(host or f"life-of-{name}"),
    )


def a_fleet(*changed: Machine, vacant: bool = True) -> Fleet:
    machines = {name: a_machine(name) for name in NAMES}
    machines |= {machine.name: machine for machine in changed}
    hosts = {machine.host for machine in machines.values()} if vacant else set()
    return Fleet(machines, hosts)


def order_all(wave: Wave, fleet: Fleet, outcome: OrderOutcome, now_ms: int) -> int:
    orders = plan_wave(wave, fleet, now_ms).orders
    for order in orders:
        record_order(wave, fleet.machines[order.machine], now_ms)
        handle_reply(wave, order.machine, outcome)
    return len(orders)


def test_only_empty_machines_are_ordered() -> None:
    plan = plan_wave(a_wave(), a_fleet(vacant=False), 0)
    assert len(plan.vacate) == 2
    assert not plan.orders


def test_the_cap_holds_until_machines_are_back() -> None:
    wave, fleet = a_wave(), a_fleet()
    assert order_all(wave, fleet, OrderOutcome.DONE, 0) == 2
    assert order_all(wave, fleet, OrderOutcome.DONE, 200) == 0
    back = [a_machine(name, f"new-{name}") for name in wave.down]
    assert order_all(wave, a_fleet(*back), OrderOutcome.DONE, 2_000) == 2
    assert len(wave.done) == 2


def test_a_machine_under_maintenance_counts_though_its_order_was_forgotten() -> None:
    away = [a_machine(name, state=MachineState.MAINTAINED) for name in NAMES[:2]]
    assert not plan_wave(a_wave(), a_fleet(*away), 0).orders


def test_an_order_without_an_answer_is_no_maintenance() -> None:
    wave, fleet = a_wave(cap=1), a_fleet()
    assert order_all(wave, fleet, OrderOutcome.UNKNOWN, 0) == 1
    name = next(iter(wave.down))
    crashed = a_fleet(a_machine(name, "another-life"))
    plan_wave(wave, crashed, 9_000)
    assert name not in wave.done
    assert name in wave.left


def test_an_order_without_an_answer_is_repeated() -> None:
    wave, fleet = a_wave(cap=1), a_fleet()
    order_all(wave, fleet, OrderOutcome.UNKNOWN, 0)
    name = next(iter(wave.down))
    assert [order.machine for order in plan_wave(wave, fleet, 200).orders] == [name]
    handle_reply(wave, name, OrderOutcome.REFUSED)
    assert name in wave.down


def test_a_machine_that_is_off_is_back_after_a_while() -> None:
    wave = a_wave(cap=1)
    off = [a_machine(name, " ") for name in NAMES]
    fleet = a_fleet(*off)
    order_all(wave, fleet, OrderOutcome.DONE, 0)
    plan_wave(wave, fleet, 4_000)
    assert not wave.done
    plan_wave(wave, fleet, 6_000)
    assert len(wave.done) == 1


def test_a_machine_that_one_page_lacks_is_not_gone() -> None:
    wave = a_wave()
    fleet = Fleet({name: a_machine(name) for name in NAMES[1:]}, set())
    plan_wave(wave, fleet, 0)
    assert not wave.done
    plan_wave(wave, fleet, 6_000)
    assert wave.done == {NAMES[0]}


def test_a_new_holder_does_not_begin_the_time_of_a_wave_anew() -> None:
    """A wave of 60 s, 54 of which have passed, empties more machines at once."""
    request = WaveRequest(number=1, machines=NAMES, duration_ms=60_000, cap=4)
    wave = new_wave(request, 50_000, 54_000)
    assert len(plan_wave(wave, a_fleet(vacant=False), 50_000).vacate) == 2
    resume(wave, 0, 50_000, 54_000)
    assert len(plan_wave(wave, a_fleet(vacant=False), 50_000).vacate) == 4


def test_a_jump_of_the_wall_clock_moves_a_wave_within_its_time_only() -> None:
    wave = a_wave()
    resume(wave, 90_000, 50_000, 8_000)
    assert wave.begun_ms == 50_000
    resume(wave, 0, 50_000, 900_000)
    assert wave.begun_ms == 40_000


def test_a_machine_that_is_being_emptied_stays_chosen() -> None:
    """One of two is empty first and goes; the other is not given up for that."""
    wave = a_wave()
    first = plan_wave(wave, a_fleet(vacant=False), 0).vacate
    one, other = (host for _, host in first)
    fleet = a_fleet(vacant=False)
    machine = next(each for each in fleet.machines.values() if each.host == one)
    record_order(wave, machine, 100)
    handle_reply(wave, machine.name, OrderOutcome.DONE)
    wave.request = replace(wave.request, duration_ms=1_000_000)
    assert other in [host for _, host in plan_wave(wave, fleet, 200).vacate]
