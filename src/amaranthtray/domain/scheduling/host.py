"""A host as its pool's scheduler knows it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..jobs.model import NO_RESOURCES, Resources, StepKey, StepSpec, TaskName
from .messages import HostInfo

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..jobs.task import Run


class Placed(NamedTuple):
    """A run that may be on the host, and what it is a run of."""

    name: TaskName
    step: StepSpec
    run: Run


@dataclass(slots=True)
class Host:
    """One host of the pool.

    Attributes:
        info: What the platform's list shows.
        is_listed: Whether the list still shows it.
        born: Wall time at which its present run began; none before its first answer.
        is_silent: Whether its last call got no answer.
        avoid_until_ms: Steady time before which it gets no new runs.
        has_strays: Whether it runs what no record knows.
        acknowledged: Highest number of an end that it may forget.
        used: What its runs count for.
        lasting: What those of them count for that do not end by themselves.
        seen_ms: Steady time of its last lists.
        vacate_since_ms: Steady time since when it is to be emptied, if it is.
    """

    info: HostInfo
    is_listed: bool = True
    born: int | None = None
    is_silent: bool = False
    avoid_until_ms: int = 0
    has_strays: bool = False
    acknowledged: int = 0
    used: Resources = NO_RESOURCES
    lasting: Resources = NO_RESOURCES
    vacate_since_ms: int | None = None
    seen_ms: int = 0
    _placed: dict[tuple[TaskName, int], Placed] = field(default_factory=dict)
    _by_step: Counter[StepKey] = field(default_factory=Counter)

    @property
    def free(self) -> Resources:
        """Returns what new runs may take."""
        return self.info.capacity.minus(self.used)

    def is_open(self, now_ms: int) -> bool:
        """Returns whether new runs may be placed here."""
        return (
            self.is_listed
            and self.born is not None
            and not self.is_silent
            and not self.info.is_draining
            and self.vacate_since_ms is None
            and now_ms >= self.avoid_until_ms
        )

    def add(self, name: TaskName, step: StepSpec, run: Run) -> None:
        """Takes a run that may be here."""
        self._placed[name, run.number] = Placed(name, step, run)
        self._by_step[StepKey(*name[:3])] += 1
        self.used = self.used.plus(step.reserved)
        if step.is_lasting:
            self.lasting = self.lasting.plus(step.reserved)

    def remove(self, name: TaskName, number: int) -> None:
        """Forgets a run that is surely not here."""
        placed = self._placed.pop((name, number), None)
        if placed is not None:
            self.used = self.used.minus(placed.step.reserved)
            if placed.step.is_lasting:
                self.lasting = self.lasting.minus(placed.step.reserved)
            key = StepKey(*name[:3])
            self._by_step[key] -= 1
            if not self._by_step[key]:
                del self._by_step[key]

    def find(self, name: TaskName, number: int) -> Placed | None:
        """Returns the run of that number, if it may be here."""
        return self._placed.get((name, number))

    def placed(self) -> list[Placed]:
        """Returns all runs that may be here."""
        return list(self._placed.values())

    def count_of(self, key: StepKey) -> int:
        """Returns how many tasks of a step are here."""
        return self._by_step.get(key, 0)

    @property
    def has_lasting(self) -> bool:
        """Returns whether it runs tasks that last."""
        return any(self.lasting)

    def serving(self) -> Iterator[Placed]:
        """Yields runs whose response times have a target."""
        return (each for each in self._placed.values() if each.step.target_ms)
