"""Units that one entry holds; each task that it starts takes one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ids import Millis, Revision, Term
from .messages import GrantResult, UnitsReport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import Incarnation, TeamName
    from .messages import UnitsGrant
    from .timing import EscrowTiming

MAX_ANSWERABLE_REPORTS = 64
"""Number of recent reports that a grant may answer."""

DEMAND_TTL_MS = 3_000
"""How long a recorded demand counts unless it is recorded again."""

NEVER = Millis(-(10**15))


class EntryUnits:
    """Implements ``ports.Limits`` for one incarnation of an entry.

    A unit is acquired only under a grant that is valid on this entry's clock. Tasks
    that are running when the grant expires may continue for ``run_on_ms``; after
    that ``renewable`` allows no renewal of their leases.
    """

    def __init__(self, incarnation: Incarnation, timing: EscrowTiming) -> None:
        self.incarnation = incarnation
        self.term = Term(0)
        self.is_leaving = False
        self._timing = timing
        self._units: dict[TeamName, int] = {}
        self._caps: dict[TeamName, int] = {}
        self._used: dict[TeamName, int] = {}
        self._waiting: dict[TeamName, int] = {}
        self._demand_recorded_ms: dict[TeamName, Millis] = {}
        self._valid_until = NEVER
        self._report_seq = 0
        self._reported_ms = NEVER
        self._is_urgent = False
        self._sent_ms: dict[int, Millis] = {}
        self._unanswered: dict[TeamName, int] = {}
        self._grant_seq = 0
        self._revision = Revision(0)
        self._limits: dict[TeamName, int] = {}
        self._lowered: dict[TeamName, Revision] = {}

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Acquires a unit for a task about to start; returns False if none is free."""
        if self.is_leaving or now_ms >= self._valid_until:
            return False
        used = self._used.get(team, 0)
        if used >= self._units.get(team, 0):
            return False
        self._used[team] = used + 1
        self._mark_changed(team)
        return True

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Releases the unit of a task that has certainly ended."""
        used = self._used.get(team, 0)
        if used == 0:
            return
        self._used[team] = used - 1
        self._mark_changed(team)

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Records how many requests of the team wait for a unit."""
        self._demand_recorded_ms[team] = now_ms
        before = self._waiting.get(team, 0)
        if before == waiting:
            return
        self._is_urgent |= waiting > 0 and before == 0
        self._waiting[team] = waiting
        self._mark_changed(team)

    def _expire_demand(self, now_ms: Millis) -> None:
        """Removes demand that was not recorded again: it was met or abandoned."""
        oldest_ms = now_ms - DEMAND_TTL_MS
        for team, recorded_ms in list(self._demand_recorded_ms.items()):
            if recorded_ms < oldest_ms:
                del self._demand_recorded_ms[team]
                self._waiting.pop(team, None)
                self._mark_changed(team)

    def used(self, team: TeamName) -> int:
        """Returns the units in use by the team's tasks."""
        return self._used.get(team, 0)

    def held(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the units that the team's tasks may use now."""
        if now_ms >= self._valid_until:
            return 0
        return self._units.get(team, 0)

    def renewable(self, team: TeamName, now_ms: Millis) -> int:
        """Returns how many of the team's tasks may have their leases renewed now.

        It must be checked right before each renewal; the other tasks are stopped.
        """
        used = self._used.get(team, 0)
        if now_ms >= self._valid_until + self._timing.run_on_ms:
            return 0
        return min(used, self._caps.get(team, used))

    def set_limits(
        self, revision: Revision, limits: Mapping[TeamName, int], now_ms: Millis
    ) -> None:
        """Applies the limits of a configuration.

        Units of a lowered limit shrink in proportion at once, so that the units of
        all entries together fit the lower limit without a message. Units that the
        steward granted under this revision already fit it.
        """
        is_granted = self._revision >= revision
        for team, before in self._limits.items():
            after = limits.get(team, 0)
            if after >= before or is_granted:
                continue
            self._units[team] = self._units.get(team, 0) * after // before
            self._lowered[team] = revision
        self._limits = dict(limits)

    def follow(self, term: Term) -> None:
        """Follows a steward term; grants of older terms are rejected from now on.

        Units already held stay valid until their grant expires.
        """
        if term <= self.term:
            return
        self.term = term
        self._grant_seq = 0
        self._mark_all_changed()

    def leave(self) -> None:
        """Stops acquiring units for good; the next report returns the unused ones."""
        self.is_leaving = True
        self._units.clear()

    def is_report_due(self, now_ms: Millis) -> bool:
        """Returns whether a report is due; sooner while requests wait for units."""
        wait_ms = self._timing.report_ms
        if self._is_urgent or self._grant_seq == 0 or any(self._waiting.values()):
            wait_ms = self._timing.urgent_report_ms
        return now_ms >= self._reported_ms + wait_ms

    def report(self, now_ms: Millis) -> UnitsReport:
        """Returns the next report to the steward, sent at ``now_ms``."""
        self._expire_demand(now_ms)
        self._report_seq += 1
        self._reported_ms = now_ms
        self._is_urgent = False
        self._sent_ms[self._report_seq] = now_ms
        self._sent_ms.pop(self._report_seq - MAX_ANSWERABLE_REPORTS, None)
        has_no_grant = self._grant_seq == 0
        return UnitsReport(
            incarnation=self.incarnation,
            seq=self._report_seq,
            term=self.term,
            acked=self._grant_seq,
            used={team: self._used.get(team, 0) for team in self._unanswered},
            waiting={team: self._waiting.get(team, 0) for team in self._unanswered},
            held=self._valid_units(now_ms) if has_no_grant else {},
            is_leaving=self.is_leaving,
        )

    def apply(self, grant: UnitsGrant, now_ms: Millis) -> GrantResult:
        """Applies a grant, or returns why it was rejected."""
        result = self._classify(grant)
        if result is not GrantResult.APPLIED:
            return result
        self._grant_seq = grant.seq
        self._revision = grant.revision
        sent_ms = self._sent_ms[grant.answers]
        self._valid_until = Millis(max(self._valid_until, sent_ms + grant.ttl_ms))
        self._replace_units(grant)
        self._caps = dict(grant.run_caps)
        self._drop_answered(grant.answers)
        if grant.is_full:
            self._mark_all_changed()
        return result

    def _classify(self, grant: UnitsGrant) -> GrantResult:
        if grant.incarnation != self.incarnation:
            return GrantResult.OTHER_INCARNATION
        if grant.term < self.term:
            return GrantResult.OLD_TERM
        if grant.term > self.term:
            return GrantResult.NOT_FOLLOWED
        if grant.seq <= self._grant_seq:
            return GrantResult.OLD_SEQ
        if grant.answers not in self._sent_ms:
            return GrantResult.UNKNOWN_REPORT
        return GrantResult.APPLIED

    def _replace_units(self, grant: UnitsGrant) -> None:
        before = self._units
        after = {} if grant.is_full else dict(before)
        for team, units in grant.units.items():
            is_older = grant.revision < self._lowered.get(team, Revision(0))
            after[team] = min(units, before.get(team, 0)) if is_older else units
        self._units = {} if self.is_leaving else after

    def _drop_answered(self, answered: int) -> None:
        answered_teams = [
            team for team, seq in self._unanswered.items() if seq <= answered
        ]
        for team in answered_teams:
            del self._unanswered[team]

    def _mark_changed(self, team: TeamName) -> None:
        self._unanswered[team] = self._report_seq + 1

    def _mark_all_changed(self) -> None:
        for team in (*self._used, *self._waiting):
            self._mark_changed(team)

    def _valid_units(self, now_ms: Millis) -> dict[TeamName, int]:
        if now_ms >= self._valid_until:
            return {}
        return {team: units for team, units in self._units.items() if units}
