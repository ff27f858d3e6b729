"""Machines, orders for them, and maintenance waves."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NewType, TypeAlias

from ..ids import HostId, PoolName, ZoneId

MachineName = NewType("MachineName", str)

NO_HOST = HostId("")
NO_ZONE = ZoneId("")


class MachineState(StrEnum):
    """State of a machine as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    MAINTAINED = "maintained"
    DOWN = "down"


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """A machine as the platform lists it.

    Attributes:
        name: Permanent name of the machine.
        pool: Pool of the machine.
        state: Present state.
        host: Host that is the machine's current incarnation; empty if there is none.
        kind: Hardware kind; machines of one kind are interchangeable.
        zone: Availability zone; empty if it is unknown.
    """

    name: MachineName
    pool: PoolName
    state: MachineState
    host: HostId = NO_HOST
    kind: str = ""
    zone: ZoneId = NO_ZONE


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRequest:
    """A maintenance wave as an operator requests it.

    Attributes:
        number: Number of the wave.
        machines: Machines to maintain.
        duration_ms: Time within which all machines are to be maintained.
        cap: Maximum number of machines that may be down for the wave at once.
    """

    number: int
    machines: tuple[MachineName, ...]
    duration_ms: int
    cap: int


class OrderOutcome(StrEnum):
    """Reply to an order for a machine.

    Attributes:
        DONE: The platform carries out the order, or did so before.
        REFUSED: The order is not carried out; it may be repeated.
        HOPELESS: The order can never be carried out, as the machine does not exist.
        UNKNOWN: The order may be carried out, now or later.
    """

    DONE = "done"
    REFUSED = "refused"
    HOPELESS = "hopeless"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MaintainMachine:
    """Orders the maintenance of a machine for a wave."""

    machine: MachineName
    wave: int


@dataclass(frozen=True, slots=True)
class MoveMachine:
    """Orders the move of a machine to a pool."""

    machine: MachineName
    pool: PoolName


MachineOrder: TypeAlias = MaintainMachine | MoveMachine


@dataclass(slots=True)
class Wave:
    """Progress of a maintenance wave.

    Attributes:
        request: The wave as the operator requested it.
        begun_ms: Steady-clock time at which a holder of the duty first saw the wave.
        begun_wall_ms: Wall-clock time of that, from which the next holder derives
            ``begun_ms``.
        done: Machines that have returned, or are permanently gone.
        down: Machines whose maintenance was ordered, with their host at that time.
        confirmed: Machines of ``down`` whose order was certainly carried out.
        uncertain: Machines of ``down`` whose order may have been, or may yet be,
            carried out.
        ordered_ms: Steady-clock time of each order.
        missing_since_ms: Steady-clock time since which the platform does not list a
            machine.
        selected_hosts: Hosts that are being emptied.
        selected_machines: Machines selected for maintenance next.
        is_announced: Whether operators were informed that the wave is running.
        is_over: Whether operators were informed that the wave is complete.
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
        """Returns the machines whose maintenance has not been ordered yet."""
        return [
            name
            for name in self.request.machines
            if name not in self.done and name not in self.down
        ]
