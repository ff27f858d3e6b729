"""Workers of availability zones that are evacuated or return from an evacuation."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import ZoneId
    from .settings import WorkerSettings
    from .worker import Worker

FIRST_STEP = 1


class ZoneEvacuations:
    """Excludes workers of evacuated zones, and loads them in steps afterwards.

    It addresses hosts whose caches went cold during the evacuation: a full load at
    once would make their first tasks slow and could get them ejected.

    Args:
        cfg: Settings with the number and the duration of the steps.
    """

    def __init__(self, cfg: WorkerSettings) -> None:
        self._cfg = cfg
        self.zones: frozenset[ZoneId] = frozenset()

    def replace_zones(
        self, zones: frozenset[ZoneId], workers: Iterable[Worker]
    ) -> list[Worker]:
        """Replaces the evacuated zones and returns the workers that return from one.

        Args:
            zones: All zones that are evacuated now.
            workers: All workers, listed or not.
        """
        ended = self.zones - zones
        self.zones = zones
        returning = []
        for worker in workers:
            worker.is_evacuated = worker.host.zone in zones
            if worker.is_evacuated:
                worker.load_steps = None
            elif worker.host.zone in ended:
                worker.load_steps = (FIRST_STEP, self._cfg.return_steps)
                returning.append(worker)
        return returning

    def next_step(self, worker: Worker) -> None:
        """Raises the load of a worker by a step; the last one ends the limit."""
        if worker.load_steps is None:
            return
        step, steps = worker.load_steps
        worker.load_steps = (step + 1, steps) if step + 1 < steps else None
