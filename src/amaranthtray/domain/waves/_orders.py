"""Orders to hosts that follow from a ledger, given once per stage."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from ..budgets.model import Stage
from .messages import CommitMoves, DrainHost, RebootHost, ReturnHosts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..budgets.model import Ledger, OutHost
    from ..ids import HostId, OperationId, PoolName
    from ..placement.view import PoolView
    from .messages import ConductorEffect, Fence

    Told = dict[HostId, tuple[OperationId, Stage]]


def orders(
    ledger: Ledger,
    view: PoolView,
    told: Told | None,
    fence: Fence,
    *,
    give_again: bool = False,
) -> tuple[Told, tuple[ConductorEffect, ...]]:
    """Returns the orders given by now and the effects that are new.

    Args:
        ledger: The ledger as it is in the store, under the holder's own term.
        view: The pool.
        told: Orders given before; none for a holder that took over. It then gives
            every order again and returns all hosts that are not out, because the
            holder before may have died between its write and its orders.
        fence: Term and time limit of the acts.
        give_again: Whether to repeat the orders to all hosts that are out.
    """
    wanted = {host: (out.op_id, out.stage) for host, out in ledger.out.items()}
    if told is None:
        returned = set(view.members) - wanted.keys()
    else:
        returned = {host for host in told if _is_over(host, told, ledger)}
    given = {} if told is None or give_again else told
    fresh = [out for host, out in ledger.out.items() if given.get(host) != wanted[host]]
    effects = list(_returns(returned, fence))
    effects += [*_host_orders(fresh, fence), *_moves(ledger, fresh, fence)]
    return wanted, tuple(effects)


def _is_over(host: HostId, told: Told, ledger: Ledger) -> bool:
    out = ledger.out.get(host)
    if out is None:
        return True
    return out.stage is Stage.OUT and told[host][1] is not Stage.OUT


def _returns(hosts: set[HostId], fence: Fence) -> Iterator[ConductorEffect]:
    if hosts:
        yield ReturnHosts(tuple(sorted(hosts)), fence)


def _host_orders(fresh: list[OutHost], fence: Fence) -> Iterator[ConductorEffect]:
    for out in fresh:
        own = replace(fence, op_id=out.op_id)
        if out.stage is Stage.DRAINING:
            yield DrainHost(out.location.host, own)
        elif out.stage is Stage.REBOOTING:
            yield RebootHost(out.location.host, own)


def _moves(
    ledger: Ledger, fresh: list[OutHost], fence: Fence
) -> Iterator[ConductorEffect]:
    """One record for all moves that became final in one write of the ledger."""
    groups: dict[OperationId, dict[HostId, PoolName]] = defaultdict(dict)
    for out in fresh:
        if out.stage is Stage.PLACING and out.target is not None:
            groups[out.op_id][out.location.host] = out.target
    for op_id, moves in groups.items():
        yield CommitMoves(ledger.pool, moves, replace(fence, op_id=op_id))
