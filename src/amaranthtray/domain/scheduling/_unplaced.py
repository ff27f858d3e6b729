"""Steps that cannot be placed, although total free resources may be sufficient.

The free resources can be too fragmented for a task, be on too few hosts for tasks
that must not share one, or never be free at the same time for a whole gang.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.model import StepKey
from .placement import tasks_that_fit

if TYPE_CHECKING:
    from ..jobs.model import Resources, StepSpec

SPREAD_WAIT_MS = 1_000
"""Time before a gang or spread tasks need more hosts, as waiting doesn't help them."""

PACKING_WAIT_MS = 2_500
"""Time in which running tasks may end and free enough of one host for other tasks."""


@dataclass(slots=True)
class UnplacedSteps:
    """Steps with unplaced tasks: since when, and how many tasks."""

    _since_ms: dict[StepKey, int] = field(default_factory=dict)
    _task_counts: dict[StepKey, int] = field(default_factory=dict)

    def record(self, key: StepKey, task_count: int, now_ms: int) -> None:
        """Records how many tasks of a step are unplaced after a planning round."""
        if task_count:
            self._since_ms.setdefault(key, now_ms)
            self._task_counts[key] = task_count
        else:
            self._since_ms.pop(key, None)
            self._task_counts.pop(key, None)

    @property
    def is_empty(self) -> bool:
        """Returns whether all tasks that may start were placed."""
        return not self._since_ms

    def steps(self) -> list[StepKey]:
        """Returns the steps with unplaced tasks."""
        return list(self._since_ms)

    def retain(self, keys: set[StepKey]) -> None:
        """Removes all steps except ``keys``, which still wait."""
        for key in [key for key in self._since_ms if key not in keys]:
            self.record(key, 0, 0)

    def is_overdue(self, key: StepKey, step: StepSpec, now_ms: int) -> bool:
        """Returns whether a step has been unplaced for too long."""
        since_ms = self._since_ms.get(key)
        if since_ms is None:
            return False
        is_spread = step.is_gang or step.is_lasting or bool(step.max_per_host)
        return now_ms - since_ms >= (SPREAD_WAIT_MS if is_spread else PACKING_WAIT_MS)

    def hosts_needed(self, key: StepKey, step: StepSpec, size: Resources) -> int:
        """Returns how many empty hosts of the given size the unplaced tasks need."""
        most = tasks_that_fit(step, size)
        return math.ceil(self._task_counts.get(key, 0) / most) if most else 0
