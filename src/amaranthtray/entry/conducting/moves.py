"""Commits the moves of hosts between pools to the configuration log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...domain.configuration import SPARE_POOL, PlaceHosts
from ...domain.errors import Problem

if TYPE_CHECKING:
    from collections.abc import Iterable

    from returns.result import Result

    from ...domain.configuration import Configuration
    from ...domain.inventory import Host
    from ...domain.waves import CommitMoves
    from ...store.config_log import CommitFailure, Committed, ConfigLog

OPERATOR = "conductor"


def commit_moves(
    log: ConfigLog,
    cfg: Configuration,
    effect: CommitMoves,
    *,
    hosts: Iterable[Host],
    peer: str,
) -> Result[Committed, CommitFailure]:
    """Commits the moves unless a host has left the source pool in the meantime.

    A host whose zone was evacuated in the meantime moves only to the spare pool.

    Args:
        log: The configuration log.
        cfg: The configuration in force here.
        effect: The moves, their source pool and their fence.
        hosts: The hosts that the platform lists.
        peer: Name of this entry, for the problem reported.
    """
    zones = {host.host_id: host.zone for host in hosts}

    def guard(cfg: Configuration) -> Problem | None:
        fix = "look at the configuration again"
        if not all(cfg.pool_of(host) == effect.source for host in effect.moves):
            return Problem("move", peer, "a host has moved", effect.source, fix)
        placed = [host for host, pool in effect.moves.items() if pool != SPARE_POOL]
        if any(zones.get(host) in cfg.evacuations for host in placed):
            what = "the zone of a host is evacuated"
            return Problem("move", peer, what, effect.source, fix)
        return None

    return log.commit(
        cfg,
        [PlaceHosts(effect.moves)],
        op_id=effect.fence.op_id,
        operator=OPERATOR,
        guard=guard,
    )
