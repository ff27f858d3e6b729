"""Selects ended jobs and cancelled ids whose retention time is over, for removal."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.model import JobId

if TYPE_CHECKING:
    from ._state import SchedulerState

MAX_REMOVED_JOBS = 7
"""Maximum number of jobs per batch; each takes four keys of one transaction."""


@dataclass(slots=True)
class Removals:
    """Jobs to be removed from the store, some in each batch.

    Attributes:
        next_jobs: Those of the next batch, or of the one that is being stored.
    """

    next_jobs: tuple[JobId, ...] = ()
    _found: list[JobId] = field(default_factory=list)
    _batches: int = 0

    def select(self, state: SchedulerState, retention_ms: int) -> int:
        """Selects the jobs of the next batch.

        Returns how many batches it takes to remove those found by the last search; at
        least 1. There is a new search once all of them are removed.
        """
        if not self._found:
            self._found = _find_expired(state, retention_ms)
            self._batches = -(-len(self._found) // MAX_REMOVED_JOBS)
        found = self._found[:MAX_REMOVED_JOBS]
        self.next_jobs = tuple(each for each in found if each not in state.dirty)
        del self._found[:MAX_REMOVED_JOBS]
        return max(self._batches, 1)

    def finish(self, state: SchedulerState) -> None:
        """Forgets the jobs that the stored batch has removed."""
        for job_id in self.next_jobs:
            state.early_cancellations.pop(job_id, None)
            if job_id not in state.dirty:
                state.jobs.pop(job_id, None)
        self.next_jobs = ()


def _find_expired(state: SchedulerState, retention_ms: int) -> list[JobId]:
    """Returns ended jobs whose records are stored, and cancelled ids without a job."""
    ended = [
        job_id
        for job_id, job in state.jobs.items()
        if job.ended_ms
        and job_id not in state.active
        and job_id not in state.dirty
        and state.wall_ms - job.ended_ms > retention_ms
    ]
    early = [
        job_id
        for job_id, cancelled_ms in state.early_cancellations.items()
        if state.wall_ms - cancelled_ms > retention_ms
    ]
    return ended + early
