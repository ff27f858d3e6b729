"""The open workers of one pool, kept so that a choice needs no search."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import HostId, ZoneId
    from ..requests.model import Needs
    from .worker import Worker


class PoolWorkers:
    """Workers of a pool by whether and where they have an open slot.

    Attributes:
        workers: All listed workers.
        near: Open workers of the entry's own availability zone.
        far: Open workers of other zones.
        probes: Workers that wait for a probe.
        available_slots: Slots open to this entry, probes included.
    """

    __slots__ = ("_zone", "available_slots", "far", "near", "probes", "workers")

    def __init__(self, zone: ZoneId) -> None:
        self._zone = zone
        self.workers: dict[HostId, Worker] = {}
        self.near: list[Worker] = []
        self.far: list[Worker] = []
        self.probes: dict[HostId, Worker] = {}
        self.available_slots = 0

    def refresh(self, worker: Worker, now_ms: int) -> None:
        """Puts a worker where its free slots now place it."""
        free = worker.free_slots(now_ms)
        self.available_slots += free - worker.available_slots
        worker.available_slots = free
        is_probe = free > 0 and worker.is_probing
        if is_probe:
            self.probes[worker.host.host_id] = worker
        elif self.probes:
            self.probes.pop(worker.host.host_id, None)
        is_open = free > 0 and not is_probe
        if is_open == (worker.index >= 0):
            return
        workers = self.near if worker.host.zone == self._zone else self.far
        if is_open:
            worker.index = len(workers)
            workers.append(worker)
        else:
            _swap_remove(workers, worker)

    def remove(self, worker: Worker) -> None:
        """Takes a worker out of the pool."""
        workers = self.near if worker.host.zone == self._zone else self.far
        if worker.index >= 0:
            _swap_remove(workers, worker)
        self.probes.pop(worker.host.host_id, None)
        self.workers.pop(worker.host.host_id, None)
        self.available_slots -= worker.available_slots
        worker.available_slots = 0

    def can_fit(self, needs: Needs) -> bool:
        """Returns whether any listed worker could run a task with these needs."""
        return any(worker.fits(needs) for worker in self.workers.values())


def _swap_remove(workers: list[Worker], worker: Worker) -> None:
    last = workers.pop()
    if last is not worker:
        workers[worker.index] = last
        last.index = worker.index
    worker.index = -1
