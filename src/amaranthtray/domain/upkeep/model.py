"""Machines, and the waves of maintenance that operators ask for."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NewType, TypeAlias

from ..ids import HostId, PoolName

MachineName = NewType("MachineName", str)

NO_HOST = HostId("")


class MachineState(StrEnum):
    """What a machine does."""

    UP = "up"
    MOVING = "moving"
    MAINTAINED = "maintained"
    DOWN = "down"


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """A machine as the platform lists it.

    Attributes:
        name: Its name, which it keeps for good.
        pool: Pool that it is in.
        state: What it does.
        host: Its present life; empty if it has none.
        kind: Machines of one kind can take each other's place.
    """

    name: MachineName
    pool: PoolName
    state: MachineState
    host: HostId = NO_HOST
    kind: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRequest:
    """A wave as the operator asks for it.

    Attributes:
        number: Its number.
        machines: Machines that are due.
        duration_ms: Time in which all of them are to be done.
        cap: Machines that may be down for it at once.
    """

    number: int
    machines: tuple[MachineName, ...]
    duration_ms: int
    cap: int


class OrderOutcome(StrEnum):
    """Reply to an order for a machine.

    Attributes:
        DONE: It is carried out, or was before.
        REFUSED: It is not carried out, and may be given again.
        HOPELESS: It never will be: there is no such machine.
        UNKNOWN: It may be carried out, now or later.
    """

    DONE = "done"
    REFUSED = "refused"
    HOPELESS = "hopeless"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MaintainMachine:
    """Order the maintenance of a machine for a wave."""

    machine: MachineName
    wave: int


@dataclass(frozen=True, slots=True)
class MoveMachine:
    """Order a machine's move to a pool."""

    machine: MachineName
    pool: PoolName


MachineOrder: TypeAlias = MaintainMachine | MoveMachine


@dataclass(slots=True)
class Wave:
    """A wave under way.

    Attributes:
        asked: What was asked for.
        begun_ms: Steady time at which it was first seen, by this holder or one before.
        begun_wall_ms: Wall time of that, by which the next holder learns it.
        done: Machines that are back, or gone for good.
        down: Machines that were ordered, with the life that they had.
        confirmed: Those of them whose order was surely carried out.
        unsure: Those whose order may have been carried out, or may still be.
        ordered_ms: Steady time of their orders.
        missing_since_ms: Machines that the list lacks, and since when.
        selected_hosts: Lives that are being emptied.
        selected_machines: Machines that they are lives of.
        is_announced: Whether operators were told that it runs.
        is_over: Whether operators were told that it is completed.
    """

    request: WaveRequest
    begun_ms: int
    begun_wall_ms: int
    done: set[MachineName] = field(default_factory=set)
    down: dict[MachineName, HostId] = field(default_factory=dict)
    confirmed: set[MachineName] = field(default_factory=set)
    uncertain: set[MachineName] = field(default_factory=set)
    ordered_ms: dict[MachineName, int] = field(default_factory=dict)
    missing_since_ms: dict[MachineName, int] = field(default_factory=dict)
    selected_hosts: set[HostId] = field(default_factory=set)
    selected_machines: set[MachineName] = field(default_factory=set)
    is_announced: bool = False
    is_over: bool = False

    @property
    def left(self) -> list[MachineName]:
        """Returns the machines that were not ordered yet."""
        return [
            name
            for name in self.request.machines
            if name not in self.done and name not in self.down
        ]
