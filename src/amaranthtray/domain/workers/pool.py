"""Index of the available workers of a pool, so that a choice needs no scan."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import HostId, ZoneId
    from ..requests.model import Needs
    from .worker import Worker


class PoolWorkers:
    """Workers of a pool, indexed by availability and by zone.

    A worker is available if this entry may send it work now.

    Attributes:
        workers: All workers that the platform lists in the pool.
        local: Available workers of the entry's own availability zone.
        remote: Available workers of other zones.
        awaiting_probe: Workers that get nothing but a probe.
        available_slots: Slots that this entry may use now, those for probes included.
    """

    __slots__ = (
        "_zone",
        "available_slots",
        "awaiting_probe",
        "local",
        "remote",
        "workers",
    )

    def __init__(self, zone: ZoneId) -> None:
        self._zone = zone
        self.workers: dict[HostId, Worker] = {}
        self.local: list[Worker] = []
        self.remote: list[Worker] = []
        self.awaiting_probe: dict[HostId, Worker] = {}
        self.available_slots = 0

    def refresh(self, worker: Worker, now_ms: int) -> None:
        """Updates the index after a change of the worker's free slots."""
        free = worker.free_slots(now_ms)
        self.available_slots += free - worker.available_slots
        worker.available_slots = free
        needs_probe = free > 0 and worker.is_probing
        if needs_probe:
            self.awaiting_probe[worker.host.host_id] = worker
        elif self.awaiting_probe:
            self.awaiting_probe.pop(worker.host.host_id, None)
        is_available = free > 0 and not needs_probe
        if is_available == (worker.index >= 0):
            return
        workers = self.local if worker.host.zone == self._zone else self.remote
        if is_available:
            worker.index = len(workers)
            workers.append(worker)
        else:
            _swap_remove(workers, worker)

    def remove(self, worker: Worker) -> None:
        """Removes a worker from the pool."""
        workers = self.local if worker.host.zone == self._zone else self.remote
        if worker.index >= 0:
            _swap_remove(workers, worker)
        self.awaiting_probe.pop(worker.host.host_id, None)
        self.workers.pop(worker.host.host_id, None)
        self.available_slots -= worker.available_slots
        worker.available_slots = 0

    def can_fit(self, needs: Needs) -> bool:
        """Returns whether any listed worker is large enough for these needs."""
        return any(worker.fits(needs) for worker in self.workers.values())


def _swap_remove(workers: list[Worker], worker: Worker) -> None:
    last = workers.pop()
    if last is not worker:
        workers[worker.index] = last
        last.index = worker.index
    worker.index = -1
