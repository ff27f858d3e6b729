"""Checks the product's own configuration: selectors, limits and budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..placement import desired_pools
from ..selectors import Nothing, matches, parse
from .findings import Finding, FindingKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..configuration import Configuration, Queue, Team
    from ..inventory import Host


def fleet_findings(
    cfg: Configuration, hosts: Iterable[Host] | None
) -> Iterator[Finding]:
    """Yields what can never match and the limits that contradict each other.

    Args:
        cfg: The configuration.
        hosts: The hosts that the platform lists; None if they are not known, which
            leaves out the checks of pools against hosts.
    """
    if hosts is not None:
        listed = tuple(hosts)
        yield from _pools_without_hosts(cfg, listed)
        for name in sorted(cfg.host_labels.keys() - {host.host_id for host in listed}):
            what, fix = "no such host is listed", "correct or remove the name"
            yield Finding(FindingKind.NEVER_MATCHES, f"labels/{name}", what, fix)
    yield from _queue_selectors(cfg)
    yield from _limits(cfg)


def lost_access(before: Configuration, after: Configuration) -> Iterator[Finding]:
    """Yields the keys and teams that can use less after a change than before.

    Args:
        before: The configuration in force.
        after: The same configuration with the change applied.
    """
    for key_id, key in sorted(before.keys.items()):
        if key_id not in after.keys:
            what = f"the key of team {key.team} is withdrawn"
            yield Finding(FindingKind.LOSES_ACCESS, f"key/{key_id}", what)
    for name, team in sorted(before.teams.items()):
        new_team = after.teams.get(name)
        for queue in before.queues.values():
            if not _may_use(team, queue):
                continue
            new_queue = after.queues.get(queue.name)
            if new_team and new_queue and _may_use(new_team, new_queue):
                continue
            what = f"can no longer use queue {queue.name}"
            yield Finding(FindingKind.LOSES_ACCESS, f"team/{name}", what)


def _pools_without_hosts(
    cfg: Configuration, hosts: Iterable[Host]
) -> Iterator[Finding]:
    used = set(desired_pools(cfg, hosts).values())
    for name, pool in cfg.pools.items():
        if pool.selector and name not in used:
            fix = "label hosts, or correct the selector or the priority"
            what = "no listed host belongs to the pool"
            yield Finding(
                FindingKind.NEVER_MATCHES, f"pool/{name}", what, fix, "selector"
            )


def _queue_selectors(cfg: Configuration) -> Iterator[Finding]:
    for name, queue in cfg.queues.items():
        if queue.is_open or any(_may_use(team, queue) for team in cfg.teams.values()):
            continue
        what = "no team may use the queue"
        fix = "label a team, correct the selector, or open the queue"
        yield Finding(FindingKind.NEVER_MATCHES, f"queue/{name}", what, fix, "selector")


def _limits(cfg: Configuration) -> Iterator[Finding]:
    for name, team in cfg.teams.items():
        if team.limit == 0:
            what = f"a share of {team.share} with a limit of 0: nothing ever runs"
            fix = "raise the limit or remove the team"
            yield Finding(FindingKind.CONTRADICTION, f"team/{name}", what, fix, "limit")
    for pool_name, pool in cfg.pools.items():
        budget = pool.budget
        limits = (budget.max_out, budget.max_out_per_zone, budget.max_out_per_rack)
        if min(limits) == 0:
            what = "a budget of 0: no wave or move can ever take out a host"
            yield Finding(
                FindingKind.CONTRADICTION,
                f"pool/{pool_name}",
                what,
                "allow at least one host in total, per zone and per rack",
                "budget",
            )


def _may_use(team: Team, queue: Queue) -> bool:
    if queue.is_open or not queue.selector:
        return True
    return matches(parse(queue.selector).value_or(Nothing()), team.labels)
