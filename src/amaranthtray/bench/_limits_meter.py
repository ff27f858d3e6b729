"""A limits simulation without faults, at production timing, that counts traffic."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import cbor2

from ..domain.ids import TeamName
from ..domain.limits import (
    EscrowTiming,
    RecordSeen,
    RowSeen,
    UnitsGrant,
    UnitsReport,
)
from ._limits_parts import FaultProbabilities
from ._limits_simulation import LimitsSimulation

if TYPE_CHECKING:
    from ._limits_parts import EntryProcess

STEP_MS = 250
NO_FAULTS = FaultProbabilities(0, 0, 0, 0, 0, 0)
TASK_MS = (200, 500, 1_000, 2_000)


def team_names(count: int) -> list[TeamName]:
    """Returns team names of a typical length."""
    return [TeamName(f"team-{number:03}") for number in range(count)]


class MeteredSimulation(LimitsSimulation):
    """A fault-free simulation that counts bytes of reports, grants and watch events."""

    def __init__(
        self, *, zones: int, entries: int, limits: dict[TeamName, int], seed: int = 1
    ) -> None:
        self.report_bytes = 0
        self.grant_bytes = 0
        self.watch_bytes = 0
        super().__init__(
            random.Random(seed),
            lambda observation: None,
            zones=zones,
            entries=entries,
            limits=limits,
            faults=NO_FAULTS,
            timing=EscrowTiming(),
            task_ms=TASK_MS,
        )

    def run(self, duration_ms: int) -> None:
        """Advances time in steps of the steward's tick."""
        for _ in range(duration_ms // STEP_MS):
            self.step(STEP_MS)

    def reset_counts(self) -> None:
        """Resets the counts of store calls and bytes."""
        self.store_calls.clear()
        self.report_bytes = self.grant_bytes = self.watch_bytes = 0

    def usable_units(self, zone: int, team: TeamName) -> int:
        """Returns the units that the entries of a zone may use."""
        return sum(
            process.units.held(team, process.clock(self.now_ms))
            for process in self.processes
            if process.zone == self.zones[zone]
        )

    def _send_report(self, process: EntryProcess) -> None:
        if process.units.is_report_due(process.clock(self.now_ms)):
            super()._send_report(process)

    def _handle_report(
        self, steward: EntryProcess, sender: EntryProcess, report: UnitsReport
    ) -> None:
        self.report_bytes += encoded_size(report)
        super()._handle_report(steward, sender, report)

    def _handle_grant(self, process: EntryProcess, grant: UnitsGrant) -> None:
        self.grant_bytes += encoded_size(grant)
        super()._handle_grant(process, grant)

    def _notify(self, result: RowSeen | RecordSeen) -> None:
        value = result.row if isinstance(result, RowSeen) else result.record
        self.watch_bytes += len(value.encode())
        super()._notify(result)


def encoded_size(message: UnitsReport | UnitsGrant) -> int:
    """Returns the size in bytes of a message as a CBOR map with field names."""
    fields = {name: getattr(message, name) for name in message.__slots__}
    return len(cbor2.dumps(fields))
