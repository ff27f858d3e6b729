"""Whether a task waits for the busy rack of its data or starts in another rack.

The load that this addresses: many jobs want the same rack at once. A task that runs in
another rack than its data takes longer by a known factor, so that it often ends sooner
if it waits for the end of a run in the rack. Tasks without a rack must not take the
room for which others wait.

A task waits only while that is expected to pay: its turn in the rack, after all tasks
that go before it, comes sooner than the additional time of a remote run is over, and
early enough for its job. The whole wait is bounded by that additional time, whatever
the estimates say.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from ..ids import RackId
from ..jobs.job import Job
from ..jobs.model import NO_RACK, Resources, StepKey, StepSpec
from ._job_facts import facts_of, terms_of
from ._rack_turns import RackTurns
from ._state import SchedulerState
from .host import Host
from .placement import Placement, place_each, place_gang
from .ranking import LATE_FACTOR

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ._waiting import WaitingStep
    from .rack_waits import RackReport
    from .reservations import RankClass
    from .run_times import RunTime

Ranked: TypeAlias = "Sequence[tuple[RankClass, Job, list[WaitingStep]]]"
"""Jobs with their waiting steps, in order of rank."""


@dataclass(slots=True)
class _Claim:
    """Tasks of a step that want turns in the rack of their data."""

    job: Job
    key: StepKey
    tasks: int


@dataclass(slots=True)
class RackChoice:
    """The choice between near and remote hosts during one plan.

    Attributes:
        state: The scheduler's state.
        hosts: Hosts of each rack that accept runs.
        claims: Waiting steps by the rack of their data, in order of rank. A step is
            removed once its tasks and those before it have their turns.
        least: Smallest amount of each resource that a waiting task needs.
    """

    state: SchedulerState
    hosts: dict[RackId, list[Host]]
    claims: dict[RackId, deque[_Claim]]
    least: Resources
    _turns: dict[RackId, RackTurns] = field(default_factory=dict)
    _placed: Counter[StepKey] = field(default_factory=Counter)
    _allowed: Iterable[Host] | None = None
    _has_placed: bool = False
    _unwanted: list[Host] = field(default_factory=list)
    _wanted: list[Host] = field(default_factory=list)
    _wanted_by_rack: dict[RackId, list[Host]] = field(default_factory=dict)

    def place(
        self,
        job: Job,
        key: StepKey,
        waiting: list[int],
        allowed: Iterable[Host],
        shapes: Sequence[Resources],
    ) -> list[Placement]:
        """Places tasks of a step, except those that wait for the rack of their data.

        Args:
            job: Job of the step.
            key: The step.
            waiting: Indices of the tasks to place; none has crashed a host.
            allowed: Hosts that the step may use.
            shapes: Needs of large tasks that wait, for which hosts should keep room.
        """
        step = job.spec.steps[key.step]
        if step.is_gang:
            return place_gang(step, key, waiting, allowed, shapes)
        if step.fills or step.is_lasting:
            return place_each(step, key, waiting, allowed, shapes)
        self._split(allowed)
        near = self._wanted_by_rack.get(step.data_rack, [])
        placements = place_each(step, key, waiting, near, shapes)
        left = waiting[len(placements) :]
        remote: list[Placement] = []
        if left:
            may_wait = self._may_wait(job, key, left) and self._has_room(step)
            turns = self._take_turns(job, key, len(left)) if may_wait else []
            remote = self._place_remote(key, step, left, shapes, turns)
        self._record(job, key, placements, remote)
        return placements + remote

    def _split(self, allowed: Iterable[Host]) -> None:
        """Splits the hosts that a step may use by whether tasks wait for their rack."""
        if allowed is self._allowed and not self._has_placed:
            return
        # Hosts only become fuller during a plan.
        known = [*self._unwanted, *self._wanted]
        hosts = known if allowed is self._allowed else allowed
        self._allowed, self._unwanted, self._wanted = allowed, [], []
        self._wanted_by_rack, self._has_placed = {}, False
        for host in hosts:
            if not self.least.fits(host.free):
                continue
            rack = host.info.rack
            if rack in self.claims:
                self._wanted.append(host)
                self._wanted_by_rack.setdefault(rack, []).append(host)
            else:
                self._unwanted.append(host)

    def _place_remote(
        self,
        key: StepKey,
        step: StepSpec,
        left: list[int],
        shapes: Sequence[Resources],
        turns: list[float],
    ) -> list[Placement]:
        """Places the tasks without a turn; holds back the others if one has room.

        Racks for which tasks wait go last.
        """
        count = len(left) - len(turns)
        if not count and not step.max_per_host:
            self._hold(key, step, turns)
            return []
        tried = left[: count + 1]
        remote = place_each(step, key, tried, self._unwanted, shapes)
        if len(remote) < len(tried):
            group = list(self._wanted_elsewhere(step))
            remote += place_each(step, key, tried[len(remote) :], group, shapes)
        if len(remote) > count:
            self._hold(key, step, turns)
        return remote[:count]

    def _wanted_elsewhere(self, step: StepSpec) -> Iterator[Host]:
        """Yields the hosts of other racks than a step's for which tasks wait."""
        rack = step.data_rack
        return (host for host in self._wanted if not rack or host.info.rack != rack)

    def _has_room(self, step: StepSpec) -> bool:
        """Returns whether a host in another rack has room for a task now."""
        need, label = step.reserved, step.required_label
        return any(
            need.fits(host.room) and (not label or label in host.info.labels)
            for host in itertools.chain(self._unwanted, self._wanted_elsewhere(step))
        )

    def _may_wait(self, job: Job, key: StepKey, waiting: list[int]) -> bool:
        """Returns whether tasks of a step may wait for the rack of their data.

        A copy is to replace a run that is late, the rest of a checkpointed task is
        unknown, and a ticket of a placement policy expires: these start at once.
        """
        rack = job.spec.steps[key.step].data_rack
        if rack not in self.hosts or self.state.needs_advice(job):
            return False
        tasks = job.tasks(key.occurrence, key.step)
        return not any(
            tasks[number].runs or tasks[number].checkpoint or tasks[number].crashes
            for number in waiting
        )

    def _take_turns(self, job: Job, key: StepKey, waiting: int) -> list[float]:
        """Takes the turns in the rack that are worth a wait; returns their times.

        Args:
            job: Job of the step.
            key: The step.
            waiting: Number of its tasks for which the rack has no room now.
        """
        run_time = self.state.run_times.of_step(job.spec, key.step)
        longer_ms = _longer_ms(self.state, run_time)
        if self.state.rack_waits.waited_ms(key, self.state.now_ms) >= longer_ms:
            return []
        self._claim_before(job.spec.steps[key.step].data_rack, key)
        return self._take(job, key, waiting, self._longest_wait_ms(job, run_time))

    def _hold(self, key: StepKey, step: StepSpec, turns: list[float]) -> None:
        """Holds back the tasks that have a turn."""
        now_ms = self.state.now_ms
        self.state.rack_waits.hold(
            key, step.data_rack, len(turns), turns[-1] - now_ms, now_ms
        )

    def _longest_wait_ms(self, job: Job, run_time: RunTime) -> float:
        """Returns the time within which a turn in the rack is worth a wait.

        A job that would be in time with a remote run waits only if it is in time with
        the wait as well, for the usual spread of run times.
        """
        longer_ms = _longer_ms(self.state, run_time)
        slack_ms = _time_left_ms(self.state, job)
        if slack_ms >= longer_ms:
            slack_ms /= max(run_time.spread, 1.0)
        return min(longer_ms, slack_ms)

    def _claim_before(self, rack: RackId, key: StepKey) -> None:
        """Gives turns to the steps that go before a step, and removes that step."""
        claims = self.claims[rack]
        while claims:
            claim = claims.popleft()
            if claim.key == key:
                return
            count = self._may_start(claim)
            run_time = self.state.run_times.of_step(claim.job.spec, claim.key.step)
            longer_ms = _longer_ms(self.state, run_time)
            if count > 0 and longer_ms > 0:
                self._take(claim.job, claim.key, count, longer_ms)

    def _may_start(self, claim: _Claim) -> int:
        """Returns how many tasks of a claim wait and have room in their team's cap."""
        job, left = claim.job, claim.tasks - self._placed[claim.key]
        need = job.spec.steps[claim.key.step].need
        state = self.state
        return state.caps.count_that_fits(
            state.catalog, job.spec.team, need, left, is_gang=False
        )

    def _take(
        self, job: Job, key: StepKey, count: int, within_ms: float
    ) -> list[float]:
        """Takes turns for tasks of a step that come within a time."""
        step = job.spec.steps[key.step]
        turns = self._turns.get(step.data_rack)
        if turns is None:
            turns = RackTurns(self.state, self.hosts[step.data_rack])
            self._turns[step.data_rack] = turns
        run_ms = self.state.run_times.of_step(job.spec, key.step).expected_ms
        return turns.take(key, step, count, run_ms, self.state.now_ms + within_ms)

    def _record(
        self, job: Job, key: StepKey, near: list[Placement], remote: list[Placement]
    ) -> None:
        """Records the placements of a step."""
        self.state.rack_waits.record_starts(key, len(near), len(remote))
        self._placed[key] += len(near) + len(remote)
        self._has_placed |= bool(near or remote)
        if not self._turns:
            return
        step, now_ms = job.spec.steps[key.step], self.state.now_ms
        run_ms = self.state.run_times.of_step(job.spec, key.step).expected_ms
        for _, host in [*near, *remote]:
            turns = self._turns.get(host.info.rack)
            if turns is not None:
                turns.occupy(host.info.id, step.reserved, now_ms + run_ms)


def choose_racks(
    state: SchedulerState, hosts: Iterable[Host], ranked: Ranked
) -> RackChoice | None:
    """Returns the choice for one plan, or None if no waiting task has a rack.

    Args:
        state: State of the scheduler.
        hosts: Hosts that may run tasks of several jobs.
        ranked: Jobs with waiting tasks in order of rank.
    """
    if not state.policy.weigh_remote_hosts:
        return None
    claims: dict[RackId, deque[_Claim]] = {}
    for _, job, steps in ranked:
        for key, step, waiting in steps:
            if _is_weighed(step):
                claim = _Claim(job, key, len(waiting))
                claims.setdefault(step.data_rack, deque()).append(claim)
    keys = {claim.key for rack in claims.values() for claim in rack}
    state.rack_waits.begin_plan(keys, state.hosts)
    if not claims:
        return None
    by_rack: dict[RackId, list[Host]] = {}
    for host in hosts:
        if host.info.rack != NO_RACK:
            by_rack.setdefault(host.info.rack, []).append(host)
    needs = [step.reserved for _, _, steps in ranked for _, step, _ in steps]
    least = Resources(*map(min, zip(*needs, strict=True)))
    return RackChoice(state, by_rack, claims, least)


def rack_reports(state: SchedulerState) -> list[RackReport]:
    """Returns what the last plan decided for the log and the metrics."""
    reports: list[RackReport] = []
    for wait in state.rack_waits.take_waits(state.now_ms):
        seen_ms = [
            host.seen_ms
            for host in state.hosts.values()
            if host.info.rack == wait.rack and host.accepts_runs(state.now_ms)
        ]
        if seen_ms:
            age_ms = state.now_ms - min(seen_ms)
            reports.append(wait._replace(hosts=len(seen_ms), report_age_ms=age_ms))
    starts = state.rack_waits.take_starts()
    return reports if starts is None else [*reports, starts]


def _is_weighed(step: StepSpec) -> bool:
    """Returns whether tasks of a step may wait for the rack of their data."""
    return step.data_rack != NO_RACK and not (
        step.is_gang or step.fills or step.is_lasting
    )


def _longer_ms(state: SchedulerState, run_time: RunTime) -> float:
    """Returns by how much longer a task runs in another rack than its data."""
    return (state.policy.remote_factor - 1) * run_time.expected_ms


def _time_left_ms(state: SchedulerState, job: Job) -> float:
    """Returns the time for which a job may wait before it is less timely."""
    terms = terms_of(state, job, facts_of(state, job))
    if terms.is_lasting:
        return math.inf
    slack_ms = terms.slack_ms_at(state.wall_ms)
    if slack_ms < 0:
        slack_ms += (LATE_FACTOR - 1) * terms.objective_ms
    return slack_ms if slack_ms >= 0 else math.inf
