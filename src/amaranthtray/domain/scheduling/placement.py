"""Placement of a step's waiting tasks on hosts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from .host_choice import keep_room

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence, Set

    from ..ids import HostId, RackId
    from ..jobs.model import Resources, StepKey, StepSpec
    from .host import Host


class Placement(NamedTuple):
    """Index of a task within its step, and the host selected for it."""

    number: int
    host: Host


def place_each(
    step: StepSpec,
    key: StepKey,
    waiting: Sequence[int],
    hosts: Iterable[Host],
    shapes: Sequence[Resources] = (),
) -> list[Placement]:
    """Places as many of the waiting tasks as fit, on the cheapest hosts first.

    Args:
        step: The step.
        key: Key of the step.
        waiting: Tasks to place.
        hosts: Hosts that may be used.
        shapes: Needs of large tasks that wait, for which hosts should keep room.
    """
    return fill_hosts(step, key, waiting, in_order(step, hosts), shapes)


def in_order(step: StepSpec, hosts: Iterable[Host]) -> list[Host]:
    """Returns the hosts that fit at least one task, the cheapest first."""
    return sorted(_eligible_hosts(step, hosts), key=lambda each: _cost(step, each))


def fill_hosts(
    step: StepSpec,
    key: StepKey,
    waiting: Sequence[int],
    ordered: Iterable[Host],
    shapes: Sequence[Resources] = (),
) -> list[Placement]:
    """Places as many of the waiting tasks as fit, on the first hosts.

    Args:
        step: The step.
        key: Key of the step.
        waiting: Tasks to place.
        ordered: Hosts that fit at least one task, the cheapest first; only as many are
            taken as are needed.
        shapes: Needs of large tasks that wait, for which hosts should keep room.
    """
    placements: list[Placement] = []
    if not waiting:
        return placements
    if shapes:
        ordered = keep_room(step.reserved, ordered, shapes)
    for host in ordered:
        count = min(acceptable_count(step, key, host), len(waiting) - len(placements))
        numbers = waiting[len(placements) : len(placements) + count]
        placements += [Placement(number, host) for number in numbers]
        if len(placements) == len(waiting):
            break
    return placements


def place_apart(
    step: StepSpec,
    key: StepKey,
    crashed_machines: Mapping[int, Set[str]],
    hosts: Iterable[Host],
    *,
    needs_other_machine: bool = False,
) -> list[Placement]:
    """Places tasks that may crash their hosts, where that harms least and shows most.

    Each goes to a host of its own if there are enough: one without another such task,
    of a machine that did not crash under it, with as few other runs as possible.

    Args:
        step: The step.
        key: Key of the step.
        crashed_machines: Machines that crashed under each of the waiting tasks.
        hosts: Hosts that may be used.
        needs_other_machine: Whether a task must not get a machine that crashed under
            it.
    """
    placements: list[Placement] = []
    counts: Counter[HostId] = Counter()
    eligible = _eligible_hosts(step, hosts)
    for number, avoided in crashed_machines.items():
        candidates = [
            (_suspect_cost(step, host, counts[host.info.id], avoided), index, host)
            for index, host in enumerate(eligible)
            if counts[host.info.id] < acceptable_count(step, key, host)
            and not (needs_other_machine and host.machine in avoided)
        ]
        if candidates:
            host = min(candidates)[2]
            counts[host.info.id] += 1
            placements.append(Placement(number, host))
    return placements


def place_gang(
    step: StepSpec,
    key: StepKey,
    waiting: Sequence[int],
    hosts: Iterable[Host],
    shapes: Sequence[Resources] = (),
) -> list[Placement]:
    """Places all waiting tasks or none; within one rack if the step prefers that."""
    return fill_hosts_or_none(step, key, waiting, in_order(step, hosts), shapes)


def fill_hosts_or_none(
    step: StepSpec,
    key: StepKey,
    waiting: Sequence[int],
    ordered: Iterable[Host],
    shapes: Sequence[Resources] = (),
) -> list[Placement]:
    """Places all waiting tasks of a gang on the first hosts, or none.

    Args:
        step: The step.
        key: Key of the step.
        waiting: Tasks to place.
        ordered: Hosts that fit at least one task, the cheapest first.
        shapes: Needs of large tasks that wait, for which hosts should keep room.
    """
    groups: list[Iterable[Host]] = [ordered]
    if step.is_same_rack:
        hosts = list(ordered)
        by_rack: dict[RackId, list[Host]] = {}
        for host in hosts:
            by_rack.setdefault(host.info.rack, []).append(host)
        groups = [*(by_rack[rack] for rack in sorted(by_rack)), hosts]
    for group in groups:
        placements = fill_hosts(step, key, waiting, group, shapes)
        if len(placements) == len(waiting):
            return placements
    return []


def tasks_that_fit(step: StepSpec, room: Resources) -> int:
    """Returns how many tasks of a step fit into ``room`` on one host."""
    cpu, memory_mb, gpu = step.reserved
    count: int | None = room.cpu // cpu if cpu else None
    if memory_mb:
        share = room.memory_mb // memory_mb
        count = share if count is None or share < count else count
    if gpu:
        share = room.gpu // gpu
        count = share if count is None or share < count else count
    if count is None:
        count = step.count
    return max(0, min(count, step.max_per_host or count))


def may_ever_fit(step: StepSpec, host: Host) -> bool:
    """Returns whether a host has the label of a step and is large enough for a task."""
    label = step.required_label
    return step.reserved.fits(host.info.capacity) and (
        not label or label in host.info.labels
    )


def _eligible_hosts(step: StepSpec, hosts: Iterable[Host]) -> list[Host]:
    """Returns the hosts that match the step's label and fit at least one task."""
    label, need = step.required_label, step.reserved
    cpu, memory_mb, _ = need
    return [
        host
        for host in hosts
        if host.free[0] >= cpu
        and host.free[1] >= memory_mb
        and need.fits(host.room)
        and (not label or label in host.info.labels)
    ]


def is_far(step: StepSpec, host: Host) -> bool:
    """Returns whether a host is in another rack than the step's data."""
    return bool(step.data_rack) and host.info.rack != step.data_rack


def acceptable_count(step: StepSpec, key: StepKey, host: Host) -> int:
    """Returns how many more tasks of a step a host can accept."""
    count = tasks_that_fit(step, host.room)
    if step.max_per_host:
        count = min(count, step.max_per_host - host.task_count(key))
    return max(count, 0)


def _suspect_cost(
    step: StepSpec, host: Host, placed: int, avoided_machines: Set[str]
) -> tuple[bool, bool, bool, bool, int]:
    """Returns the sort key of a host for a task that may crash it."""
    return (
        host.suspect_runs + placed > 0,
        host.machine in avoided_machines,
        is_far(step, host),
        step.is_lasting and not host.has_lasting,
        -host.free.cpu,
    )


def _cost(step: StepSpec, host: Host) -> tuple[bool, bool, bool, int]:
    """Returns the sort key of a host for a task.

    Hosts near the data go first, then those without a task that may crash them, then
    the fullest, so that others stay empty and can move to another pool.
    """
    is_unpacked = step.is_lasting and not host.has_lasting
    return is_far(step, host), host.suspect_runs > 0, is_unpacked, host.free.cpu
