"""Computes a pool's next ledger by a pipeline of pure steps."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..budgets.model import OutageStage
from ..budgets.rules import drains_to_cancel, record_outage, with_placement, with_stage
from ..configuration.model import SPARE_POOL, WaveAction, WaveState
from ..invariants.observations import OutCause
from ._candidates import start_moves, start_waves
from ._planning_context import may_continue, waiting_hosts

if TYPE_CHECKING:
    from ..budgets.model import OutageLedger, OutHost, WaveRecord
    from ..ids import HostId
    from ._planning_context import PlanningContext


def next_ledger(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    """Returns the ledger to write; equal to ``ledger`` if nothing has to change.

    Hosts that returned or failed are recorded before any new drain, so that the
    budget is checked against all hosts known to be out.
    """
    steps = (
        _drop_returned,
        _mark_moved_away,
        _finish_reboots,
        _release_recovered,
        _record_unhealthy,
        _cancel_unneeded,
        _cancel_over_budget,
        _advance_drained,
        _remove_missing,
        _defer_long_drains,
        start_moves,
        start_waves,
        _prune_wave_records,
    )
    for step in steps:
        ledger = step(ledger, ctx)
    return ledger


def _drop_returned(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    back = [
        host
        for host, out in ledger.out.items()
        if out.stage in (OutageStage.RETURNING, OutageStage.LEFT)
        and ctx.is_returned(out)
    ]
    return ledger.without(*back) if back else ledger


def _mark_moved_away(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    """Marks hosts that the configuration has placed in another pool.

    Their entries stay until the drain has ended, however long the host is down, so
    that a new holder of the duty ends it too. An entry whose host has disappeared
    from the platform's list is removed after ``remove_missing_after_ms``.
    """
    for host, out in ledger.out.items():
        is_elsewhere = ctx.view.pool_of(host) != ledger.pool
        if out.stage is OutageStage.LEFT:
            is_late = ctx.wall_ms - out.since_ms >= ctx.settings.remove_missing_after_ms
            if not is_elsewhere:
                ledger = with_stage(ledger, host, OutageStage.RETURNING)
            elif is_late and host not in ctx.view.listed:
                ledger = ledger.without(host)
        elif is_elsewhere and out.stage is not OutageStage.REBOOTING:
            left = replace(out, stage=OutageStage.LEFT, since_ms=ctx.wall_ms)
            ledger = ledger.with_host(left)
    return ledger


def _finish_reboots(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    for host, out in ledger.out.items():
        if out.stage is OutageStage.REBOOTING and ctx.is_rebooted(out):
            ledger = _record_done(ledger, host, out, ctx).without(host)
    return ledger


def _record_done(
    ledger: OutageLedger, host: HostId, out: OutHost, ctx: PlanningContext
) -> OutageLedger:
    if out.wave is None:
        return ledger
    record = ledger.wave_record(out.wave)
    took_ms = max(ctx.wall_ms - out.since_ms, 0)
    record = replace(
        record, done=record.done | {host}, took_ms=record.took_ms + took_ms
    )
    return ledger.with_wave_record(out.wave, record)


def _release_recovered(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    for host, out in ledger.out.items():
        is_listed = host in ctx.view.members
        if (
            out.stage is OutageStage.OUT
            and is_listed
            and ctx.unhealthy_cause(host) is None
        ):
            ledger = with_stage(ledger, host, OutageStage.RETURNING)
    return ledger


def _record_unhealthy(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    for host, member in ctx.view.members.items():
        cause = ctx.unhealthy_cause(host)
        if cause is None:
            continue
        order = ctx.make_order(cause)
        ledger = record_outage(ledger, member.location, order, now_ms=ctx.wall_ms)
    return ledger


def _cancel_unneeded(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    """Starts to return hosts whose wave was aborted or whose move is obsolete."""
    for host, out in ledger.out.items():
        if out.stage is OutageStage.PLACING and ctx.is_move_obsolete(out):
            ledger = with_stage(ledger, host, OutageStage.RETURNING)
        elif out.is_revocable:
            ledger = _cancel_drain_if_unneeded(ledger, host, out, ctx)
    return ledger


def _cancel_drain_if_unneeded(
    ledger: OutageLedger, host: HostId, out: OutHost, ctx: PlanningContext
) -> OutageLedger:
    if out.wave is not None:
        task = ctx.view.waves.get(out.wave)
        is_wanted = task is not None and may_continue(task) and host in task.ranks
        return ledger if is_wanted else with_stage(ledger, host, OutageStage.RETURNING)
    member = ctx.view.members.get(host)
    is_evacuated = host in ctx.view.evacuated
    if member is None or member.desired == ledger.pool or is_evacuated:
        return with_stage(ledger, host, OutageStage.RETURNING)
    if member.desired == out.target:
        return ledger
    return ledger.with_host(replace(out, target=member.desired))


def _cancel_over_budget(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    cancelled = drains_to_cancel(
        ledger, ctx.view.budget, ctx.pool_size, evacuated=ctx.view.evacuated
    )
    for host in cancelled:
        ledger = with_stage(ledger, host, OutageStage.RETURNING)
    return ledger


def _advance_drained(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    for host, out in ledger.out.items():
        if not out.is_revocable or not ctx.is_drained(out):
            continue
        if out.target is not None:
            ledger = with_placement(ledger, host, out.target, ctx.op_id)
        elif _wave_action(out, ctx) is WaveAction.REBOOT:
            ledger = with_stage(ledger, host, OutageStage.REBOOTING)
        else:
            ledger = _record_done(ledger, host, out, ctx)
            ledger = with_stage(ledger, host, OutageStage.RETURNING)
    return ledger


def _wave_action(out: OutHost, ctx: PlanningContext) -> WaveAction:
    task = None if out.wave is None else ctx.view.waves.get(out.wave)
    return WaveAction.DRAIN if task is None else task.action


def _remove_missing(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    """Moves hosts that the platform has not listed for long to the spare pool.

    The spare pool keeps those that the platform still lists as leaving and removes
    those that it does not list at all.
    """
    for host, out in ledger.out.items():
        is_listed = host in ctx.view.members
        if not _is_missing_too_long(host, out, ctx) or (
            ledger.pool == SPARE_POOL and is_listed
        ):
            continue
        if out.stage is OutageStage.REBOOTING:
            ledger = _record_done(ledger, host, out, ctx)
        if ledger.pool == SPARE_POOL:
            ledger = ledger.without(host)
        else:
            removed = replace(out, cause=OutCause.UNKNOWN, wave=None)
            ledger = with_placement(
                ledger.with_host(removed), host, SPARE_POOL, ctx.op_id
            )
    return ledger


def _is_missing_too_long(host: HostId, out: OutHost, ctx: PlanningContext) -> bool:
    is_unknown = out.stage is OutageStage.OUT and out.cause is OutCause.UNKNOWN
    if not is_unknown and out.stage is not OutageStage.REBOOTING:
        return False
    member = ctx.view.members.get(host)
    is_listed = member is not None and not member.is_missing
    return (
        not is_listed
        and ctx.wall_ms - out.since_ms >= ctx.settings.remove_missing_after_ms
    )


def _defer_long_drains(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    """Cancels a long drain, once per host, if other hosts of its wave are waiting."""
    for host, out in ledger.out.items():
        if not out.is_revocable or out.wave is None:
            continue
        record = ledger.wave_record(out.wave)
        if ctx.wall_ms - out.since_ms < _max_drain_ms(record, ctx):
            continue
        task = ctx.view.waves[out.wave]
        if task.state is not WaveState.RUNNING:
            continue
        others = set(waiting_hosts(ledger, ctx.view, task)) - record.deferred
        if host in record.deferred or not others:
            continue
        ledger = with_stage(ledger, host, OutageStage.RETURNING)
        record = replace(record, deferred=record.deferred | {host})
        ledger = ledger.with_wave_record(out.wave, record)
    return ledger


def _max_drain_ms(record: WaveRecord, ctx: PlanningContext) -> int:
    mean_ms = record.took_ms // len(record.done) if record.done else 0
    return max(ctx.settings.defer_drain_ms, ctx.settings.defer_factor * mean_ms)


def _prune_wave_records(ledger: OutageLedger, ctx: PlanningContext) -> OutageLedger:
    if ledger.waves.keys() <= ctx.view.waves.keys():
        return ledger
    kept_records = {
        name: record for name, record in ledger.waves.items() if name in ctx.view.waves
    }
    return replace(ledger, waves=kept_records)
