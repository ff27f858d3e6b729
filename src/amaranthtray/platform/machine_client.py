"""Client of the service that lists, moves and maintains machines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from ..domain.ids import HostId, PoolName, ZoneId
from ..domain.upkeep.model import (
    Machine,
    MachineName,
    MachineOrder,
    MachineState,
    MaintainMachine,
    OrderOutcome,
)
from ..web.http_peer import HttpPeer, Response

if TYPE_CHECKING:
    from ..domain.ids import Term

CALL_TIMEOUT_MS = 1_000
CONNECTIONS = 4

_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTAINED,
    "down": MachineState.DOWN,
}


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    # Host that is the machine's present incarnation.
    id: str | None = None
    labels: list[str] = []
    zone: str = ""

    def decoded(self) -> Machine:
        return Machine(
            name=MachineName(self.machine),
            pool=PoolName(self.pool),
            state=_STATES.get(self.state, MachineState.DOWN),
            host=HostId(self.id or ""),
            kind=self.labels[0] if self.labels else "",
            zone=ZoneId(self.zone),
        )


class _Page(msgspec.Struct, rename="camel"):
    machines: list[_Machine]
    next_page_token: str | None = None


class MachineClient:
    """Calls the machine service under one term of the fleet duty.

    Args:
        address: IP address and port.
        holder: Entry that holds the duty.
        term: Term of the holder, sent as fencing token.
    """

    def __init__(self, address: str, holder: str, term: Term) -> None:
        self._peer = HttpPeer(address, connections=CONNECTIONS)
        self._headers = {"Lease-Holder": holder, "Fencing-Token": str(term)}

    def machines(self) -> list[Machine] | None:
        """Returns all machines; None if the list can't be read now."""
        machines: list[Machine] = []
        page_token: str | None = ""
        while page_token is not None:
            path = "/v1/machines" + (
                f"?pageToken={quote(page_token)}" if page_token else ""
            )
            outcome = self._peer.call("GET", path, timeout_ms=CALL_TIMEOUT_MS)
            if not isinstance(outcome, Response) or not outcome.is_success:
                return None
            page = msgspec.json.decode(outcome.body, type=_Page)
            machines.extend(machine.decoded() for machine in page.machines)
            page_token = page.next_page_token
        return machines

    def order(self, order: MachineOrder) -> OrderOutcome:
        """Orders a move or the maintenance of a machine."""
        if isinstance(order, MaintainMachine):
            path = "/v1/machine-upkeep"
            payload: dict[str, object] = {"wave": order.wave}
        else:
            path, payload = "/v1/machine-move", {"pool": order.pool}
        outcome = self._peer.call(
            "POST",
            path,
            timeout_ms=CALL_TIMEOUT_MS,
            payload={"machine": order.machine, **payload},
            headers=self._headers,
        )
        match outcome:
            case Response(status=status) if 200 <= status < 300:
                return OrderOutcome.DONE
            case Response(status=400):
                return OrderOutcome.HOPELESS
            case Response():
                return OrderOutcome.REFUSED
        return OrderOutcome.UNKNOWN if outcome.was_sent else OrderOutcome.REFUSED

    def close(self) -> None:
        """Closes idle connections."""
        self._peer.close()
