"""Disruption budgets and, for each pool, a ledger of the hosts that are out."""

from __future__ import annotations

from ..invariants.observations import OutCause
from .codec import LEDGER_PREFIX, LedgerUnreadable, decode, encode, ledger_key
from .model import (
    UNLIMITED_BUDGET,
    HostLocation,
    OutageLedger,
    OutageStage,
    OutHost,
    WaveRecord,
    budget_of,
)
from .rules import (
    BudgetRefused,
    OutageOrder,
    RefusedReason,
    allowed_out,
    count_unavailable,
    drains_to_cancel,
    record_outage,
    stamp_write,
    try_take_out,
    with_placement,
    with_stage,
)

__all__ = [
    "LEDGER_PREFIX",
    "UNLIMITED_BUDGET",
    "BudgetRefused",
    "OutageLedger",
    "LedgerUnreadable",
    "HostLocation",
    "OutageOrder",
    "OutCause",
    "OutHost",
    "RefusedReason",
    "OutageStage",
    "WaveRecord",
    "with_stage",
    "allowed_out",
    "budget_of",
    "record_outage",
    "decode",
    "encode",
    "count_unavailable",
    "drains_to_cancel",
    "ledger_key",
    "with_placement",
    "stamp_write",
    "try_take_out",
]
