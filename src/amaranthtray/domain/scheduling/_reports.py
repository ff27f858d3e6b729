"""Applies a host's report to the runs that may be on the host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.task import RunOutcome, RunPhase
from ._absence import MAX_STOP_MS, stop_report
from ._learning import note_progress, record_end
from ._lost_runs import (
    LossReport,
    drop_lost_runs,
    record_survival,
    withdraw_crash,
)
from ._progress import record_progress
from .absence import LastingRunEnded, StopReason
from .crash_register import HostIncarnation
from .losses import LateEnd, LossCause, RunOnOtherIncarnation
from .orders import StopRun

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import Host, PlacedRun
    from .messages import Effect, HostReport, RunReport

FAILURE_BACKOFF_MS = 200
"""Delay before a failed task restarts, to tell a bad host from a bad job."""


def apply_report(state: SchedulerState, host: Host, report: HostReport) -> list[Effect]:
    """Updates the state from a report; returns stops for obsolete and unknown runs."""
    effects: list[Effect] = []
    absent: list[PlacedRun] = []
    if host.born != report.born:
        incarnation = HostIncarnation(report.host, report.born)
        effects += withdraw_crash(state, incarnation)
        _mark_restarted(host)
    host.born = report.born
    host.is_silent = False
    host.seen_ms = state.now_ms
    if host.first_seen_ms is None:
        host.first_seen_ms = state.now_ms
    effects += _apply_ends(state, host, report)
    running = {(run.name, run.number): run for run in report.running}
    for placed in host.placed_runs():
        _note_stopped(placed, report)
        reported = running.pop((placed.name, placed.run.number), None)
        if reported is not None:
            effects += _note_incarnation(placed, report)
            placed.run.host_born = report.born
            _apply_running(state, placed, reported, report)
            note_progress(state, host, placed)
            if _is_obsolete(state, placed):
                placed.run.phase, placed.run.confirmed_ms = RunPhase.STOPPING, None
                effects.append(StopRun(host.info.id, placed.name, placed.run.number))
        elif _is_absence_proven(placed, report):
            absent.append(placed)
        elif _has_not_started(placed, report):
            placed.run.phase, placed.run.confirmed_ms = RunPhase.STOPPING, None
            stop = StopRun(host.info.id, placed.name, placed.run.number)
            effects += [stop, *stop_report(state, stop, StopReason.NO_REPLY)]
    effects += _drop_absent(state, host, absent)
    host.has_unknown_runs = bool(running)
    for name, number in running:
        stop = StopRun(host.info.id, name, number)
        effects += [stop, *stop_report(state, stop, StopReason.UNRECORDED)]
    return effects


def _drop_absent(
    state: SchedulerState, host: Host, absent: list[PlacedRun]
) -> list[LossReport]:
    """Drops runs that the host does not report, by the incarnation that had them."""
    runs = [(placed.name, placed.run) for placed in absent]
    restarted = [each for each in runs if each[1].host_born != host.born]
    others = [each for each in runs if each[1].host_born == host.born]
    return [
        *drop_lost_runs(state, restarted, LossCause.HOST_RESTARTED),
        *drop_lost_runs(state, others, LossCause.NOT_REPORTED),
    ]


def _mark_restarted(host: Host) -> None:
    """Marks all ordered runs as unconfirmed after a host restart.

    Orders to the earlier incarnation are fenced off from the new one.
    """
    host.acknowledged = 0
    for placed in host.placed_runs():
        if placed.run.phase is not RunPhase.RESERVED:
            placed.run.phase, placed.run.confirmed_ms = RunPhase.UNCONFIRMED, None


def _note_stopped(placed: PlacedRun, report: HostReport) -> None:
    """Records that the incarnation of a run is up after a stop of the run.

    The reply to a stop alone may be of the next incarnation.
    """
    run = placed.run
    if run.phase is not RunPhase.STOPPING or run.confirmed_ms is None:
        return
    is_same = run.host_born == report.born
    run.has_survived |= is_same and run.confirmed_ms <= report.received_ms


def _note_incarnation(
    placed: PlacedRun, report: HostReport
) -> list[RunOnOtherIncarnation]:
    """Reports, once, that the host has a run which a former incarnation should have."""
    run = placed.run
    if run.host_born == report.born or run.phase is RunPhase.RUNNING:
        return []
    return [
        RunOnOtherIncarnation(
            report.host, report.born, placed.name, run.number, run.host_born
        )
    ]


def _apply_ends(
    state: SchedulerState, host: Host, report: HostReport
) -> list[LastingRunEnded | LateEnd | RunOnOtherIncarnation]:
    """Applies the ends in a report; reports those that are late or of lasting tasks."""
    ended: list[LastingRunEnded | LateEnd | RunOnOtherIncarnation] = []
    for end in report.ends:
        placed = host.find(end.name, end.number)
        if placed is None:
            is_applied = state.apply_late_end(end.name, end.number, end.outcome)
            if end.sequence > host.acknowledged:
                late = (end.name, end.number, end.outcome, is_applied)
                ended.append(LateEnd(report.host, report.born, *late))
            continue
        if placed.run.phase is RunPhase.RESERVED:
            continue
        ended += _note_incarnation(placed, report)
        if placed.step.is_lasting:
            is_stopping = placed.run.phase is RunPhase.STOPPING
            was_stopped = is_stopping or placed.run.stop_tried_ms is not None
            ended.append(
                LastingRunEnded(
                    report.host, end.name, end.number, end.outcome, was_stopped
                )
            )
        record_end(state, host, placed, end, report)
        task = state.jobs[end.name.job].task(end.name)
        if task is not None and end.outcome is RunOutcome.FAILED:
            task.not_before_ms = state.now_ms + FAILURE_BACKOFF_MS
        state.end_run(
            end.name, placed.run, end.outcome, end.checkpoint or placed.run.checkpoint
        )
    if report.ends:
        state.acknowledge(host, max(end.sequence for end in report.ends))
    return ended


def _apply_running(
    state: SchedulerState, placed: PlacedRun, reported: RunReport, report: HostReport
) -> None:
    run = placed.run
    run.checkpoint, run.load = reported.checkpoint, reported.load
    if (
        run.stop_tried_ms is not None
        and report.sent_ms > run.stop_tried_ms + MAX_STOP_MS
    ):
        run.stop_tried_ms = None
    record_progress(state, placed, reported.percent)
    state.confirm_start(placed, report.received_ms)
    record_survival(state, placed)


def _is_obsolete(state: SchedulerState, placed: PlacedRun) -> bool:
    """Returns whether a run continues although its task or job is over."""
    is_running = placed.run.phase is RunPhase.RUNNING
    return is_running and state.jobs[placed.name.job].is_over(placed.name)


def _has_not_started(placed: PlacedRun, report: HostReport) -> bool:
    """Returns whether an order without a reply had started no run at the report."""
    run = placed.run
    return (
        run.phase is RunPhase.UNANSWERED
        and report.has_all_ends
        and run.confirmed_ms is not None
        and run.confirmed_ms < report.sent_ms
    )


def _is_absence_proven(placed: PlacedRun, report: HostReport) -> bool:
    """Returns whether a report without the run proves that it is not on the host."""
    if not report.has_all_ends:
        return False
    run = placed.run
    match run.phase:
        case RunPhase.UNCONFIRMED:
            return True
        case RunPhase.RUNNING | RunPhase.STOPPING:
            return run.confirmed_ms is not None and run.confirmed_ms < report.sent_ms
    return False
