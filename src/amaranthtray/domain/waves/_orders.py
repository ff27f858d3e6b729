"""Orders to hosts that follow from a ledger, given once per stage."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from ..budgets.model import OutageStage
from .messages import CommitMoves, DrainHost, RebootHost, ReturnHost

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..budgets.model import OutageLedger, OutHost
    from ..ids import HostId, OperationId, PoolName
    from .messages import ConductorEffect, Fence

    Told = dict[HostId, tuple[OperationId, OutageStage]]


def orders(
    ledger: OutageLedger, told: Told, fence: Fence, *, give_again: bool = False
) -> tuple[Told, tuple[ConductorEffect, ...]]:
    """Returns the orders given by now and the effects that are new.

    Args:
        ledger: The ledger as it is in the store, under the holder's own term.
        told: Orders given before; empty for a holder that took over.
        fence: Term and time limit of the acts.
        give_again: Whether to repeat all orders; each is idempotent.
    """
    wanted = {host: (out.op_id, out.stage) for host, out in ledger.out.items()}
    given = {} if give_again else told
    fresh = [out for host, out in ledger.out.items() if given.get(host) != wanted[host]]
    return wanted, (*_host_orders(fresh, fence), *_moves(ledger, fresh, fence))


def _host_orders(fresh: list[OutHost], fence: Fence) -> Iterator[ConductorEffect]:
    for out in fresh:
        host, own = out.location.host, replace(fence, op_id=out.op_id)
        match out.stage:
            case OutageStage.DRAINING:
                yield DrainHost(host, own)
            case OutageStage.REBOOTING:
                yield RebootHost(host, own)
            case OutageStage.RETURNING | OutageStage.LEFT:
                yield ReturnHost(host, own)


def _moves(
    ledger: OutageLedger, fresh: list[OutHost], fence: Fence
) -> Iterator[ConductorEffect]:
    """One record for all moves that became final in one write of the ledger."""
    groups: dict[OperationId, dict[HostId, PoolName]] = defaultdict(dict)
    for out in fresh:
        if out.stage is not OutageStage.PLACING:
            continue
        if out.target is not None and out.record_op is not None:
            groups[out.record_op][out.location.host] = out.target
    for op_id, moves in groups.items():
        yield CommitMoves(ledger.pool, moves, replace(fence, op_id=op_id))
