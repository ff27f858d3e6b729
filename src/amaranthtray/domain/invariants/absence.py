"""The promise that orders take no more lasting tasks away than their step may miss."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.model import StepKey, TaskName

if TYPE_CHECKING:
    from ..jobs.model import JobSpec


@dataclass(slots=True)
class AbsenceChecker:
    """Checks each order that ends a lasting task at work, and collects violations.

    Attributes:
        notice_ms: Time after which a task that is away for any cause counts.
        broken: Descriptions of the violations.
    """

    notice_ms: int
    broken: list[str] = field(default_factory=list)
    _away_since_ms: dict[TaskName, int] = field(default_factory=dict)
    _ordered_away: set[TaskName] = field(default_factory=set)

    def record_accepted(self, spec: JobSpec, now_ms: int) -> None:
        """Records a job, none of whose tasks is at work yet."""
        for index, step in enumerate(spec.steps):
            for number in range(step.count if step.is_lasting else 0):
                self._away_since_ms[TaskName(spec.id, 0, index, number)] = now_ms

    def record_at_work(self, name: TaskName) -> None:
        """Records that a task is at work."""
        self._away_since_ms.pop(name, None)
        self._ordered_away.discard(name)

    def record_away(self, name: TaskName, now_ms: int) -> None:
        """Records that a task is no longer at work, for another cause than an order."""
        self._away_since_ms.setdefault(name, now_ms)

    def record_ordered_away(
        self, name: TaskName, may_miss: int, now_ms: int, *, counts: bool = True
    ) -> None:
        """Records that an order has ended a task, and checks that it might.

        Args:
            name: The task.
            may_miss: Tasks of its step that may be away.
            now_ms: Time at which it ended.
            counts: Whether the order must keep the promise; one that was held up, or
                that ends a task on a host that leaves, need not.
        """
        was_at_work = name not in self._away_since_ms
        others = sorted(
            each.number
            for each, since_ms in self._away_since_ms.items()
            if each != name
            and StepKey(*each[:3]) == StepKey(*name[:3])
            and (each in self._ordered_away or now_ms - since_ms >= self.notice_ms)
        )
        if counts and was_at_work and may_miss and len(others) >= may_miss:
            self.broken.append(f"{name} at {now_ms}: {others} of its step are away")
        self._away_since_ms.setdefault(name, now_ms)
        if was_at_work:
            self._ordered_away.add(name)
