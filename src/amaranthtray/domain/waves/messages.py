"""Messages that a conductor takes and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from ..budgets.model import OutageLedger
from ..ids import HostId, Millis, OperationId, PoolName, Revision, Term
from ..invariants.observations import OutCause
from ..placement.view import PoolView


@dataclass(frozen=True, slots=True)
class DutyGained:
    """This entry holds the duty of the pool's conductor.

    Attributes:
        term: Fencing term, higher than that of any holder before.
        until_ms: When the lease ends, on the entry's monotonic clock.
    """

    term: Term
    until_ms: Millis


@dataclass(frozen=True, slots=True)
class DutyRenewed:
    """The lease of the duty was renewed."""

    term: Term
    until_ms: Millis


@dataclass(frozen=True, slots=True)
class DutyLost:
    """The duty is over for this entry."""


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """A new revision, platform list, or state of a wave (pause, resume, abort)."""

    view: PoolView


@dataclass(frozen=True, slots=True)
class LedgerRead:
    """The ledger as read; none if the store has none.

    Attributes:
        op_id: The read that this answers.
        version: Store version of the key, 0 if it is absent.
    """

    op_id: OperationId
    ledger: OutageLedger | None
    version: int


@dataclass(frozen=True, slots=True)
class LedgerSwapped:
    """The compare-and-swap took effect."""

    op_id: OperationId
    version: int


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """The ledger was not at the expected version; here is what was found."""

    op_id: OperationId
    ledger: OutageLedger | None
    version: int


@dataclass(frozen=True, slots=True)
class SwapUnknown:
    """The reply of the compare-and-swap was lost."""

    op_id: OperationId


@dataclass(frozen=True, slots=True)
class StoreAway:
    """A store call certainly had no effect, or a read failed.

    The runtime sends it for an unreadable ledger too, and raises an alarm.
    """

    op_id: OperationId


@dataclass(frozen=True, slots=True)
class HealthListed:
    """All hosts of the fleet that are not healthy; the others are.

    It must follow each ``DutyGained``: until then nothing is taken out. Hosts of other
    pools are told too, because they may move here.
    """

    causes: dict[HostId, OutCause] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """A host of any pool failed, was ejected, became unknown, or (none) is well."""

    host: HostId
    cause: OutCause | None


@dataclass(frozen=True, slots=True)
class HostDrained:
    """Nothing runs on the host any more, and it refuses new work itself."""

    host: HostId
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class HostBack:
    """The host was rebooted by this operation, which is over, and takes work again."""

    host: HostId
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class HostReturned:
    """The drain of this operation is over.

    Attributes:
        takes_work: Whether the host takes work again; false while a drain by another
            operation is in force, which a host that has moved may meet.
    """

    host: HostId
    op_id: OperationId
    takes_work: bool = True


@dataclass(frozen=True, slots=True)
class MovesRefused:
    """The configuration log refused the record; it was certainly not written."""

    op_id: OperationId


@dataclass(frozen=True, slots=True)
class MovesCommitted:
    """The record is in the configuration log, from this commit or an earlier one.

    Attributes:
        revision: Its place in the log. A host that is in the source pool at a later
            revision was moved away and back in the meantime.
    """

    op_id: OperationId
    revision: Revision


@dataclass(frozen=True, slots=True)
class OrderDropped:
    """The runtime did not carry out an act because its time had passed."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


ConductorMessage: TypeAlias = (
    DutyGained
    | DutyRenewed
    | DutyLost
    | ViewChanged
    | LedgerRead
    | LedgerSwapped
    | SwapConflict
    | SwapUnknown
    | StoreAway
    | HealthListed
    | HealthChanged
    | HostDrained
    | HostBack
    | HostReturned
    | MovesCommitted
    | MovesRefused
    | OrderDropped
    | Tick
)


@dataclass(frozen=True, slots=True)
class Fence:
    """What makes an act of a former holder harmless.

    The runtime drops an act whose ``not_after_ms`` has passed on its monotonic
    clock, checked right before the act; it keeps the order of acts per host. The
    receiver ignores a term lower than the last one seen from the pool, and an
    operation id that it has seen to its end.
    """

    pool: PoolName
    term: Term
    op_id: OperationId
    not_after_ms: Millis


@dataclass(frozen=True, slots=True)
class ReadLedger:
    """Read the pool's ledger; answer with ``LedgerRead`` or ``StoreAway``."""

    pool: PoolName
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class CasLedger:
    """Write the ledger over ``version``; create it if that is 0."""

    ledger: OutageLedger
    version: int
    fence: Fence


@dataclass(frozen=True, slots=True)
class DrainHost:
    """Ask the host to refuse new work and report ``HostDrained`` once it is empty."""

    host: HostId
    fence: Fence


@dataclass(frozen=True, slots=True)
class RebootHost:
    """Reboot a drained host once per operation id; report ``HostBack``."""

    host: HostId
    fence: Fence


@dataclass(frozen=True, slots=True)
class ReturnHost:
    """End the drain of this operation, if there is one; report ``HostReturned``."""

    host: HostId
    fence: Fence


@dataclass(frozen=True, slots=True)
class CommitMoves:
    """Commit one ``PlaceHosts`` record under the fence's operation id.

    The runtime commits only while the configuration places every host in ``source``.
    """

    source: PoolName
    moves: dict[HostId, PoolName]
    fence: Fence


@dataclass(frozen=True, slots=True)
class StepDown:
    """A higher term wrote the ledger: give the duty up."""

    seen: Term


ConductorEffect: TypeAlias = (
    ReadLedger
    | CasLedger
    | DrainHost
    | RebootHost
    | ReturnHost
    | CommitMoves
    | StepDown
)
