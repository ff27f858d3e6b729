"""Moves or copies runs that would end much later than a new run elsewhere.

Load: runs on a host that has become slow, or that take several times as long as other
tasks of their step. A tail that all tasks of a step share is left alone, as a new run
would take as long.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from ..jobs.model import StepKey
from ..jobs.task import RunPhase
from .orders import StopRun
from .placement import is_far, place_apart, place_each
from .ranking import Timeliness, rank
from .run_time_events import RunMoved
from .step_evidence import whole_ms

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs.job import Job
    from ._state import SchedulerState
    from .host import Host, PlacedRun
    from .messages import Effect
    from .placement import Placement

MAX_MOVED_SHARE = 0.03
"""Maximum part of the pool's runs that are moved or copied at a time; one is always
possible."""

MOVE_MS = 1_200
"""Time that a move costs: hosts take up to a second for a stop."""

COPY_MS = 100
"""Time until a copy runs."""

MIN_GAIN_MS = 500
"""Least gain, which the errors of both estimates should not exceed."""

MIN_RUN_MS = 1_000
"""Least time on a host before a run is moved: a new run has not shown its rate."""

MIN_FACTOR = 3.0
"""Multiple of the step's other run times from which a run is late by itself."""

MIN_DEVIATIONS = 3.5
MIN_EVIDENCE = 3
"""Runs of the step on other hosts that must show what a task takes."""


class _LateRun(NamedTuple):
    """A run that ends later than a new one would.

    Attributes:
        gain_ms: Time that moving or copying it gains, after its cost.
        host: Host of the run.
        placed: The run.
        report: Report of the move.
    """

    gain_ms: float
    host: Host
    placed: PlacedRun
    report: RunMoved


def move_late_runs(state: SchedulerState) -> list[Effect]:
    """Stops runs to resume elsewhere, and marks runs that are to get a copy."""
    usual = [
        host
        for host in state.hosts.values()
        if host.accepts_runs(state.now_ms)
        and host.info.id not in state.run_times.speeds.slow
        and host.info.id not in state.crashes.reserved_hosts
        and not host.quarantined_runs
    ]
    total, moved = 0, 0
    late: list[_LateRun] = []
    for host in state.hosts.values():
        for placed in host.placed_runs():
            total += 1
            moved += placed.run.is_moved
            found = _late_run(state, host, placed)
            if found is not None:
                late.append(found)
    limit = max(1, int(MAX_MOVED_SHARE * total)) - moved
    late.sort(key=lambda each: -each.gain_ms)
    effects: list[Effect] = []
    for each in late:
        if limit <= 0:
            break
        name, step, run = each.placed
        others = [host for host in usual if host is not each.host]
        if not place_each(step, StepKey(*name[:3]), [name.number], others):
            continue
        limit -= 1
        run.is_moved = True
        if step.is_checkpointing:
            run.phase, run.confirmed_ms = RunPhase.STOPPING, None
            effects.append(StopRun(run.host, name, run.number))
        effects.append(each.report)
    return effects


def split_copies(job: Job, key: StepKey, waiting: list[int]) -> list[int]:
    """Returns those of the tasks to start that already have a run."""
    tasks = job.tasks(key.occurrence, key.step)
    return [number for number in waiting if tasks[number].runs]


def place_copies(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    copied: list[int],
    hosts: Iterable[Host],
) -> list[Placement]:
    """Places copies of runs, each on another machine than the run that it copies."""
    tasks = job.tasks(key.occurrence, key.step)
    machines: dict[int, set[str]] = {}
    for number in copied:
        on = [state.hosts.get(run.host) for run in tasks[number].runs]
        machines[number] = {host.machine for host in on if host is not None}
    step = job.spec.steps[key.step]
    return place_apart(step, key, machines, hosts, needs_other_machine=True)


def _late_run(state: SchedulerState, host: Host, placed: PlacedRun) -> _LateRun | None:
    """Returns a run if it should be moved or copied."""
    name, step, run = placed
    if not _may_move(state, host, placed):
        return None
    spec, times = state.jobs[name.job].spec, state.run_times
    slow = run.host in times.speeds.slow
    if not slow and times.evidence_elsewhere(spec, name.step, run.host) < MIN_EVIDENCE:
        return None
    estimate = times.estimate_elsewhere(spec, name.step, run.host)
    if estimate is None or run.confirmed_ms is None:
        return None
    at_least_ms = whole_ms(run) or host.seen_ms - run.confirmed_ms
    residual = math.log(max(at_least_ms, 1)) - estimate.mean
    is_straggler = residual > max(
        math.log(MIN_FACTOR), MIN_DEVIATIONS * estimate.deviation
    )
    if not slow and not is_straggler:
        return None
    remaining_ms = times.remaining(spec, name.step, run, state.now_ms).expected_ms
    whole = math.exp(estimate.mean + estimate.deviation**2 / 2)
    if step.is_checkpointing:
        kept = run.percent / 100 if run.checkpoint else 0.0
        elsewhere_ms, kind = MOVE_MS + whole * (1 - kept), "moved"
        gain_ms = remaining_ms - elsewhere_ms
    else:
        elsewhere_ms, kind = COPY_MS + whole, "copied"
        # The copy uses as much CPU again.
        gain_ms = remaining_ms - elsewhere_ms - whole
    if gain_ms < MIN_GAIN_MS:
        return None
    age_ms = state.now_ms - host.seen_ms
    times_ms = (round(remaining_ms), round(elsewhere_ms))
    report = RunMoved(name, run.number, run.host, kind, *times_ms, age_ms)
    return _LateRun(gain_ms, host, placed, report)


def _may_move(state: SchedulerState, host: Host, placed: PlacedRun) -> bool:
    """Returns whether a run may be moved or copied at all."""
    name, step, run = placed
    if not (step.is_checkpointing or step.allows_copies) or run.is_moved:
        return False
    if step.is_gang or step.fills or step.is_lasting or run.prior_crashes:
        return False
    if run.phase is not RunPhase.RUNNING or run.confirmed_ms is None:
        return False
    if host.is_silent or run.pace < 100 or is_far(step, host):
        return False
    if state.now_ms - run.confirmed_ms < MIN_RUN_MS:
        return False
    job = state.jobs[name.job]
    task = job.task(name)
    if task is None or task.crashes or job.is_over(name):
        return False
    if not step.is_checkpointing:
        # A copy takes room twice, so it waits until nothing else needs it.
        return len(task.runs) == 1 and state.unplaced.is_empty
    return state.unplaced.is_empty or _can_end_in_time(state, job)


def _can_end_in_time(state: SchedulerState, job: Job) -> bool:
    """Returns whether a job can end in time if its present steps begin anew.

    While tasks wait, room for a job that is late anyway would make others late: in a
    trial at 0.8 times the capacity, moves of all late runs cost 3 % of the worth.
    """
    queue = state.queue_of(job)
    found = rank(job, queue, state.wall_ms, run_times=state.run_times)
    return found.timeliness is Timeliness.IN_TIME
