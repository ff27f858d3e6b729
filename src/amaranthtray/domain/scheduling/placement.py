"""Placement of a step's waiting tasks on hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..jobs.model import Resources, StepKey, StepSpec
    from .host import Host


class Placement(NamedTuple):
    """Index of a task within its step, and the host selected for it."""

    number: int
    host: Host


def place_each(
    step: StepSpec, key: StepKey, waiting: Sequence[int], hosts: Iterable[Host]
) -> list[Placement]:
    """Places as many of the waiting tasks as fit, on the cheapest hosts first."""
    placements: list[Placement] = []
    for host in sorted(
        _eligible_hosts(step, hosts), key=lambda each: _cost(step, each)
    ):
        if len(placements) == len(waiting):
            break
        count = min(_acceptable_count(step, key, host), len(waiting) - len(placements))
        numbers = waiting[len(placements) : len(placements) + count]
        placements += [Placement(number, host) for number in numbers]
    return placements


def place_gang(
    step: StepSpec, key: StepKey, waiting: Sequence[int], hosts: Iterable[Host]
) -> list[Placement]:
    """Places all waiting tasks or none; within one rack if the step prefers that."""
    open_hosts = list(hosts)
    groups = [open_hosts]
    if step.is_same_rack:
        racks = sorted({host.info.rack for host in open_hosts})
        by_rack = [[h for h in open_hosts if h.info.rack == rack] for rack in racks]
        groups = [*by_rack, open_hosts]
    for group in groups:
        placements = place_each(step, key, waiting, group)
        if len(placements) == len(waiting):
            return placements
    return []


def tasks_that_fit(step: StepSpec, room: Resources) -> int:
    """Returns how many tasks of a step fit into ``room`` on one host."""
    need = step.reserved
    shares = [have // each for each, have in zip(need, room, strict=True) if each]
    count = min(shares, default=step.count)
    return max(0, min(count, step.max_per_host or count))


def _eligible_hosts(step: StepSpec, hosts: Iterable[Host]) -> list[Host]:
    """Returns the hosts that match the step's label and fit at least one task."""
    label, need = step.required_label, step.reserved
    return [
        host
        for host in hosts
        if need.fits(host.free) and (not label or label in host.info.labels)
    ]


def _acceptable_count(step: StepSpec, key: StepKey, host: Host) -> int:
    """Returns how many more tasks of a step a host can accept."""
    count = tasks_that_fit(step, host.free)
    if step.max_per_host:
        count = min(count, step.max_per_host - host.task_count(key))
    return max(count, 0)


def _cost(step: StepSpec, host: Host) -> tuple[bool, bool, int]:
    """Returns the sort key of a host for a task.

    Hosts near the data go first, then the fullest, so that others stay empty and can
    move to another pool.
    """
    is_far = bool(step.data_rack) and host.info.rack != step.data_rack
    return is_far, step.is_lasting and not host.has_lasting, host.free.cpu
