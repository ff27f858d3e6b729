"""The fleet ledger as one zone's steward sees and changes it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..ids import Millis, Revision
from ._proposal import Situation, propose, scaled_units
from ._zone_records import ZoneRecords
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
from .ledger import Electorate, Portion, TeamRow
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


class FleetLedger:
    """Reads and writes rows by compare-and-swap; implements ``ZoneUnits``.

    Units of a write count only when the store has confirmed it; units given back
    count as gone from the moment the write is sent.
    """

    def __init__(self, zone: ZoneId, holder: Incarnation, timing: EscrowTiming) -> None:
        self.zone = zone
        self.revision = Revision(0)
        self.limits: dict[TeamName, int] = {}
        self._timing = timing
        self._rows: dict[TeamName, _Row] = {}
        self._records = ZoneRecords(zone, holder, timing)
        self._fence_ms = Millis(-self._timing.retry_ms)
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
        if self._records.renewed_ms is None:
            return None
        lapsed_ms = self._records.renewed_ms + self._timing.zone_ttl_ms
        if now_ms < lapsed_ms + self._timing.zone_run_on_ms:
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
        if self._records.renewed_ms is None:
            return False
        return now_ms < self._records.renewed_ms + self._timing.zone_ttl_ms

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
    def epoch(self) -> int:
        """Returns the steward's epoch, 0 while it has none."""
        return self._records.epoch

    @property
    def is_fenced(self) -> bool:
        """Returns whether another process has ended this steward's epoch."""
        return self._records.is_fenced

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later steward of the zone has begun its epoch."""
        return self._records.is_superseded

    @property
    def electorates(self) -> tuple[Electorate, ...]:
        """Returns the electorates in the zone's record as last seen."""
        return self._records.electorates

    @property
    def own_electorates(self) -> list[Electorate]:
        """Returns this steward's electorates that the record may name by now."""
        return self._records.own_electorates

    def unadopted(self) -> list[TeamName]:
        """Returns the teams of which the zone holds units of an older epoch."""
        return [
            team
            for team, seen in self._rows.items()
            if (mine := seen.row.portions.get(self.zone)) and mine.epoch < self.epoch
        ]

    def take_over(
        self, electorates: tuple[Electorate, ...], now_ms: Millis
    ) -> list[StoreEffect]:
        """Asks for a new epoch; every record and row must have been listed before."""
        self._changed.update(self._rows)
        return [self._records.take_over(electorates, now_ms)]

    # -- results of store calls -----------------------------------------------

    def on_store(self, result: StoreResult, now_ms: Millis) -> list[StoreEffect]:
        """Takes what the store said and returns further calls."""
        match result:
            case RowSeen():
                self._see_row(result, now_ms)
            case RecordSeen():
                if self._records.see(result, now_ms):
                    self._mark_zone(result.zone)
            case WriteFailed(WriteRow() as effect) | WriteOutcomeUnknown(
                WriteRow() as effect
            ):
                return self._row_lost(effect, isinstance(result, WriteFailed))
            case WriteOutcomeUnknown(WriteRecord() as effect):
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
        mine = result.row.portions.get(self.zone)
        if mine is not None:
            self._records.note_epoch(mine.epoch)

    def _mark_zone(self, zone: ZoneId) -> None:
        """Has the rows looked at again in which the zone has a part."""
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
        write = self._records.renew(electorates, now_ms)
        return [write] if write else []

    def fence_silent(self, now_ms: Millis) -> list[StoreEffect]:
        """Voids the lent units of zones that have certainly stopped using them."""
        if now_ms < self._fence_ms + self._timing.retry_ms:
            return []
        self._fence_ms = now_ms
        fences = self._records.fences(now_ms)
        return [fence for fence in fences if self._lends_to(fence.zone)]

    def review(
        self, team: TeamName, need: int, charged: int, now_ms: Millis
    ) -> WriteRow | None:
        """Looks at one team and returns the write to send, if any."""
        if not self.epoch or self.is_fenced:
            return None
        seen = self._rows.setdefault(team, _Row())
        if seen.sent_ms is not None and now_ms < seen.sent_ms + self._timing.retry_ms:
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
        if seen.sent_ms is not None and now_ms < seen.sent_ms + self._timing.retry_ms:
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
        records = self._records.by_zone()
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
            silent=self._records.silent(now_ms),
            is_overdue=self._is_overdue(seen, row, limit, now_ms),
            is_turn_due=now_ms >= seen.turn_since + self._timing.rotate_ms,
        )
        return propose(row, situation)

    def _quota(self, team: TeamName, limit: int) -> int:
        """Returns the zone's equal part; the remainder differs from team to team."""
        zones = self._records.zones
        shift = sum(team.encode())
        position = (zones.index(self.zone) + shift) % len(zones)
        return equal_part(limit, len(zones), position)

    def _is_overdue(self, seen: _Row, row: TeamRow, limit: int, now_ms: Millis) -> bool:
        if row.held() <= limit:
            seen.over_since = None
            return False
        if seen.over_since is None:
            seen.over_since = now_ms
        return now_ms >= seen.over_since + self._timing.overdue_ms

    def _lends_to(self, zone: ZoneId) -> bool:
        parts = (seen.row.portions.get(zone) for seen in self._rows.values())
        return any(part is not None and part.lent for part in parts)

    def _inherited_portion(self, row: TeamRow) -> Portion:
        mine = row.portions[self.zone]
        is_void = mine.epoch <= self._records.fenced_epoch()
        return replace(mine, epoch=self.epoch, lent=0 if is_void else mine.lent)

    def _take_token(self, now_ms: Millis) -> bool:
        if self._tokens_ms is not None:
            gained = (now_ms - self._tokens_ms) * WRITES_PER_SECOND / 1_000
            self._tokens = min(float(WRITES_BURST), self._tokens + gained)
        self._tokens_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
