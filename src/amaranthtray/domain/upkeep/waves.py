"""Selects the machines that a wave empties and maintains next; without I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Set
from dataclasses import dataclass

from ..ids import HostId, PoolName
from .model import (
    Machine,
    MachineName,
    MachineState,
    MaintainMachine,
    OrderOutcome,
    Wave,
    WaveRequest,
)

EXPECTED_MACHINE_MS = 7_000
"""Expected time of one machine for emptying, maintenance and return."""

RETURN_ASSUMED_MS = 5_000
"""Time after its confirmed order at which a machine that is up counts as returned."""

MISSING_MS = 5_000
"""Time after which a machine that the platform does not list no longer exists; a page
of the list may omit an existing machine once."""

PACE_FACTOR = 2.5
"""Factor by which maintenance is planned faster than required, to allow for delays."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """All machines at one moment.

    Attributes:
        machines: Machines by name.
        vacant: Hosts that their pool's conductor has emptied.
    """

    machines: Mapping[MachineName, Machine]
    vacant: Set[HostId]


@dataclass(frozen=True, slots=True)
class WavePlan:
    """Hosts to empty and maintenance to order now.

    Attributes:
        vacate: Hosts to empty, with their pool.
        orders: Maintenance orders to send.
    """

    vacate: tuple[tuple[PoolName, HostId], ...]
    orders: tuple[MaintainMachine, ...]


def plan_wave(wave: Wave, fleet: Fleet, now_ms: int) -> WavePlan:
    """Records which machines have returned, and selects the next ones."""
    _record_returns(wave, fleet, now_ms)
    selected = _select_machines(wave, fleet, now_ms)
    wave.selected_hosts = {each.host for each in selected if each.host}
    wave.selected_machines = {each.name for each in selected}
    vacate = tuple((each.pool, each.host) for each in selected if each.host)
    room = wave.request.cap - len(_down_machines(wave, fleet))
    empty = [each for each in selected if not each.host or each.host in fleet.vacant]
    orders = [MaintainMachine(each.name, wave.request.number) for each in empty]
    return WavePlan(vacate, (*_orders_to_repeat(wave, fleet), *orders[: max(room, 0)]))


def record_order(wave: Wave, machine: Machine, now_ms: int) -> None:
    """Records that an order is about to be sent; the machine counts as down now."""
    wave.down[machine.name] = machine.host
    wave.ordered_ms[machine.name] = now_ms


def handle_reply(wave: Wave, name: MachineName, outcome: OrderOutcome) -> None:
    """Applies the outcome of an order.

    An order that may have been carried out, or may be later, is repeated until it
    certainly was: a refusal may mean that it is being carried out.
    """
    match outcome:
        case OrderOutcome.DONE:
            wave.confirmed.add(name)
        case OrderOutcome.UNKNOWN:
            wave.uncertain.add(name)
        case OrderOutcome.REFUSED if name not in wave.uncertain:
            _clear_order(wave, name)
        case OrderOutcome.HOPELESS:
            _clear_order(wave, name)
            wave.done.add(name)


def _clear_order(wave: Wave, name: MachineName) -> None:
    wave.down.pop(name, None)
    wave.confirmed.discard(name)
    wave.uncertain.discard(name)


def _down_machines(wave: Wave, fleet: Fleet) -> set[MachineName]:
    """Returns the machines of the wave that are or may be down for it."""
    maintained = {
        name
        for name in wave.request.machines
        if name in fleet.machines
        and fleet.machines[name].state is MachineState.MAINTAINED
    }
    return maintained | set(wave.down)


def hosts_going_down(wave: Wave, fleet: Fleet) -> list[tuple[PoolName, HostId]]:
    """Returns the host incarnations that must stay empty until they have ended."""
    return [
        (fleet.machines[name].pool, host)
        for name, host in wave.down.items()
        if name in fleet.machines and host
    ]


def _orders_to_repeat(wave: Wave, fleet: Fleet) -> list[MaintainMachine]:
    """Returns the unconfirmed orders of machines that are up with the same host."""
    return [
        MaintainMachine(name, wave.request.number)
        for name, old_host in wave.down.items()
        if name not in wave.confirmed
        and name in fleet.machines
        and fleet.machines[name].state is MachineState.UP
        and fleet.machines[name].host == old_host
    ]


def new_wave(request: WaveRequest, now_ms: int, wall_ms: int) -> Wave:
    """Returns a wave without any progress."""
    return Wave(request, now_ms, wall_ms)


def resume(wave: Wave, begun_wall_ms: int, now_ms: int, wall_ms: int) -> None:
    """Sets the begin of the wave that an earlier holder stored.

    A takeover thus does not prolong the wave. Wall clocks may jump, so the begin is
    limited to the time between ``duration_ms`` ago and now.
    """
    passed_ms = min(max(wall_ms - begun_wall_ms, 0), wave.request.duration_ms)
    wave.begun_ms, wave.begun_wall_ms = now_ms - passed_ms, begun_wall_ms


def _record_returns(wave: Wave, fleet: Fleet, now_ms: int) -> None:
    """Updates machines that have returned or are permanently gone."""
    _record_missing(wave, fleet, now_ms)
    for name, old_host in list(wave.down.items()):
        machine = fleet.machines.get(name)
        since_ms = now_ms - wave.ordered_ms.setdefault(name, now_ms)
        if machine is None or machine.state is not MachineState.UP:
            continue
        is_host_changed = machine.host != old_host
        if name not in wave.confirmed and is_host_changed:
            # The machine crashed, or had its maintenance: the next order shows which.
            _clear_order(wave, name)
        elif name in wave.confirmed and (
            is_host_changed or since_ms > RETURN_ASSUMED_MS
        ):
            _clear_order(wave, name)
            wave.done.add(name)


def _record_missing(wave: Wave, fleet: Fleet, now_ms: int) -> None:
    """Marks machines that were missing from the list for too long as done."""
    for name in {*wave.left, *wave.down}:
        if name in fleet.machines:
            wave.missing_since_ms.pop(name, None)
        elif now_ms - wave.missing_since_ms.setdefault(name, now_ms) > MISSING_MS:
            _clear_order(wave, name)
            wave.done.add(name)


def _select_machines(wave: Wave, fleet: Fleet, now_ms: int) -> list[Machine]:
    """Returns the machines to empty or maintain now, spread over the pools."""
    left = [fleet.machines[name] for name in wave.left if name in fleet.machines]
    up = [each for each in left if each.state is MachineState.UP]
    left_ms = max(wave.begun_ms + wave.request.duration_ms - now_ms, 1)
    pace = math.ceil(len(left) * EXPECTED_MACHINE_MS * PACE_FACTOR / left_ms)
    wanted = min(wave.request.cap, max(pace, 1)) - len(wave.down)
    counts: Counter[PoolName] = Counter(
        fleet.machines[name].pool for name in wave.down if name in fleet.machines
    )
    # Machines that are being emptied stay selected, as some tasks have already moved.
    selected = [each for each in up if each.host and each.host in wave.selected_hosts]
    counts.update(each.pool for each in selected)
    up = sorted(
        (each for each in up if each not in selected), key=lambda each: each.name
    )

    def sort_key(each: Machine) -> tuple[bool, int]:
        """Puts empty machines first, then those of the least selected pool."""
        return each.host not in fleet.vacant, counts[each.pool]

    while up and len(selected) < wanted:
        best = min(up, key=sort_key)
        up.remove(best)
        counts[best.pool] += 1
        selected.append(best)
    return selected
