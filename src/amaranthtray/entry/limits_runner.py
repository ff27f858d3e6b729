"""Runs a zone steward against the limits ledger in the platform's store.

It has no thread: its owner passes in watch events and ticks.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import cbor2
from returns.result import Failure, Result, Success

from ..domain.ids import Millis, TeamName, ZoneId
from ..domain.limits.effects import (
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
from ..domain.limits.ledger import (
    LEDGER_PREFIX,
    TEAM_PREFIX,
    ZONE_PREFIX,
    TeamRow,
    ZoneRecord,
    team_key,
    zone_key,
)
from ..domain.limits.zone_steward import ZoneSteward
from ..store.contract import Conflict, EffectUnknown, Versioned

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..domain.ids import Incarnation, Revision, Term
    from ..domain.limits.messages import UnitsGrant, UnitsReport
    from ..domain.limits.timing import EscrowTiming
    from ..store.contract import Store, StoreFailure, WatchEvent


class LimitsRunner:
    """Holds the zone steward of one entry and carries out its store effects.

    Args:
        zone: The availability zone.
        holder: The incarnation of this entry.
        timing: Durations of the escrow.
        store: A store that reports lost replies as unknown outcomes; the steward
            resolves them itself.
        clock: Monotonic clock in milliseconds.
    """

    def __init__(
        self,
        zone: ZoneId,
        holder: Incarnation,
        timing: EscrowTiming,
        store: Store,
        clock: Callable[[], Millis],
    ) -> None:
        self._zone = zone
        self._holder = holder
        self._timing = timing
        self._store = store
        self._clock = clock
        self._steward: ZoneSteward | None = None
        self._at_version = 0
        self.unreadable = 0

    @property
    def term(self) -> Term | None:
        """Returns the term that entries must follow, None before units can flow."""
        steward = self._steward
        return steward.term if steward is not None and steward.term else None

    @property
    def is_active(self) -> bool:
        """Returns whether this entry works as the zone's steward."""
        return self._steward is not None

    @property
    def at_version(self) -> int:
        """Returns the store version from which to watch the ledger."""
        return self._at_version

    def start(self) -> StoreFailure | None:
        """Reads the whole ledger and takes the zone over; returns a failed read."""
        listed = self._store.list(LEDGER_PREFIX)
        if isinstance(listed, Failure):
            failure: StoreFailure = listed.failure()
            return failure
        steward = ZoneSteward(self._zone, self._holder, self._timing)
        self._steward = steward
        self._at_version = listed.unwrap().at_version
        for item in listed.unwrap().items:
            self._apply_stored(item.key, item.value, item.version)
        self._carry_out(steward.take_over(self._clock()))
        return None

    def stop(self) -> None:
        """Stops the work; units already granted expire by themselves."""
        self._steward = None

    def extend_lease(self, until_ms: Millis) -> None:
        """Records the time until which the duty is certainly held."""
        if self._steward is not None:
            self._steward.lease_until_ms = until_ms

    def set_limits(self, revision: Revision, limits: Mapping[TeamName, int]) -> None:
        """Puts the limits of a configuration in force."""
        if self._steward is not None:
            self._steward.set_limits(revision, limits, self._clock())

    def handle_watch_events(self, events: Iterable[WatchEvent]) -> None:
        """Applies changes of the ledger by any steward."""
        for event in events:
            self._at_version = max(self._at_version, event.version)
            if event.value is not None:
                self._apply_stored(event.key, event.value, event.version)

    def handle_report(self, report: UnitsReport) -> UnitsGrant | None:
        """Returns the grant for an entry's report, None if there is none to send."""
        if self._steward is None:
            return None
        return self._steward.on_report(report, self._clock())

    def mark_incarnation_ended(self, incarnation: Incarnation) -> None:
        """Records that an incarnation of an entry was replaced by a later one."""
        if self._steward is not None:
            self._steward.allocator.mark_incarnation_ended(incarnation, self._clock())

    def tick(self) -> bool:
        """Runs the periodic work; returns False if this entry is not the steward."""
        steward = self._steward
        if steward is None:
            return False
        if steward.is_superseded:
            self.stop()
            return False
        if steward.is_fenced:
            self._carry_out(steward.take_over(self._clock()))
        self._carry_out(steward.tick(self._clock()))
        return True

    def _carry_out(self, effects: Iterable[StoreEffect]) -> None:
        pending = deque(effects)
        while pending and self._steward is not None:
            result = self._call(pending.popleft())
            if result is not None:
                pending.extend(self._steward.on_store(result, self._clock()))

    def _call(self, effect: StoreEffect) -> StoreResult | None:
        match effect:
            case WriteRow(team=team, row=row, version=version):
                written = self._write(team_key(team), row.encode(), version)
                return self._row_result(effect, written)
            case WriteRecord(zone=zone, record=record, version=version):
                written = self._write(zone_key(zone), record.encode(), version)
                return self._record_result(effect, written)
            case ReadRow(team=team):
                return self._read(team_key(team))
            case ReadRecord(zone=zone):
                return self._read(zone_key(zone))

    def _write(self, key: str, value: bytes, version: int) -> Result[int, StoreFailure]:
        if version == 0:
            return self._store.create(key, value)
        return self._store.compare_and_swap(key, value, version=version)

    def _row_result(
        self, effect: WriteRow, written: Result[int, StoreFailure]
    ) -> StoreResult | None:
        if isinstance(written, Success):
            return RowSeen(effect.team, effect.row, written.unwrap())
        return self._write_failure(effect, written.failure())

    def _record_result(
        self, effect: WriteRecord, written: Result[int, StoreFailure]
    ) -> StoreResult | None:
        if isinstance(written, Success):
            return RecordSeen(effect.zone, effect.record, written.unwrap())
        return self._write_failure(effect, written.failure())

    def _write_failure(
        self, effect: WriteRow | WriteRecord, failure: StoreFailure
    ) -> StoreResult | None:
        match failure:
            case Conflict(found=Versioned() as stored):
                return self._decode(stored.key, stored.value, stored.version)
            case EffectUnknown():
                return WriteOutcomeUnknown(effect)
        return WriteFailed(effect)

    def _read(self, key: str) -> StoreResult | None:
        stored = self._store.get(key).value_or(None)
        if stored is None:
            return None
        return self._decode(stored.key, stored.value, stored.version)

    def _apply_stored(self, key: str, value: bytes, version: int) -> None:
        steward = self._steward
        result = self._decode(key, value, version)
        if steward is not None and result is not None:
            self._carry_out(steward.on_store(result, self._clock()))

    def _decode(self, key: str, value: bytes, version: int) -> StoreResult | None:
        try:
            if key.startswith(TEAM_PREFIX):
                team = TeamName(key.removeprefix(TEAM_PREFIX))
                return RowSeen(team, TeamRow.decode(value), version)
            zone = ZoneId(key.removeprefix(ZONE_PREFIX))
            return RecordSeen(zone, ZoneRecord.decode(value), version)
        except (cbor2.CBORDecodeError, ValueError, TypeError):
            self.unreadable += 1
            return None
