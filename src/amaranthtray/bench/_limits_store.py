"""The fleet ledger's keys in a stand-in of the platform's store."""

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
    """Compare-and-swap over rows and records.

    Args:
        notify: Receives each change.
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
        """Returns what a key holds; version 0 if it is absent."""
        if isinstance(effect, ReadRow):
            absent = RowSeen(effect.team, TeamRow(), 0)
            return self._rows.get(effect.team, absent)
        empty = RecordSeen(effect.zone, ZoneRecord(), 0)
        return self._records.get(effect.zone, empty)

    def write(self, effect: WriteRow | WriteRecord) -> RowSeen | RecordSeen:
        """Compares and swaps; returns what the key holds afterwards."""
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
