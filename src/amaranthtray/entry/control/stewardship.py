"""The zone steward duty at one entry, and the steward's work."""

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
    """Acquires and renews the duty of zone steward, and does its work.

    Args:
        entry: This entry.
        incarnation: The incarnation of this entry.
        zone: Its availability zone.
        store: A store that reports lost replies as unknown outcomes.
        clock: Monotonic clock in milliseconds.
        rng: Random source of the jitter between attempts.
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
        """Returns the term that entries of the zone must follow, 0 if there is none."""
        return self._limits.term or Term(0)

    @property
    def is_active(self) -> bool:
        """Returns whether this entry works as steward."""
        return self._limits.is_active

    @property
    def holds_duty(self) -> bool:
        """Returns whether the duty is certainly held now."""
        return self._duty.term() is not None

    @property
    def at_version(self) -> int:
        """Returns the store version from which to watch the ledger."""
        return self._limits.at_version

    def step(self, cfg: Configuration, *, is_wanted: bool) -> None:
        """Acquires or renews the duty and does the steward's periodic work.

        Args:
            cfg: Configuration in force.
            is_wanted: Whether to acquire the duty if it is free; a held duty is kept.
                A steward that loses its lease goes on granting units while a
                majority of its zone follows it.
        """
        self._holder.is_wanted = is_wanted or self.holds_duty
        held = self._duty.run() is not None
        if held and not self._limits.is_active:
            self._start()
        if not self._limits.is_active:
            return
        self._extend_lease()
        limits = {team.name: team.limit for team in cfg.teams.values()}
        self._limits.set_limits(cfg.revision, limits)
        self._limits.tick()

    def handle_watch_events(self, events: list[WatchEvent]) -> None:
        """Applies changes of the ledger that the watch reported."""
        self._limits.handle_watch_events(events)

    def handle_report(self, report: UnitsReport) -> UnitsGrant | None:
        """Returns the grant for an entry's report, None if there is none to send."""
        return self._limits.handle_report(report)

    def mark_incarnation_ended(self, incarnation: Incarnation) -> None:
        """Records that an incarnation of an entry was replaced by a later one."""
        self._limits.mark_incarnation_ended(incarnation)

    def observe_term(self, term: Term) -> None:
        """Ends this steward's work if another steward of the zone has a higher term."""
        if self._limits.is_active and term > self.term > 0:
            self._limits.stop()

    def release(self) -> None:
        """Ends the work and releases the duty, as this entry leaves."""
        self._limits.stop()
        self._duty.release()

    def _start(self) -> None:
        if self._limits.start() is None:
            self.takeovers += 1

    def _extend_lease(self) -> None:
        match self._holder.state:
            case Held(until_ms=until_ms):
                self._limits.extend_lease(Millis(until_ms))
