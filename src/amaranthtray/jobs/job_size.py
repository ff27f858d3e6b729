"""Limits the tasks of a submitted job."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..domain.jobs.model import Recurrence, StepSpec
    from ..settings.job_entry import ClientsSection


def job_size_problem(
    steps: Iterable[StepSpec], recurrence: Recurrence | None, limits: ClientsSection
) -> str | None:
    """Returns why a job is larger than the limits allow; None if it is not."""
    tasks = sum(step.count for step in steps)
    if tasks > limits.max_job_tasks:
        return f"a job has at most {limits.max_job_tasks} tasks"
    if recurrence is not None and tasks * recurrence.count > limits.max_job_runs:
        return f"a job has at most {limits.max_job_runs} tasks over all its repetitions"
    return None
