"""A steward's record of the units that one entry may have in use."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ._tally import EntryUsage

if TYPE_CHECKING:
    from ..ids import Incarnation, Millis, TeamName
    from .messages import UnitsReport


class GrantedUnits(NamedTuple):
    """Units of one team in the grant with number ``seq``."""

    seq: int
    units: int


class EntryAccount:
    """Grants that one entry may still hold, and its latest report.

    A grant counts until the entry acknowledges a later one or the account expires.

    Attributes:
        incarnation: The incarnation of the entry.
        expires_ms: When its units are certainly free unless it reports again.
        report_seq: Number of its latest report.
        acked: Number of the latest grant that it has applied.
        followed_ms: When that grant was sent; the entry followed no newer steward
            at that time.
        is_leaving: Whether it is shutting down and acquires no more units.
    """

    def __init__(self, incarnation: Incarnation, *, expires_ms: Millis) -> None:
        self.incarnation = incarnation
        self.expires_ms = expires_ms
        self.report_seq = 0
        self.acked = 0
        self.followed_ms: Millis | None = None
        self._sent_ms: dict[int, Millis] = {}
        self.is_leaving = False
        self._first_seq: int | None = None
        self._used: dict[TeamName, int] = {}
        self._waiting: dict[TeamName, int] = {}
        self._history: dict[TeamName, list[GrantedUnits]] = {}
        self._unacked: dict[TeamName, int] = {}

    @property
    def is_full_grant_due(self) -> bool:
        """Returns whether the entry has acknowledged no grant of this account."""
        return self._first_seq is None or self.acked < self._first_seq

    def teams(self) -> set[TeamName]:
        """Returns the teams that have units or demand at this entry."""
        return {*self._history, *self._used, *self._waiting}

    def units(self, team: TeamName) -> int:
        """Returns the team's units in the latest grant."""
        history = self._history.get(team)
        return history[-1].units if history else 0

    def usage(self, team: TeamName) -> EntryUsage:
        """Returns the team's usage; a leaving entry has only the units in use."""
        used = self._used.get(team, 0)
        if self.is_leaving:
            return EntryUsage(used, used, 0, used)
        need = used + self._waiting.get(team, 0)
        return EntryUsage(self.units(team), used, need, self.max_running(team))

    def max_running(self, team: TeamName) -> int:
        """Returns the maximum number of tasks that can be running from this entry."""
        if self.is_leaving:
            return self._used.get(team, 0)
        granted = max((item.units for item in self._history.get(team, ())), default=0)
        return max(granted, self._used.get(team, 0))

    def apply_report(self, report: UnitsReport) -> set[TeamName]:
        """Applies a report and returns the teams whose usage changed."""
        self.report_seq = report.seq
        self.is_leaving = report.is_leaving
        changed = self._merge(self._used, report.used)
        changed |= self._merge(self._waiting, report.waiting)
        if report.acked == 0 and self._first_seq is None:
            changed |= self._adopt_held(report.held)
        changed |= self._acknowledge(report.acked)
        if report.is_leaving:
            changed |= self.teams()
        return changed

    def record_grant(
        self, seq: int, units: dict[TeamName, int], now_ms: Millis
    ) -> None:
        """Records a grant that was sent.

        Its units count until the entry acknowledges a later grant.
        """
        if self._first_seq is None:
            self._first_seq = seq
        self._sent_ms[seq] = now_ms
        for team, count in units.items():
            self._history.setdefault(team, []).append(GrantedUnits(seq, count))
            self._unacked[team] = seq

    def unacknowledged(self) -> dict[TeamName, int]:
        """Returns the latest units of each team whose grant is not acknowledged."""
        return {team: self.units(team) for team in self._unacked}

    def all_units(self) -> dict[TeamName, int]:
        """Returns the latest units of each team that has any."""
        return {team: self.units(team) for team in self._history if self.units(team)}

    def teams_over_grant(self) -> list[TeamName]:
        """Returns the teams that run more tasks here than they have units."""
        return [team for team, used in self._used.items() if used > self.units(team)]

    def resend(self, team: TeamName, seq: int) -> None:
        """Includes the team's units in grants until grant ``seq`` is acknowledged."""
        if team in self._history:
            self._unacked[team] = seq

    def _adopt_held(self, held: dict[TeamName, int]) -> set[TeamName]:
        for team, units in held.items():
            self._history[team] = [GrantedUnits(0, units)]
        return set(held)

    def _acknowledge(self, acked: int) -> set[TeamName]:
        if acked <= self.acked or self._first_seq is None or acked < self._first_seq:
            return set()
        self.acked = acked
        self.followed_ms = self._sent_ms.get(acked)
        self._sent_ms = {
            seq: at_ms for seq, at_ms in self._sent_ms.items() if seq > acked
        }
        changed = set()
        for team, history in list(self._history.items()):
            if self._drop_replaced(team, history, acked):
                changed.add(team)
        for team, seq in list(self._unacked.items()):
            if seq <= acked:
                del self._unacked[team]
        return changed

    def _drop_replaced(
        self, team: TeamName, history: list[GrantedUnits], acked: int
    ) -> bool:
        """Drops grants that the acknowledged one replaced; returns whether any was."""
        before = len(history)
        while len(history) > 1 and history[1].seq <= acked:
            del history[0]
        if history[0].units == 0 and len(history) == 1:
            del self._history[team]
            return True
        return len(history) != before

    @staticmethod
    def _merge(
        counts: dict[TeamName, int], updates: dict[TeamName, int]
    ) -> set[TeamName]:
        changed = {
            team for team, count in updates.items() if counts.get(team, 0) != count
        }
        for team in changed:
            counts[team] = updates[team]
            if not updates[team]:
                del counts[team]
        return changed
