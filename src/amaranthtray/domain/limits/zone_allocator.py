"""A zone's units, divided among its entries by the zone steward."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from ..ids import Incarnation, Millis, Revision, TeamName, Term
from ._account import EntryAccount
from ._tally import NO_PART, TeamTally
from .messages import UnitsGrant, UnitsReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .ledger import Electorate
    from .timing import EscrowTiming


class _Inherited(NamedTuple):
    """Units that the zone held when a team was taken over."""

    units: int
    since_ms: Millis


def is_majority(part: int, whole: int) -> bool:
    """Returns whether ``part`` is more than half of ``whole``."""
    return 2 * part > whole


class ZoneUnits(Protocol):
    """Units of the limits that a zone may use."""

    def usable(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the units that the zone's entries may hold now."""

    def run_cap(self, team: TeamName, now_ms: Millis) -> int | None:
        """Returns the most tasks that may go on running, none for no cap."""

    def take_changes(self, now_ms: Millis) -> set[TeamName]:
        """Returns the teams whose figures changed since the last call."""


class ZoneAllocator:
    """State of a steward towards the entries of its zone.

    The sum of what entries may have in use never grows past the zone's units. A
    steward that starts anew does not know the grants of the one before; until
    they have run out it counts as in use whatever the zone held then and no
    entry has accounted for.
    """

    def __init__(self, timing: EscrowTiming, *, term: Term) -> None:
        self.term = term
        self.revision = Revision(0)
        self._timing = timing
        self._inherited: dict[TeamName, _Inherited] = {}
        self._accounted: dict[TeamName, int] = {}
        self._accounts: dict[Incarnation, EntryAccount] = {}
        self._predecessors: tuple[Electorate, ...] = ()
        self._followers: set[Incarnation] = set()
        self._gone: set[Incarnation] = set()
        self._quiet_since: Millis | None = None
        self._tallies: dict[TeamName, TeamTally] = {}
        self._short: set[TeamName] = set()
        self._seq = 0

    def continue_as(self, term: Term) -> None:
        """Goes on under a new term of the same steward process."""
        self.term = term

    def inherit(self, team: TeamName, units: int, now_ms: Millis) -> None:
        """Records what the zone held when this steward took the team over."""
        self._inherited[team] = _Inherited(units, now_ms)
        self.mark([team])

    def set_predecessors(
        self, electorates: tuple[Electorate, ...], now_ms: Millis
    ) -> None:
        """Names the entries that stewards before this one granted units to."""
        self._predecessors = electorates
        self._quiet_since = None
        self._look_for_predecessors(now_ms)

    def electorates(self, now_ms: Millis) -> tuple[Electorate, ...]:
        """Returns the electorates that the zone's record has to name."""
        own = tuple(sorted(self._accounts))
        quiet = self._quiet_since
        if quiet is not None and now_ms >= quiet + self._timing.predecessor_ms:
            return (own,)
        return (own, *dict.fromkeys(self._predecessors))

    def mark_incarnation_ended(self, incarnation: Incarnation, now_ms: Millis) -> None:
        """Records that a run of an entry has certainly ended."""
        self._gone.add(incarnation)
        self._look_for_predecessors(now_ms)

    def mark(self, teams: Iterable[TeamName]) -> None:
        """Has the units of ``teams`` looked at again for every entry."""
        self._short.update(teams)

    def set_limits(self, revision: Revision, lowered: Iterable[TeamName]) -> None:
        """Puts a configuration in force; grants of lowered teams are repeated."""
        self.revision = revision
        for team in lowered:
            for account in self._accounts.values():
                account.resend(team, self._seq + 1)

    def teams(self) -> set[TeamName]:
        """Returns the teams with units or demand in this zone."""
        found: set[TeamName] = set(self._inherited)
        for account in self._accounts.values():
            found |= account.teams()
        return found

    def need(self, team: TeamName) -> int:
        """Returns the units that the team's work in this zone could use."""
        tally = self._tallies.get(team)
        return tally.need if tally else 0

    def charged(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the most tasks that the team can be running in this zone."""
        tally = self._tallies.get(team)
        heard = tally.charge if tally else 0
        return heard + self._unheard(team, now_ms)

    def alive(self, now_ms: Millis) -> set[Incarnation]:
        """Returns the entries that lately followed this term and no newer one."""
        since_ms = now_ms - self._timing.entry_ttl_ms
        return {
            account.incarnation
            for account in self._accounts.values()
            if account.alive_ms is not None and account.alive_ms >= since_ms
        }

    def stranded(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the units that nobody can use: their entry's grant has lapsed."""
        after_lapse = self._timing.entry_reclaim_ms - self._timing.entry_ttl_ms
        return sum(
            account.charge(team)
            for account in self._accounts.values()
            if account.lapse_ms - after_lapse < now_ms
        )

    def expire(self, now_ms: Millis) -> set[TeamName]:
        """Forgets entries whose grants and tasks have run out; returns their teams."""
        freed: set[TeamName] = set()
        for incarnation, account in list(self._accounts.items()):
            if now_ms >= account.lapse_ms:
                del self._accounts[incarnation]
                freed |= account.teams()
                for team in account.teams():
                    self._tally(team).put(incarnation, NO_PART)
        self.mark(freed)
        return freed

    def on_report(
        self, report: UnitsReport, zone: ZoneUnits, now_ms: Millis
    ) -> UnitsGrant | None:
        """Records a report and returns the grant that answers it.

        None is returned for a repeated or late report, and for an entry that does
        not follow this term yet.
        """
        self.expire(now_ms)
        self.mark(zone.take_changes(now_ms))
        if report.term != self.term:
            return None
        account = self._accounts.get(report.incarnation)
        if account is not None and report.seq <= account.report_seq:
            return None
        if account is None:
            account = self._open(report, now_ms)
        else:
            self._note_changes(account, account.take_report(report))
        self._seq += 1
        self._settle(account, zone, now_ms)
        return self._grant(account, report, zone, now_ms)

    def _unheard(self, team: TeamName, now_ms: Millis) -> int:
        """Returns the inherited units that no entry has accounted for yet."""
        inherited = self._inherited.get(team)
        if inherited is None or self._is_run_out(inherited, now_ms):
            return 0
        return max(0, inherited.units - self._accounted.get(team, 0))

    def _is_run_out(self, inherited: _Inherited, now_ms: Millis) -> bool:
        if self._quiet_since is None:
            return False
        since_ms = max(self._quiet_since, inherited.since_ms)
        return now_ms >= since_ms + self._timing.predecessor_ms

    def _look_for_predecessors(self, now_ms: Millis) -> None:
        """Notes when too few entries are left for any steward before to go on."""
        if self._quiet_since is not None:
            return
        known = self._gone | self._followers
        if any(
            is_majority(len(set(electorate) - known), len(electorate))
            for electorate in self._predecessors
        ):
            return
        self._quiet_since = now_ms

    def _open(self, report: UnitsReport, now_ms: Millis) -> EntryAccount:
        lapse_ms = Millis(now_ms + self._timing.entry_reclaim_ms)
        account = EntryAccount(report.incarnation, lapse_ms=lapse_ms)
        self._accounts[report.incarnation] = account
        self._followers.add(report.incarnation)
        self._look_for_predecessors(now_ms)
        self._note_changes(account, account.take_report(report))
        for team in account.teams():
            before = self._accounted.get(team, 0)
            self._accounted[team] = before + account.charge(team)
        return account

    def _note_changes(self, account: EntryAccount, teams: set[TeamName]) -> None:
        for team in teams:
            self._tally(team).put(account.incarnation, account.part(team))
        self.mark(teams)

    def _tally(self, team: TeamName) -> TeamTally:
        return self._tallies.setdefault(team, TeamTally())

    def _settle(self, account: EntryAccount, zone: ZoneUnits, now_ms: Millis) -> None:
        """Moves units towards this entry's fair part, or away from it."""
        changes: dict[TeamName, int] = {}
        for team in sorted(self._short):
            tally = self._tally(team)
            usable = zone.usable(team, now_ms)
            if not tally.lacking and tally.charge <= usable:
                self._short.discard(team)
                continue
            units = self._next_units(account, team, usable, now_ms)
            if units != account.units(team):
                changes[team] = units
        account.record_grant(self._seq, changes, now_ms)
        for team in changes:
            self._tally(team).put(account.incarnation, account.part(team))

    def _next_units(
        self, account: EntryAccount, team: TeamName, usable: int, now_ms: Millis
    ) -> int:
        """Returns the units of the next grant of a team that is short somewhere.

        While more runs than the zone may, nothing is left beside the tasks that
        run beyond the units of their entries.
        """
        if account.is_leaving:
            return 0
        tally = self._tally(team)
        free = usable - self.charged(team, now_ms)
        if free < 0:
            usable = max(0, usable - tally.excess)
        turn = now_ms // self._timing.rotate_ms
        target = tally.target(account.incarnation, usable, turn)
        units = account.units(team)
        if target <= units:
            return target
        already_charged = account.charge(team) - units
        return units + max(0, min(target - units, free + already_charged))

    def _grant(
        self,
        account: EntryAccount,
        report: UnitsReport,
        zone: ZoneUnits,
        now_ms: Millis,
    ) -> UnitsGrant:
        is_full = account.is_full_due
        account.lapse_ms = Millis(now_ms + self._timing.entry_reclaim_ms)
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
        for team in account.running_over():
            cap = zone.run_cap(team, now_ms)
            if cap is not None and self.charged(team, now_ms) > cap:
                caps[team] = account.units(team)
        return caps
