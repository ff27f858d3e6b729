"""What a steward must assume that one entry has in use."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ._tally import EntryPart

if TYPE_CHECKING:
    from ..ids import Incarnation, Millis, TeamName
    from .messages import UnitsReport


class Granted(NamedTuple):
    """Units of one team in one grant."""

    seq: int
    units: int


class EntryAccount:
    """Grants to one entry that it may still hold, and what it last reported.

    A grant counts until a later one is acknowledged or the account lapses.

    Attributes:
        incarnation: The run of the entry.
        lapse_ms: When its units are surely free, unless it is heard again.
        report_seq: Its latest report.
        acked: The latest grant that it has applied.
        alive_ms: When the grant was sent that it last said to have applied; it
            had followed no newer steward then.
        is_leaving: Whether it takes no more units.
    """

    def __init__(self, incarnation: Incarnation, *, lapse_ms: Millis) -> None:
        self.incarnation = incarnation
        self.lapse_ms = lapse_ms
        self.report_seq = 0
        self.acked = 0
        self.alive_ms: Millis | None = None
        self._sent_ms: dict[int, Millis] = {}
        self.is_leaving = False
        self._first_seq: int | None = None
        self._used: dict[TeamName, int] = {}
        self._waiting: dict[TeamName, int] = {}
        self._history: dict[TeamName, list[Granted]] = {}
        self._unacked: dict[TeamName, int] = {}

    @property
    def is_full_due(self) -> bool:
        """Returns whether the entry has acknowledged no grant of this account."""
        return self._first_seq is None or self.acked < self._first_seq

    def teams(self) -> set[TeamName]:
        """Returns the teams with units or demand here."""
        return {*self._history, *self._used, *self._waiting}

    def units(self, team: TeamName) -> int:
        """Returns the units of the latest grant."""
        history = self._history.get(team)
        return history[-1].units if history else 0

    def part(self, team: TeamName) -> EntryPart:
        """Returns the team's figures; a leaving entry counts what it uses."""
        used = self._used.get(team, 0)
        if self.is_leaving:
            return EntryPart(used, used, 0, used)
        need = used + self._waiting.get(team, 0)
        return EntryPart(self.units(team), used, need, self.charge(team))

    def charge(self, team: TeamName) -> int:
        """Returns the most tasks that the team can be running from this entry."""
        if self.is_leaving:
            return self._used.get(team, 0)
        granted = max((item.units for item in self._history.get(team, ())), default=0)
        return max(granted, self._used.get(team, 0))

    def take_report(self, report: UnitsReport) -> set[TeamName]:
        """Records a report and returns the teams whose figures changed."""
        self.report_seq = report.seq
        self.is_leaving = report.is_leaving
        changed = self._update(self._used, report.used)
        changed |= self._update(self._waiting, report.waiting)
        if report.acked == 0 and self._first_seq is None:
            changed |= self._take_held(report.held)
        changed |= self._acknowledge(report.acked)
        if report.is_leaving:
            changed |= self.teams()
        return changed

    def record_grant(
        self, seq: int, units: dict[TeamName, int], now_ms: Millis
    ) -> None:
        """Adds units that were sent; they count until a later grant is applied."""
        if self._first_seq is None:
            self._first_seq = seq
        self._sent_ms[seq] = now_ms
        for team, count in units.items():
            self._history.setdefault(team, []).append(Granted(seq, count))
            self._unacked[team] = seq

    def unacknowledged(self) -> dict[TeamName, int]:
        """Returns the latest units of each team that the entry may not have."""
        return {team: self.units(team) for team in self._unacked}

    def all_units(self) -> dict[TeamName, int]:
        """Returns the units of the latest grant of every team that has some."""
        return {team: self.units(team) for team in self._history if self.units(team)}

    def running_over(self) -> list[TeamName]:
        """Returns the teams that run more here than their units."""
        return [team for team, used in self._used.items() if used > self.units(team)]

    def resend(self, team: TeamName, seq: int) -> None:
        """Makes the next grant repeat the team's units."""
        if team in self._history:
            self._unacked[team] = seq

    def _take_held(self, held: dict[TeamName, int]) -> set[TeamName]:
        for team, units in held.items():
            self._history[team] = [Granted(0, units)]
        return set(held)

    def _acknowledge(self, acked: int) -> set[TeamName]:
        if acked <= self.acked or self._first_seq is None or acked < self._first_seq:
            return set()
        self.acked = acked
        self.alive_ms = self._sent_ms.get(acked)
        self._sent_ms = {
            seq: at_ms for seq, at_ms in self._sent_ms.items() if seq > acked
        }
        changed = set()
        for team, history in list(self._history.items()):
            if self._prune(team, history, acked):
                changed.add(team)
        for team, seq in list(self._unacked.items()):
            if seq <= acked:
                del self._unacked[team]
        return changed

    def _prune(self, team: TeamName, history: list[Granted], acked: int) -> bool:
        """Drops grants that the acknowledged one replaced."""
        before = len(history)
        while len(history) > 1 and history[1].seq <= acked:
            del history[0]
        if history[0].units == 0 and len(history) == 1:
            del self._history[team]
            return True
        return len(history) != before

    @staticmethod
    def _update(known: dict[TeamName, int], news: dict[TeamName, int]) -> set[TeamName]:
        changed = {team for team, count in news.items() if known.get(team, 0) != count}
        for team in changed:
            known[team] = news[team]
            if not news[team]:
                del known[team]
        return changed
