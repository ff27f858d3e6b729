"""Rolling maintenance of hosts and moves between pools.

One conductor per pool takes hosts out of service within the pool's disruption budget.
It is a pure state machine: messages go in, effects for the runtime come out.
"""

from __future__ import annotations

from .conductor import Conductor, Duty
from .messages import (
    CasLedger,
    CommitMoves,
    ConductorEffect,
    ConductorMessage,
    DrainHost,
    DutyGained,
    DutyLost,
    DutyRenewed,
    Fence,
    HealthChanged,
    HealthListed,
    HostDrained,
    HostRebooted,
    HostReturned,
    LedgerRead,
    LedgerSwapped,
    MovesCommitted,
    MovesRefused,
    OrderDropped,
    ReadLedger,
    RebootHost,
    ReturnHost,
    StepDown,
    StoreCallFailed,
    SwapConflict,
    SwapOutcomeUnknown,
    Tick,
    ViewChanged,
)
from .progress import EndUnknown, WaveProgress, combine_progress, wave_progress
from .settings import ConductorSettings

__all__ = [
    "CasLedger",
    "CommitMoves",
    "Conductor",
    "ConductorEffect",
    "ConductorMessage",
    "ConductorSettings",
    "DrainHost",
    "Duty",
    "DutyGained",
    "DutyLost",
    "DutyRenewed",
    "EndUnknown",
    "Fence",
    "HealthChanged",
    "HealthListed",
    "HostRebooted",
    "HostDrained",
    "HostReturned",
    "LedgerRead",
    "LedgerSwapped",
    "MovesCommitted",
    "MovesRefused",
    "OrderDropped",
    "ReadLedger",
    "RebootHost",
    "ReturnHost",
    "StepDown",
    "StoreCallFailed",
    "SwapConflict",
    "SwapOutcomeUnknown",
    "Tick",
    "ViewChanged",
    "WaveProgress",
    "combine_progress",
    "wave_progress",
]
