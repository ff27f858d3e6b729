"""Hosts that have to move between pools, and a preview of a change's moves."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..budgets.model import OutageStage, budget_of
from ..ids import HostId, PoolName
from ..invariants.observations import OutCause
from .pool_assignment import desired_pools

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..budgets.model import OutageLedger
    from ..configuration.model import Configuration
    from ..inventory import Host


@dataclass(frozen=True, slots=True)
class Move:
    """A host that is not in the pool it should be in.

    Attributes:
        host: The host.
        source: The pool in which the configuration places it.
        target: The pool that its labels assign it to.
        stage: Stage of the move, or None while it waits for the budget.
    """

    host: HostId
    source: PoolName
    target: PoolName
    stage: OutageStage | None = None


@dataclass(frozen=True, slots=True)
class Preview:
    """The moves that a change of the configuration would cause.

    Attributes:
        moves: Moves that the change would cause, ordered by host name.
        cancelled: Hosts whose pending move the change would make unnecessary.
        departures_by_pool: Number of hosts that each pool would lose.
        rounds_by_pool: Minimum number of rounds in which each pool can release its
            hosts within its budget, or None if the budget lets no host out.
    """

    moves: tuple[Move, ...]
    cancelled: tuple[HostId, ...]
    departures_by_pool: dict[PoolName, int]
    rounds_by_pool: dict[PoolName, int | None]


def plan_moves(
    cfg: Configuration,
    hosts: Iterable[Host],
    ledgers: Mapping[PoolName, OutageLedger] | None = None,
) -> tuple[Move, ...]:
    """Returns the moves still to be made, for hosts outside their desired pool."""
    return tuple(
        Move(host, cfg.pool_of(host), target, _stage(cfg, host, ledgers or {}))
        for host, target in sorted(desired_pools(cfg, hosts).items())
        if target != cfg.pool_of(host)
    )


def _stage(
    cfg: Configuration, host: HostId, ledgers: Mapping[PoolName, OutageLedger]
) -> OutageStage | None:
    ledger = ledgers.get(cfg.pool_of(host))
    out = ledger.out.get(host) if ledger is not None else None
    if out is None or out.cause is not OutCause.MOVING:
        return None
    return out.stage


def preview(
    before: Configuration, after: Configuration, hosts: Iterable[Host]
) -> Preview:
    """Returns which hosts a change would move, without applying it.

    Args:
        before: The configuration in force.
        after: The same configuration with the change applied.
        hosts: The hosts that the platform lists.
    """
    listed = tuple(hosts)
    pending = {move.host: move for move in plan_moves(before, listed)}
    wanted = {move.host: move for move in plan_moves(after, listed)}
    moves = tuple(move for host, move in wanted.items() if pending.get(host) != move)
    left = Counter(move.source for move in moves)
    return Preview(
        moves=moves,
        cancelled=tuple(host for host in pending if host not in wanted),
        departures_by_pool=dict(left),
        rounds_by_pool={
            pool: _min_rounds(count, budget_of(after, pool).max_out)
            for pool, count in left.items()
        },
    )


def _min_rounds(count: int, max_out: int) -> int | None:
    return -(-count // max_out) if max_out > 0 else None
