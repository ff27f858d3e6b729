"""Empties hosts before maintenance, a move to another pool, or their departure."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..jobs.model import StepKey
from ..jobs.task import RunPhase
from ._absence import (
    MAX_STOP_MS,
    absent_tasks,
    has_stop_under_way,
    stop_report,
)
from ._advice_requests import allowed_hosts, want_advice
from .absence import StopReason
from .advice_queue import Purpose
from .orders import StopRun
from .placement import place_each

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .absence import StopUnconfirmed
    from .host import Host, PlacedRun
    from .messages import Effect

VACATE_GRACE_MS = 4_000
"""Time in which runs without checkpoints may end by themselves."""

LEAVE_MARGIN_MS = MAX_STOP_MS
"""Time before a host leaves at which all its lasting tasks are stopped, so that they
start elsewhere: a run that ends with its host is given up only with its lease."""

TAKEOVER_PAUSE_MS = 2_500
"""A new conductor moves no lasting task for this time: hosts report a run as working
until a stop that the last conductor ordered is complete, which takes a second."""


def vacate_hosts(state: SchedulerState) -> list[Effect]:
    """Returns orders to stop the runs that may leave hosts to be emptied.

    Tasks on hosts that leave go first, as they have the least time.
    """
    effects: list[Effect] = []
    unmovable: Counter[StepKey] = Counter()
    for host in sorted(state.hosts.values(), key=lambda each: each.leaves_ms is None):
        if host.info.id in state.to_vacate and host.vacate_since_ms is None:
            host.vacate_since_ms = state.now_ms
        elif host.info.id not in state.to_vacate:
            host.vacate_since_ms = None
        if host.vacate_since_ms is None and not host.info.is_draining:
            continue
        for placed in host.placed_runs():
            if placed.run.phase is not RunPhase.RUNNING:
                continue
            if not _may_stop(state, host, placed):
                continue
            if _must_fit_elsewhere(host, placed) and not _fits_elsewhere(state, placed):
                unmovable[StepKey(*placed.name[:3])] += 1
                continue
            effects += _stop(state, host, placed)
    for key, count in unmovable.items():
        state.unmovable.record(key, count, state.now_ms)
    state.unmovable.retain(set(unmovable))
    return effects


def _stop(state: SchedulerState, host: Host, placed: PlacedRun) -> list[Effect]:
    """Returns the order to stop a run that may leave its host, and its report."""
    name, step, run = placed
    run.phase, run.confirmed_ms = RunPhase.STOPPING, None
    is_leaving = host.info.is_draining
    is_voluntary = step.may_miss > 0 and not is_leaving
    stop = StopRun(host.info.id, name, run.number, is_voluntary)
    reason = StopReason.LEAVING if is_leaving else StopReason.EMPTIED
    return [stop, *stop_report(state, stop, reason)]


def _must_fit_elsewhere(host: Host, placed: PlacedRun) -> bool:
    """Returns whether a run stays unless its task can start on another host at once."""
    return placed.step.is_lasting and not host.info.is_draining


def _fits_elsewhere(state: SchedulerState, placed: PlacedRun) -> bool:
    key, number = StepKey(*placed.name[:3]), placed.name.number
    job = state.jobs[key.job]
    hosts = [each for each in state.hosts.values() if each.accepts_runs(state.now_ms)]
    want_advice(state, job, key, hosts, Purpose.MOVE)
    allowed = allowed_hosts(state, job, key, hosts)
    return bool(place_each(placed.step, key, [number], allowed))


def decide_stop_again(state: SchedulerState, stop: StopUnconfirmed) -> None:
    """Lets a run be stopped by a new decision, after a stop that had no reply.

    Until a report shows that the run goes on, its task counts as away.
    """
    host = state.hosts.get(stop.host)
    placed = host.find(stop.name, stop.number) if host is not None else None
    if placed is None or placed.run.phase is not RunPhase.STOPPING:
        return
    run = placed.run
    run.phase, run.confirmed_ms = RunPhase.RUNNING, stop.replied_ms
    if stop.was_sent:
        run.stop_tried_ms = stop.replied_ms
    state.evacuation.moving.pop(stop.name, None)


def vacant_hosts(state: SchedulerState) -> frozenset[str]:
    """Returns the hosts to be emptied that are empty."""
    return frozenset(
        host.info.id
        for host in state.hosts.values()
        if host.vacate_since_ms is not None
        and host.born is not None
        and not host.placed_runs()
        and not host.has_unknown_runs
    )


def _may_stop(state: SchedulerState, host: Host, placed: PlacedRun) -> bool:
    """Returns whether a run on a host to be emptied may be stopped now."""
    step = placed.step
    if step.is_lasting:
        return _may_move_lasting(state, host, placed)
    if host.info.is_draining:
        return step.is_checkpointing
    waited_ms = state.now_ms - (host.vacate_since_ms or state.now_ms)
    return step.is_checkpointing or waited_ms > VACATE_GRACE_MS


def _may_leave(state: SchedulerState, host: Host, placed: PlacedRun) -> bool:
    """Returns whether a lasting task may stop now on a host that is about to leave.

    Shortly before the host leaves, it waits only for stops that are under way: a task
    that they end must not find this one away.
    """
    absent = absent_tasks(state, placed.name, with_leaving=False)
    if len(absent) < placed.step.may_miss or host.leaves_ms is None:
        return True
    is_urgent = state.now_ms >= host.leaves_ms - LEAVE_MARGIN_MS
    return is_urgent and not has_stop_under_way(state, placed.name)


def _may_move_lasting(state: SchedulerState, host: Host, placed: PlacedRun) -> bool:
    """Returns whether a lasting task may stop now to move to another host."""
    step, name = placed.step, placed.name
    if host.info.is_draining:
        return not step.may_miss or _may_leave(state, host, placed)
    if host.is_silent:
        return False
    if (
        state.first_planned_ms is None
        or state.now_ms < state.first_planned_ms + TAKEOVER_PAUSE_MS
    ):
        return False
    return not step.may_miss or len(absent_tasks(state, name)) < step.may_miss
