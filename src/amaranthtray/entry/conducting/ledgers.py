"""Reads and writes the outage ledgers of pools in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ...domain.budgets import decode, encode
from ...domain.budgets.codec import LEDGER_PREFIX
from ...domain.ids import PoolName
from ...domain.waves import (
    CasLedger,
    LedgerRead,
    LedgerSwapped,
    ReadLedger,
    StoreCallFailed,
    SwapConflict,
    SwapOutcomeUnknown,
)
from ...store.contract import Conflict, EffectUnknown

if TYPE_CHECKING:
    from ...domain.budgets import OutageLedger
    from ...domain.waves import ConductorMessage
    from ...store.contract import Store, StoreFailure, Versioned


def read_ledger(store: Store, effect: ReadLedger) -> ConductorMessage:
    """Reads the pool's ledger; one that cannot be decoded is a failed call."""
    found = store.get(LEDGER_PREFIX + effect.pool)
    if isinstance(found, Failure):
        return StoreCallFailed(effect.op_id)
    stored = _decode(effect.pool, found.unwrap())
    if stored is None:
        return StoreCallFailed(effect.op_id)
    return LedgerRead(effect.op_id, *stored)


def swap_ledger(store: Store, effect: CasLedger) -> ConductorMessage:
    """Writes the ledger if the store still holds the version it was made from."""
    op_id, pool = effect.fence.op_id, effect.ledger.pool
    key, value = LEDGER_PREFIX + pool, encode(effect.ledger)
    if effect.version:
        written = store.compare_and_swap(key, value, version=effect.version)
    else:
        written = store.create(key, value)
    if isinstance(written, Success):
        return LedgerSwapped(op_id, written.unwrap())
    failure: StoreFailure = written.failure()
    match failure:
        case Conflict(found=found):
            stored = _decode(pool, found)
            return (
                StoreCallFailed(op_id)
                if stored is None
                else SwapConflict(op_id, *stored)
            )
        case EffectUnknown():
            return SwapOutcomeUnknown(op_id)
    return StoreCallFailed(op_id)


def list_ledgers(store: Store) -> Result[dict[PoolName, OutageLedger], StoreFailure]:
    """Reads all ledgers at one store version, without those it cannot decode."""
    return store.list(LEDGER_PREFIX).map(
        lambda listing: {
            ledger.pool: ledger for item in listing.items for ledger in _decoded(item)
        }
    )


def _decoded(versioned: Versioned) -> list[OutageLedger]:
    pool = PoolName(versioned.key.removeprefix(LEDGER_PREFIX))
    decoded = decode(versioned.value, pool=pool)
    return [decoded.unwrap()] if isinstance(decoded, Success) else []


def _decode(
    pool: PoolName, item: Versioned | None
) -> tuple[OutageLedger | None, int] | None:
    if item is None:
        return None, 0
    decoded = decode(item.value, pool=pool)
    if isinstance(decoded, Failure):
        return None
    return decoded.unwrap(), item.version
