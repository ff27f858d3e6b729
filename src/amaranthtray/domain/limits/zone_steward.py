"""The zone steward: acquires units from the fleet ledger and grants them to entries.

It does no I/O. The runtime sends the returned store calls and grants, and passes
results, watch events and reports in. Every method takes the time on the steward's
own clock, read after the message arrived.
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
    """Manages a zone's units while this process has the steward duty.

    After its duty lease has expired, it keeps granting only while a majority of the
    entries in the zone's record still follow it: until then no successor can grant
    the units that it holds.

    Attributes:
        lease_until_ms: End of the duty lease, counted from before the renewal call.
    """

    def __init__(self, zone: ZoneId, holder: Incarnation, timing: EscrowTiming) -> None:
        self.ledger = FleetLedger(zone, holder, timing)
        self.allocator = ZoneAllocator(timing, term=Term(0))
        self.lease_until_ms = NO_LEASE
        self._requested_ms: Millis | None = None
        self._retry_ms = timing.retry_ms
        self._own_epochs: set[int] = set()
        self._teams_to_review: set[TeamName] = set()

    @property
    def term(self) -> Term:
        """Returns the term that entries must follow, 0 during a takeover."""
        return self.allocator.term if self.is_ready else Term(0)

    @property
    def is_ready(self) -> bool:
        """Returns whether every row of the zone is under this steward's epoch."""
        ledger = self.ledger
        is_held = bool(ledger.epoch) and not ledger.is_fenced
        return is_held and not ledger.unadopted()

    @property
    def is_fenced(self) -> bool:
        """Returns whether the zone's leased units were voided under this epoch."""
        return self.ledger.is_fenced and not self.is_superseded

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later steward has taken over the zone."""
        return self.ledger.is_superseded

    def set_limits(
        self, revision: Revision, limits: Mapping[TeamName, int], now_ms: Millis
    ) -> None:
        """Applies the limits of a configuration unless it is older."""
        if revision <= self.ledger.revision:
            return
        before = self.ledger.limits
        lowered = [team for team in before if limits.get(team, 0) < before[team]]
        self.ledger.set_limits(revision, limits)
        self.allocator.set_limits(revision, lowered)
        self._apply_changes(now_ms)

    def take_over(self, now_ms: Millis) -> list[StoreEffect]:
        """Requests a new epoch.

        Every record and row of the ledger must have been passed to ``on_store``
        before. ``tick`` repeats the request while the duty is held. Once
        ``is_superseded``, another steward has the zone; start with a new object.
        """
        if not self._own_epochs:
            self.allocator.set_predecessors(self.ledger.voter_sets, now_ms)
        self._requested_ms = now_ms
        return self.ledger.take_over(self.allocator.voter_sets(now_ms), now_ms)

    def on_store(self, result: StoreResult, now_ms: Millis) -> list[StoreEffect]:
        """Applies the result of a store call or a watch event."""
        before = self.ledger.epoch
        if isinstance(result, RecordSeen):
            effects = self.ledger.on_store(result, now_ms)
            if self.ledger.epoch != before:
                self._begin_epoch()
            return effects
        effects = self.ledger.on_store(result, now_ms)
        self._apply_changes(now_ms)
        return effects

    def on_report(self, report: UnitsReport, now_ms: Millis) -> UnitsGrant | None:
        """Returns the grant that answers an entry's report.

        Returns None if the steward may not grant units now or has no answer.
        """
        if not self.is_ready or not self._may_grant(now_ms):
            return None
        self._apply_changes(now_ms)
        grant = self.allocator.on_report(report, now_ms=now_ms, zone=self.ledger)
        self._teams_to_review.update(report.used, report.waiting)
        return grant

    def tick(self, now_ms: Millis) -> list[StoreEffect]:
        """Renews the record, adopts, acquires and reclaims units.

        Called every 100 to 250 ms.
        """
        effects: list[StoreEffect] = []
        if not self.ledger.epoch or self.ledger.is_fenced:
            return self._retry_takeover(now_ms)
        effects += self.ledger.renew(self.allocator.voter_sets(now_ms), now_ms)
        for team in self.ledger.unadopted():
            effects += self._adopt(team, now_ms)
        if not self.is_ready:
            return effects
        self._teams_to_review |= self.allocator.expire(now_ms)
        self._apply_changes(now_ms)
        effects += self.ledger.fence_silent(now_ms)
        for team in sorted(self._teams_to_review):
            effects += self._review_team(team, now_ms)
        return effects

    def _retry_takeover(self, now_ms: Millis) -> list[StoreEffect]:
        """Repeats the request for an epoch that was lost or never confirmed."""
        if self._requested_ms is None or self.is_superseded:
            return []
        is_held = now_ms < self.lease_until_ms
        if not is_held or now_ms < self._requested_ms + self._retry_ms:
            return []
        return self.take_over(now_ms)

    def _begin_epoch(self) -> None:
        self.allocator.set_term(Term(self.ledger.epoch))
        self._own_epochs.add(self.ledger.epoch)

    def _adopt(self, team: TeamName, now_ms: Millis) -> list[StoreEffect]:
        before = self.ledger.portion(team)
        write = self.ledger.adopt(team, now_ms)
        if write is None or before is None:
            return []
        if before.epoch not in self._own_epochs:
            self.allocator.inherit(team, before.units, now_ms)
        return [write]

    def _review_team(self, team: TeamName, now_ms: Millis) -> list[StoreEffect]:
        need = self.allocator.need(team)
        max_running = self.allocator.max_running(team, now_ms)
        write = self.ledger.review(team, need, max_running, now_ms)
        portion = self.ledger.portion(team)
        held = portion.units if portion else 0
        target = self.ledger.target(team)
        if need <= held and target >= held and write is None:
            self._teams_to_review.discard(team)
        return [write] if write else []

    def _apply_changes(self, now_ms: Millis) -> None:
        changed = self.ledger.pop_changes(now_ms)
        self.allocator.mark_for_review(changed)
        self._teams_to_review |= changed

    def _may_grant(self, now_ms: Millis) -> bool:
        if now_ms < self.lease_until_ms:
            return True
        followers = self.allocator.recent_followers(now_ms)
        return all(
            is_majority(len(followers.intersection(voter_set)), len(voter_set))
            for voter_set in self.ledger.own_voter_sets
        )
