"""Finds the ended jobs whose retention time is over."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..jobs.model import JobId
    from ._state import SchedulerState


def find_expired(state: SchedulerState, retention_ms: int) -> list[JobId]:
    """Returns ended jobs whose records are stored and may be removed."""
    return [
        job_id
        for job_id, job in state.jobs.items()
        if job.ended_ms
        and job_id not in state.active
        and job_id not in state.dirty
        and state.wall_ms - job.ended_ms > retention_ms
    ]
