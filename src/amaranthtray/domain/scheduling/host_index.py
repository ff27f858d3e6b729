"""Hosts by their free resources, kept up to date while runs are placed.

The load that this addresses: full pools, in which each placed step would otherwise be
compared with every host, so that the time of a plan grows with the square of the pool.
"""

from __future__ import annotations

import bisect
import heapq
import operator
from itertools import chain
from typing import TYPE_CHECKING, Final, TypeAlias

from ..jobs.model import NO_RESOURCES, Resources
from .placement import is_far

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..ids import HostId
    from ..jobs.model import StepSpec
    from .host import Host

CHUNK = 32
"""Hosts of a new chunk; a chunk that has twice as many is split. A search looks at each
chunk, and at the hosts of those whose largest free amounts are sufficient."""

FITS_NOTHING = Resources(-1, -1, -1)
"""Free resources without any host: not even a task that needs nothing fits."""

_Entry: TypeAlias = "tuple[int, int, int, int, Host]"
"""Free CPU, position among equals, free memory, free accelerators, and the host."""

_CPU: Final = 0
_POSITION: Final = 1
_MEMORY: Final = 2
_GPU: Final = 3
_HOST: Final = 4
_memory = operator.itemgetter(_MEMORY)
_gpu = operator.itemgetter(_GPU)


def largest_amounts(rooms: list[Resources]) -> Resources:
    """Returns the largest amount of each resource; without a room, none fits."""
    if not rooms:
        return FITS_NOTHING
    return Resources(*map(max, zip(*rooms, strict=True)))


class _Chunk:
    """Some hosts in order, with the largest free amounts of any of them."""

    __slots__ = ("entries", "gpu", "memory_mb")

    def __init__(self, entries: list[_Entry]) -> None:
        self.entries = entries
        self.memory_mb = max(map(_memory, entries))
        self.gpu = max(map(_gpu, entries))

    def add(self, entry: _Entry) -> None:
        bisect.insort(self.entries, entry)
        self.memory_mb = max(self.memory_mb, entry[_MEMORY])
        self.gpu = max(self.gpu, entry[_GPU])

    def remove(self, entry: _Entry) -> None:
        """Removes an entry; another one must be left."""
        del self.entries[bisect.bisect_left(self.entries, entry)]
        if entry[_MEMORY] == self.memory_mb:
            self.memory_mb = max(map(_memory, self.entries))
        if entry[_GPU] == self.gpu:
            self.gpu = max(map(_gpu, self.entries))


def _last(chunk: _Chunk) -> _Entry:
    return chunk.entries[-1]


class _Group:
    """Hosts of one kind by free CPU, in chunks."""

    __slots__ = ("chunks",)

    def __init__(self, entries: Iterable[_Entry] = ()) -> None:
        ordered = sorted(entries)
        starts = range(0, len(ordered), CHUNK)
        self.chunks = [_Chunk(ordered[start : start + CHUNK]) for start in starts]

    def add(self, entry: _Entry) -> None:
        if not self.chunks:
            self.chunks.append(_Chunk([entry]))
            return
        found = bisect.bisect_left(self.chunks, entry, key=_last)
        index = min(found, len(self.chunks) - 1)
        chunk = self.chunks[index]
        chunk.add(entry)
        if len(chunk.entries) >= 2 * CHUNK:
            halves = chunk.entries[:CHUNK], chunk.entries[CHUNK:]
            self.chunks[index : index + 1] = map(_Chunk, halves)

    def remove(self, entry: _Entry) -> None:
        index = bisect.bisect_left(self.chunks, entry, key=_last)
        if len(self.chunks[index].entries) == 1:
            del self.chunks[index]
        else:
            self.chunks[index].remove(entry)

    def fitting(self, step: StepSpec) -> Iterator[_Entry]:
        """Yields the hosts that match a step's label and fit at least one task."""
        need, label = step.reserved, step.required_label
        cpu, memory_mb, gpu = need
        for chunk in self.chunks:
            if (
                chunk.memory_mb < memory_mb
                or chunk.gpu < gpu
                or chunk.entries[-1][_CPU] < cpu
            ):
                continue
            for entry in chunk.entries:
                if entry[_CPU] < cpu or entry[_MEMORY] < memory_mb or entry[_GPU] < gpu:
                    continue
                host = entry[_HOST]
                if host.held is not NO_RESOURCES and not need.fits(host.room):
                    continue
                if not label or label in host.info.labels:
                    yield entry


class HostIndex:
    """Hosts in the order in which a step uses them.

    ``update`` must be called when a run is placed on a host.

    Args:
        hosts: The hosts; among equal ones, the earlier go first.
    """

    def __init__(self, hosts: Iterable[Host] = ()) -> None:
        self._entries: dict[HostId, tuple[_Entry, _Group]] = {}
        self._groups: dict[tuple[bool, bool], _Group] = {}
        self._largest: Resources | None = None
        entries: dict[tuple[bool, bool], list[_Entry]] = {
            (has_suspects, has_lasting): []
            for has_suspects in (False, True)
            for has_lasting in (False, True)
        }
        for position, host in enumerate(hosts):
            entries[_kind(host)].append(_entry(host, position))
        for kind, rows in entries.items():
            group = self._groups[kind] = _Group(rows)
            for row in rows:
                self._entries[row[_HOST].info.id] = row, group

    def update(self, host: Host) -> None:
        """Notes a change of a host's runs; ignores hosts that are not in the index."""
        known = self._entries.get(host.info.id)
        if known is None:
            return
        old, group = known
        group.remove(old)
        entry, group = _entry(host, old[_POSITION]), self._groups[_kind(host)]
        group.add(entry)
        self._entries[host.info.id] = entry, group
        largest = self._largest
        if largest is not None and (
            (old[_CPU] == largest.cpu and entry[_CPU] != old[_CPU])
            or (old[_MEMORY] == largest.memory_mb and entry[_MEMORY] != old[_MEMORY])
            or (old[_GPU] == largest.gpu and entry[_GPU] != old[_GPU])
            or not host.free.fits(largest)
        ):
            self._largest = None

    def retain(self, hosts: Iterable[HostId]) -> None:
        """Removes all hosts except some."""
        for host in self._entries.keys() - set(hosts):
            entry, group = self._entries.pop(host)
            group.remove(entry)
        self._largest = None

    def largest_free(self) -> Resources:
        """Returns the largest free amount of each resource on any host."""
        if self._largest is None:
            self._largest = self._find_largest()
        return self._largest

    def _find_largest(self) -> Resources:
        groups = [group.chunks for group in self._groups.values() if group.chunks]
        if not groups:
            return FITS_NOTHING
        chunks = list(chain.from_iterable(groups))
        return Resources(
            max(_last(group[-1])[_CPU] for group in groups),
            max(chunk.memory_mb for chunk in chunks),
            max(chunk.gpu for chunk in chunks),
        )

    def in_order(self, step: StepSpec) -> Iterator[Host]:
        """Yields the hosts that fit a step, the cheapest first.

        The hosts must not change before the last one is taken.
        """
        if not step.data_rack:
            yield from self._by_kind(step)
            return
        for wants_far in (False, True):
            for host in self._by_kind(step):
                if is_far(step, host) == wants_far:
                    yield host

    def _by_kind(self, step: StepSpec) -> Iterator[Host]:
        """Yields hosts by kind, then by free CPU; lasting tasks are kept together."""
        order = ((True,), (False,)) if step.is_lasting else ((False, True),)
        for has_suspects in (False, True):
            for kinds in order:
                groups = [self._groups[has_suspects, kind] for kind in kinds]
                rows = [group.fitting(step) for group in groups if group.chunks]
                for entry in heapq.merge(*rows) if len(rows) > 1 else chain(*rows):
                    yield entry[_HOST]


def _kind(host: Host) -> tuple[bool, bool]:
    return host.suspect_runs > 0, host.has_lasting


def _entry(host: Host, position: int) -> _Entry:
    cpu, memory_mb, gpu = host.free
    return cpu, position, memory_mb, gpu, host
