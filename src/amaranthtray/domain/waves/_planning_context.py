"""Input of a conductor's planning step."""

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
class PlanningContext:
    """State from which a conductor plans the next ledger.

    Attributes:
        view: The pool, its hosts and its waves.
        settings: Settings of the conductor.
        term: Fencing term under which the conductor acts.
        op_id: Operation id of the ledger write that stores the plan.
        wall_ms: Wall-clock time in milliseconds.
        health: Unhealthy hosts and the cause.
        drained: Completed drain operations.
        rebooted: Completed reboot operations.
        returned: Completed return operations.
        refused: Move operations that the configuration log refused.
        committed: Move operations in the configuration log and their revisions.
    """

    view: PoolView
    settings: ConductorSettings
    term: Term
    op_id: OperationId
    wall_ms: int
    health: dict[HostId, OutCause]
    drained: frozenset[tuple[HostId, OperationId]]
    rebooted: frozenset[tuple[HostId, OperationId]]
    returned: frozenset[tuple[HostId, OperationId]]
    refused: frozenset[OperationId]
    committed: dict[OperationId, Revision]

    @property
    def pool_size(self) -> int:
        """Returns the number of hosts in the pool."""
        return len(self.view.members)

    def make_order(
        self,
        cause: OutCause,
        *,
        wave: WaveName | None = None,
        target: PoolName | None = None,
    ) -> OutageOrder:
        """Returns an order to take a host out, stamped with this step's operation."""
        return OutageOrder(cause, self.term, self.op_id, wave, target)

    def unhealthy_cause(self, host: HostId) -> OutCause | None:
        """Returns why a host is unhealthy or missing; ``None`` if it is healthy."""
        member = self.view.members.get(host)
        if member is not None and member.is_missing:
            return OutCause.UNKNOWN
        return self.health.get(host)

    def is_drained(self, out: OutHost) -> bool:
        """Returns whether the drain of this ledger entry is complete."""
        return (out.location.host, out.op_id) in self.drained

    def is_move_obsolete(self, out: OutHost) -> bool:
        """Returns whether the host's move can no longer complete.

        Its record was refused, or it was committed at a revision that the view
        includes, and yet the host is in this pool: it was moved away and back.
        """
        if out.record_op is None or out.record_op in self.refused:
            return out.record_op is not None
        revision = self.committed.get(out.record_op)
        return revision is not None and self.view.revision >= revision

    def is_rebooted(self, out: OutHost) -> bool:
        """Returns whether the reboot of this ledger entry is complete."""
        return (out.location.host, out.op_id) in self.rebooted

    def is_returned(self, out: OutHost) -> bool:
        """Returns whether the host reported that its drain is over."""
        return (out.location.host, out.op_id) in self.returned


def waiting_hosts(ledger: OutageLedger, view: PoolView, task: WaveTask) -> list[HostId]:
    """Returns the hosts that a wave has yet to take out, in the wave's order."""
    done = ledger.wave_record(task.name).done | task.done_elsewhere
    return [host for host in task.hosts if host not in done and host not in ledger.out]


def may_continue(task: WaveTask | None) -> bool:
    """Returns whether hosts already taken out for a wave may proceed."""
    return task is not None and task.state is not WaveState.ABORTED
