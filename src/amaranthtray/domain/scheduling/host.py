"""A host of a pool and the runs that may be on it, as its scheduler knows them."""

from __future__ import annotations

import copy
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..jobs.model import NO_RESOURCES, Resources, StepKey, StepSpec, TaskName
from .messages import HostInfo

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..jobs.model import JobId
    from ..jobs.task import Run


QUARANTINE_CRASHES = 2
"""Crashes after which a task runs only on a host without runs of other jobs."""


class PlacedRun(NamedTuple):
    """A run that may be on a host, with its task and step."""

    name: TaskName
    step: StepSpec
    run: Run


@dataclass(slots=True)
class Host:
    """One host of the pool.

    Attributes:
        info: The host as the platform lists it.
        is_listed: Whether the platform still lists the host.
        born: Wall-clock time at which its incarnation started; None before its first
            report.
        is_silent: Whether the last call to it got no response.
        avoid_until_ms: Steady-clock time before which it gets no new runs.
        has_unknown_runs: Whether it executes runs that are in no job record.
        acknowledged: Highest sequence number of an end that it may drop.
        used: Resources reserved for its runs.
        used_by_lasting: Resources reserved for runs that do not end by themselves.
        vacate_since_ms: Steady-clock time since which the host is to be emptied; None
            if it is not.
        seen_ms: Steady-clock time of its last report.
        first_seen_ms: Steady-clock time of its first report; None before it.
        leaves_ms: Steady-clock time until which it stays at least; None unless it has
            said that it leaves.
        suspect_runs: Number of its runs whose task's hosts have crashed before.
        quarantined_runs: Number of its runs that must not share it with other jobs.
        is_evacuated: Whether its zone is evacuated, so that nothing starts on it.
        withheld: Resources that new runs may not use yet, after an evacuation;
            None if it may use all.
        held: Free resources that the step being placed must leave to a reservation.
    """

    info: HostInfo
    is_listed: bool = True
    born: int | None = None
    is_silent: bool = False
    avoid_until_ms: int = 0
    has_unknown_runs: bool = False
    acknowledged: int = 0
    used: Resources = NO_RESOURCES
    used_by_lasting: Resources = NO_RESOURCES
    vacate_since_ms: int | None = None
    seen_ms: int = 0
    first_seen_ms: int | None = None
    leaves_ms: int | None = None
    suspect_runs: int = 0
    quarantined_runs: int = 0
    is_evacuated: bool = False
    withheld: Resources | None = None
    held: Resources = NO_RESOURCES
    _known_free: tuple[HostInfo, Resources] | None = None
    _runs: dict[tuple[TaskName, int], PlacedRun] = field(default_factory=dict)
    _by_step: Counter[StepKey] = field(default_factory=Counter)

    def record_leaving(self, now_ms: int) -> None:
        """Records how long the host stays at least if it says that it leaves."""
        if not self.info.is_draining:
            self.leaves_ms = None
        elif self.leaves_ms is None:
            self.leaves_ms = now_ms + self.info.remaining_ms

    @property
    def free(self) -> Resources:
        """Returns the resources that are available to new runs."""
        known = self._known_free
        if known is None or known[0] is not self.info:
            known = self._known_free = (self.info, self.info.capacity.minus(self.used))
        return known[1].minus(self.withheld) if self.withheld else known[1]

    @property
    def room(self) -> Resources:
        """Returns the resources that are available to the step being placed."""
        if self.held is NO_RESOURCES:
            return self.free
        return self.free.minus(self.held)

    @property
    def machine(self) -> str:
        """Returns its machine, or its own id if the machine is unknown."""
        return self.info.machine or self.info.id

    @property
    def is_described(self) -> bool:
        """Returns whether the list may describe the incarnation that reports.

        The next incarnation may have other labels and less room at the same address.
        """
        return self.info.born in (0, self.born) or self.born is None

    def accepts_runs(self, now_ms: int) -> bool:
        """Returns whether new runs may be placed on the host."""
        return (
            self.is_listed
            and self.born is not None
            and self.is_described
            and not self.is_silent
            and not self.info.is_draining
            and not self.is_evacuated
            and self.vacate_since_ms is None
            and now_ms >= self.avoid_until_ms
        )

    def may_keep_reservations(self) -> bool:
        """Returns whether runs placed earlier may still start.

        The host may have shrunk or begun to leave while their records were stored.
        """
        return (
            self.is_listed
            and self.is_described
            and not self.info.is_draining
            and not self.is_evacuated
            and self.vacate_since_ms is None
            and min(self.free) >= 0
        )

    def add(self, name: TaskName, step: StepSpec, run: Run) -> None:
        """Adds a run that may be on the host and reserves its resources."""
        self._runs[name, run.number] = PlacedRun(name, step, run)
        self._by_step[StepKey(*name[:3])] += 1
        self.used = self.used.plus(step.reserved)
        self._known_free = None
        self._count_suspect(run, 1)
        if step.is_lasting:
            self.used_by_lasting = self.used_by_lasting.plus(step.reserved)

    def remove(self, name: TaskName, number: int) -> None:
        """Removes a run that is certainly not on the host; releases its resources."""
        placed = self._runs.pop((name, number), None)
        if placed is not None:
            self.used = self.used.minus(placed.step.reserved)
            self._known_free = None
            self._count_suspect(placed.run, -1)
            if placed.step.is_lasting:
                self.used_by_lasting = self.used_by_lasting.minus(placed.step.reserved)
            key = StepKey(*name[:3])
            self._by_step[key] -= 1
            if not self._by_step[key]:
                del self._by_step[key]

    def clear_suspicion(self, run: Run) -> None:
        """Forgets that hosts crashed under the task of one of its runs."""
        self._count_suspect(run, -1)
        run.prior_crashes = 0

    def copy(self) -> Host:
        """Returns a copy on which runs can be placed without placing them here."""
        copied = copy.copy(self)
        copied._runs, copied._by_step = dict(self._runs), Counter(self._by_step)
        return copied

    def has_only(self, job: JobId) -> bool:
        """Returns whether the host certainly has no run of another job."""
        return not self.has_unknown_runs and all(
            name.job == job for name, _ in self._runs
        )

    def find(self, name: TaskName, number: int) -> PlacedRun | None:
        """Returns the run of that task and number, if it may be on the host."""
        return self._runs.get((name, number))

    def placed_runs(self) -> list[PlacedRun]:
        """Returns all runs that may be on the host."""
        return list(self._runs.values())

    def task_count(self, key: StepKey) -> int:
        """Returns how many tasks of a step are on the host."""
        return self._by_step.get(key, 0)

    @property
    def has_lasting(self) -> bool:
        """Returns whether the host has runs that do not end by themselves."""
        used = self.used_by_lasting
        return used is not NO_RESOURCES and any(used)

    def _count_suspect(self, run: Run, by: int) -> None:
        if run.prior_crashes:
            self.suspect_runs += by
        if run.prior_crashes >= QUARANTINE_CRASHES:
            self.quarantined_runs += by

    def serving_runs(self) -> Iterator[PlacedRun]:
        """Yields the runs that have a target for their response time."""
        return (each for each in self._runs.values() if each.step.target_ms)
