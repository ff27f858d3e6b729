"""The records of all zones as one steward sees them, and its own renewals."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..ids import Millis
from .effects import RecordSeen, WriteRecord
from .ledger import ZoneRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import Incarnation, ZoneId
    from .ledger import VoterSet
    from .timing import EscrowTiming

MAX_SENT_RECORDS = 64
"""Writes to the own record that are remembered until the store confirms one."""

MISSED_RENEWALS = 3
"""Renewals that a zone may miss before the other zones treat it as silent."""


@dataclass(slots=True)
class _RecordState:
    """A zone's record as last seen, and when its latest change was seen."""

    record: ZoneRecord
    version: int
    since_ms: Millis


class ZoneRecords:
    """Tracks the records of all zones; writes and renews that of its own zone.

    Attributes:
        epoch: This steward's epoch, 0 while it has none.
        renewed_ms: When the latest renewal that the store accepted was sent.
    """

    def __init__(self, zone: ZoneId, holder: Incarnation, timing: EscrowTiming) -> None:
        self.epoch = 0
        self.renewed_ms: Millis | None = None
        self._zone = zone
        self._holder = holder
        self._timing = timing
        self._seen: dict[ZoneId, _RecordState] = {}
        self._sent: dict[ZoneRecord, Millis] = {}
        self._sent_ms: Millis | None = None
        self._heartbeat = 0
        self._highest_epoch = 0

    @property
    def is_fenced(self) -> bool:
        """Returns whether this steward's epoch was fenced or superseded."""
        return 0 < self.epoch <= self.fenced_epoch() or self.is_superseded

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later steward of the zone has begun an epoch."""
        return 0 < self.epoch < self._highest_epoch

    @property
    def voter_sets(self) -> tuple[VoterSet, ...]:
        """Returns the voter sets in the zone's own record as last seen."""
        own = self._seen.get(self._zone)
        return own.record.voter_sets if own else ()

    @property
    def own_voter_sets(self) -> list[VoterSet]:
        """Returns this steward's voter sets that the record may contain by now.

        These are the one last seen and those in writes that are not confirmed.
        """
        own = self._seen.get(self._zone)
        records = [own.record] if own else []
        records += self._sent
        return [record.voter_sets[0] for record in records if record.voter_sets]

    @property
    def zones(self) -> list[ZoneId]:
        """Returns the zones that have a record, sorted by name."""
        return sorted(self._seen)

    def by_zone(self) -> dict[ZoneId, ZoneRecord]:
        """Returns the records as last seen."""
        return {zone: state.record for zone, state in self._seen.items()}

    def fenced_epoch(self) -> int:
        """Returns the highest epoch of the own zone whose leased units are void."""
        own = self._seen.get(self._zone)
        return own.record.fenced if own else 0

    def record_epoch(self, epoch: int) -> None:
        """Records an epoch of the own zone that was seen in a record or row."""
        self._highest_epoch = max(self._highest_epoch, epoch)

    def apply_record(self, result: RecordSeen, now_ms: Millis) -> bool:
        """Applies a record; returns whether an epoch began or its fence changed."""
        before = self._seen.get(result.zone)
        if before is not None and result.version <= before.version:
            return False
        self._seen[result.zone] = _RecordState(result.record, result.version, now_ms)
        if result.zone == self._zone:
            return self._apply_own_record(result.record)
        return before is None or before.record.fenced != result.record.fenced

    def take_over(
        self, voter_sets: tuple[VoterSet, ...], now_ms: Millis
    ) -> WriteRecord:
        """Returns the write that begins a new epoch."""
        self.epoch = 0
        self.renewed_ms = None
        own = self._seen.get(self._zone)
        record = own.record if own else ZoneRecord()
        taken = replace(record, epoch=record.epoch + 1, voter_sets=voter_sets)
        return self._write(taken, now_ms)

    def renew(
        self, voter_sets: tuple[VoterSet, ...], now_ms: Millis
    ) -> WriteRecord | None:
        """Returns the write that renews the record if it is due.

        Changed voter sets are written after ``retry_ms``: a steward whose record
        names no entry cannot keep granting while the platform is unavailable.
        """
        own = self._seen.get(self._zone)
        if own is None or not self.epoch or self.is_fenced:
            return None
        has_changed = voter_sets != own.record.voter_sets
        wait_ms = self._timing.retry_ms if has_changed else self._wait_ms()
        if self._sent_ms is not None and now_ms < self._sent_ms + wait_ms:
            return None
        return self._write(replace(own.record, voter_sets=voter_sets), now_ms)

    def fence_writes(self, now_ms: Millis) -> Iterator[WriteRecord]:
        """Yields a fencing write for each zone whose leased units certainly expired."""
        for zone, state in self._seen.items():
            is_void = state.record.fenced >= state.record.epoch
            silent_ms = now_ms - state.since_ms
            if zone == self._zone or is_void:
                continue
            if silent_ms >= self._timing.zone_reclaim_ms:
                fenced = replace(state.record, fenced=state.record.epoch)
                yield WriteRecord(zone, fenced, state.version)

    def silent(self, now_ms: Millis) -> frozenset[ZoneId]:
        """Returns the other zones that have missed ``MISSED_RENEWALS`` renewals."""
        max_silence_ms = MISSED_RENEWALS * self._timing.renew_ms
        return frozenset(
            zone
            for zone, state in self._seen.items()
            if zone != self._zone and now_ms - state.since_ms > max_silence_ms
        )

    def _apply_own_record(self, record: ZoneRecord) -> bool:
        self.record_epoch(record.epoch)
        sent_ms = self._sent.get(record)
        if sent_ms is None or record.fenced >= record.epoch:
            return False
        is_new_epoch = not self.epoch
        if is_new_epoch:
            self.epoch = record.epoch
        if record.epoch == self.epoch:
            self.renewed_ms = sent_ms
            self._sent.clear()
        return is_new_epoch

    def _wait_ms(self) -> int:
        is_confirmed = self._sent_ms == self.renewed_ms
        return self._timing.renew_ms if is_confirmed else self._timing.retry_ms

    def _write(self, record: ZoneRecord, now_ms: Millis) -> WriteRecord:
        own = self._seen.get(self._zone)
        self._heartbeat = max(self._heartbeat, record.heartbeat) + 1
        record = replace(record, heartbeat=self._heartbeat, holder=self._holder)
        self._sent[record] = now_ms
        if len(self._sent) > MAX_SENT_RECORDS:
            del self._sent[next(iter(self._sent))]
        self._sent_ms = now_ms
        return WriteRecord(self._zone, record, own.version if own else 0)
