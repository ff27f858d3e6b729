"""Derives the orders to hosts from the ledger, each issued once per stage."""

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

    IssuedOrders = dict[HostId, tuple[OperationId, OutageStage]]


def issue_orders(
    ledger: OutageLedger, issued: IssuedOrders, fence: Fence, *, reissue: bool = False
) -> tuple[IssuedOrders, tuple[ConductorEffect, ...]]:
    """Returns the updated record of issued orders and the effects to carry out.

    Args:
        ledger: The ledger as stored, written under the holder's own term.
        issued: Orders issued so far; empty for a new holder of the duty.
        fence: Term and deadline of the effects.
        reissue: Whether to issue all orders again; each is idempotent.
    """
    current = {host: (out.op_id, out.stage) for host, out in ledger.out.items()}
    previous = {} if reissue else issued
    changed = [
        out for host, out in ledger.out.items() if previous.get(host) != current[host]
    ]
    return current, (
        *_host_orders(changed, fence),
        *_move_commits(ledger, changed, fence),
    )


def _host_orders(changed: list[OutHost], fence: Fence) -> Iterator[ConductorEffect]:
    for out in changed:
        host, host_fence = out.location.host, replace(fence, op_id=out.op_id)
        match out.stage:
            case OutageStage.DRAINING:
                yield DrainHost(host, host_fence)
            case OutageStage.REBOOTING:
                yield RebootHost(host, host_fence)
            case OutageStage.RETURNING | OutageStage.LEFT:
                yield ReturnHost(host, host_fence)


def _move_commits(
    ledger: OutageLedger, changed: list[OutHost], fence: Fence
) -> Iterator[ConductorEffect]:
    """Yields one configuration record for all moves of the same ledger write."""
    groups: dict[OperationId, dict[HostId, PoolName]] = defaultdict(dict)
    for out in changed:
        if out.stage is not OutageStage.PLACING:
            continue
        if out.target is not None and out.record_op is not None:
            groups[out.record_op][out.location.host] = out.target
    for op_id, moves in groups.items():
        yield CommitMoves(ledger.pool, moves, replace(fence, op_id=op_id))
