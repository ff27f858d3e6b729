"""Which hosts have to move, told before and while they do."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..budgets.model import OutageStage, budget_of
from ..ids import HostId, PoolName
from ..invariants.observations import OutCause
from .claims import desired_pools

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
        source: Where the configuration places it.
        target: Where its labels put it.
        stage: How far the move is, none while it waits for the budget.
    """

    host: HostId
    source: PoolName
    target: PoolName
    stage: OutageStage | None = None


@dataclass(frozen=True, slots=True)
class Preview:
    """What a change of the configuration would move.

    Attributes:
        moves: Hosts that would have to move because of the change, by host name.
        cancelled: Hosts whose pending move the change would make needless.
        left_by_pool: Hosts that each pool would lose.
        rounds_by_pool: Least number of turns that each pool's budget allows for it,
            none if the budget lets no host out.
    """

    moves: tuple[Move, ...]
    cancelled: tuple[HostId, ...]
    left_by_pool: dict[PoolName, int]
    rounds_by_pool: dict[PoolName, int | None]


def plan_moves(
    cfg: Configuration,
    hosts: Iterable[Host],
    ledgers: Mapping[PoolName, OutageLedger] | None = None,
) -> tuple[Move, ...]:
    """Returns the moves still to be made; a host already in its pool never is."""
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
    """Returns which hosts a change would move; nothing is changed.

    Args:
        before: The configuration in force.
        after: The same with the change applied.
        hosts: The platform's list.
    """
    listed = tuple(hosts)
    pending = {move.host: move for move in plan_moves(before, listed)}
    wanted = {move.host: move for move in plan_moves(after, listed)}
    moves = tuple(move for host, move in wanted.items() if pending.get(host) != move)
    left = Counter(move.source for move in moves)
    return Preview(
        moves=moves,
        cancelled=tuple(host for host in pending if host not in wanted),
        left_by_pool=dict(left),
        rounds_by_pool={
            pool: _rounds(count, budget_of(after, pool).max_out)
            for pool, count in left.items()
        },
    )


def _rounds(count: int, max_out: int) -> int | None:
    return -(-count // max_out) if max_out > 0 else None
