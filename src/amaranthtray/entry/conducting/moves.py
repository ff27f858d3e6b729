"""Commits the moves of hosts between pools to the configuration log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...domain.configuration import PlaceHosts
from ...domain.errors import Problem

if TYPE_CHECKING:
    from returns.result import Result

    from ...domain.configuration import Configuration
    from ...domain.waves import CommitMoves
    from ...store.config_log import CommitFailure, Committed, ConfigLog

OPERATOR = "conductor"


def commit_moves(
    log: ConfigLog, cfg: Configuration, effect: CommitMoves, *, peer: str
) -> Result[Committed, CommitFailure]:
    """Commits the moves unless a host has left the source pool in the meantime.

    Args:
        log: The configuration log.
        cfg: The configuration in force here.
        effect: The moves, their source pool and their fence.
        peer: Name of this entry, for the problem reported.
    """

    def guard(cfg: Configuration) -> Problem | None:
        if all(cfg.pool_of(host) == effect.source for host in effect.moves):
            return None
        fix = "look at the configuration again"
        return Problem("move", peer, "a host has moved", effect.source, fix)

    return log.commit(
        cfg,
        [PlaceHosts(effect.moves)],
        op_id=effect.fence.op_id,
        operator=OPERATOR,
        guard=guard,
    )
