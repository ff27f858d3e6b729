"""Which pool a host should be in: a pure function of labels and selectors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..configuration.model import SPARE_POOL, Pool
from ..errors import Problem
from ..selectors import Nothing, matches, parse_for_pool
from .labels import effective_labels

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from ..configuration.model import Configuration
    from ..ids import HostId, PoolName
    from ..inventory import Host

STEP = "check-ambiguity"
PEER = "operator"


def claims(pool: Pool, labels: Mapping[str, str]) -> bool:
    """Returns whether the pool's selector matches; a text that fails claims nothing.

    The spare pool never claims: it holds what no other pool does.
    """
    if pool.name == SPARE_POOL:
        return False
    selector = parse_for_pool(pool.selector).value_or(Nothing())
    return matches(selector, labels)


def in_order(pools: Iterable[Pool]) -> list[Pool]:
    """Returns pools in the total order that decides: priority, then name."""
    return sorted(pools, key=lambda pool: (pool.priority, pool.name))


def first_claim(labels: Mapping[str, str], ordered: Iterable[Pool]) -> PoolName:
    """Returns the first of the pools, given in order, that claims the labels."""
    for pool in ordered:
        if claims(pool, labels):
            return pool.name
    return SPARE_POOL


def desired_pool(labels: Mapping[str, str], pools: Mapping[PoolName, Pool]) -> PoolName:
    """Returns the one pool for a host with these labels; spare when none claims."""
    return first_claim(labels, in_order(pools.values()))


def desired_pools(cfg: Configuration, hosts: Iterable[Host]) -> dict[HostId, PoolName]:
    """Returns the pool that each host should be in."""
    ordered = in_order(cfg.pools.values())
    return {
        host.host_id: first_claim(effective_labels(cfg, host), ordered)
        for host in hosts
    }


def check_ambiguity(
    before: Configuration, after: Configuration, hosts: Iterable[Host]
) -> Result[None, Problem]:
    """Refuses a change that lets two pools of equal priority claim one host.

    Only pairs that the change itself creates are refused, so that hosts which
    arrived with odd labels never block an unrelated change. Work is done only for
    the pools and hosts that the change touches.
    """
    changed = [
        pool for name, pool in after.pools.items() if before.pools.get(name) != pool
    ]
    for host in hosts:
        relabelled = _operator_labels(before, host) != _operator_labels(after, host)
        suspects = list(after.pools.values()) if relabelled else changed
        if not suspects:
            continue
        for one, other in _rivals(after, host, suspects):
            if not _were_rivals(before, host, one, other):
                return Failure(_ambiguous(host, one, other))
    return Success(None)


def _operator_labels(cfg: Configuration, host: Host) -> dict[str, str]:
    return cfg.host_labels.get(host.host_id, {})


def _rivals(
    cfg: Configuration, host: Host, suspects: Iterable[Pool]
) -> Iterator[tuple[Pool, Pool]]:
    labels = effective_labels(cfg, host)
    for one in in_order(suspects):
        if not claims(one, labels):
            continue
        for other in in_order(cfg.pools.values()):
            if other.name == one.name or other.priority != one.priority:
                continue
            if claims(other, labels):
                yield one, other


def _were_rivals(cfg: Configuration, host: Host, one: Pool, other: Pool) -> bool:
    pair = [cfg.pools.get(one.name), cfg.pools.get(other.name)]
    known = [pool for pool in pair if pool is not None]
    if len(known) < len(pair) or known[0].priority != known[1].priority:
        return False
    labels = effective_labels(cfg, host)
    return all(claims(pool, labels) for pool in known)


def _ambiguous(host: Host, one: Pool, other: Pool) -> Problem:
    first, second = sorted((one.name, other.name))
    what = f"pools {first!r} and {second!r} of equal priority both claim the host"
    fix = "give one of them a lower priority number, or narrow a selector"
    return Problem(STEP, PEER, what, f"host {host.host_id!r}", fix)
