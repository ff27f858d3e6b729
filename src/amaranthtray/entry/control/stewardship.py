"""The zone steward duty at one entry, and the work that comes with it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...domain.duties import DutyHolder, Held, steward_duty
from ...domain.ids import Millis, Term
from ...domain.limits.ledger import LEDGER_PREFIX
from ...store.duties import DutyRunner
from ..limits_runner import LimitsRunner

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ...domain.configuration import Configuration
    from ...domain.ids import EntryId, Incarnation, ZoneId
    from ...domain.limits.messages import UnitsGrant, UnitsReport
    from ...domain.limits.timing import EscrowTiming
    from ...store.contract import Store, WatchEvent

__all__ = ["LEDGER_PREFIX", "Stewardship"]


class Stewardship:
    """Takes, keeps and works under the duty of zone steward.

    Args:
        entry: This entry.
        incarnation: This run of it.
        zone: Its availability zone.
        store: A store that does not settle lost replies.
        clock: Monotonic clock in milliseconds.
        rng: Source of the jitter between attempts.
        timing: Durations of the limit escrow.
    """

    def __init__(
        self,
        entry: EntryId,
        incarnation: Incarnation,
        zone: ZoneId,
        *,
        store: Store,
        clock: Callable[[], Millis],
        rng: random.Random,
        timing: EscrowTiming,
    ) -> None:
        self._clock = clock
        self._holder = DutyHolder(entry, incarnation, rng=rng)
        self._duty = DutyRunner(
            steward_duty(zone), self._holder, store=store, clock=clock
        )
        self._limits = LimitsRunner(zone, incarnation, timing, store, clock)
        self.takeovers = 0

    @property
    def term(self) -> Term:
        """Returns the term that entries of the zone must follow, 0 for none."""
        return self._limits.term or Term(0)

    @property
    def is_active(self) -> bool:
        """Returns whether this entry works as steward."""
        return self._limits.is_active

    @property
    def holds_duty(self) -> bool:
        """Returns whether the duty is surely held now."""
        return self._duty.term() is not None

    @property
    def at_version(self) -> int:
        """Returns the store version from which to watch the ledger."""
        return self._limits.at_version

    def step(self, cfg: Configuration, *, is_wanted: bool) -> None:
        """Does what is due.

        Args:
            cfg: Configuration in force.
            is_wanted: Whether to take the duty if it is free; one that is held is
                kept. A steward that loses its lease goes on granting while most of
                its zone follows it.
        """
        self._holder.is_wanted = is_wanted or self.holds_duty
        held = self._duty.run() is not None
        if held and not self._limits.is_active:
            self._begin()
        if not self._limits.is_active:
            return
        self._extend()
        limits = {team.name: team.limit for team in cfg.teams.values()}
        self._limits.set_limits(cfg.revision, limits)
        self._limits.tick()

    def handle_watch_events(self, events: list[WatchEvent]) -> None:
        """Takes changes of the ledger."""
        self._limits.handle_watch_events(events)

    def report(self, report: UnitsReport) -> UnitsGrant | None:
        """Answers an entry's report; none when there is nothing to grant."""
        return self._limits.report(report)

    def mark_incarnation_ended(self, incarnation: Incarnation) -> None:
        """Learns that a run of an entry has been replaced by a later one."""
        self._limits.mark_incarnation_ended(incarnation)

    def heard(self, term: Term) -> None:
        """Learns of another steward of the zone; a higher term ends this one's."""
        if self._limits.is_active and term > self.term > 0:
            self._limits.end()

    def release(self) -> None:
        """Gives the duty up, as an entry does that leaves."""
        self._limits.end()
        self._duty.release()

    def _begin(self) -> None:
        if self._limits.begin() is None:
            self.takeovers += 1

    def _extend(self) -> None:
        match self._holder.state:
            case Held(until_ms=until_ms):
                self._limits.extend(Millis(until_ms))
