"""The fleet ledger as one zone's steward sees and changes it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..ids import Millis, Revision
from ._proposal import Situation, propose, scaled_units
from .effects import (
    ReadRecord,
    ReadRow,
    RecordSeen,
    RowSeen,
    StoreEffect,
    StoreResult,
    WriteFailed,
    WriteRecord,
    WriteRow,
    WriteUnknown,
)
from .ledger import Electorate, Portion, TeamRow, ZoneRecord
from .split import equal_part

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import Incarnation, TeamName, ZoneId
    from ._proposal import Proposal
    from .timing import EscrowTiming

RESERVE_PART = 0.04
"""Part of a limit that zones without demand keep, over all zones."""

WRITES_PER_SECOND = 10
WRITES_BURST = 150
"""Row writes that one zone may send at once; a takeover adopts every row."""

RECORDS_REMEMBERED = 64
"""Own writes to the zone's record whose effect may still be seen."""

RETRY_MS = 1_000
OVERDUE_MS = 1_500


@dataclass(slots=True)
class _Row:
    """A row as last seen and the writes to it whose effect is not known."""

    row: TeamRow = field(default_factory=TeamRow)
    version: int = 0
    candidates: list[TeamRow] = field(default_factory=list)
    sent_ms: Millis | None = None
    target: int | None = None
    over_since: Millis | None = None
    turn_since: Millis = field(default=Millis(0))


@dataclass(slots=True)
class _Record:
    """A zone's record as last seen and since when it has not changed."""

    record: ZoneRecord
    version: int
    since_ms: Millis


class FleetLedger:
    """Reads and writes rows by compare-and-swap; implements ``ZoneUnits``.

    Units of a write count only when the store has confirmed it; units given back
    count as gone from the moment the write is sent.
    """

    def __init__(self, zone: ZoneId, holder: Incarnation, timing: EscrowTiming) -> None:
        self.zone = zone
        self.holder = holder
        self.epoch = 0
        self.revision = Revision(0)
        self.limits: dict[TeamName, int] = {}
        self._timing = timing
        self._rows: dict[TeamName, _Row] = {}
        self._records: dict[ZoneId, _Record] = {}
        self._sent_records: dict[ZoneRecord, Millis] = {}
        self._beat = 0
        self._renewed_ms: Millis | None = None
        self._renewal_sent_ms: Millis | None = None
        self._fence_ms = Millis(-RETRY_MS)
        self._changed: set[TeamName] = set()
        self._was_lent_valid = False
        self._tokens = float(WRITES_BURST)
        self._tokens_ms: Millis | None = None

    # -- what the zone may use ------------------------------------------------

    def usable(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the units that the zone's entries may hold now."""
        seen = self._rows.get(team)
        if seen is None or not self.epoch:
            return 0
        rows = [seen.row, *seen.candidates]
        units = min(self._units_in(row, team, now_ms) for row in rows)
        return units if seen.target is None else min(units, seen.target)

    def run_cap(self, team: TeamName, now_ms: Millis) -> int | None:
        """Returns the most tasks that may go on running, none for no cap."""
        if self._renewed_ms is None:
            return None
        lapsed_ms = self._renewed_ms + self._timing.zone_ttl_ms
        if now_ms < lapsed_ms + self._timing.run_on_ms:
            return None
        return self.usable(team, now_ms)

    def take_changes(self, now_ms: Millis) -> set[TeamName]:
        """Returns the teams whose figures changed since the last call."""
        is_valid = self.is_lent_valid(now_ms)
        if is_valid != self._was_lent_valid:
            self._was_lent_valid = is_valid
            self._changed.update(self._rows)
        changed, self._changed = self._changed, set()
        return changed

    def is_lent_valid(self, now_ms: Millis) -> bool:
        """Returns whether the zone's lent units may be used."""
        if self._renewed_ms is None:
            return False
        return now_ms < self._renewed_ms + self._timing.zone_ttl_ms

    def _units_in(self, row: TeamRow, team: TeamName, now_ms: Millis) -> int:
        mine = row.portions.get(self.zone)
        if mine is None or mine.epoch != self.epoch:
            return 0
        lent = mine.lent if self.is_lent_valid(now_ms) else 0
        held = replace(mine, lent=lent)
        limit = self.limits.get(team, 0)
        if row.revision > self.revision:
            limit = row.limit
        return scaled_units(held, limit)

    # -- taking over ----------------------------------------------------------

    @property
    def is_fenced(self) -> bool:
        """Returns whether another process has ended this steward's epoch."""
        mine = self._records.get(self.zone)
        if mine is None or not self.epoch:
            return False
        record = mine.record
        return record.epoch != self.epoch or record.fenced >= self.epoch

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later steward of the zone has begun its epoch."""
        mine = self._records.get(self.zone)
        if mine is None or not self.epoch:
            return False
        return mine.record.epoch > self.epoch

    def unadopted(self) -> list[TeamName]:
        """Returns the teams of which the zone holds units of an older epoch."""
        return [
            team
            for team, seen in self._rows.items()
            if (mine := seen.row.portions.get(self.zone)) and mine.epoch != self.epoch
        ]

    def take_over(
        self, electorates: tuple[Electorate, ...], now_ms: Millis
    ) -> list[StoreEffect]:
        """Asks for a new epoch; every record and row must have been listed before."""
        self.epoch = 0
        self._renewed_ms = None
        self._changed.update(self._rows)
        seen = self._records.get(self.zone)
        record = seen.record if seen else ZoneRecord()
        taken = replace(record, epoch=record.epoch + 1, electorates=electorates)
        return [self._write_record(taken, now_ms)]

    def electorates(self) -> tuple[Electorate, ...]:
        """Returns the electorates in the zone's record as last seen."""
        seen = self._records.get(self.zone)
        return seen.record.electorates if seen else ()

    def own_electorates(self) -> list[Electorate]:
        """Returns this steward's electorates that the record may name by now."""
        seen = self._records.get(self.zone)
        records = [seen.record] if seen else []
        records += self._sent_records
        return [record.electorates[0] for record in records if record.electorates]

    # -- results of store calls -----------------------------------------------

    def on_store(self, result: StoreResult, now_ms: Millis) -> list[StoreEffect]:
        """Takes what the store said and returns further calls."""
        match result:
            case RowSeen():
                self._see_row(result, now_ms)
            case RecordSeen():
                self._see_record(result, now_ms)
            case WriteFailed(WriteRow() as effect) | WriteUnknown(WriteRow() as effect):
                return self._row_lost(effect, isinstance(result, WriteFailed))
            case WriteUnknown(WriteRecord() as effect):
                return [ReadRecord(effect.zone)]
            case WriteFailed():
                pass
        return []

    def _see_row(self, result: RowSeen, now_ms: Millis) -> None:
        seen = self._rows.setdefault(result.team, _Row())
        seen.sent_ms = None
        if result.version <= seen.version:
            return
        if result.row.turn != seen.row.turn:
            seen.turn_since = now_ms
        seen.row = result.row
        seen.version = result.version
        seen.candidates.clear()
        self._changed.add(result.team)

    def _see_record(self, result: RecordSeen, now_ms: Millis) -> None:
        seen = self._records.get(result.zone)
        if seen is not None and result.version <= seen.version:
            return
        self._records[result.zone] = _Record(result.record, result.version, now_ms)
        if result.zone != self.zone:
            self._mark_fenced(result.zone, seen, result.record)
            return
        sent_ms = self._sent_records.get(result.record)
        if sent_ms is None or result.record.fenced >= result.record.epoch:
            return
        if not self.epoch:
            self.epoch = result.record.epoch
            self._changed.update(self._rows)
        if result.record.epoch == self.epoch:
            self._renewed_ms = sent_ms
            self._sent_records.clear()

    def _mark_fenced(
        self, zone: ZoneId, before: _Record | None, after: ZoneRecord
    ) -> None:
        """Has the rows looked at again in which a fence freed units."""
        if before is not None and before.record.fenced == after.fenced:
            return
        for team, seen in self._rows.items():
            if zone in seen.row.portions:
                self._changed.add(team)

    def _row_lost(self, effect: WriteRow, is_certain: bool) -> list[StoreEffect]:
        seen = self._rows[effect.team]
        if is_certain and seen.version == effect.version:
            seen.candidates = [row for row in seen.candidates if row is not effect.row]
            seen.sent_ms = None
            self._changed.add(effect.team)
        if is_certain:
            return []
        return [ReadRow(effect.team)]

    # -- periodic work --------------------------------------------------------

    def set_limits(self, revision: Revision, limits: Mapping[TeamName, int]) -> None:
        """Puts the limits of a configuration in force."""
        self.revision = revision
        for team in {*self.limits, *limits}:
            if limits.get(team, 0) != self.limits.get(team, 0):
                self._changed.add(team)
        self.limits = dict(limits)

    def renew(
        self, electorates: tuple[Electorate, ...], now_ms: Millis
    ) -> list[StoreEffect]:
        """Renews the zone's record when it is due."""
        mine = self._records.get(self.zone)
        if mine is None or not self.epoch or self.is_fenced:
            return []
        sent_ms = self._renewal_sent_ms
        is_confirmed = sent_ms is not None and sent_ms == self._renewed_ms
        wait_ms = self._timing.renew_ms if is_confirmed else RETRY_MS
        if sent_ms is not None and now_ms < sent_ms + wait_ms:
            return []
        record = replace(mine.record, electorates=electorates)
        return [self._write_record(record, now_ms)]

    def fence_silent(self, now_ms: Millis) -> list[StoreEffect]:
        """Voids the lent units of zones that have certainly stopped using them."""
        if now_ms < self._fence_ms + RETRY_MS:
            return []
        self._fence_ms = now_ms
        effects: list[StoreEffect] = []
        for zone, seen in self._records.items():
            silent_ms = now_ms - seen.since_ms
            is_open = seen.record.fenced < seen.record.epoch
            if zone == self.zone or not is_open:
                continue
            if silent_ms >= self._timing.zone_reclaim_ms and self._lends_to(zone):
                fenced = replace(seen.record, fenced=seen.record.epoch)
                effects.append(WriteRecord(zone, fenced, seen.version))
        return effects

    def review(
        self, team: TeamName, need: int, charged: int, now_ms: Millis
    ) -> WriteRow | None:
        """Looks at one team and returns the write to send, if any."""
        if not self.epoch or self.is_fenced:
            return None
        seen = self._rows.setdefault(team, _Row())
        if seen.sent_ms is not None and now_ms < seen.sent_ms + RETRY_MS:
            return None
        proposal = self._propose(team, seen, need, charged, now_ms)
        if proposal.target != seen.target:
            seen.target = proposal.target
            self._changed.add(team)
        is_same = proposal.row == seen.row and not seen.candidates
        if is_same or not self._take_token(now_ms):
            return None
        seen.candidates.append(proposal.row)
        seen.sent_ms = now_ms
        self._changed.add(team)
        return WriteRow(team, proposal.row, seen.version)

    def adopt(self, team: TeamName, now_ms: Millis) -> WriteRow | None:
        """Returns the write that puts the zone's part under the present epoch."""
        seen = self._rows[team]
        if seen.sent_ms is not None and now_ms < seen.sent_ms + RETRY_MS:
            return None
        if not self._take_token(now_ms):
            return None
        mine = self._inherited_portion(seen.row)
        row = seen.row.with_portion(self.zone, mine)
        seen.candidates.append(row)
        seen.sent_ms = now_ms
        return WriteRow(team, row, seen.version)

    def target(self, team: TeamName) -> int:
        """Returns the units that the zone's entries may hold from now on."""
        seen = self._rows.get(team)
        return seen.target if seen and seen.target is not None else 0

    def portion(self, team: TeamName) -> Portion | None:
        """Returns the zone's part of the team's limit as last seen."""
        seen = self._rows.get(team)
        return seen.row.portions.get(self.zone) if seen else None

    def row(self, team: TeamName) -> TeamRow | None:
        """Returns the team's row as last seen."""
        seen = self._rows.get(team)
        return seen.row if seen else None

    def teams(self) -> set[TeamName]:
        """Returns the teams that have a row."""
        return set(self._rows)

    def _propose(
        self, team: TeamName, seen: _Row, need: int, charged: int, now_ms: Millis
    ) -> Proposal:
        records = {zone: item.record for zone, item in self._records.items()}
        row = seen.row.without_void(records)
        limit = self.limits.get(team, 0)
        if row.revision > self.revision:
            limit = row.limit
        situation = Situation(
            zone=self.zone,
            epoch=self.epoch,
            limit=limit,
            revision=self.revision,
            need=need,
            charged=charged,
            quota=self._quota(team, limit),
            reserve=int(RESERVE_PART * limit / max(1, len(records))),
            silent=self._silent(now_ms),
            is_overdue=self._is_overdue(seen, row, limit, now_ms),
            is_turn_due=now_ms >= seen.turn_since + self._timing.rotate_ms,
        )
        return propose(row, situation)

    def _quota(self, team: TeamName, limit: int) -> int:
        """Returns the zone's equal part; the remainder differs from team to team."""
        zones = sorted(self._records)
        shift = sum(team.encode())
        position = (zones.index(self.zone) + shift) % len(zones)
        return equal_part(limit, len(zones), position)

    def _silent(self, now_ms: Millis) -> frozenset[ZoneId]:
        patience_ms = 3 * self._timing.renew_ms
        return frozenset(
            zone
            for zone, seen in self._records.items()
            if zone != self.zone and now_ms - seen.since_ms > patience_ms
        )

    def _is_overdue(self, seen: _Row, row: TeamRow, limit: int, now_ms: Millis) -> bool:
        if row.held() <= limit:
            seen.over_since = None
            return False
        if seen.over_since is None:
            seen.over_since = now_ms
        return now_ms >= seen.over_since + OVERDUE_MS

    def _lends_to(self, zone: ZoneId) -> bool:
        parts = (seen.row.portions.get(zone) for seen in self._rows.values())
        return any(part is not None and part.lent for part in parts)

    def _inherited_portion(self, row: TeamRow) -> Portion:
        mine = row.portions[self.zone]
        is_void = mine.epoch <= self._records[self.zone].record.fenced
        return replace(mine, epoch=self.epoch, lent=0 if is_void else mine.lent)

    def _write_record(self, record: ZoneRecord, now_ms: Millis) -> WriteRecord:
        seen = self._records.get(self.zone)
        self._beat = max(self._beat, record.beat) + 1
        record = replace(record, beat=self._beat, holder=self.holder)
        self._sent_records[record] = now_ms
        if len(self._sent_records) > RECORDS_REMEMBERED:
            del self._sent_records[next(iter(self._sent_records))]
        self._renewal_sent_ms = now_ms
        return WriteRecord(self.zone, record, seen.version if seen else 0)

    def _take_token(self, now_ms: Millis) -> bool:
        if self._tokens_ms is not None:
            gained = (now_ms - self._tokens_ms) * WRITES_PER_SECOND / 1_000
            self._tokens = min(float(WRITES_BURST), self._tokens + gained)
        self._tokens_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
