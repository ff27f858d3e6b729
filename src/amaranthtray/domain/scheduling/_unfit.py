"""Shapes of tasks that fit on no host in one plan.

The load that this addresses: a full pool with hundreds of waiting steps, each of which
would otherwise be compared with every host in every plan.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..jobs.model import Resources, StepSpec
    from .reservations import RankClass

MAX_SHAPES = 16
"""Shapes that are remembered; each comparison costs time as well."""


class Demand(NamedTuple):
    """What a step asks of a host.

    Attributes:
        need: Resources of a task.
        rank_class: Class of its rank; reservations bind the same and lower classes.
        safe_ms: Time within which it ends; longer tasks may use less reserved room.
    """

    need: Resources
    rank_class: RankClass
    safe_ms: float


@dataclass(slots=True)
class UnfitDemands:
    """Demands that no host meets; free resources only shrink during a plan."""

    _demands: list[Demand] = field(default_factory=list)

    def covers(self, demand: Demand) -> bool:
        """Returns whether a demand is at least as large as one that no host meets."""
        (cpu, memory_mb, gpu), rank_class, safe_ms = demand
        for need, lowest_class, least_ms in self._demands:
            if (
                need[0] <= cpu
                and need[1] <= memory_mb
                and need[2] <= gpu
                and lowest_class <= rank_class
                and least_ms <= safe_ms
            ):
                return True
        return False

    def record(self, step: StepSpec, demand: Demand) -> None:
        """Records a demand of a step that no host meets.

        A step that may use only some hosts, or only a few on each, shows nothing.
        """
        if step.required_label or step.max_per_host or step.is_gang:
            return
        only = UnfitDemands([demand])
        kept = [each for each in self._demands if not only.covers(each)]
        self._demands = [*kept, demand][-MAX_SHAPES:]

    def clear(self) -> None:
        """Forgets all, as reserved room has become free."""
        self._demands.clear()
