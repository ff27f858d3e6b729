"""The next ledger of a pool: a pipeline of pure steps over the current one."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..budgets.model import OutageStage
from ..budgets.rules import drains_to_cancel, record_outage, with_placement, with_stage
from ..configuration.model import SPARE_POOL, WaveAction, WaveState
from ..invariants.observations import OutCause
from ._candidates import start_moves, start_waves
from ._situation import is_open, waiting_hosts

if TYPE_CHECKING:
    from ..budgets.model import OutageLedger, OutHost, WaveRecord
    from ..ids import HostId
    from ._situation import Situation


def next_ledger(ledger: OutageLedger, now: Situation) -> OutageLedger:
    """Returns the ledger that the conductor wants; equal if nothing is to be done.

    Releases and failures come before any new drain, so that a drain is only ever
    weighed against what is known to be out.
    """
    steps = (
        _drop_returned,
        _mark_departed,
        _finish_reboots,
        _release_recovered,
        _count_failures,
        _revoke_needless,
        _shed_excess,
        _advance_drained,
        _forget_lost,
        _defer_long_drains,
        start_moves,
        start_waves,
        _prune_logs,
    )
    for step in steps:
        ledger = step(ledger, now)
    return ledger


def _drop_returned(ledger: OutageLedger, now: Situation) -> OutageLedger:
    back = [
        host
        for host, out in ledger.out.items()
        if out.stage in (OutageStage.RETURNING, OutageStage.LEFT)
        and now.is_returned(out)
    ]
    return ledger.without(*back) if back else ledger


def _mark_departed(ledger: OutageLedger, now: Situation) -> OutageLedger:
    """Marks hosts that the configuration has placed in another pool.

    They are kept until their drain is over, so that a new holder sees to it, however
    long the host is down; one that the platform lists no more is dropped in the end.
    """
    for host, out in ledger.out.items():
        has_left = now.view.pool_of(host) != ledger.pool
        if out.stage is OutageStage.LEFT:
            is_late = now.wall_ms - out.since_ms >= now.settings.forget_after_ms
            if not has_left:
                ledger = with_stage(ledger, host, OutageStage.RETURNING)
            elif is_late and host not in now.view.listed:
                ledger = ledger.without(host)
        elif has_left and out.stage is not OutageStage.REBOOTING:
            left = replace(out, stage=OutageStage.LEFT, since_ms=now.wall_ms)
            ledger = ledger.with_host(left)
    return ledger


def _finish_reboots(ledger: OutageLedger, now: Situation) -> OutageLedger:
    for host, out in ledger.out.items():
        if out.stage is OutageStage.REBOOTING and now.is_back(out):
            ledger = _log_done(ledger, host, out, now).without(host)
    return ledger


def _log_done(
    ledger: OutageLedger, host: HostId, out: OutHost, now: Situation
) -> OutageLedger:
    if out.wave is None:
        return ledger
    log = ledger.wave_record(out.wave)
    took_ms = max(now.wall_ms - out.since_ms, 0)
    log = replace(log, done=log.done | {host}, took_ms=log.took_ms + took_ms)
    return ledger.with_wave_record(out.wave, log)


def _release_recovered(ledger: OutageLedger, now: Situation) -> OutageLedger:
    for host, out in ledger.out.items():
        is_listed = host in now.view.members
        if out.stage is OutageStage.OUT and is_listed and now.cause_of(host) is None:
            ledger = with_stage(ledger, host, OutageStage.RETURNING)
    return ledger


def _count_failures(ledger: OutageLedger, now: Situation) -> OutageLedger:
    for host, member in now.view.members.items():
        cause = now.cause_of(host)
        if cause is None:
            continue
        order = now.order(cause)
        ledger = record_outage(ledger, member.location, order, now_ms=now.wall_ms)
    return ledger


def _revoke_needless(ledger: OutageLedger, now: Situation) -> OutageLedger:
    """Returns hosts whose wave was aborted, or whose move is wanted no more."""
    for host, out in ledger.out.items():
        if out.stage is OutageStage.PLACING and now.is_not_to_move(out):
            ledger = with_stage(ledger, host, OutageStage.RETURNING)
        elif out.is_revocable:
            ledger = _revoke_one(ledger, host, out, now)
    return ledger


def _revoke_one(
    ledger: OutageLedger, host: HostId, out: OutHost, now: Situation
) -> OutageLedger:
    if out.wave is not None:
        task = now.view.waves.get(out.wave)
        is_wanted = task is not None and is_open(task) and host in task.ranks
        return ledger if is_wanted else with_stage(ledger, host, OutageStage.RETURNING)
    member = now.view.members.get(host)
    if member is None or member.desired == ledger.pool:
        return with_stage(ledger, host, OutageStage.RETURNING)
    if member.desired == out.target:
        return ledger
    return ledger.with_host(replace(out, target=member.desired))


def _shed_excess(ledger: OutageLedger, now: Situation) -> OutageLedger:
    for host in drains_to_cancel(ledger, now.view.budget, now.size):
        ledger = with_stage(ledger, host, OutageStage.RETURNING)
    return ledger


def _advance_drained(ledger: OutageLedger, now: Situation) -> OutageLedger:
    for host, out in ledger.out.items():
        if not out.is_revocable or not now.is_drained(out):
            continue
        if out.target is not None:
            ledger = with_placement(ledger, host, out.target, now.op_id)
        elif _action(out, now) is WaveAction.REBOOT:
            ledger = with_stage(ledger, host, OutageStage.REBOOTING)
        else:
            ledger = _log_done(ledger, host, out, now)
            ledger = with_stage(ledger, host, OutageStage.RETURNING)
    return ledger


def _action(out: OutHost, now: Situation) -> WaveAction:
    task = None if out.wave is None else now.view.waves.get(out.wave)
    return WaveAction.DRAIN if task is None else task.action


def _forget_lost(ledger: OutageLedger, now: Situation) -> OutageLedger:
    """Takes hosts that the platform lacks for long out of the pool for good.

    They go to the spare pool, which keeps those that the platform still lists as
    leaving and drops those that it does not list at all.
    """
    for host, out in ledger.out.items():
        is_listed = host in now.view.members
        if not _is_lost(host, out, now) or (ledger.pool == SPARE_POOL and is_listed):
            continue
        if out.stage is OutageStage.REBOOTING:
            ledger = _log_done(ledger, host, out, now)
        if ledger.pool == SPARE_POOL:
            ledger = ledger.without(host)
        else:
            lost = replace(out, cause=OutCause.UNKNOWN, wave=None)
            ledger = with_placement(ledger.with_host(lost), host, SPARE_POOL, now.op_id)
    return ledger


def _is_lost(host: HostId, out: OutHost, now: Situation) -> bool:
    is_silent = out.stage is OutageStage.OUT and out.cause is OutCause.UNKNOWN
    if not is_silent and out.stage is not OutageStage.REBOOTING:
        return False
    member = now.view.members.get(host)
    is_listed = member is not None and not member.is_missing
    return not is_listed and now.wall_ms - out.since_ms >= now.settings.forget_after_ms


def _defer_long_drains(ledger: OutageLedger, now: Situation) -> OutageLedger:
    """Gives up a long drain once, if another host of the wave waits for its turn."""
    for host, out in ledger.out.items():
        if not out.is_revocable or out.wave is None:
            continue
        log = ledger.wave_record(out.wave)
        if now.wall_ms - out.since_ms < _patience_ms(log, now):
            continue
        task = now.view.waves[out.wave]
        if task.state is not WaveState.RUNNING:
            continue
        others = set(waiting_hosts(ledger, now.view, task)) - log.deferred
        if host in log.deferred or not others:
            continue
        ledger = with_stage(ledger, host, OutageStage.RETURNING)
        log = replace(log, deferred=log.deferred | {host})
        ledger = ledger.with_wave_record(out.wave, log)
    return ledger


def _patience_ms(log: WaveRecord, now: Situation) -> int:
    mean_ms = log.took_ms // len(log.done) if log.done else 0
    return max(now.settings.defer_drain_ms, now.settings.defer_factor * mean_ms)


def _prune_logs(ledger: OutageLedger, now: Situation) -> OutageLedger:
    if ledger.waves.keys() <= now.view.waves.keys():
        return ledger
    kept = {name: log for name, log in ledger.waves.items() if name in now.view.waves}
    return replace(ledger, waves=kept)
