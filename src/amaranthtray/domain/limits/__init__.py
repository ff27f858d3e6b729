"""Upper limits of teams, held as escrowed units.

Fleet ledger in the platform's store, zone steward, entry: a unit is in one place at
a time, and a holder that went silent is waited out before its units move on.
"""

from __future__ import annotations

from .effects import (
    ReadRecord,
    ReadRow,
    RecordSeen,
    RowSeen,
    StoreEffect,
    StoreResult,
    WriteFailed,
    WriteOutcomeUnknown,
    WriteRecord,
    WriteRow,
)
from .entry_units import EntryUnits
from .fleet_ledger import FleetLedger
from .ledger import LEDGER_PREFIX, Portion, TeamRow, ZoneRecord, team_key, zone_key
from .messages import GrantResult, UnitsGrant, UnitsReport
from .split import fair_split
from .timing import EscrowTiming
from .zone_allocator import ZoneAllocator
from .zone_steward import ZoneSteward

__all__ = [
    "LEDGER_PREFIX",
    "EntryUnits",
    "EscrowTiming",
    "FleetLedger",
    "GrantResult",
    "Portion",
    "ReadRecord",
    "ReadRow",
    "RecordSeen",
    "RowSeen",
    "StoreEffect",
    "StoreResult",
    "TeamRow",
    "UnitsGrant",
    "UnitsReport",
    "WriteFailed",
    "WriteRecord",
    "WriteRow",
    "WriteOutcomeUnknown",
    "ZoneAllocator",
    "ZoneRecord",
    "ZoneSteward",
    "fair_split",
    "team_key",
    "zone_key",
]
