"""Learns run times and the speed of hosts from reports, while that is enabled."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from msgspec import MsgspecError

from ..jobs.model import StepKey
from ..jobs.task import RunOutcome, RunPhase
from ._late_runs import move_late_runs
from .host_speed import SpeedSample
from .placement import is_far
from .run_time_events import (
    RunTimeErrors,
    RunTimesLearned,
    RunTimesUnreadable,
)
from .run_time_records import decode_run_times, encode_run_times
from .step_evidence import whole_ms

if TYPE_CHECKING:
    from ..jobs.model import StepSpec
    from ._state import SchedulerState
    from .host import Host, PlacedRun
    from .messages import Effect, EndReport, HostReport
    from .run_time_events import RunTimesRead

STORE_EVERY_MS = 5_000
"""Shortest time between writes of what was learned."""

REVIEW_EVERY_MS = 500
"""Shortest time between reviews of the hosts' speeds."""

MAX_START_MS = 1_000
"""Longest time from the placement of a run to its confirmed start after which its start
is known well enough: a lost reply or a slow store delays the confirmation."""

MAX_POLL_MS = 2_500
"""Longest poll after which an end is known well enough: hosts hold a request for two
seconds, longer ones have waited for the network or a paused process."""


def record_end(
    state: SchedulerState,
    host: Host,
    placed: PlacedRun,
    end: EndReport,
    report: HostReport,
) -> None:
    """Learns from a run that ended as done, if its whole time was measured."""
    if not state.policy.learn_run_times or end.outcome is not RunOutcome.DONE:
        return
    name, step, run = placed
    if run.confirmed_ms is None or not _is_measured(placed, report):
        return
    spec, run_times = state.jobs[name.job].spec, state.run_times
    actual_ms = max(report.received_ms - run.confirmed_ms, 1)
    is_near = not is_far(step, host)
    estimate = run_times.estimate_elsewhere(spec, name.step, run.host)
    if is_near and estimate is not None:
        residual = math.log(actual_ms) - estimate.mean
        sample = _sample(state, placed, residual, estimate.deviation)
        run_times.speeds.add(run.host, sample)
    is_usual = is_near and run.host not in run_times.speeds.slow
    run_times.record(spec, name.step, run.host, actual_ms, state.now_ms, learn=is_usual)


def note_progress(state: SchedulerState, host: Host, placed: PlacedRun) -> None:
    """Learns from the reported progress of a run."""
    if not state.policy.learn_run_times:
        return
    name, step, run = placed
    if run.first_report_ms is None:
        run.first_report_ms, run.first_percent = state.now_ms, run.percent
    elif (
        run.progress_ms == state.now_ms
        and _is_finite(step)
        and whole_ms(run) is not None
        and not is_far(step, host)
        and run.host not in state.run_times.speeds.slow
    ):
        state.run_times.record_progress(state.jobs[name.job].spec, name, run)


def restore_run_times(
    state: SchedulerState, message: RunTimesRead
) -> list[RunTimesUnreadable]:
    """Takes over what the last conductor has learned."""
    if not state.policy.learn_run_times or not message.data:
        return []
    try:
        found = decode_run_times(message.data, state.now_ms, state.wall_ms)
    except MsgspecError as exc:
        return [RunTimesUnreadable(str(exc))]
    state.run_times.restore(found)
    return []


def review_run_times(state: SchedulerState) -> list[Effect]:
    """Updates coefficients and speeds, moves late runs; returns orders and reports."""
    run_times, now_ms = state.run_times, state.now_ms
    if not state.policy.learn_run_times:
        return []
    reports: list[Effect] = []
    run_times.refit(now_ms)
    if now_ms - run_times.reviewed_ms >= REVIEW_EVERY_MS:
        run_times.reviewed_ms = now_ms
        running = {
            host.info.id: _running_samples(state, host)
            for host in state.hosts.values()
            if host.is_listed
        }
        reports += run_times.speeds.review(running, len(running), now_ms)
        reports += move_late_runs(state)
    if run_times.errors:
        reports.append(RunTimeErrors(tuple(run_times.errors)))
        run_times.errors.clear()
    is_changed = run_times.recorded != run_times.stored
    if is_changed and now_ms - run_times.stored_ms >= STORE_EVERY_MS:
        run_times.stored, run_times.stored_ms = run_times.recorded, now_ms
        regressions = run_times.regressions()
        state.run_times_record = encode_run_times(regressions, now_ms, state.wall_ms)
        reports.append(RunTimesLearned(run_times.summaries()))
    return reports


def _running_samples(state: SchedulerState, host: Host) -> list[SpeedSample]:
    """Returns what the present runs of a host say about its speed.

    A run whose rate is unknown says something only once it takes too long.
    """
    samples: list[SpeedSample] = []
    if host.is_silent:
        return samples
    for placed in host.placed_runs():
        name, step, run = placed
        if run.phase is not RunPhase.RUNNING or run.confirmed_ms is None:
            continue
        if not _is_finite(step) or run.pace < 100 or is_far(step, host):
            continue
        spec = state.jobs[name.job].spec
        estimate = state.run_times.estimate_elsewhere(spec, name.step, run.host)
        if estimate is None:
            continue
        whole = whole_ms(run)
        known_ms = host.seen_ms - run.confirmed_ms if whole is None else whole
        residual = math.log(max(known_ms, 1)) - estimate.mean
        if whole is not None or residual > 0:
            samples.append(_sample(state, placed, residual, estimate.deviation))
    return samples


def _sample(
    state: SchedulerState, placed: PlacedRun, residual: float, deviation: float
) -> SpeedSample:
    key = StepKey(*placed.name[:3])
    begun_ms = placed.run.started_ms or 0
    return SpeedSample(key, residual, deviation, begun_ms, state.now_ms)


def _is_measured(placed: PlacedRun, report: HostReport) -> bool:
    """Returns whether a run's whole time was measured and is that of its work."""
    _, step, run = placed
    if run.phase is not RunPhase.RUNNING or run.confirmed_ms is None:
        return False
    # Members of a gang end together, so one is enough.
    is_counted = not step.is_gang or placed.name.number == 0
    is_whole = not run.is_resumed and run.pace == 100 and run.started_ms is not None
    if not is_counted or not is_whole or not _is_finite(step):
        return False
    start_ms = run.confirmed_ms - (run.started_ms or 0)
    poll_ms = report.received_ms - report.sent_ms
    return start_ms <= MAX_START_MS and poll_ms <= MAX_POLL_MS


def _is_finite(step: StepSpec) -> bool:
    return not step.is_lasting and not step.fills
