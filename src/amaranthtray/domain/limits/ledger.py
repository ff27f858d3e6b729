"""Rows of the fleet ledger as they stand in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, TypeAlias

import cbor2

from ..ids import Incarnation, Revision, TeamName, ZoneId

if TYPE_CHECKING:
    from collections.abc import Mapping

LEDGER_PREFIX = "limits/"
TEAM_PREFIX = f"{LEDGER_PREFIX}team/"
ZONE_PREFIX = f"{LEDGER_PREFIX}zone/"

NOBODY = Incarnation("")

Electorate: TypeAlias = tuple[Incarnation, ...]
"""The entries of a zone of which more than half keep a steward in office."""

FIRST_REVISION = Revision(0)


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """A zone's standing towards the ledger; its key is the zone.

    Attributes:
        epoch: Grows with each steward that takes the zone over.
        beat: Grows with each renewal.
        fenced: Highest epoch whose lent units are void.
        holder: The steward that wrote it last.
        electorates: The entries that this steward grants units to, then those of
            stewards before it whose grants may not have run out yet.
    """

    epoch: int = 0
    beat: int = 0
    fenced: int = 0
    holder: Incarnation = NOBODY
    electorates: tuple[Electorate, ...] = ()

    def encode(self) -> bytes:
        """Returns the record as CBOR."""
        voters = [list(electorate) for electorate in self.electorates]
        return cbor2.dumps([self.epoch, self.beat, self.fenced, self.holder, voters])

    @classmethod
    def decode(cls, value: bytes) -> ZoneRecord:
        """Returns the record that ``encode`` wrote."""
        epoch, beat, fenced, holder, voters = cbor2.loads(value)
        electorates = tuple(tuple(electorate) for electorate in voters)
        return cls(epoch, beat, fenced, holder, electorates)


@dataclass(frozen=True, slots=True)
class Portion:
    """One zone's part of a team's limit.

    Attributes:
        epoch: Epoch of the steward that wrote it.
        firm: Units that the zone holds until it gives them back.
        lent: Units that are void once the epoch is fenced.
        want: Units that the zone could use.
        basis: Limit that was in force when it was written.
    """

    epoch: int
    firm: int = 0
    lent: int = 0
    want: int = 0
    basis: int = 0

    @property
    def units(self) -> int:
        """Returns all its units."""
        return self.firm + self.lent


@dataclass(frozen=True, slots=True)
class TeamRow:
    """A team's limit and who holds how much of it.

    Attributes:
        limit: The upper limit of the latest configuration seen by a writer.
        revision: That configuration's revision.
        turn: Which zone comes first for units that do not divide evenly.
        portions: Parts of the zones; the sum stays within the limit, but for the
            time that it takes to shrink after the limit was lowered.
    """

    limit: int = 0
    revision: Revision = FIRST_REVISION
    turn: int = 0
    portions: dict[ZoneId, Portion] = field(default_factory=dict)

    def held(self) -> int:
        """Returns the units held by all zones."""
        return sum(portion.units for portion in self.portions.values())

    def with_portion(self, zone: ZoneId, portion: Portion) -> TeamRow:
        """Returns the row with one zone's part replaced; an empty part is dropped."""
        portions = {**self.portions, zone: portion}
        if not portion.units and not portion.want:
            del portions[zone]
        return replace(self, portions=portions)

    def without_void(self, records: Mapping[ZoneId, ZoneRecord]) -> TeamRow:
        """Returns the row without the lent units of fenced epochs."""
        row = self
        for zone, portion in self.portions.items():
            record = records.get(zone)
            if record is None or portion.epoch > record.fenced or not portion.lent:
                continue
            row = row.with_portion(zone, replace(portion, lent=0, want=0))
        return row

    def encode(self) -> bytes:
        """Returns the row as CBOR."""
        parts = {
            zone: [part.epoch, part.firm, part.lent, part.want, part.basis]
            for zone, part in self.portions.items()
        }
        return cbor2.dumps([self.limit, self.revision, self.turn, parts])

    @classmethod
    def decode(cls, value: bytes) -> TeamRow:
        """Returns the row that ``encode`` wrote."""
        limit, revision, turn, parts = cbor2.loads(value)
        portions = {ZoneId(zone): Portion(*part) for zone, part in parts.items()}
        return cls(limit, Revision(revision), turn, portions)


def team_key(team: TeamName) -> str:
    """Returns the store key of a team's row."""
    return f"{TEAM_PREFIX}{team}"


def zone_key(zone: ZoneId) -> str:
    """Returns the store key of a zone's record."""
    return f"{ZONE_PREFIX}{zone}"
