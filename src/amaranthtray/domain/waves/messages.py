"""Messages that a conductor handles and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from ..budgets.model import OutageLedger
from ..ids import HostId, Millis, OperationId, PoolName, Revision, Term
from ..invariants.observations import OutCause
from ..placement.view import PoolView


@dataclass(frozen=True, slots=True)
class DutyGained:
    """This entry now holds the duty of the pool's conductor.

    Attributes:
        term: Fencing term, higher than that of every earlier holder.
        until_ms: When the lease expires, on the entry's monotonic clock.
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
    """This entry no longer holds the duty."""


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The configuration, the platform's host list or the state of a wave changed."""

    view: PoolView


@dataclass(frozen=True, slots=True)
class LedgerRead:
    """Reply to ``ReadLedger``.

    Attributes:
        op_id: The read that this answers.
        ledger: The stored ledger; ``None`` if the key is absent.
        version: Store version of the key, 0 if it is absent.
    """

    op_id: OperationId
    ledger: OutageLedger | None
    version: int


@dataclass(frozen=True, slots=True)
class LedgerSwapped:
    """The compare-and-swap of the ledger succeeded."""

    op_id: OperationId
    version: int


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """The compare-and-swap failed: the store held another version, given here."""

    op_id: OperationId
    ledger: OutageLedger | None
    version: int


@dataclass(frozen=True, slots=True)
class SwapOutcomeUnknown:
    """The reply to the compare-and-swap was lost; it may have taken effect."""

    op_id: OperationId


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A store call certainly had no effect, or a read failed.

    The runtime also sends this for a ledger that cannot be decoded, and raises an
    alarm.
    """

    op_id: OperationId


@dataclass(frozen=True, slots=True)
class HealthListed:
    """All unhealthy hosts of the fleet; every other host is healthy.

    It must follow each ``DutyGained``: nothing is taken out before. It includes hosts
    of other pools, because they may move into this one.
    """

    causes: dict[HostId, OutCause] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """The health of a host of any pool changed; ``None`` means that it is healthy."""

    host: HostId
    cause: OutCause | None


@dataclass(frozen=True, slots=True)
class HostDrained:
    """The host has no running work left and refuses new work itself."""

    host: HostId
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class HostRebooted:
    """The reboot by this operation is complete; the host takes work again."""

    host: HostId
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class HostReturned:
    """The drain by this operation has ended.

    Attributes:
        takes_work: Whether the host takes work again; false while it is drained by
            another operation, as a host may be that has moved to another pool.
    """

    host: HostId
    op_id: OperationId
    takes_work: bool = True


@dataclass(frozen=True, slots=True)
class MovesRefused:
    """The configuration log refused the moves; they were certainly not committed."""

    op_id: OperationId


@dataclass(frozen=True, slots=True)
class MovesCommitted:
    """The moves are in the configuration log, from this commit or an earlier one.

    Attributes:
        revision: Revision of the record. A host that is in the source pool at a later
            revision was moved away and back in the meantime.
    """

    op_id: OperationId
    revision: Revision


@dataclass(frozen=True, slots=True)
class OrderDropped:
    """The runtime dropped an effect because its deadline had passed."""


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
    | SwapOutcomeUnknown
    | StoreCallFailed
    | HealthListed
    | HealthChanged
    | HostDrained
    | HostRebooted
    | HostReturned
    | MovesCommitted
    | MovesRefused
    | OrderDropped
    | Tick
)


@dataclass(frozen=True, slots=True)
class Fence:
    """Fencing token and deadline of an effect, which protect against former holders.

    The runtime drops an effect whose ``not_after_ms`` has passed on its monotonic
    clock, checked right before it is carried out; it keeps the order of effects per
    host. The receiver ignores a term lower than the last one seen from the pool, and
    an operation id that it has already completed.
    """

    pool: PoolName
    term: Term
    op_id: OperationId
    not_after_ms: Millis


@dataclass(frozen=True, slots=True)
class ReadLedger:
    """Read the pool's ledger; reply with ``LedgerRead`` or ``StoreCallFailed``."""

    pool: PoolName
    op_id: OperationId


@dataclass(frozen=True, slots=True)
class CasLedger:
    """Replace the ledger if the store holds ``version``; create it if that is 0."""

    ledger: OutageLedger
    version: int
    fence: Fence


@dataclass(frozen=True, slots=True)
class DrainHost:
    """Make the host refuse new work; report ``HostDrained`` once nothing runs on it."""

    host: HostId
    fence: Fence


@dataclass(frozen=True, slots=True)
class RebootHost:
    """Reboot a drained host once per operation id; report ``HostRebooted``."""

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

    The runtime commits only while the configuration places every host in ``source``;
    it replies with ``MovesCommitted`` or ``MovesRefused``.
    """

    source: PoolName
    moves: dict[HostId, PoolName]
    fence: Fence


@dataclass(frozen=True, slots=True)
class StepDown:
    """Give up the duty, because the ledger was written under a higher term."""

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
