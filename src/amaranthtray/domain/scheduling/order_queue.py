"""Orders that wait to be sent to one host, in turns of their jobs.

The load that this addresses: a job of thousands of tasks, whose starts are queued for
one host. A job that has one task there must not wait for all of them.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from ..jobs.model import JobId

T = TypeVar("T")


class OrderQueue(Generic[T]):
    """Gives each job with waiting orders a turn; those of one job stay in order."""

    def __init__(self) -> None:
        self._by_job: dict[JobId, deque[T]] = {}

    def put(self, job: JobId, order: T) -> None:
        """Adds an order; a job without one gets the last turn."""
        self._by_job.setdefault(job, deque()).append(order)

    def take(self) -> T | None:
        """Removes and returns the next order; None if there is none."""
        job = next(iter(self._by_job), None)
        if job is None:
            return None
        orders = self._by_job.pop(job)
        order = orders.popleft()
        if orders:
            self._by_job[job] = orders
        return order
