"""Steps that find no place, though there may be room enough in all.

The room can be in pieces too small for a task, spread over too few hosts for tasks
that must not share one, or never free at one time for a whole gang.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs.model import StepKey
from .placement import tasks_that_fit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs.model import Resources, StepSpec
    from .host import Host

SPREAD_PATIENCE_MS = 1_000
"""A gang, or tasks that must be apart, get more hosts after this: no wait helps."""

PATIENCE_MS = 2_500
"""Other tasks wait so long for room to come together by itself."""


@dataclass(slots=True)
class Unplaced:
    """Steps with tasks that found no place: since when, and how many tasks."""

    _since_ms: dict[StepKey, int] = field(default_factory=dict)
    _left: dict[StepKey, int] = field(default_factory=dict)

    def note(self, key: StepKey, left: int, now_ms: int) -> None:
        """Takes how many tasks of a step are left after its turn."""
        if left:
            self._since_ms.setdefault(key, now_ms)
            self._left[key] = left
        else:
            self._since_ms.pop(key, None)
            self._left.pop(key, None)

    def retain(self, keys: set[StepKey]) -> None:
        """Forgets the steps that wait no more."""
        for key in [key for key in self._since_ms if key not in keys]:
            self.note(key, 0, 0)

    def is_due(self, key: StepKey, step: StepSpec, now_ms: int) -> bool:
        """Returns whether a step has waited in vain for too long."""
        since_ms = self._since_ms.get(key)
        if since_ms is None:
            return False
        is_spread = step.is_gang or step.is_lasting or bool(step.max_per_host)
        return now_ms - since_ms >= (SPREAD_PATIENCE_MS if is_spread else PATIENCE_MS)

    def hosts(self, key: StepKey, step: StepSpec, size: Resources) -> int:
        """Returns how many empty hosts of a size the tasks left over take."""
        most = tasks_that_fit(step, size)
        return math.ceil(self._left.get(key, 0) / most) if most else 0


def hosts_to_reserve(step: StepSpec, hosts: Iterable[Host]) -> set[str]:
    """Returns the hosts on which a gang gets in once what runs there has ended.

    Tasks that last don't end. If the hosts are too few in any case, none is kept.
    """
    label = step.required_label
    fits = {
        host.info.id: tasks_that_fit(step, host.info.capacity.minus(host.lasting))
        for host in hosts
        if not label or label in host.info.labels
    }
    chosen: set[str] = set()
    placed = 0
    for host in sorted(fits, key=lambda each: (-fits[each], each)):
        if placed >= step.count:
            return chosen
        chosen.add(host)
        placed += fits[host]
    return chosen if placed >= step.count else set()
