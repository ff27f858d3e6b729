"""Which machines are emptied and maintained next; pure."""

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

EXPECTED_MS = 7_000
"""Time that one machine is expected to take: emptying, maintenance, return."""

UNSEEN_MS = 5_000
"""A machine that is up so long after its order was carried out is back."""

GONE_MS = 5_000
"""A machine that the list lacks for so long is gone; a page may miss one once."""

SPEED_UP = 2.5
"""Machines are taken so much faster than just in time, for delays on the way."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """What is known of the machines at one moment.

    Attributes:
        machines: All machines by name.
        vacant: Lives that their pool's conductor has emptied.
    """

    machines: Mapping[MachineName, Machine]
    vacant: Set[HostId]


@dataclass(frozen=True, slots=True)
class WavePlan:
    """What a wave needs now.

    Attributes:
        vacate: Lives that are to be emptied, by pool.
        orders: Machines that are maintained now.
    """

    vacate: tuple[tuple[PoolName, HostId], ...]
    orders: tuple[MaintainMachine, ...]


def plan_wave(wave: Wave, fleet: Fleet, now_ms: int) -> WavePlan:
    """Notes which machines are back, and chooses the next ones."""
    _note_returns(wave, fleet, now_ms)
    chosen = _next_machines(wave, fleet, now_ms)
    wave.selected_hosts = {each.host for each in chosen if each.host}
    wave.selected_machines = {each.name for each in chosen}
    vacate = tuple((each.pool, each.host) for each in chosen if each.host)
    room = wave.request.cap - len(_away(wave, fleet))
    ready = [each for each in chosen if not each.host or each.host in fleet.vacant]
    orders = [MaintainMachine(each.name, wave.request.number) for each in ready]
    return WavePlan(vacate, (*_repeats(wave, fleet), *orders[: max(room, 0)]))


def record_order(wave: Wave, machine: Machine, now_ms: int) -> None:
    """Notes that an order is about to be given; it counts as down from now on."""
    wave.down[machine.name] = machine.host
    wave.ordered_ms[machine.name] = now_ms


def handle_reply(wave: Wave, name: MachineName, outcome: OrderOutcome) -> None:
    """Takes the outcome of an order.

    One that may have been carried out, or may be later, is given again until it
    surely was: a refusal may mean that it is being carried out.
    """
    match outcome:
        case OrderOutcome.DONE:
            wave.confirmed.add(name)
        case OrderOutcome.UNKNOWN:
            wave.uncertain.add(name)
        case OrderOutcome.REFUSED if name not in wave.uncertain:
            _forget(wave, name)
        case OrderOutcome.HOPELESS:
            _forget(wave, name)
            wave.done.add(name)


def _forget(wave: Wave, name: MachineName) -> None:
    wave.down.pop(name, None)
    wave.confirmed.discard(name)
    wave.uncertain.discard(name)


def _away(wave: Wave, fleet: Fleet) -> set[MachineName]:
    """Returns the machines of the wave that are, or may be, down for it."""
    maintained = {
        name
        for name in wave.request.machines
        if name in fleet.machines
        and fleet.machines[name].state is MachineState.MAINTAINED
    }
    return maintained | set(wave.down)


def _repeats(wave: Wave, fleet: Fleet) -> list[MaintainMachine]:
    """Returns orders that were not surely carried out, for machines still empty."""
    return [
        MaintainMachine(name, wave.request.number)
        for name, former in wave.down.items()
        if name not in wave.confirmed
        and name in fleet.machines
        and fleet.machines[name].state is MachineState.UP
        and fleet.machines[name].host == former
    ]


def new_wave(request: WaveRequest, now_ms: int, wall_ms: int) -> Wave:
    """Returns a wave that nothing was done of."""
    return Wave(request, now_ms, wall_ms)


def resume(wave: Wave, begun_wall_ms: int, now_ms: int, wall_ms: int) -> None:
    """Takes over when an earlier holder saw the wave, so that no time is given twice.

    Wall clocks may jump: the wave counts as begun neither in the future nor longer
    ago than it may take.
    """
    passed_ms = min(max(wall_ms - begun_wall_ms, 0), wave.request.duration_ms)
    wave.begun_ms, wave.begun_wall_ms = now_ms - passed_ms, begun_wall_ms


def _note_returns(wave: Wave, fleet: Fleet, now_ms: int) -> None:
    """Ends the absence of machines that are back, or gone for good."""
    _note_missing(wave, fleet, now_ms)
    for name, former in list(wave.down.items()):
        machine = fleet.machines.get(name)
        since_ms = now_ms - wave.ordered_ms.setdefault(name, now_ms)
        if machine is None or machine.state is not MachineState.UP:
            continue
        is_other = machine.host != former
        if name not in wave.confirmed and is_other:
            # It crashed, or had its maintenance: the next order tells.
            _forget(wave, name)
        elif name in wave.confirmed and (is_other or since_ms > UNSEEN_MS):
            _forget(wave, name)
            wave.done.add(name)


def _note_missing(wave: Wave, fleet: Fleet, now_ms: int) -> None:
    """Takes machines as gone for good that the list has lacked for a while."""
    for name in {*wave.left, *wave.down}:
        if name in fleet.machines:
            wave.missing_since_ms.pop(name, None)
        elif now_ms - wave.missing_since_ms.setdefault(name, now_ms) > GONE_MS:
            _forget(wave, name)
            wave.done.add(name)


def _next_machines(wave: Wave, fleet: Fleet, now_ms: int) -> list[Machine]:
    """Returns machines to empty or maintain now, spread over the pools."""
    left = [fleet.machines[name] for name in wave.left if name in fleet.machines]
    up = [each for each in left if each.state is MachineState.UP]
    left_ms = max(wave.begun_ms + wave.request.duration_ms - now_ms, 1)
    pace = math.ceil(len(left) * EXPECTED_MS * SPEED_UP / left_ms)
    wanted = min(wave.request.cap, max(pace, 1)) - len(wave.down)
    taken: Counter[PoolName] = Counter(
        fleet.machines[name].pool for name in wave.down if name in fleet.machines
    )
    # What is being emptied goes on: the work of moving its tasks is done in part.
    chosen = [each for each in up if each.host and each.host in wave.selected_hosts]
    taken.update(each.pool for each in chosen)
    up = sorted((each for each in up if each not in chosen), key=lambda each: each.name)

    def cost(each: Machine) -> tuple[bool, int]:
        """Those that are empty already go first."""
        return each.host not in fleet.vacant, taken[each.pool]

    while up and len(chosen) < wanted:
        best = min(up, key=cost)
        up.remove(best)
        taken[best.pool] += 1
        chosen.append(best)
    return chosen
