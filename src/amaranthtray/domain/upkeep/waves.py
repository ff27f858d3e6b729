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
    WaveAsked,
)

EXPECTED_MS = 7_000
"""Time that one machine is expected to take: emptying, maintenance, return."""

UNSEEN_MS = 5_000
"""Maintenance of a machine that is off is over after this long."""

SPEED_UP = 1.6
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
    wave.asked_hosts = {each.host for each in chosen if each.host}
    wave.asked_machines = {each.name for each in chosen}
    vacate = tuple((each.pool, each.host) for each in chosen if each.host)
    room = wave.asked.cap - len(wave.down)
    ready = [each for each in chosen if not each.host or each.host in fleet.vacant]
    orders = [MaintainMachine(each.name, wave.asked.number) for each in ready]
    return WavePlan(vacate, tuple(orders[: max(room, 0)]))


def take_order(wave: Wave, machine: Machine, now_ms: int) -> None:
    """Notes that an order is about to be given; it counts as down from now on."""
    wave.down[machine.name] = machine.host
    wave.ordered_ms[machine.name] = now_ms


def take_reply(wave: Wave, name: MachineName, outcome: OrderOutcome) -> None:
    """Takes the outcome of an order; an unknown one is given again."""
    match outcome:
        case OrderOutcome.REFUSED:
            wave.down.pop(name, None)
        case OrderOutcome.HOPELESS:
            wave.down.pop(name, None)
            wave.done.add(name)


def wave_of(asked: WaveAsked, now_ms: int) -> Wave:
    """Returns a wave that nothing was done of."""
    return Wave(asked, now_ms)


def _note_returns(wave: Wave, fleet: Fleet, now_ms: int) -> None:
    """Ends the absence of machines that are back, or gone for good."""
    for name, former in list(wave.down.items()):
        machine = fleet.machines.get(name)
        since_ms = now_ms - wave.ordered_ms.setdefault(name, now_ms)
        if machine is None or _is_back(machine, former, since_ms):
            del wave.down[name]
            wave.done.add(name)
    for name in wave.left:
        if name not in fleet.machines:
            wave.done.add(name)


def _is_back(machine: Machine, former: HostId, since_ms: int) -> bool:
    """Returns whether a machine is up in another life than it was ordered in.

    One that is off has no life to tell by, so only time does.
    """
    if machine.state is not MachineState.UP:
        return False
    return machine.host != former if former else since_ms > UNSEEN_MS


def _next_machines(wave: Wave, fleet: Fleet, now_ms: int) -> list[Machine]:
    """Returns machines to empty or maintain now, spread over the pools."""
    left = [fleet.machines[name] for name in wave.left]
    up = [each for each in left if each.state is MachineState.UP]
    left_ms = max(wave.begun_ms + wave.asked.duration_ms - now_ms, 1)
    pace = math.ceil(len(left) * EXPECTED_MS * SPEED_UP / left_ms)
    wanted = min(wave.asked.cap, max(pace, 1)) - len(wave.down)
    taken: Counter[PoolName] = Counter(
        fleet.machines[name].pool for name in wave.down if name in fleet.machines
    )
    chosen: list[Machine] = []
    up.sort(key=lambda each: each.name)

    def cost(each: Machine) -> tuple[bool, bool, int]:
        """Those that are or get empty already go first, so that none is in vain."""
        is_full = each.host not in fleet.vacant
        return is_full, each.host not in wave.asked_hosts, taken[each.pool]

    while up and len(chosen) < wanted:
        best = min(up, key=cost)
        up.remove(best)
        taken[best.pool] += 1
        chosen.append(best)
    return chosen
