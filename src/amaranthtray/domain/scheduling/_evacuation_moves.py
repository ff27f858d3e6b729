"""Selects the runs that leave evacuated zones now, as far as there is room elsewhere.

The load that this addresses: a zone holds a third of a pool's runs, and the rest of
the pool has room for some of them. A run that is stopped without room elsewhere
waits, and one that neither checkpoints nor lasts loses its work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import StepKey, TaskName
from ..jobs.task import Run, RunPhase
from ._absence import absent_tasks, stop_report
from ._advice_requests import allowed_hosts, want_advice
from ._vacating import TAKEOVER_PAUSE_MS
from .absence import StopReason
from .advice_queue import Purpose
from .evacuation import MovingRun, RunKind, RunsMoved
from .host import QUARANTINE_CRASHES, Host, PlacedRun
from .host_index import largest_amounts
from .orders import StopRun
from .placement import place_each, place_gang

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..ids import HostId
    from ..jobs.job import Job
    from ..jobs.model import StepSpec
    from ._state import SchedulerState
    from .messages import Effect

SETTLE_MS = 1_000
"""Time for which a request must be in force before runs are moved; one that is made
and withdrawn within a second moves nothing."""

STEPS_PER_CHECK = 8
"""Most steps for which a check looks for room; each costs a search of the pool."""

MAX_MOVING = 200
"""Most tasks that are moving when more are stopped; each costs time in every check."""

MOVE_TIMEOUT_MS = 10_000
"""Time after which a stopped task that found no host no longer delays other moves."""


def run_kind(step: StepSpec) -> RunKind:
    """Returns what an evacuation does with the runs of a step."""
    if step.is_gang:
        return RunKind.GANG if step.is_checkpointing else RunKind.OTHER
    if step.is_lasting:
        return RunKind.LASTING
    return RunKind.CHECKPOINTING if step.is_checkpointing else RunKind.OTHER


def move_runs(state: SchedulerState) -> list[Effect]:
    """Returns orders to stop the runs that have room elsewhere, with their reports.

    Steps take turns: those that were tried least recently go first.
    """
    known = state.evacuation
    _remove_arrived(state)
    if len(known.moving) >= MAX_MOVING:
        return []
    candidates = _movable_runs(state)
    if not candidates:
        return []
    room = _Room(state, {runs[0].step for runs in candidates.values()})
    effects: list[Effect] = []
    turns = sorted(
        (key for key, runs in candidates.items() if room.may_fit(runs[0].step)),
        key=lambda key: known.tried_ms.get(key, -1),
    )
    for key in turns[:STEPS_PER_CHECK]:
        known.tried_ms[key] = state.now_ms
        job, runs = state.jobs[key.job], candidates[key]
        match run_kind(job.spec.steps[key.step]):
            case RunKind.CHECKPOINTING:
                targets = room.place(job, key, [each.name.number for each in runs])
                stops = _stop(state, runs, targets)
            case RunKind.LASTING:
                stops = _stop_lasting(state, job, key, runs, room)
            case _:
                stops = _stop_gang(state, job, key, room)
        if stops:
            effects += [_report(state, runs[0], stops), *stops]
            for stop in stops:
                effects += stop_report(state, stop, StopReason.EVACUATED)
    return effects


def _remove_arrived(state: SchedulerState) -> None:
    """Removes moved tasks that have another run, are over, or waited too long."""
    moving = state.evacuation.moving
    for name, stopped in list(moving.items()):
        job = state.jobs.get(name.job)
        task = job.task(name) if job is not None else None
        if (
            job is None
            or task is None
            or job.is_over(name)
            or any(run.number != stopped.number for run in task.runs)
            or state.now_ms - stopped.since_ms > MOVE_TIMEOUT_MS
        ):
            del moving[name]


def _movable_runs(state: SchedulerState) -> dict[StepKey, list[PlacedRun]]:
    """Returns the runs of evacuated zones that may be moved, by step.

    A host that is emptied for another reason is left to that rule. A suspect that
    needs a host of its own stays on the one that it has.
    """
    runs: dict[StepKey, list[PlacedRun]] = {}
    for host in state.hosts.values():
        if (
            not host.is_evacuated
            or host.is_silent
            or host.vacate_since_ms is not None
            or host.info.is_draining
            or state.now_ms - state.evacuation.since_ms[host.info.zone] < SETTLE_MS
        ):
            continue
        for placed in host.placed_runs():
            kind = run_kind(placed.step)
            if kind is not RunKind.OTHER and _is_movable(state, placed):
                runs.setdefault(StepKey(*placed.name[:3]), []).append(placed)
    return runs


def _is_movable(state: SchedulerState, placed: PlacedRun) -> bool:
    name, _, run = placed
    host = state.hosts.get(run.host)
    return (
        run.phase is RunPhase.RUNNING
        and run.prior_crashes < QUARANTINE_CRASHES
        and host is not None
        and not host.is_silent
        and not state.jobs[name.job].is_over(name)
    )


def _stop_lasting(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    runs: list[PlacedRun],
    room: _Room,
) -> list[StopRun]:
    """Stops lasting tasks one by one while the step may miss another one.

    A step that states no ``may_miss`` misses one task at a time.
    """
    if _is_taking_over(state):
        return []
    may_miss = max(job.spec.steps[key.step].may_miss, 1)
    stops: list[StopRun] = []
    for placed in runs:
        if len(absent_tasks(state, placed.name)) >= may_miss:
            break
        targets = room.place(job, key, [placed.name.number])
        if not targets:
            break
        stops += _stop(state, [placed], targets)
    return stops


def _stop_gang(
    state: SchedulerState, job: Job, key: StepKey, room: _Room
) -> list[StopRun]:
    """Stops all runs of a gang if all members fit outside the zones, or none.

    A lasting gang is moved only if it may miss all members at once.
    """
    step = job.spec.steps[key.step]
    if step.is_lasting and (step.may_miss < step.count or _is_taking_over(state)):
        return []
    members = [
        PlacedRun(TaskName(*key, number), step, run)
        for number, task in enumerate(job.tasks(key.occurrence, key.step))
        for run in task.runs
    ]
    is_whole = len(members) == step.count
    if not is_whole or not all(_is_movable(state, member) for member in members):
        return []
    return _stop(state, members, room.replace_gang(job, key, members))


def _is_taking_over(state: SchedulerState) -> bool:
    """Returns whether the last conductor's stops may not be complete yet."""
    first_ms = state.first_planned_ms
    return first_ms is None or state.now_ms < first_ms + TAKEOVER_PAUSE_MS


def _stop(
    state: SchedulerState, runs: list[PlacedRun], targets: Mapping[int, HostId]
) -> list[StopRun]:
    """Stops the runs whose tasks have a target; records that these are moving."""
    orders: list[StopRun] = []
    for name, step, run in runs:
        target = targets.get(name.number)
        if target is None:
            continue
        run.phase, run.confirmed_ms = RunPhase.STOPPING, None
        state.evacuation.moving[name] = MovingRun(run.number, state.now_ms, target)
        is_voluntary = step.is_lasting and step.may_miss > 0 and not step.is_gang
        orders.append(StopRun(run.host, name, run.number, is_voluntary))
    return orders


def _report(
    state: SchedulerState, placed: PlacedRun, stops: list[StopRun]
) -> RunsMoved:
    zone = state.hosts[placed.run.host].info.zone
    tasks = tuple(stop.name for stop in stops)
    waited_ms = state.now_ms - state.evacuation.since_ms[zone]
    return RunsMoved(zone, run_kind(placed.step), tasks, waited_ms)


class _Room:
    """Free resources of the hosts outside the zones; copies on which runs are placed.

    The tasks that are moving hold the room for which their runs were stopped.

    Args:
        state: State of the scheduler; only requests for advice are added to it.
        steps: Steps to place; hosts without room for any of these are left out.
    """

    def __init__(self, state: SchedulerState, steps: set[StepSpec]) -> None:
        self._state = state
        needs = {step.reserved for step in steps}
        has_gangs = any(step.is_gang for step in steps)
        self._hosts = {
            host.info.id: host.copy()
            for host in state.hosts.values()
            if host.accepts_runs(state.now_ms)
            and host.info.id not in state.to_vacate
            and host.info.id not in state.crashes.reserved_hosts
            and not host.quarantined_runs
            and (state.enforces_capacity or not host.has_unknown_runs)
            and (has_gangs or any(need.fits(host.free) for need in needs))
        }
        for name, moving in state.evacuation.moving.items():
            if moving.target in self._hosts:
                self._reserve(name, self._hosts[moving.target])
        free = [host.free for host in self._hosts.values()]
        self._largest = largest_amounts(free)

    def may_fit(self, step: StepSpec) -> bool:
        """Returns whether a task may find room, by the largest free amounts."""
        return step.is_gang or step.reserved.fits(self._largest)

    def _reserve(self, name: TaskName, host: Host) -> None:
        run = Run(0, host.info.id, 0, RunPhase.RESERVED)
        host.add(name, self._state.step_of(name), run)

    def place(
        self, job: Job, key: StepKey, numbers: Sequence[int]
    ) -> dict[int, HostId]:
        """Places tasks of a step; returns the hosts of those that have room."""
        step = job.spec.steps[key.step]
        place = place_gang if step.is_gang else place_each
        placements = place(step, key, numbers, self._allowed_hosts(job, key))
        for number, host in placements:
            self._reserve(TaskName(*key, number), host)
        return {number: host.info.id for number, host in placements}

    def replace_gang(
        self, job: Job, key: StepKey, members: list[PlacedRun]
    ) -> dict[int, HostId]:
        """Places a gang anew, also where its members now run; returns the hosts.

        A gang that does not fit leaves the room unchanged.
        """
        held = [each for each in members if each.run.host in self._hosts]
        for name, _, run in held:
            self._hosts[run.host].remove(name, run.number)
        targets = self.place(job, key, [each.name.number for each in members])
        if not targets:
            for name, step, run in held:
                self._hosts[run.host].add(name, step, run)
        return targets

    def _allowed_hosts(self, job: Job, key: StepKey) -> list[Host]:
        """Returns the hosts that the placement policy allows; requests more advice."""
        state, hosts = self._state, list(self._hosts.values())
        want_advice(state, job, key, hosts, Purpose.MOVE)
        return list(allowed_hosts(state, job, key, hosts))
