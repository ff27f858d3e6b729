"""Assigns each host to one pool, only by its labels and the pools' selectors."""

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


def pool_matches(pool: Pool, labels: Mapping[str, str]) -> bool:
    """Returns whether the pool's selector matches the labels.

    A selector that does not parse matches nothing. The spare pool never matches: it
    receives the hosts that no other pool does.
    """
    if pool.name == SPARE_POOL:
        return False
    selector = parse_for_pool(pool.selector).value_or(Nothing())
    return matches(selector, labels)


def by_precedence(pools: Iterable[Pool]) -> list[Pool]:
    """Returns the pools sorted by priority, then name; the first match decides."""
    return sorted(pools, key=lambda pool: (pool.priority, pool.name))


def first_matching_pool(labels: Mapping[str, str], ordered: Iterable[Pool]) -> PoolName:
    """Returns the first of the ordered pools that matches, or the spare pool."""
    for pool in ordered:
        if pool_matches(pool, labels):
            return pool.name
    return SPARE_POOL


def desired_pool(labels: Mapping[str, str], pools: Mapping[PoolName, Pool]) -> PoolName:
    """Returns the pool for a host with these labels; spare if no pool matches."""
    return first_matching_pool(labels, by_precedence(pools.values()))


def desired_pools(cfg: Configuration, hosts: Iterable[Host]) -> dict[HostId, PoolName]:
    """Returns the pool that each host should be in."""
    ordered = by_precedence(cfg.pools.values())
    return {
        host.host_id: first_matching_pool(effective_labels(cfg, host), ordered)
        for host in hosts
    }


def check_ambiguity(
    before: Configuration, after: Configuration, hosts: Iterable[Host]
) -> Result[None, Problem]:
    """Rejects a change that makes two pools of equal priority match the same host.

    Only conflicts that the change itself creates are rejected, so that a host added
    with ambiguous labels never blocks an unrelated change. Only pools and hosts that
    the change affects are checked.
    """
    changed = [
        pool for name, pool in after.pools.items() if before.pools.get(name) != pool
    ]
    for host in hosts:
        relabelled = _operator_labels(before, host) != _operator_labels(after, host)
        candidates = list(after.pools.values()) if relabelled else changed
        if not candidates:
            continue
        for one, other in _competing_pools(after, host, candidates):
            if not _competed_before(before, host, one, other):
                return Failure(_ambiguity_problem(host, one, other))
    return Success(None)


def _operator_labels(cfg: Configuration, host: Host) -> dict[str, str]:
    return cfg.host_labels.get(host.host_id, {})


def _competing_pools(
    cfg: Configuration, host: Host, candidates: Iterable[Pool]
) -> Iterator[tuple[Pool, Pool]]:
    labels = effective_labels(cfg, host)
    for one in by_precedence(candidates):
        if not pool_matches(one, labels):
            continue
        for other in by_precedence(cfg.pools.values()):
            if other.name == one.name or other.priority != one.priority:
                continue
            if pool_matches(other, labels):
                yield one, other


def _competed_before(cfg: Configuration, host: Host, one: Pool, other: Pool) -> bool:
    pair = [cfg.pools.get(one.name), cfg.pools.get(other.name)]
    existing = [pool for pool in pair if pool is not None]
    if len(existing) < len(pair) or existing[0].priority != existing[1].priority:
        return False
    labels = effective_labels(cfg, host)
    return all(pool_matches(pool, labels) for pool in existing)


def _ambiguity_problem(host: Host, one: Pool, other: Pool) -> Problem:
    first, second = sorted((one.name, other.name))
    what = f"pools {first!r} and {second!r} of equal priority both claim the host"
    fix = "give one of them a lower priority number, or narrow a selector"
    return Problem(STEP, PEER, what, f"host {host.host_id!r}", fix)
