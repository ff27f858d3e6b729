"""Rules for adding hosts to a ledger and for cancelling their drains."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..ids import HostId, OperationId, PoolName, Term, WaveName
from ..invariants.observations import OutCause
from .model import MAX_RECENT_OPS, HostLocation, OutageLedger, OutageStage, OutHost

if TYPE_CHECKING:
    from ..configuration.model import Budget
    from ..ids import Revision


NO_HOSTS: frozenset[HostId] = frozenset()


class RefusedReason(StrEnum):
    """Why a host may not be taken out."""

    POOL_FULL = "pool_full"
    ZONE_FULL = "zone_full"
    RACK_FULL = "rack_full"
    ALREADY_OUT = "already_out"
    STALE_TERM = "stale_term"


@dataclass(frozen=True, slots=True)
class BudgetRefused:
    """A host may not be taken out now.

    Attributes:
        reason: Limit or rule that forbids it.
        pool: Pool of the host.
        host: The host.
        out: Hosts that count against the limit; the order's term if that is stale.
        bound: Most of them allowed; the ledger's term if the order's is stale.
    """

    reason: RefusedReason
    pool: PoolName
    host: HostId
    out: int
    bound: int


def allowed_out(budget: Budget, size: int) -> int:
    """Returns how many hosts of a pool may be out as a result of our own actions.

    A pool that shrank below its budget keeps at least one host in service, unless it
    has only one.

    Args:
        budget: The pool's budget.
        size: Number of hosts in the pool.
    """
    return min(budget.max_out, max(size - 1, 1))


def count_unavailable(ledger: OutageLedger, evacuated: frozenset[HostId]) -> int:
    """Returns how many hosts of a pool are out or evacuated, each counted once.

    It addresses maintenance during an evacuation: the remaining zones carry the load
    of the evacuated one, so its hosts use up the budget although nothing is wrong
    with them. They are derived from the configuration and not stored in the ledger.

    Args:
        ledger: The pool's ledger.
        evacuated: Hosts of the pool in evacuated zones.
    """
    counted = {out.location.host for out in ledger.counted_hosts()}
    return len(counted | evacuated)


@dataclass(frozen=True, slots=True)
class OutageOrder:
    """Cause and origin of an outage, which its ledger entry records."""

    cause: OutCause
    term: Term
    op_id: OperationId
    wave: WaveName | None = None
    target: PoolName | None = None


def try_take_out(
    ledger: OutageLedger,
    location: HostLocation,
    order: OutageOrder,
    *,
    budget: Budget,
    size: int,
    now_ms: int,
    evacuated: frozenset[HostId] = NO_HOSTS,
) -> Result[OutageLedger, BudgetRefused]:
    """Adds a host that this package is about to drain, if the budget allows it.

    The drain may start only after the returned ledger was written by
    compare-and-swap.

    Args:
        ledger: The ledger as it was read.
        location: The host with its zone and rack.
        order: Cause ``MAINTENANCE`` or ``MOVING``, and its origin.
        budget: The pool's budget.
        size: Number of hosts in the pool.
        now_ms: Wall-clock time.
        evacuated: Hosts of the pool in evacuated zones, which are unavailable too.
    """
    refused = _refusal(ledger, location, order, budget, size, evacuated)
    if refused is not None:
        return Failure(refused)
    entry = OutHost(
        location=location,
        cause=order.cause,
        stage=OutageStage.DRAINING,
        since_ms=now_ms,
        term=order.term,
        op_id=order.op_id,
        wave=order.wave,
        target=order.target,
    )
    return Success(ledger.with_host(entry))


def _refusal(
    ledger: OutageLedger,
    location: HostLocation,
    order: OutageOrder,
    budget: Budget,
    size: int,
    evacuated: frozenset[HostId],
) -> BudgetRefused | None:
    def refused(reason: RefusedReason, out: int, bound: int) -> BudgetRefused:
        return BudgetRefused(reason, ledger.pool, location.host, out, bound)

    if order.term < ledger.term:
        return refused(RefusedReason.STALE_TERM, order.term, ledger.term)
    if location.host in ledger.out:
        return refused(RefusedReason.ALREADY_OUT, 1, 0)
    counted = ledger.counted_hosts()
    # A host that is evacuated itself is unavailable already: its drain adds nothing.
    total = count_unavailable(ledger, evacuated - {location.host})
    allowed = allowed_out(budget, size)
    if total >= allowed:
        return refused(RefusedReason.POOL_FULL, total, allowed)
    voluntary = [out.location for out in counted if out.cause.is_voluntary]
    in_zone = sum(other.zone == location.zone for other in voluntary)
    if in_zone >= budget.max_out_per_zone:
        return refused(RefusedReason.ZONE_FULL, in_zone, budget.max_out_per_zone)
    in_rack = sum(other.rack == location.rack for other in voluntary)
    if in_rack >= budget.max_out_per_rack:
        return refused(RefusedReason.RACK_FULL, in_rack, budget.max_out_per_rack)
    return None


def record_outage(
    ledger: OutageLedger, location: HostLocation, order: OutageOrder, *, now_ms: int
) -> OutageLedger:
    """Adds a host that failed, was ejected or is unknown; this always succeeds.

    A host that was draining gets the new cause and keeps its operation id, so that
    its drain is ended before it counts as back. A host that is being rebooted or
    placed stays as it is, since a rebooting host is expected to be silent.
    """
    existing = ledger.out.get(location.host)
    if existing is None:
        entry = OutHost(
            location, order.cause, OutageStage.OUT, now_ms, order.term, order.op_id
        )
        return ledger.with_host(entry)
    if existing.stage in (OutageStage.REBOOTING, OutageStage.PLACING):
        return ledger
    entry = replace(
        existing, cause=order.cause, stage=OutageStage.OUT, wave=None, target=None
    )
    return ledger if entry == existing else ledger.with_host(entry)


def drains_to_cancel(
    ledger: OutageLedger,
    budget: Budget,
    size: int,
    *,
    evacuated: frozenset[HostId] = NO_HOSTS,
) -> tuple[HostId, ...]:
    """Returns the drains to cancel so that the budget holds again, newest first.

    Failures, an evacuation, a smaller budget or a smaller pool can exceed the budget.
    Returning hosts are no reason to cancel more. The drain of an evacuated host
    continues if only the total is exceeded: the host is unavailable anyway.

    Args:
        ledger: The ledger as it was read.
        budget: The pool's budget.
        size: Number of hosts in the pool.
        evacuated: Hosts of the pool in evacuated zones.
    """
    allowed = allowed_out(budget, size)
    counted = ledger.counted_hosts()
    not_returning = [out for out in counted if out.stage is not OutageStage.RETURNING]
    total = len({out.location.host for out in not_returning} | evacuated)
    voluntary = [out.location for out in not_returning if out.cause.is_voluntary]
    zones = Counter(location.zone for location in voluntary)
    racks = Counter(location.rack for location in voluntary)
    cancelled: list[HostId] = []
    for out in _revocable_drains(ledger):
        location, is_evacuated = out.location, out.location.host in evacuated
        if (
            (is_evacuated or total <= allowed)
            and zones[location.zone] <= budget.max_out_per_zone
            and racks[location.rack] <= budget.max_out_per_rack
        ):
            continue
        total -= not is_evacuated
        zones[location.zone] -= 1
        racks[location.rack] -= 1
        cancelled.append(location.host)
    return tuple(cancelled)


def _revocable_drains(ledger: OutageLedger) -> list[OutHost]:
    """Returns the entries whose drain can still be cancelled, newest first."""
    drains = [out for out in ledger.out.values() if out.is_revocable]
    drains.sort(key=lambda out: (-out.since_ms, out.location.host))
    return drains


def with_stage(ledger: OutageLedger, host: HostId, stage: OutageStage) -> OutageLedger:
    """Returns the ledger with a host that is out at another stage."""
    return ledger.with_host(replace(ledger.out[host], stage=stage))


def with_placement(
    ledger: OutageLedger, host: HostId, target: PoolName, record_op: OperationId
) -> OutageLedger:
    """Returns the ledger with a host that one configuration record is about to move."""
    out = ledger.out[host]
    placing = replace(
        out, stage=OutageStage.PLACING, target=target, record_op=record_op
    )
    return ledger.with_host(placing)


def stamp_write(
    ledger: OutageLedger, *, term: Term, revision: Revision, op_id: OperationId
) -> OutageLedger:
    """Returns the ledger as the holder of ``term`` writes it in one operation."""
    return replace(
        ledger,
        term=max(ledger.term, term),
        revision=max(ledger.revision, revision),
        recent_ops=(*ledger.recent_ops, op_id)[-MAX_RECENT_OPS:],
    )
