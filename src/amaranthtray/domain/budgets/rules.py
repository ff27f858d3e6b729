"""What may enter a ledger, and what has to leave it again."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..ids import HostId, OperationId, PoolName, Term, WaveName
from ..invariants.observations import OutCause
from .model import RECENT_OPS, Location, OutageLedger, OutHost, Stage

if TYPE_CHECKING:
    from ..configuration.model import Budget
    from ..ids import Revision


class RefusedReason(StrEnum):
    """Which bound a host would have broken."""

    POOL_FULL = "pool_full"
    ZONE_FULL = "zone_full"
    RACK_FULL = "rack_full"
    ALREADY_OUT = "already_out"
    STALE_TERM = "stale_term"


@dataclass(frozen=True, slots=True)
class BudgetRefused:
    """A host may not be taken out now.

    Attributes:
        reason: The bound.
        pool: The pool.
        host: The host.
        out: Hosts that count against the bound now.
        bound: Most of them allowed.
    """

    reason: RefusedReason
    pool: PoolName
    host: HostId
    out: int
    bound: int


def allowed_out(budget: Budget, size: int) -> int:
    """Returns how many hosts of a pool may be out by our own act.

    A pool that shrank below its budget keeps at least one host serving, unless it
    has only one.

    Args:
        budget: The pool's budget.
        size: Hosts that the pool has now.
    """
    return min(budget.max_out, max(size - 1, 1))


@dataclass(frozen=True, slots=True)
class OutageOrder:
    """Who takes a host out, and what for."""

    cause: OutCause
    term: Term
    op_id: OperationId
    wave: WaveName | None = None
    target: PoolName | None = None


def try_take_out(
    ledger: OutageLedger,
    location: Location,
    order: OutageOrder,
    *,
    budget: Budget,
    size: int,
    now_ms: int,
) -> Result[OutageLedger, BudgetRefused]:
    """Enters a host that this package wants to drain, if the budget allows it.

    The drain may begin only after the returned ledger was written by
    compare-and-swap.

    Args:
        ledger: The ledger as it was read.
        location: The host.
        order: Cause ``MAINTENANCE`` or ``MOVING``, with its origin.
        budget: The pool's budget.
        size: Hosts that the pool has now.
        now_ms: Wall-clock time.
    """
    refused = _refusal(ledger, location, order, budget, size)
    if refused is not None:
        return Failure(refused)
    entry = OutHost(
        location=location,
        cause=order.cause,
        stage=Stage.DRAINING,
        since_ms=now_ms,
        term=order.term,
        op_id=order.op_id,
        wave=order.wave,
        target=order.target,
    )
    return Success(ledger.with_host(entry))


def _refusal(
    ledger: OutageLedger,
    location: Location,
    order: OutageOrder,
    budget: Budget,
    size: int,
) -> BudgetRefused | None:
    def refused(reason: RefusedReason, out: int, bound: int) -> BudgetRefused:
        return BudgetRefused(reason, ledger.pool, location.host, out, bound)

    if order.term < ledger.term:
        return refused(RefusedReason.STALE_TERM, order.term, ledger.term)
    if location.host in ledger.out:
        return refused(RefusedReason.ALREADY_OUT, 1, 0)
    counted = ledger.counted_hosts()
    total, allowed = len(counted), allowed_out(budget, size)
    if total >= allowed:
        return refused(RefusedReason.POOL_FULL, total, allowed)
    taken = [out.location for out in counted if out.cause.is_voluntary]
    in_zone = sum(place.zone == location.zone for place in taken)
    if in_zone >= budget.max_out_per_zone:
        return refused(RefusedReason.ZONE_FULL, in_zone, budget.max_out_per_zone)
    in_rack = sum(place.rack == location.rack for place in taken)
    if in_rack >= budget.max_out_per_rack:
        return refused(RefusedReason.RACK_FULL, in_rack, budget.max_out_per_rack)
    return None


def record_outage(
    ledger: OutageLedger, location: Location, order: OutageOrder, *, now_ms: int
) -> OutageLedger:
    """Enters a host that failed, was ejected or is unknown; this always succeeds.

    A host that was draining is out by that cause from now on, and keeps its
    operation, so that its drain is ended before it counts as back. One past the
    point of no return stays as it is: to be silent is what a rebooting host does.
    """
    known = ledger.out.get(location.host)
    if known is None:
        entry = OutHost(
            location, order.cause, Stage.OUT, now_ms, order.term, order.op_id
        )
        return ledger.with_host(entry)
    if known.stage in (Stage.REBOOTING, Stage.PLACING):
        return ledger
    entry = replace(known, cause=order.cause, stage=Stage.OUT, wave=None, target=None)
    return ledger if entry == known else ledger.with_host(entry)


def drains_to_cancel(
    ledger: OutageLedger, budget: Budget, size: int
) -> tuple[HostId, ...]:
    """Returns the drains to cancel so that the budget holds again, youngest first.

    Failures during a wave, a smaller budget or a smaller pool bring this about. Hosts
    that are on their way back are no reason to cancel more.
    """
    drains = [out for out in ledger.out.values() if out.is_revocable]
    if not drains:
        return ()
    drains.sort(key=lambda out: (-out.since_ms, out.location.host))
    staying = [
        out for out in ledger.counted_hosts() if out.stage is not Stage.RETURNING
    ]
    total = len(staying)
    taken = [out.location for out in staying if out.cause.is_voluntary]
    zones = Counter(place.zone for place in taken)
    racks = Counter(place.rack for place in taken)
    cancelled: list[HostId] = []
    for out in drains:
        place = out.location
        if (
            total <= allowed_out(budget, size)
            and zones[place.zone] <= budget.max_out_per_zone
            and racks[place.rack] <= budget.max_out_per_rack
        ):
            continue
        total -= 1
        zones[place.zone] -= 1
        racks[place.rack] -= 1
        cancelled.append(place.host)
    return tuple(cancelled)


def with_stage(ledger: OutageLedger, host: HostId, stage: Stage) -> OutageLedger:
    """Takes a host that is out to another stage."""
    return ledger.with_host(replace(ledger.out[host], stage=stage))


def with_placement(
    ledger: OutageLedger, host: HostId, target: PoolName, record_op: OperationId
) -> OutageLedger:
    """Takes a host to the point where one configuration record moves it."""
    out = ledger.out[host]
    placing = replace(out, stage=Stage.PLACING, target=target, record_op=record_op)
    return ledger.with_host(placing)


def stamp_write(
    ledger: OutageLedger, *, term: Term, revision: Revision, op_id: OperationId
) -> OutageLedger:
    """Returns the ledger as the holder of ``term`` writes it with one operation."""
    return replace(
        ledger,
        term=max(ledger.term, term),
        revision=max(ledger.revision, revision),
        recent_ops=(*ledger.recent_ops, op_id)[-RECENT_OPS:],
    )
