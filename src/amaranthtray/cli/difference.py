"""Difference between the configuration in force and a fleet file."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from ..domain.configuration import (
    SPARE_POOL,
    Change,
    PutPool,
    PutQueue,
    PutTeam,
    RemovePool,
    RemoveQueue,
    RemoveTeam,
    SetHostLabels,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from ..domain.configuration import Configuration
    from ..domain.ids import HostId
    from .fleet_file import Fleet


class Action(StrEnum):
    """What happens to an object."""

    CREATE = "create"
    CHANGE = "change"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Step:
    """One object that differs.

    Attributes:
        action: What happens to it.
        target: Kind and name, for example ``"pool web"``.
        detail: Changed fields as ``field: old -> new``.
        change: The change that does it.
    """

    action: Action
    target: str
    detail: str
    change: Change


def difference(cfg: Configuration, fleet: Fleet, *, prune: bool) -> list[Step]:
    """Returns the steps from ``cfg`` to ``fleet`` in an order that stays valid.

    Args:
        cfg: The configuration in force.
        fleet: The configuration wanted.
        prune: Whether objects that the file does not name are removed.
    """
    steps = [
        *_puts("pool", cfg.pools, fleet.pools, PutPool),
        *_puts("team", cfg.teams, fleet.teams, PutTeam),
        *_puts("queue", cfg.queues, fleet.queues, PutQueue),
        *_labels(cfg, fleet, prune=prune),
    ]
    if not prune:
        return steps
    kept = {**fleet.pools, SPARE_POOL: None}
    return [
        *steps,
        *_removals("queue", cfg.queues, fleet.queues, RemoveQueue),
        *_removals("team", cfg.teams, fleet.teams, RemoveTeam),
        *_removals("pool", cfg.pools, kept, RemovePool),
    ]


def changes_of(steps: list[Step]) -> list[Change]:
    """Returns the changes of all steps; labels of all hosts are one change."""
    labels: dict[HostId, dict[str, str]] = {}
    others: list[Change] = []
    for step in steps:
        match step.change:
            case SetHostLabels(some):
                labels.update(some)
            case change:
                others.append(change)
    if not labels:
        return others
    return [*others, SetHostLabels(labels)]


def _puts(
    kind: str,
    old: Mapping[Any, Any],
    new: Mapping[Any, Any],
    make: Callable[[Any], Change],
) -> Iterator[Step]:
    for name, item in new.items():
        before = old.get(name)
        if before is None:
            yield Step(Action.CREATE, f"{kind} {name}", "", make(item))
        elif before != item:
            detail = _changed_fields(before, item)
            yield Step(Action.CHANGE, f"{kind} {name}", detail, make(item))


def _labels(cfg: Configuration, fleet: Fleet, *, prune: bool) -> Iterator[Step]:
    wanted = dict(fleet.host_labels)
    if prune:
        stale = [host for host in cfg.host_labels if host not in wanted]
        wanted.update({host: {} for host in stale})
    for host, labels in wanted.items():
        before = cfg.host_labels.get(host, {})
        if before != labels:
            change = SetHostLabels({host: labels})
            detail = f"{_shown(before)} -> {_shown(labels)}"
            yield Step(Action.CHANGE, f"labels of host {host}", detail, change)


def _removals(
    kind: str,
    old: Mapping[Any, Any],
    new: Mapping[Any, Any],
    make: Callable[[Any], Change],
) -> Iterator[Step]:
    for name in old:
        if name not in new:
            yield Step(Action.REMOVE, f"{kind} {name}", "", make(name))


def _changed_fields(before: Any, after: Any) -> str:
    parts = []
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            parts.append(f"{field.name}: {_shown(old)} -> {_shown(new)}")
    return "; ".join(parts)


def _shown(value: object) -> str:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        value = dataclasses.asdict(value)
    if isinstance(value, dict):
        return " ".join(f"{key}={val}" for key, val in sorted(value.items())) or "none"
    return str(value)
