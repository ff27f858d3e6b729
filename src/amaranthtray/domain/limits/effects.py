"""Store calls that a zone steward requests, and their results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..ids import TeamName, ZoneId
from .ledger import TeamRow, ZoneRecord


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Writes a team's row if its key is at ``version``; 0 creates the key."""

    team: TeamName
    row: TeamRow
    version: int


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Writes a zone's record if its key is at ``version``; 0 creates the key."""

    zone: ZoneId
    record: ZoneRecord
    version: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Reads a team's row; the result is a ``RowSeen``."""

    team: TeamName


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Reads a zone's record; the result is a ``RecordSeen``."""

    zone: ZoneId


StoreEffect: TypeAlias = WriteRow | WriteRecord | ReadRow | ReadRecord


@dataclass(frozen=True, slots=True)
class RowSeen:
    """A row as read, watched, written by this steward or found on a write conflict."""

    team: TeamName
    row: TeamRow
    version: int


@dataclass(frozen=True, slots=True)
class RecordSeen:
    """A record as read, watched, written by this steward or found on a conflict."""

    zone: ZoneId
    record: ZoneRecord
    version: int


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write that certainly had no effect because the store was unreachable."""

    effect: WriteRow | WriteRecord


@dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """A write that may or may not have taken effect: its reply was lost."""

    effect: WriteRow | WriteRecord


StoreResult: TypeAlias = RowSeen | RecordSeen | WriteFailed | WriteOutcomeUnknown
