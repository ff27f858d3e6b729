"""Store calls that a steward asks for and their results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..ids import TeamName, ZoneId
from .ledger import TeamRow, ZoneRecord


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write a team's row if its key is at ``version`` (0: absent, so create)."""

    team: TeamName
    row: TeamRow
    version: int


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write a zone's record if its key is at ``version`` (0: absent, so create)."""

    zone: ZoneId
    record: ZoneRecord
    version: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read a team's row; report with ``RowSeen``."""

    team: TeamName


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read a zone's record; report with ``RecordSeen``."""

    zone: ZoneId


StoreEffect: TypeAlias = WriteRow | WriteRecord | ReadRow | ReadRecord


@dataclass(frozen=True, slots=True)
class RowSeen:
    """A row read, watched, written by this steward, or found by a conflict."""

    team: TeamName
    row: TeamRow
    version: int


@dataclass(frozen=True, slots=True)
class RecordSeen:
    """A record read, watched, written by this steward, or found by a conflict."""

    zone: ZoneId
    record: ZoneRecord
    version: int


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write certainly had no effect: the store could not be reached."""

    effect: WriteRow | WriteRecord


@dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """The reply of a write was lost."""

    effect: WriteRow | WriteRecord


StoreResult: TypeAlias = RowSeen | RecordSeen | WriteFailed | WriteOutcomeUnknown
