"""The queues of a pool's jobs, also of jobs whose queue was removed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import PoolName, QueueName
from ..jobs.catalog import JobQueue
from ..jobs.model import QueueTerms

if TYPE_CHECKING:
    from ..jobs.catalog import Catalog
    from ..jobs.model import JobSpec


@dataclass(slots=True)
class KnownQueues:
    """Queues by name.

    While the configuration has a queue, its jobs follow it as it is now. Jobs of a
    removed queue keep the terms under which they were accepted. A job of a former
    release has none: for it the queue counts as it was last seen here. If it never was,
    the job gets the lowest priority of the pool.

    Attributes:
        pool: The pool.
    """

    pool: PoolName
    _current: dict[QueueName, JobQueue] = field(default_factory=dict)
    _last_seen: dict[QueueName, JobQueue] = field(default_factory=dict)
    _removed: dict[tuple[QueueName, QueueTerms], JobQueue] = field(default_factory=dict)
    _lowest_priority: int = 0
    _names: set[QueueName] = field(default_factory=set)

    def apply(self, catalog: Catalog) -> None:
        """Applies a version of the configuration."""
        self._current = {queue.name: queue for queue in catalog.queues}
        self._last_seen.update(self._current)
        self._removed.clear()
        own = [queue for queue in catalog.queues if queue.pool == self.pool]
        self._names = {queue.name for queue in own}
        self._lowest_priority = max((queue.priority for queue in own), default=0)

    def is_configured(self, name: QueueName) -> bool:
        """Returns whether the configuration in force has a queue."""
        return name in self._current

    def displaced_address(self, spec: JobSpec) -> str | None:
        """Returns the address of a job whose queue isn't one of the pool any more.

        None for other jobs, and if the address isn't known.
        """
        if spec.queue in self._names:
            return None
        if spec.terms is not None:
            return spec.terms.address
        queue = self._last_seen.get(spec.queue)
        return queue.address if queue is not None else None

    def queue_of(self, spec: JobSpec) -> JobQueue:
        """Returns the queue of a job."""
        queue = self._current.get(spec.queue)
        if queue is not None:
            return queue
        if spec.terms is not None:
            key = spec.queue, spec.terms
            return self._removed.get(key) or self._removed.setdefault(
                key, self._as_accepted(*key)
            )
        return self._last_seen.get(spec.queue) or self._as_accepted(
            spec.queue, QueueTerms(priority=self._lowest_priority)
        )

    def _as_accepted(self, name: QueueName, terms: QueueTerms) -> JobQueue:
        return JobQueue(
            name=name,
            host_header="",
            path_prefix="",
            pool=self.pool,
            priority=terms.priority,
            slowdown_factor=terms.slowdown_factor,
            target_ms=terms.target_ms,
            needs_advice=terms.needs_advice,
        )
