"""In-memory store of the fleet ledger of limits: a row a team, a record a zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.limits import (
    ReadRecord,
    ReadRow,
    RecordSeen,
    RowSeen,
    TeamRow,
    WriteRecord,
    WriteRow,
    ZoneRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..domain.ids import TeamName, ZoneId


class LedgerStore:
    """Stores rows of teams and records of zones with compare-and-swap.

    Args:
        notify: Called with each changed row or record.
    """

    def __init__(self, notify: Callable[[RowSeen | RecordSeen], None]) -> None:
        self._notify = notify
        self._rows: dict[TeamName, RowSeen] = {}
        self._records: dict[ZoneId, RecordSeen] = {}

    def items(self) -> Iterator[RowSeen | RecordSeen]:
        """Yields all records, then all rows."""
        yield from list(self._records.values())
        yield from list(self._rows.values())

    def read(self, effect: ReadRow | ReadRecord) -> RowSeen | RecordSeen:
        """Returns the value of a key, with version 0 if the key is absent."""
        if isinstance(effect, ReadRow):
            absent = RowSeen(effect.team, TeamRow(), 0)
            return self._rows.get(effect.team, absent)
        empty = RecordSeen(effect.zone, ZoneRecord(), 0)
        return self._records.get(effect.zone, empty)

    def write(self, effect: WriteRow | WriteRecord) -> RowSeen | RecordSeen:
        """Compares and swaps; returns the value of the key afterwards."""
        if isinstance(effect, WriteRow):
            found = self.read(ReadRow(effect.team))
            if found.version == effect.version:
                row = RowSeen(effect.team, effect.row, effect.version + 1)
                self._rows[effect.team] = row
                self._notify(row)
            return self.read(ReadRow(effect.team))
        found = self.read(ReadRecord(effect.zone))
        if found.version == effect.version:
            record = RecordSeen(effect.zone, effect.record, effect.version + 1)
            self._records[effect.zone] = record
            self._notify(record)
        return self.read(ReadRecord(effect.zone))
