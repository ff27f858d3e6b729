"""Waves: the cap holds, and only maintained machines count as done."""

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


def test_the_cap_holds_until_machines_have_returned() -> None:
    wave, fleet = a_wave(), a_fleet()
    assert order_all(wave, fleet, OrderOutcome.DONE, 0) == 2
    assert order_all(wave, fleet, OrderOutcome.DONE, 200) == 0
    returned = [a_machine(name, f"new-{name}") for name in wave.down]
    assert order_all(wave, a_fleet(*returned), OrderOutcome.DONE, 2_000) == 2
    assert len(wave.done) == 2


def test_a_machine_under_maintenance_counts_without_a_recorded_order() -> None:
    maintained = [a_machine(name, state=MachineState.MAINTAINED) for name in NAMES[:2]]
    assert not plan_wave(a_wave(), a_fleet(*maintained), 0).orders


def test_an_order_without_a_reply_does_not_count_as_maintenance() -> None:
    wave, fleet = a_wave(cap=1), a_fleet()
    assert order_all(wave, fleet, OrderOutcome.UNKNOWN, 0) == 1
    name = next(iter(wave.down))
    crashed = a_fleet(a_machine(name, "another-life"))
    plan_wave(wave, crashed, 9_000)
    assert name not in wave.done
    assert name in wave.left


def test_an_order_without_a_reply_is_repeated() -> None:
    wave, fleet = a_wave(cap=1), a_fleet()
    order_all(wave, fleet, OrderOutcome.UNKNOWN, 0)
    name = next(iter(wave.down))
    assert [order.machine for order in plan_wave(wave, fleet, 200).orders] == [name]
    handle_reply(wave, name, OrderOutcome.REFUSED)
    assert name in wave.down


def test_a_machine_without_a_host_counts_as_returned_after_a_delay() -> None:
    wave = a_wave(cap=1)
    without_host = [a_machine(name, " ") for name in NAMES]
    fleet = a_fleet(*without_host)
    order_all(wave, fleet, OrderOutcome.DONE, 0)
    plan_wave(wave, fleet, 4_000)
    assert not wave.done
    plan_wave(wave, fleet, 6_000)
    assert len(wave.done) == 1


def test_a_machine_missing_once_from_the_list_is_not_removed() -> None:
    wave = a_wave()
    fleet = Fleet({name: a_machine(name) for name in NAMES[1:]}, set())
    plan_wave(wave, fleet, 0)
    assert not wave.done
    plan_wave(wave, fleet, 6_000)
    assert wave.done == {NAMES[0]}


def test_a_new_holder_does_not_restart_the_time_of_a_wave() -> None:
    """A wave of 60 s, 54 of which have passed, empties more machines at once."""
    request = WaveRequest(number=1, machines=NAMES, duration_ms=60_000, cap=4)
    wave = new_wave(request, 50_000, 54_000)
    assert len(plan_wave(wave, a_fleet(vacant=False), 50_000).vacate) == 2
    resume(wave, 0, 50_000, 54_000)
    assert len(plan_wave(wave, a_fleet(vacant=False), 50_000).vacate) == 4


def test_a_wall_clock_jump_shifts_a_wave_only_within_its_duration() -> None:
    wave = a_wave()
    resume(wave, 90_000, 50_000, 8_000)
    assert wave.begun_ms == 50_000
    resume(wave, 0, 50_000, 900_000)
    assert wave.begun_ms == 40_000


def test_a_machine_that_is_being_emptied_stays_selected() -> None:
    """One of two machines is empty first and ordered; the other one stays selected."""
    wave = a_wave()
    first = plan_wave(wave, a_fleet(vacant=False), 0).vacate
    one, other = (host for _, host in first)
    fleet = a_fleet(vacant=False)
    machine = next(each for each in fleet.machines.values() if each.host == one)
    record_order(wave, machine, 100)
    handle_reply(wave, machine.name, OrderOutcome.DONE)
    wave.request = replace(wave.request, duration_ms=1_000_000)
    assert other in [host for _, host in plan_wave(wave, fleet, 200).vacate]
