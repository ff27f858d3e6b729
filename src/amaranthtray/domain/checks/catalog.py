"""Checks the operator's configuration of jobs: queues, pools, teams and keys."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Any

from ..jobs.model import NO_RESOURCES, Resources
from .findings import Finding, FindingKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from ..jobs.catalog import Catalog, JobTeam


@dataclass(frozen=True, slots=True)
class TaskSize:
    """A task that the configuration has to be able to run.

    Attributes:
        need: Resources that the task needs.
        work_ms: Declared duration of the task.
    """

    need: Resources = NO_RESOURCES
    work_ms: int = 0


def catalog_findings(catalog: Catalog, task: TaskSize) -> Iterator[Finding]:
    """Yields what can never match and the limits that contradict each other.

    Args:
        catalog: The configuration.
        task: A task that every team and queue has to be able to run.
    """
    yield from _queues(catalog, task)
    routed = {queue.pool for queue in catalog.queues}
    for name, pool in catalog.pools.items():
        if name not in routed and not pool.is_standby:
            what = "no queue is routed to the pool"
            fix = "route a queue to it, or remove it"
            yield Finding(FindingKind.NEVER_MATCHES, f"pool/{name}", what, fix)
    for team in catalog.teams.values():
        yield from _team(team, task)


def catalog_differences(before: Catalog, after: Catalog) -> Iterator[Finding]:
    """Yields what was added, removed and changed, what moves and who loses access.

    Args:
        before: The version in force.
        after: The version to compare.
    """
    groups: tuple[tuple[str, Mapping[Any, Any], Mapping[Any, Any]], ...] = (
        ("pool", before.pools, after.pools),
        ("team", before.teams, after.teams),
        (
            "queue",
            {queue.name: queue for queue in before.queues},
            {queue.name: queue for queue in after.queues},
        ),
    )
    for kind, old, new in groups:
        for name in sorted({*old, *new}):
            yield from _difference(f"{kind}/{name}", old.get(name), new.get(name))
    for digest, team in sorted(before.team_by_digest.items(), key=lambda item: item[1]):
        if after.team_by_digest.get(digest) != team:
            what = "a key of the team is no longer accepted as its key"
            yield Finding(FindingKind.LOSES_ACCESS, f"team/{team}", what)
    new_names = {queue.name for queue in after.queues}
    for queue in before.queues:
        if queue.name not in new_names:
            what = "callers can no longer use the queue"
            yield Finding(FindingKind.LOSES_ACCESS, f"queue/{queue.name}", what)


def _difference(obj: str, old: Any, new: Any) -> Iterator[Finding]:
    if old is None:
        yield Finding(FindingKind.ADDED, obj, "is new")
        return
    if new is None:
        yield Finding(FindingKind.REMOVED, obj, "is removed")
        return
    for field in fields(old):
        was, value = getattr(old, field.name), getattr(new, field.name)
        if was == value:
            continue
        kind = FindingKind.MOVES if field.name == "pool" else FindingKind.CHANGED
        yield Finding(kind, obj, f"{was} -> {value}", key=field.name)


def _queues(catalog: Catalog, task: TaskSize) -> Iterator[Finding]:
    for queue in catalog.queues:
        obj = f"queue/{queue.name}"
        if queue.pool not in catalog.pools:
            what, fix = f"unknown pool {queue.pool!r}", "declare the pool"
            yield Finding(FindingKind.ERROR, obj, what, fix, "pool")
        taken = catalog.route(queue.host_header, queue.path_prefix)
        if taken is not None and taken.name != queue.name:
            what = f"every call goes to queue {taken.name!r}, which hides this one"
            fix = "give the queues different hosts or prefixes"
            yield Finding(FindingKind.NEVER_MATCHES, obj, what, fix, "path_prefix")
        # Without a declared task, only a factor below 1 without a target is certain.
        work_ms = task.work_ms or (1 if not queue.target_ms else 0)
        objective_ms = queue.slowdown_factor * work_ms + queue.target_ms
        if objective_ms < work_ms:
            bound = f"{queue.slowdown_factor:g} times the work + {queue.target_ms} ms"
            what = f"an objective of {bound} is below the work itself"
            fix = "use a slowdown factor of at least 1, or a longer target"
            yield Finding(FindingKind.CONTRADICTION, obj, what, fix, "slowdown_factor")


def _team(team: JobTeam, task: TaskSize) -> Iterator[Finding]:
    obj = f"team/{team.name}"
    if team.weight <= 0 and team.cap != NO_RESOURCES:
        what = f"a weight of {team.weight} with a cap"
        fix = "give the team a weight, or remove its cap"
        yield Finding(FindingKind.CONTRADICTION, obj, what, fix, "weight")
    for name, cap, need in zip(Resources._fields, team.cap, task.need, strict=True):
        if 0 < cap < need:
            what = f"a cap of {cap} {name} is below one task, which needs {need}"
            fix = "raise the cap to at least one task"
            yield Finding(FindingKind.CONTRADICTION, obj, what, fix, "cap")
