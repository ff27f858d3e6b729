"""The fleet ledger as one zone's steward reads and writes it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..ids import Millis, Revision
from ._proposal import TeamView, propose, scaled_units
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
from .ledger import Portion, TeamRow, VoterSet
from .split import equal_part

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import Incarnation, TeamName, ZoneId
    from ._proposal import Proposal
    from .timing import EscrowTiming

RESERVE_FRACTION = 0.04
"""Fraction of a limit that all zones together keep even without demand."""

WRITES_PER_SECOND = 10
WRITE_BURST = 150
"""Row writes that one zone may send in a burst; a takeover adopts every row."""


@dataclass(slots=True)
class _RowState:
    """A row as last seen, and the writes to it that are not confirmed."""

    row: TeamRow = field(default_factory=TeamRow)
    version: int = 0
    unconfirmed: list[TeamRow] = field(default_factory=list)
    sent_ms: Millis | None = None
    target: int | None = None
    over_limit_since: Millis | None = None
    rotated_ms: Millis = field(default=Millis(0))


class FleetLedger:
    """Reads and writes rows by compare-and-swap; implements ``ZoneUnits``.

    Acquired units count only once the store has confirmed the write; returned units
    no longer count as soon as the write is sent.
    """

    def __init__(self, zone: ZoneId, holder: Incarnation, timing: EscrowTiming) -> None:
        self.zone = zone
        self.revision = Revision(0)
        self.limits: dict[TeamName, int] = {}
        self._timing = timing
        self._rows: dict[TeamName, _RowState] = {}
        self._records = ZoneRecords(zone, holder, timing)
        self._fence_checked_ms = Millis(-self._timing.retry_ms)
        self._changed: set[TeamName] = set()
        self._was_lease_valid = False
        self._tokens = float(WRITE_BURST)
        self._tokens_ms: Millis | None = None

    # -- usable units ---------------------------------------------------------

    def usable(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the units that the zone's entries may hold now."""
        state = self._rows.get(team)
        if state is None or not self.epoch:
            return 0
        rows = [state.row, *state.unconfirmed]
        units = min(self._units_in(row, team, now_ms) for row in rows)
        return units if state.target is None else min(units, state.target)

    def run_cap(self, team: TeamName, now_ms: Millis) -> int | None:
        """Returns the maximum number of tasks that may run, or None for no cap."""
        if self._records.renewed_ms is None:
            return None
        expired_ms = self._records.renewed_ms + self._timing.zone_ttl_ms
        if now_ms < expired_ms + self._timing.zone_run_on_ms:
            return None
        return self.usable(team, now_ms)

    def pop_changes(self, now_ms: Millis) -> set[TeamName]:
        """Returns the teams whose units may have changed since the last call."""
        is_valid = self.is_lease_valid(now_ms)
        if is_valid != self._was_lease_valid:
            self._was_lease_valid = is_valid
            self._changed.update(self._rows)
        changed, self._changed = self._changed, set()
        return changed

    def is_lease_valid(self, now_ms: Millis) -> bool:
        """Returns whether the zone's leased units may be used."""
        if self._records.renewed_ms is None:
            return False
        return now_ms < self._records.renewed_ms + self._timing.zone_ttl_ms

    def _units_in(self, row: TeamRow, team: TeamName, now_ms: Millis) -> int:
        own = row.portions.get(self.zone)
        if own is None or own.epoch != self.epoch:
            return 0
        leased = own.leased if self.is_lease_valid(now_ms) else 0
        held = replace(own, leased=leased)
        limit = self.limits.get(team, 0)
        if row.revision > self.revision:
            limit = row.limit
        return scaled_units(held, limit)

    # -- takeover -------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """Returns this steward's epoch, 0 while it has none."""
        return self._records.epoch

    @property
    def is_fenced(self) -> bool:
        """Returns whether this steward's epoch was fenced or superseded."""
        return self._records.is_fenced

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later steward of the zone has begun an epoch."""
        return self._records.is_superseded

    @property
    def voter_sets(self) -> tuple[VoterSet, ...]:
        """Returns the voter sets in the zone's record as last seen."""
        return self._records.voter_sets

    @property
    def own_voter_sets(self) -> list[VoterSet]:
        """Returns this steward's voter sets that the record may contain by now."""
        return self._records.own_voter_sets

    def unadopted(self) -> list[TeamName]:
        """Returns the teams of which the zone holds units under an older epoch."""
        return [
            team
            for team, state in self._rows.items()
            if (own := state.row.portions.get(self.zone)) and own.epoch < self.epoch
        ]

    def take_over(
        self, voter_sets: tuple[VoterSet, ...], now_ms: Millis
    ) -> list[StoreEffect]:
        """Requests a new epoch; call it after every record and row was listed."""
        self._changed.update(self._rows)
        return [self._records.take_over(voter_sets, now_ms)]

    # -- results of store calls -----------------------------------------------

    def on_store(self, result: StoreResult, now_ms: Millis) -> list[StoreEffect]:
        """Applies a result of the store and returns further calls."""
        match result:
            case RowSeen():
                self._apply_row(result, now_ms)
            case RecordSeen():
                if self._records.apply_record(result, now_ms):
                    self._mark_teams_of_zone(result.zone)
            case WriteFailed(WriteRow() as effect) | WriteOutcomeUnknown(
                WriteRow() as effect
            ):
                return self._handle_lost_write(effect, isinstance(result, WriteFailed))
            case WriteOutcomeUnknown(WriteRecord() as effect):
                return [ReadRecord(effect.zone)]
            case WriteFailed():
                pass
        return []

    def _apply_row(self, result: RowSeen, now_ms: Millis) -> None:
        state = self._rows.setdefault(result.team, _RowState())
        state.sent_ms = None
        if result.version <= state.version:
            return
        if result.row.rotation != state.row.rotation:
            state.rotated_ms = now_ms
        state.row = result.row
        state.version = result.version
        state.unconfirmed.clear()
        self._changed.add(result.team)
        own = result.row.portions.get(self.zone)
        if own is not None:
            self._records.record_epoch(own.epoch)

    def _mark_teams_of_zone(self, zone: ZoneId) -> None:
        """Marks the teams of which the zone holds units as changed."""
        for team, state in self._rows.items():
            if zone in state.row.portions:
                self._changed.add(team)

    def _handle_lost_write(
        self, effect: WriteRow, has_failed: bool
    ) -> list[StoreEffect]:
        state = self._rows[effect.team]
        if has_failed and state.version == effect.version:
            state.unconfirmed = [
                row for row in state.unconfirmed if row is not effect.row
            ]
            state.sent_ms = None
            self._changed.add(effect.team)
        if has_failed:
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
        self, voter_sets: tuple[VoterSet, ...], now_ms: Millis
    ) -> list[StoreEffect]:
        """Returns the write that renews the zone's record if it is due."""
        write = self._records.renew(voter_sets, now_ms)
        return [write] if write else []

    def fence_silent(self, now_ms: Millis) -> list[StoreEffect]:
        """Returns writes that void the leased units of zones silent for long enough.

        Such a zone has certainly stopped using them.
        """
        if now_ms < self._fence_checked_ms + self._timing.retry_ms:
            return []
        self._fence_checked_ms = now_ms
        fence_writes = self._records.fence_writes(now_ms)
        return [fence for fence in fence_writes if self._has_leased_units(fence.zone)]

    def review(
        self, team: TeamName, need: int, max_running: int, now_ms: Millis
    ) -> WriteRow | None:
        """Updates the target of one team and returns the write to send, if any."""
        if not self.epoch or self.is_fenced:
            return None
        state = self._rows.setdefault(team, _RowState())
        if state.sent_ms is not None and now_ms < state.sent_ms + self._timing.retry_ms:
            return None
        proposal = self._propose(team, state, need, max_running, now_ms)
        if proposal.target != state.target:
            state.target = proposal.target
            self._changed.add(team)
        is_same = proposal.row == state.row and not state.unconfirmed
        if is_same or not self._take_write_token(now_ms):
            return None
        state.unconfirmed.append(proposal.row)
        state.sent_ms = now_ms
        self._changed.add(team)
        return WriteRow(team, proposal.row, state.version)

    def adopt(self, team: TeamName, now_ms: Millis) -> WriteRow | None:
        """Returns the write that moves the zone's portion to the current epoch."""
        state = self._rows[team]
        if state.sent_ms is not None and now_ms < state.sent_ms + self._timing.retry_ms:
            return None
        if not self._take_write_token(now_ms):
            return None
        own = self._inherited_portion(state.row)
        row = state.row.with_portion(self.zone, own)
        state.unconfirmed.append(row)
        state.sent_ms = now_ms
        return WriteRow(team, row, state.version)

    def target(self, team: TeamName) -> int:
        """Returns the units that the zone's entries may hold from now on."""
        state = self._rows.get(team)
        return state.target if state and state.target is not None else 0

    def portion(self, team: TeamName) -> Portion | None:
        """Returns the zone's portion of the team's limit as last seen."""
        state = self._rows.get(team)
        return state.row.portions.get(self.zone) if state else None

    def row(self, team: TeamName) -> TeamRow | None:
        """Returns the team's row as last seen."""
        state = self._rows.get(team)
        return state.row if state else None

    def teams(self) -> set[TeamName]:
        """Returns the teams that have a row."""
        return set(self._rows)

    def _propose(
        self,
        team: TeamName,
        state: _RowState,
        need: int,
        max_running: int,
        now_ms: Millis,
    ) -> Proposal:
        records = self._records.by_zone()
        row = state.row.without_fenced_leases(records)
        limit = self.limits.get(team, 0)
        if row.revision > self.revision:
            limit = row.limit
        view = TeamView(
            zone=self.zone,
            epoch=self.epoch,
            limit=limit,
            revision=self.revision,
            need=need,
            max_running=max_running,
            quota=self._quota(team, limit),
            reserve=int(RESERVE_FRACTION * limit / max(1, len(records))),
            silent=self._records.silent(now_ms),
            is_shrink_overdue=self._is_shrink_overdue(state, row, limit, now_ms),
            is_rotation_due=now_ms >= state.rotated_ms + self._timing.rotate_ms,
        )
        return propose(row, view)

    def _quota(self, team: TeamName, limit: int) -> int:
        """Returns the zone's part of an equal split of the limit among all zones.

        Which zones receive the remainder differs from team to team.
        """
        zones = self._records.zones
        shift = sum(team.encode())
        position = (zones.index(self.zone) + shift) % len(zones)
        return equal_part(limit, len(zones), position)

    def _is_shrink_overdue(
        self, state: _RowState, row: TeamRow, limit: int, now_ms: Millis
    ) -> bool:
        if row.held() <= limit:
            state.over_limit_since = None
            return False
        if state.over_limit_since is None:
            state.over_limit_since = now_ms
        return now_ms >= state.over_limit_since + self._timing.overdue_ms

    def _has_leased_units(self, zone: ZoneId) -> bool:
        portions = (state.row.portions.get(zone) for state in self._rows.values())
        return any(portion is not None and portion.leased for portion in portions)

    def _inherited_portion(self, row: TeamRow) -> Portion:
        own = row.portions[self.zone]
        is_void = own.epoch <= self._records.fenced_epoch()
        return replace(own, epoch=self.epoch, leased=0 if is_void else own.leased)

    def _take_write_token(self, now_ms: Millis) -> bool:
        if self._tokens_ms is not None:
            gained = (now_ms - self._tokens_ms) * WRITES_PER_SECOND / 1_000
            self._tokens = min(float(WRITE_BURST), self._tokens + gained)
        self._tokens_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
