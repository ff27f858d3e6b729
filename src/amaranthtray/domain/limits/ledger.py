"""Rows and records of the fleet ledger, as stored in the platform's store."""

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

NO_HOLDER = Incarnation("")

VoterSet: TypeAlias = tuple[Incarnation, ...]
"""Entries of a zone; a steward may grant units while a majority follows it."""

FIRST_REVISION = Revision(0)


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """A zone's steward epoch and lease on ledger units; stored under the zone's key.

    Attributes:
        epoch: Increases with each steward that takes over the zone.
        heartbeat: Increases with each renewal.
        fenced: Highest epoch whose leased units are void.
        holder: The steward that wrote the record last.
        voter_sets: The entries that this steward grants units to, followed by those
            of earlier stewards whose grants may not have expired yet.
    """

    epoch: int = 0
    heartbeat: int = 0
    fenced: int = 0
    holder: Incarnation = NO_HOLDER
    voter_sets: tuple[VoterSet, ...] = ()

    def encode(self) -> bytes:
        """Returns the record as CBOR."""
        voters = [list(voter_set) for voter_set in self.voter_sets]
        return cbor2.dumps(
            [self.epoch, self.heartbeat, self.fenced, self.holder, voters]
        )

    @classmethod
    def decode(cls, value: bytes) -> ZoneRecord:
        """Returns the record that ``encode`` produced."""
        epoch, heartbeat, fenced, holder, voters = cbor2.loads(value)
        voter_sets = tuple(tuple(voter_set) for voter_set in voters)
        return cls(epoch, heartbeat, fenced, holder, voter_sets)


@dataclass(frozen=True, slots=True)
class Portion:
    """One zone's units of a team's limit.

    Attributes:
        epoch: Epoch of the steward that wrote it.
        permanent: Units that the zone holds until it returns them.
        leased: Units that are void once the epoch is fenced.
        demand: Units that the zone could use.
        basis: Limit that the units were sized for.
    """

    epoch: int
    permanent: int = 0
    leased: int = 0
    demand: int = 0
    basis: int = 0

    @property
    def units(self) -> int:
        """Returns the sum of permanent and leased units."""
        return self.permanent + self.leased


@dataclass(frozen=True, slots=True)
class TeamRow:
    """A team's limit and the units of it that each zone holds.

    Attributes:
        limit: The upper limit in the latest configuration seen by a writer.
        revision: Revision of that configuration.
        rotation: Offset of the zone that is first to receive one of the units that
            do not divide evenly.
        portions: Units of each zone. Their sum stays within the limit, except while
            zones shrink after the limit was lowered.
    """

    limit: int = 0
    revision: Revision = FIRST_REVISION
    rotation: int = 0
    portions: dict[ZoneId, Portion] = field(default_factory=dict)

    def held(self) -> int:
        """Returns the units held by all zones."""
        return sum(portion.units for portion in self.portions.values())

    def with_portion(self, zone: ZoneId, portion: Portion) -> TeamRow:
        """Returns the row with one zone's portion replaced, or dropped if empty."""
        portions = {**self.portions, zone: portion}
        if not portion.units and not portion.demand:
            del portions[zone]
        return replace(self, portions=portions)

    def without_fenced_leases(self, records: Mapping[ZoneId, ZoneRecord]) -> TeamRow:
        """Returns the row without the leased units of fenced epochs."""
        row = self
        for zone, portion in self.portions.items():
            record = records.get(zone)
            if record is None or portion.epoch > record.fenced or not portion.leased:
                continue
            row = row.with_portion(zone, replace(portion, leased=0, demand=0))
        return row

    def encode(self) -> bytes:
        """Returns the row as CBOR."""
        parts = {
            zone: [part.epoch, part.permanent, part.leased, part.demand, part.basis]
            for zone, part in self.portions.items()
        }
        return cbor2.dumps([self.limit, self.revision, self.rotation, parts])

    @classmethod
    def decode(cls, value: bytes) -> TeamRow:
        """Returns the row that ``encode`` produced."""
        limit, revision, rotation, parts = cbor2.loads(value)
        portions = {ZoneId(zone): Portion(*part) for zone, part in parts.items()}
        return cls(limit, Revision(revision), rotation, portions)


def team_key(team: TeamName) -> str:
    """Returns the store key of a team's row."""
    return f"{TEAM_PREFIX}{team}"


def zone_key(zone: ZoneId) -> str:
    """Returns the store key of a zone's record."""
    return f"{ZONE_PREFIX}{zone}"
