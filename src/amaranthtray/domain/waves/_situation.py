"""What a conductor knows at the moment when it plans the next ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..budgets.rules import OutageOrder
from ..configuration.model import WaveState
from ..ids import HostId, OperationId, PoolName, Revision, Term, WaveName
from ..invariants.observations import OutCause
from ..placement.view import PoolView
from .settings import ConductorSettings

if TYPE_CHECKING:
    from ..budgets.model import OutageLedger, OutHost
    from ..placement.view import WaveTask


@dataclass(frozen=True, slots=True)
class Situation:
    """Input of one planning step.

    Attributes:
        view: The pool.
        settings: Settings.
        term: Term of the duty.
        op_id: Operation id of the write that the plan is for.
        wall_ms: Wall-clock time.
        health: Hosts that are not healthy, and why.
        drained: Drain operations that ended.
        back: Reboot operations that ended.
        returned: Return operations that ended.
        refused: Move operations that the configuration log refused.
        committed: Move operations in the configuration log, and their revisions.
    """

    view: PoolView
    settings: ConductorSettings
    term: Term
    op_id: OperationId
    wall_ms: int
    health: dict[HostId, OutCause]
    drained: frozenset[tuple[HostId, OperationId]]
    back: frozenset[tuple[HostId, OperationId]]
    returned: frozenset[tuple[HostId, OperationId]]
    refused: frozenset[OperationId]
    committed: dict[OperationId, Revision]

    @property
    def size(self) -> int:
        """Returns how many hosts the pool has."""
        return len(self.view.members)

    def order(
        self,
        cause: OutCause,
        *,
        wave: WaveName | None = None,
        target: PoolName | None = None,
    ) -> OutageOrder:
        """Returns an order that this planning step gives."""
        return OutageOrder(cause, self.term, self.op_id, wave, target)

    def cause_of(self, host: HostId) -> OutCause | None:
        """Returns why a host is out by itself, none if it is healthy."""
        member = self.view.members.get(host)
        if member is not None and member.is_missing:
            return OutCause.UNKNOWN
        return self.health.get(host)

    def is_drained(self, out: OutHost) -> bool:
        """Returns whether the host's own drain has ended."""
        return (out.location.host, out.op_id) in self.drained

    def is_not_to_move(self, out: OutHost) -> bool:
        """Returns whether the record that moves the host can't do so any more.

        It was refused, or it took effect and the host has come back since.
        """
        if out.record_op is None or out.record_op in self.refused:
            return out.record_op is not None
        revision = self.committed.get(out.record_op)
        return revision is not None and self.view.revision >= revision

    def is_back(self, out: OutHost) -> bool:
        """Returns whether the host's own reboot has ended."""
        return (out.location.host, out.op_id) in self.back

    def is_returned(self, out: OutHost) -> bool:
        """Returns whether the host said that it takes work again."""
        return (out.location.host, out.op_id) in self.returned


def waiting_hosts(ledger: OutageLedger, view: PoolView, task: WaveTask) -> list[HostId]:
    """Returns the hosts that a wave has still to take out, in the wave's order."""
    done = ledger.wave_record(task.name).done | task.done_elsewhere
    return [host for host in task.hosts if host not in done and host not in ledger.out]


def is_open(task: WaveTask | None) -> bool:
    """Returns whether hosts that a wave has begun may go on."""
    return task is not None and task.state is not WaveState.ABORTED
