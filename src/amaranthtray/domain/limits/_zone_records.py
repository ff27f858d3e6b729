"""The zones' records as one steward sees them, and its own renewals."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..ids import Millis
from .effects import RecordSeen, WriteRecord
from .ledger import ZoneRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import Incarnation, ZoneId
    from .ledger import Electorate
    from .timing import EscrowTiming

RECORDS_REMEMBERED = 64
"""Own writes to the zone's record whose effect may still be seen."""

SILENT_RENEWALS = 3
"""Renewals that a zone misses before the others stop counting on it."""


@dataclass(slots=True)
class _Record:
    """A zone's record as last seen and since when it has not changed."""

    record: ZoneRecord
    version: int
    since_ms: Millis


class ZoneRecords:
    """Standing of all zones; the epoch and the renewals of the own one.

    Attributes:
        epoch: The steward's epoch, 0 while it has none.
        renewed_ms: When the latest renewal was sent that the store accepted.
    """

    def __init__(self, zone: ZoneId, holder: Incarnation, timing: EscrowTiming) -> None:
        self.epoch = 0
        self.renewed_ms: Millis | None = None
        self._zone = zone
        self._holder = holder
        self._timing = timing
        self._seen: dict[ZoneId, _Record] = {}
        self._sent: dict[ZoneRecord, Millis] = {}
        self._sent_ms: Millis | None = None
        self._beat = 0
        self._highest_epoch = 0

    @property
    def is_fenced(self) -> bool:
        """Returns whether another process has ended this steward's epoch."""
        return 0 < self.epoch <= self.fenced_epoch() or self.is_superseded

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later steward of the zone has begun its epoch."""
        return 0 < self.epoch < self._highest_epoch

    @property
    def electorates(self) -> tuple[Electorate, ...]:
        """Returns the electorates in the own record as last seen."""
        mine = self._seen.get(self._zone)
        return mine.record.electorates if mine else ()

    @property
    def own_electorates(self) -> list[Electorate]:
        """Returns this steward's electorates that the record may name by now."""
        mine = self._seen.get(self._zone)
        records = [mine.record] if mine else []
        records += self._sent
        return [record.electorates[0] for record in records if record.electorates]

    @property
    def zones(self) -> list[ZoneId]:
        """Returns all zones that have a record."""
        return sorted(self._seen)

    def by_zone(self) -> dict[ZoneId, ZoneRecord]:
        """Returns the records."""
        return {zone: seen.record for zone, seen in self._seen.items()}

    def fenced_epoch(self) -> int:
        """Returns the highest epoch of the own zone whose lent units are void."""
        mine = self._seen.get(self._zone)
        return mine.record.fenced if mine else 0

    def note_epoch(self, epoch: int) -> None:
        """Records an epoch of the own zone that was seen anywhere."""
        self._highest_epoch = max(self._highest_epoch, epoch)

    def see(self, result: RecordSeen, now_ms: Millis) -> bool:
        """Takes a record; returns whether an epoch began or a fence was raised."""
        before = self._seen.get(result.zone)
        if before is not None and result.version <= before.version:
            return False
        self._seen[result.zone] = _Record(result.record, result.version, now_ms)
        if result.zone == self._zone:
            return self._see_own(result.record)
        return before is None or before.record.fenced != result.record.fenced

    def take_over(
        self, electorates: tuple[Electorate, ...], now_ms: Millis
    ) -> WriteRecord:
        """Returns the write that begins a new epoch."""
        self.epoch = 0
        self.renewed_ms = None
        mine = self._seen.get(self._zone)
        record = mine.record if mine else ZoneRecord()
        taken = replace(record, epoch=record.epoch + 1, electorates=electorates)
        return self._write(taken, now_ms)

    def renew(
        self, electorates: tuple[Electorate, ...], now_ms: Millis
    ) -> WriteRecord | None:
        """Returns the next renewal when it is due.

        Electorates that have changed are written soon: a steward whose record names
        nobody cannot go on without the platform.
        """
        mine = self._seen.get(self._zone)
        if mine is None or not self.epoch or self.is_fenced:
            return None
        has_changed = electorates != mine.record.electorates
        wait_ms = self._timing.retry_ms if has_changed else self._wait_ms()
        if self._sent_ms is not None and now_ms < self._sent_ms + wait_ms:
            return None
        return self._write(replace(mine.record, electorates=electorates), now_ms)

    def fences(self, now_ms: Millis) -> Iterator[WriteRecord]:
        """Yields the fence of each zone whose lent units have certainly run out."""
        for zone, seen in self._seen.items():
            is_void = seen.record.fenced >= seen.record.epoch
            silent_ms = now_ms - seen.since_ms
            if zone == self._zone or is_void:
                continue
            if silent_ms >= self._timing.zone_reclaim_ms:
                fenced = replace(seen.record, fenced=seen.record.epoch)
                yield WriteRecord(zone, fenced, seen.version)

    def silent(self, now_ms: Millis) -> frozenset[ZoneId]:
        """Returns the other zones that have missed several renewals."""
        patience_ms = SILENT_RENEWALS * self._timing.renew_ms
        return frozenset(
            zone
            for zone, seen in self._seen.items()
            if zone != self._zone and now_ms - seen.since_ms > patience_ms
        )

    def _see_own(self, record: ZoneRecord) -> bool:
        self.note_epoch(record.epoch)
        sent_ms = self._sent.get(record)
        if sent_ms is None or record.fenced >= record.epoch:
            return False
        is_begin = not self.epoch
        if is_begin:
            self.epoch = record.epoch
        if record.epoch == self.epoch:
            self.renewed_ms = sent_ms
            self._sent.clear()
        return is_begin

    def _wait_ms(self) -> int:
        is_confirmed = self._sent_ms == self.renewed_ms
        return self._timing.renew_ms if is_confirmed else self._timing.retry_ms

    def _write(self, record: ZoneRecord, now_ms: Millis) -> WriteRecord:
        mine = self._seen.get(self._zone)
        self._beat = max(self._beat, record.beat) + 1
        record = replace(record, beat=self._beat, holder=self._holder)
        self._sent[record] = now_ms
        if len(self._sent) > RECORDS_REMEMBERED:
            del self._sent[next(iter(self._sent))]
        self._sent_ms = now_ms
        return WriteRecord(self._zone, record, mine.version if mine else 0)
