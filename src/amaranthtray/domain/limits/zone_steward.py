"""The zone steward's duty towards the limits: ledger on one side, entries on the other.

The runtime sends the returned store calls and grants, and hands results, watch
events and reports back; every method takes the time on the steward's own clock, read
after the message arrived.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ids import Millis, Revision, Term
from .effects import RecordSeen, StoreEffect, StoreResult
from .fleet_ledger import FleetLedger
from .zone_allocator import ZoneAllocator, is_majority

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import Incarnation, TeamName, ZoneId
    from .messages import UnitsGrant, UnitsReport
    from .timing import EscrowTiming

NO_LEASE = Millis(-(10**15))


class ZoneSteward:
    """Holds a zone's units while this process has the steward duty.

    Past the end of its duty lease it goes on only while more than half of the
    entries that the zone's record names still follow it: no successor can then
    hand out what it holds.

    Attributes:
        lease_until_ms: End of the duty lease, counted from before it was renewed.
    """

    def __init__(self, zone: ZoneId, holder: Incarnation, timing: EscrowTiming) -> None:
        self.ledger = FleetLedger(zone, holder, timing)
        self.allocator = ZoneAllocator(timing, term=Term(0))
        self.lease_until_ms = NO_LEASE
        self._asked_ms: Millis | None = None
        self._retry_ms = timing.retry_ms
        self._own_epochs: set[int] = set()
        self._review: set[TeamName] = set()

    @property
    def term(self) -> Term:
        """Returns the term that entries must follow; 0 while taking over."""
        return self.allocator.term if self.is_ready else Term(0)

    @property
    def is_ready(self) -> bool:
        """Returns whether every row is under this steward's epoch."""
        ledger = self.ledger
        is_held = bool(ledger.epoch) and not ledger.is_fenced
        return is_held and not ledger.unadopted()

    @property
    def is_fenced(self) -> bool:
        """Returns whether the zone's lent units were voided under this epoch."""
        return self.ledger.is_fenced and not self.is_superseded

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later steward has taken the zone over."""
        return self.ledger.is_superseded

    def set_limits(
        self, revision: Revision, limits: Mapping[TeamName, int], now_ms: Millis
    ) -> None:
        """Puts the limits of a configuration in force."""
        if revision <= self.ledger.revision:
            return
        before = self.ledger.limits
        lowered = [team for team in before if limits.get(team, 0) < before[team]]
        self.ledger.set_limits(revision, limits)
        self.allocator.set_limits(revision, lowered)
        self._take_changes(now_ms)

    def take_over(self, now_ms: Millis) -> list[StoreEffect]:
        """Starts a new epoch; the ledger must have been listed and fed before.

        ``tick`` asks again while the duty is held. Once ``is_superseded`` another
        steward has the zone; start with a new object.
        """
        if not self._own_epochs:
            self.allocator.set_predecessors(self.ledger.electorates, now_ms)
        self._asked_ms = now_ms
        return self.ledger.take_over(self.allocator.electorates(now_ms), now_ms)

    def on_store(self, result: StoreResult, now_ms: Millis) -> list[StoreEffect]:
        """Takes the result of a store call or a watch event."""
        before = self.ledger.epoch
        if isinstance(result, RecordSeen):
            effects = self.ledger.on_store(result, now_ms)
            if self.ledger.epoch != before:
                self._begin_epoch()
            return effects
        effects = self.ledger.on_store(result, now_ms)
        self._take_changes(now_ms)
        return effects

    def on_report(self, report: UnitsReport, now_ms: Millis) -> UnitsGrant | None:
        """Answers an entry's report; none when it must not or need not."""
        if not self.is_ready or not self._may_grant(now_ms):
            return None
        self._take_changes(now_ms)
        grant = self.allocator.on_report(report, now_ms=now_ms, zone=self.ledger)
        self._review.update(report.used, report.waiting)
        return grant

    def tick(self, now_ms: Millis) -> list[StoreEffect]:
        """Renews, adopts, lends and reclaims; called every 100 to 250 ms."""
        effects: list[StoreEffect] = []
        if not self.ledger.epoch or self.ledger.is_fenced:
            return self._take_over_again(now_ms)
        effects += self.ledger.renew(self.allocator.electorates(now_ms), now_ms)
        for team in self.ledger.unadopted():
            effects += self._adopt(team, now_ms)
        if not self.is_ready:
            return effects
        self._review |= self.allocator.expire(now_ms)
        self._take_changes(now_ms)
        effects += self.ledger.fence_silent(now_ms)
        for team in sorted(self._review):
            effects += self._look_at(team, now_ms)
        return effects

    def _take_over_again(self, now_ms: Millis) -> list[StoreEffect]:
        """Asks again for an epoch that was lost or never confirmed."""
        if self._asked_ms is None or self.is_superseded:
            return []
        is_held = now_ms < self.lease_until_ms
        if not is_held or now_ms < self._asked_ms + self._retry_ms:
            return []
        return self.take_over(now_ms)

    def _begin_epoch(self) -> None:
        self.allocator.continue_as(Term(self.ledger.epoch))
        self._own_epochs.add(self.ledger.epoch)

    def _adopt(self, team: TeamName, now_ms: Millis) -> list[StoreEffect]:
        before = self.ledger.portion(team)
        write = self.ledger.adopt(team, now_ms)
        if write is None or before is None:
            return []
        if before.epoch not in self._own_epochs:
            self.allocator.inherit(team, before.units, now_ms)
        return [write]

    def _look_at(self, team: TeamName, now_ms: Millis) -> list[StoreEffect]:
        need = self.allocator.need(team)
        charged = self.allocator.charged(team, now_ms)
        write = self.ledger.review(team, need, charged, now_ms)
        portion = self.ledger.portion(team)
        held = portion.units if portion else 0
        target = self.ledger.target(team)
        if need <= held and target >= held and write is None:
            self._review.discard(team)
        return [write] if write else []

    def _take_changes(self, now_ms: Millis) -> None:
        changed = self.ledger.take_changes(now_ms)
        self.allocator.mark(changed)
        self._review |= changed

    def _may_grant(self, now_ms: Millis) -> bool:
        if now_ms < self.lease_until_ms:
            return True
        alive = self.allocator.alive(now_ms)
        return all(
            is_majority(len(alive.intersection(electorate)), len(electorate))
            for electorate in self.ledger.own_electorates
        )
