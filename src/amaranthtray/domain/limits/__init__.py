"""Upper limits of teams, enforced by an escrow of units.

The fleet ledger in the platform's store assigns the units of a limit to zones, a
zone steward grants its zone's units to entries, and an entry takes one unit for each
running task. A unit has one holder at a time. The units of a holder that has stopped
responding are reassigned only after its last grant has certainly expired.
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
