"""Shapes of tasks, and the choice of hosts that leaves room for large ones."""

from __future__ import annotations

import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.model import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from ..jobs.model import JobSpec
    from .host import Host

RECENT_STEPS = 200
"""Steps whose shapes count as recent: enough for a median, few enough to follow load
that changes within seconds."""

LARGE_FACTOR = 2.0
"""A task is large from this multiple of the median task on: the end of one task then
hardly ever frees enough for it."""

CHOICE_WIDTH = 16
"""Hosts that are compared; only the fullest, so that others can stay empty."""

MAX_SHAPES = 4
"""Large shapes for which hosts are compared."""


@dataclass(slots=True)
class RecentShapes:
    """Needs of the tasks of the jobs that arrived last."""

    _needs: deque[Resources] = field(default_factory=lambda: deque(maxlen=RECENT_STEPS))

    def record(self, spec: JobSpec) -> None:
        """Records the steps of a job that arrived."""
        self._needs.extend(step.reserved for step in spec.steps)

    def large_from(self, size: Resources) -> Resources:
        """Returns the amounts of each resource from which a task is large.

        Args:
            size: Resources of the largest host.
        """
        shares = sorted(share_of_host(need, size) for need in self._needs)
        share = LARGE_FACTOR * shares[len(shares) // 2] if shares else 0.0
        return Resources(*(int(share * have) for have in size))


def share_of_host(need: Resources, size: Resources) -> float:
    """Returns the share of a host that a task takes, of its scarcest resource."""
    share = need[0] / size[0] if size[0] else 0.0
    if size[1]:
        share = max(share, need[1] / size[1])
    if size[2]:
        share = max(share, need[2] / size[2])
    return share


def freest(need: Resources, hosts: list[Host], count: int) -> list[Host]:
    """Returns the hosts that have most of a task's need free."""
    cpu, memory_mb, gpu = (1 / each if each else 0.0 for each in need)
    missing: list[float] = []
    for host in hosts:
        has_cpu, has_memory_mb, has_gpu = host.free
        share = -min(has_cpu * cpu, 1) - min(has_memory_mb * memory_mb, 1)
        missing.append(share - min(has_gpu * gpu, 1) if gpu else share)
    order = sorted(range(len(hosts)), key=missing.__getitem__)
    return [hosts[index] for index in order[:count]]


def keep_room(
    need: Resources, hosts: Iterable[Host], shapes: Sequence[Resources]
) -> Iterator[Host]:
    """Yields the hosts with those later where a task would displace a large one.

    Args:
        need: Resources of the task to place.
        hosts: Hosts that fit it, the preferred first.
        shapes: Needs of large tasks that wait.
    """
    rest = iter(hosts)
    first = list(itertools.islice(rest, CHOICE_WIDTH))
    first.sort(key=lambda host: _displaced(need, host.free, shapes))
    yield from first
    yield from rest


def _displaced(need: Resources, room: Resources, shapes: Sequence[Resources]) -> int:
    """Returns how many of the shapes fit now, but not beside the task."""
    cpu, memory_mb, gpu = room
    left: Resources | None = None
    count = 0
    for shape in shapes:
        if shape[0] <= cpu and shape[1] <= memory_mb and shape[2] <= gpu:
            left = left or room.minus(need)
            count += not shape.fits(left)
    return count
