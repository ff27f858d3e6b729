"""Allocation of a zone's units to its entries by the zone steward."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from ..ids import Incarnation, Millis, Revision, TeamName, Term
from ._account import EntryAccount
from ._tally import NO_USAGE, TeamTotals
from .messages import UnitsGrant, UnitsReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .ledger import VoterSet
    from .timing import EscrowTiming


class _InheritedUnits(NamedTuple):
    """Units of a team that the zone held when the steward adopted its row."""

    units: int
    since_ms: Millis


def is_majority(count: int, total: int) -> bool:
    """Returns whether ``count`` is more than half of ``total``."""
    return 2 * count > total


class ZoneUnits(Protocol):
    """Source of the units that a zone may use."""

    def usable(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the units that the zone's entries may hold now."""

    def run_cap(self, team: TeamName, now_ms: Millis) -> int | None:
        """Returns the maximum number of tasks that may run, or None for no cap."""

    def pop_changes(self, now_ms: Millis) -> set[TeamName]:
        """Returns the teams whose units may have changed since the last call."""


class ZoneAllocator:
    """Allocates a zone's units to its entries and tracks what they may have in use.

    The sum of units that entries may have in use never grows beyond the zone's
    units. A new steward does not know the grants of its predecessors. Until those
    have expired, it counts every unit that the zone held at the takeover, and that
    no entry has accounted for, as in use.
    """

    def __init__(self, timing: EscrowTiming, *, term: Term) -> None:
        self.term = term
        self.revision = Revision(0)
        self._timing = timing
        self._inherited: dict[TeamName, _InheritedUnits] = {}
        self._accounted: dict[TeamName, int] = {}
        self._accounts: dict[Incarnation, EntryAccount] = {}
        self._predecessors: tuple[VoterSet, ...] = ()
        self._followers: set[Incarnation] = set()
        self._ended: set[Incarnation] = set()
        self._predecessors_ended_ms: Millis | None = None
        self._totals: dict[TeamName, TeamTotals] = {}
        self._unbalanced: set[TeamName] = set()
        self._seq = 0

    def set_term(self, term: Term) -> None:
        """Continues under a new term of the same steward process."""
        self.term = term

    def inherit(self, team: TeamName, units: int, now_ms: Millis) -> None:
        """Records the units that the zone held when this steward adopted the team."""
        self._inherited[team] = _InheritedUnits(units, now_ms)
        self.mark_for_review([team])

    def set_predecessors(
        self, voter_sets: tuple[VoterSet, ...], now_ms: Millis
    ) -> None:
        """Sets the entries to which earlier stewards granted units."""
        self._predecessors = voter_sets
        self._predecessors_ended_ms = None
        self._check_predecessors(now_ms)

    def voter_sets(self, now_ms: Millis) -> tuple[VoterSet, ...]:
        """Returns the voter sets that the zone's record must contain."""
        own = tuple(sorted(self._accounts))
        ended_ms = self._predecessors_ended_ms
        if (
            ended_ms is not None
            and now_ms >= ended_ms + self._timing.predecessor_expiry_ms
        ):
            return (own,)
        return (own, *dict.fromkeys(self._predecessors))

    def mark_incarnation_ended(self, incarnation: Incarnation, now_ms: Millis) -> None:
        """Records that an incarnation of an entry has certainly ended."""
        self._ended.add(incarnation)
        self._check_predecessors(now_ms)

    def mark_for_review(self, teams: Iterable[TeamName]) -> None:
        """Marks ``teams`` so that their units are recomputed for every entry."""
        self._unbalanced.update(teams)

    def set_limits(self, revision: Revision, lowered: Iterable[TeamName]) -> None:
        """Applies a configuration; units of teams with lower limits are sent again."""
        self.revision = revision
        for team in lowered:
            for account in self._accounts.values():
                account.resend(team, self._seq + 1)

    def teams(self) -> set[TeamName]:
        """Returns the teams that have units or demand in this zone."""
        found: set[TeamName] = set(self._inherited)
        for account in self._accounts.values():
            found |= account.teams()
        return found

    def need(self, team: TeamName) -> int:
        """Returns the units that the team's work in this zone could use."""
        totals = self._totals.get(team)
        return totals.need if totals else 0

    def max_running(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the maximum number of tasks that can be running in this zone."""
        totals = self._totals.get(team)
        reported = totals.max_running if totals else 0
        return reported + self._unaccounted(team, now_ms)

    def recent_followers(self, now_ms: Millis) -> set[Incarnation]:
        """Returns the entries that recently followed this term and no newer one."""
        since_ms = now_ms - self._timing.entry_ttl_ms
        return {
            account.incarnation
            for account in self._accounts.values()
            if account.followed_ms is not None and account.followed_ms >= since_ms
        }

    def stranded(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the units that nobody can use because their grant has expired."""
        after_expiry = self._timing.entry_reclaim_ms - self._timing.entry_ttl_ms
        return sum(
            account.max_running(team)
            for account in self._accounts.values()
            if account.expires_ms - after_expiry < now_ms
        )

    def expire(self, now_ms: Millis) -> set[TeamName]:
        """Removes entries whose grants and tasks have expired; returns their teams."""
        freed: set[TeamName] = set()
        for incarnation, account in list(self._accounts.items()):
            if now_ms >= account.expires_ms:
                del self._accounts[incarnation]
                freed |= account.teams()
                for team in account.teams():
                    self._team_totals(team).update(incarnation, NO_USAGE)
        self.mark_for_review(freed)
        return freed

    def on_report(
        self, report: UnitsReport, zone: ZoneUnits, now_ms: Millis
    ) -> UnitsGrant | None:
        """Applies a report and returns the grant that answers it.

        Returns None for a repeated or late report, and for an entry that does not
        follow this term yet.
        """
        self.expire(now_ms)
        self.mark_for_review(zone.pop_changes(now_ms))
        if report.term != self.term:
            return None
        account = self._accounts.get(report.incarnation)
        if account is not None and report.seq <= account.report_seq:
            return None
        if account is None:
            account = self._open_account(report, now_ms)
        else:
            self._update_totals(account, account.apply_report(report))
        self._seq += 1
        self._rebalance(account, zone, now_ms)
        return self._build_grant(account, report, zone, now_ms)

    def _unaccounted(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the inherited units that no entry has accounted for yet."""
        inherited = self._inherited.get(team)
        if inherited is None or self._is_expired(inherited, now_ms):
            return 0
        return max(0, inherited.units - self._accounted.get(team, 0))

    def _is_expired(self, inherited: _InheritedUnits, now_ms: Millis) -> bool:
        if self._predecessors_ended_ms is None:
            return False
        since_ms = max(self._predecessors_ended_ms, inherited.since_ms)
        return now_ms >= since_ms + self._timing.predecessor_expiry_ms

    def _check_predecessors(self, now_ms: Millis) -> None:
        """Records when no earlier steward can have a majority of its entries."""
        if self._predecessors_ended_ms is not None:
            return
        known = self._ended | self._followers
        if any(
            is_majority(len(set(voter_set) - known), len(voter_set))
            for voter_set in self._predecessors
        ):
            return
        self._predecessors_ended_ms = now_ms

    def _open_account(self, report: UnitsReport, now_ms: Millis) -> EntryAccount:
        expires_ms = Millis(now_ms + self._timing.entry_reclaim_ms)
        account = EntryAccount(report.incarnation, expires_ms=expires_ms)
        self._accounts[report.incarnation] = account
        self._followers.add(report.incarnation)
        self._check_predecessors(now_ms)
        self._update_totals(account, account.apply_report(report))
        for team in account.teams():
            before = self._accounted.get(team, 0)
            self._accounted[team] = before + account.max_running(team)
        return account

    def _update_totals(self, account: EntryAccount, teams: set[TeamName]) -> None:
        for team in teams:
            self._team_totals(team).update(account.incarnation, account.usage(team))
        self.mark_for_review(teams)

    def _team_totals(self, team: TeamName) -> TeamTotals:
        return self._totals.setdefault(team, TeamTotals())

    def _rebalance(
        self, account: EntryAccount, zone: ZoneUnits, now_ms: Millis
    ) -> None:
        """Moves this entry's units towards its fair allocation; records the grant."""
        changes: dict[TeamName, int] = {}
        for team in sorted(self._unbalanced):
            totals = self._team_totals(team)
            usable = zone.usable(team, now_ms)
            if not totals.short_entries and totals.max_running <= usable:
                self._unbalanced.discard(team)
                continue
            units = self._next_units(account, team, usable, now_ms)
            if units != account.units(team):
                changes[team] = units
        account.record_grant(self._seq, changes, now_ms)
        for team in changes:
            self._team_totals(team).update(account.incarnation, account.usage(team))

    def _next_units(
        self, account: EntryAccount, team: TeamName, usable: int, now_ms: Millis
    ) -> int:
        """Returns the entry's units of the team in the next grant.

        While more tasks can be running than the zone may run, those beyond the
        units of their entries are subtracted from the usable units, so that no
        task starts beside them.
        """
        if account.is_leaving:
            return 0
        totals = self._team_totals(team)
        free = usable - self.max_running(team, now_ms)
        if free < 0:
            usable = max(0, usable - totals.excess)
        rotation = now_ms // self._timing.rotate_ms
        target = totals.target(account.incarnation, usable, rotation)
        units = account.units(team)
        if target <= units:
            return target
        pending_units = account.max_running(team) - units
        return units + max(0, min(target - units, free + pending_units))

    def _build_grant(
        self,
        account: EntryAccount,
        report: UnitsReport,
        zone: ZoneUnits,
        now_ms: Millis,
    ) -> UnitsGrant:
        is_full = account.is_full_grant_due
        account.expires_ms = Millis(now_ms + self._timing.entry_reclaim_ms)
        return UnitsGrant(
            incarnation=account.incarnation,
            term=self.term,
            seq=self._seq,
            answers=report.seq,
            ttl_ms=self._timing.entry_ttl_ms,
            revision=self.revision,
            is_full=is_full,
            units=account.all_units() if is_full else account.unacknowledged(),
            run_caps=self._run_caps(account, zone, now_ms),
        )

    def _run_caps(
        self, account: EntryAccount, zone: ZoneUnits, now_ms: Millis
    ) -> dict[TeamName, int]:
        caps: dict[TeamName, int] = {}
        for team in account.teams_over_grant():
            cap = zone.run_cap(team, now_ms)
            if cap is not None and self.max_running(team, now_ms) > cap:
                caps[team] = account.units(team)
        return caps
