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
    """Kind of change to an object."""

    CREATE = "create"
    CHANGE = "change"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Step:
    """Change to one object that differs from the fleet file.

    Attributes:
        action: Kind of change.
        target: Kind and name of the object, for example ``"pool web"``.
        detail: Changed fields as ``field: old -> new``.
        change: The configuration change to commit.
    """

    action: Action
    target: str
    detail: str
    change: Change


def difference(cfg: Configuration, fleet: Fleet, *, prune: bool) -> list[Step]:
    """Returns the steps that turn ``cfg`` into ``fleet``.

    Objects are created before those that refer to them and removed after them.

    Args:
        cfg: The configuration in force.
        fleet: The declared configuration.
        prune: Whether to remove objects that the file does not name.
    """
    steps = [
        *_put_steps("pool", cfg.pools, fleet.pools, PutPool),
        *_put_steps("team", cfg.teams, fleet.teams, PutTeam),
        *_put_steps("queue", cfg.queues, fleet.queues, PutQueue),
        *_label_steps(cfg, fleet, prune=prune),
    ]
    if not prune:
        return steps
    kept = {**fleet.pools, SPARE_POOL: None}
    return [
        *steps,
        *_removal_steps("queue", cfg.queues, fleet.queues, RemoveQueue),
        *_removal_steps("team", cfg.teams, fleet.teams, RemoveTeam),
        *_removal_steps("pool", cfg.pools, kept, RemovePool),
    ]


def emptied_kinds(cfg: Configuration, fleet: Fleet) -> dict[str, list[str]]:
    """Returns the kinds of which pruning would remove every object, with their names.

    Args:
        cfg: The configuration in force.
        fleet: The declared configuration.
    """
    kinds: dict[str, tuple[set[str], set[str]]] = {
        "pools": (
            {str(name) for name in cfg.pools if name != SPARE_POOL},
            set(fleet.pools),
        ),
        "teams": (set(cfg.teams), set(fleet.teams)),
        "queues": (set(cfg.queues), set(fleet.queues)),
    }
    return {
        kind: sorted(present)
        for kind, (present, wanted) in kinds.items()
        if present and present.isdisjoint(wanted)
    }


def merge_changes(steps: list[Step]) -> list[Change]:
    """Returns the changes of all steps, with the labels of all hosts in one change."""
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


def _put_steps(
    kind: str,
    old: Mapping[Any, Any],
    new: Mapping[Any, Any],
    make_change: Callable[[Any], Change],
) -> Iterator[Step]:
    for name, item in new.items():
        before = old.get(name)
        if before is None:
            yield Step(Action.CREATE, f"{kind} {name}", "", make_change(item))
        elif before != item:
            detail = _changed_fields(before, item)
            yield Step(Action.CHANGE, f"{kind} {name}", detail, make_change(item))


def _label_steps(cfg: Configuration, fleet: Fleet, *, prune: bool) -> Iterator[Step]:
    wanted = dict(fleet.host_labels)
    if prune:
        stale = [host for host in cfg.host_labels if host not in wanted]
        wanted.update({host: {} for host in stale})
    for host, labels in wanted.items():
        before = cfg.host_labels.get(host, {})
        if before != labels:
            change = SetHostLabels({host: labels})
            detail = f"{_value_text(before)} -> {_value_text(labels)}"
            yield Step(Action.CHANGE, f"labels of host {host}", detail, change)


def _removal_steps(
    kind: str,
    old: Mapping[Any, Any],
    new: Mapping[Any, Any],
    make_change: Callable[[Any], Change],
) -> Iterator[Step]:
    for name in old:
        if name not in new:
            yield Step(Action.REMOVE, f"{kind} {name}", "", make_change(name))


def _changed_fields(before: Any, after: Any) -> str:
    parts = []
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            parts.append(f"{field.name}: {_value_text(old)} -> {_value_text(new)}")
    return "; ".join(parts)


def _value_text(value: object) -> str:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        value = dataclasses.asdict(value)
    if isinstance(value, dict):
        return " ".join(f"{key}={val}" for key, val in sorted(value.items())) or "none"
    return str(value)
