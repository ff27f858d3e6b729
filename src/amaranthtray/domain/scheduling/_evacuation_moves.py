"""Selects the runs that leave evacuated zones now, as far as there is room elsewhere.

The load that this addresses: a zone holds a third of a pool's runs, and the rest of
the pool has room for some of them. A run that is stopped without room elsewhere
waits, and one that neither checkpoints nor lasts loses its work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import StepKey, TaskName
from ..jobs.task import Run, RunPhase
from ._vacating import TAKEOVER_PAUSE_MS, unavailable_count
from .evacuation import MovingRun, RunKind, RunsMoved
from .host import QUARANTINE_CRASHES, Host, PlacedRun
from .messages import StopRun
from .placement import place_each, place_gang

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..jobs.job import Job
    from ..jobs.model import StepSpec
    from ._state import SchedulerState
    from .messages import Effect

SETTLE_MS = 1_000
"""Time for which a request must be in force before runs are moved; one that is made
and withdrawn within a second moves nothing."""

STEPS_PER_CHECK = 16
"""Most steps for which a check looks for room; each costs a search of the pool."""

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
    candidates = _movable_runs(state)
    if not candidates:
        return []
    room = _Room(state)
    if not room.reserve_moving():
        return []
    effects: list[Effect] = []
    turns = sorted(candidates, key=lambda key: known.tried_ms.get(key, -1))
    for key in turns[:STEPS_PER_CHECK]:
        known.tried_ms[key] = state.now_ms
        job, runs = state.jobs[key.job], candidates[key]
        match run_kind(job.spec.steps[key.step]):
            case RunKind.CHECKPOINTING:
                numbers = room.place(job, key, [each.name.number for each in runs])
                chosen = [each for each in runs if each.name.number in numbers]
                stops = _stop(state, chosen)
            case RunKind.LASTING:
                stops = _stop_lasting(state, job, key, runs, room)
            case _:
                stops = _stop(state, _gang_to_move(state, job, key, room))
        if stops:
            effects += [_report(state, runs[0], stops), *stops]
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
        if unavailable_count(state, job, placed) >= may_miss:
            break
        if not room.place(job, key, [placed.name.number]):
            break
        stops += _stop(state, [placed])
    return stops


def _gang_to_move(
    state: SchedulerState, job: Job, key: StepKey, room: _Room
) -> list[PlacedRun]:
    """Returns all runs of a gang if all members fit outside the zones, or none.

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
    return members if room.replace_gang(job, key, members) else []


def _is_taking_over(state: SchedulerState) -> bool:
    """Returns whether the last conductor's stops may not be complete yet."""
    first_ms = state.first_planned_ms
    return first_ms is None or state.now_ms < first_ms + TAKEOVER_PAUSE_MS


def _stop(state: SchedulerState, runs: list[PlacedRun]) -> list[StopRun]:
    """Returns orders to stop runs, and records that their tasks are moving."""
    orders: list[StopRun] = []
    for name, _, run in runs:
        run.phase, run.confirmed_ms = RunPhase.STOPPING, None
        state.evacuation.moving[name] = MovingRun(run.number, state.now_ms)
        orders.append(StopRun(run.host, name, run.number))
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

    Args:
        state: State of the scheduler; only requests for advice are added to it.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._hosts = {
            host.info.id: host.copy()
            for host in state.hosts.values()
            if host.accepts_runs(state.now_ms)
            and host.info.id not in state.to_vacate
            and host.info.id not in state.crashes.reserved_hosts
            and not host.quarantined_runs
            and (state.enforces_capacity or not host.has_unknown_runs)
        }

    def reserve_moving(self) -> bool:
        """Places the tasks that are moving; returns whether all have room."""
        by_step: dict[StepKey, list[int]] = {}
        for name in self._state.evacuation.moving:
            by_step.setdefault(StepKey(*name[:3]), []).append(name.number)
        return all(
            len(self._place(self._state.jobs[key.job], key, numbers, self._list()))
            == len(numbers)
            for key, numbers in by_step.items()
        )

    def place(self, job: Job, key: StepKey, numbers: Sequence[int]) -> list[int]:
        """Places tasks of a step; returns those that have room."""
        return self._place(job, key, numbers, self._allowed_hosts(job, key))

    def replace_gang(self, job: Job, key: StepKey, members: list[PlacedRun]) -> bool:
        """Places a gang anew, also where its members now run; returns whether it fits.

        A gang that does not fit leaves the room unchanged.
        """
        held = [each for each in members if each.run.host in self._hosts]
        for name, _, run in held:
            self._hosts[run.host].remove(name, run.number)
        if self.place(job, key, [each.name.number for each in members]):
            return True
        for name, step, run in held:
            self._hosts[run.host].add(name, step, run)
        return False

    def _list(self) -> list[Host]:
        return list(self._hosts.values())

    def _place(
        self, job: Job, key: StepKey, numbers: Sequence[int], hosts: list[Host]
    ) -> list[int]:
        step = job.spec.steps[key.step]
        place = place_gang if step.is_gang else place_each
        placements = place(step, key, numbers, hosts)
        for number, host in placements:
            run = Run(0, host.info.id, 0, RunPhase.RESERVED)
            host.add(TaskName(*key, number), step, run)
        return [number for number, _ in placements]

    def _allowed_hosts(self, job: Job, key: StepKey) -> list[Host]:
        """Returns the hosts that the placement policy allows; requests more advice."""
        state, hosts = self._state, self._list()
        if not state.queue_of(job).needs_advice:
            return hosts
        request = state.advice.next_request(key, hosts, state.now_ms)
        if request is not None:
            state.advice_requests.append(request)
        return [
            host
            for host in hosts
            if state.advice.ticket(key, host.info.id, state.now_ms) is not None
        ]
