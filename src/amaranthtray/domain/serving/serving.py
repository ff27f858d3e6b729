"""One entry's serving of requests: desk, limit units and shares as one machine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ..limits.entry_holding import EntryHolding
from ..limits.messages import GrantVerdict
from ..requests.desk import RequestDesk
from ..requests.messages import RenewLeases, StopTask, Tick
from ..requests.model import OPEN_TEAM
from ..shares.fair_shares import FairShares
from ..workers.leases import LeaseTracker
from ..workers.registry import WorkerRegistry
from ._open_work import OpenWorkExempt
from .messages import (
    ConfigurationInForce,
    GrantArrived,
    HostsListed,
    HostsReported,
    LeaveBegun,
    SendHostNews,
    SendReport,
    SendUsage,
    SourceEnded,
    TermFollowed,
    UsageArrived,
    ZoneShared,
)
from .settings import ServingSettings

if TYPE_CHECKING:
    import random

    from ..ids import AttemptId, EntryId, HostId, Incarnation, Millis, ZoneId
    from ..requests.messages import DeskEffect
    from .messages import ServingEffect, ServingMessage


class ServingContext(NamedTuple):
    """Who serves.

    Attributes:
        incarnation: This run of the entry.
        rng: Random source of choices and jitter.
    """

    entry: EntryId
    incarnation: Incarnation
    zone: ZoneId
    rng: random.Random


class Serving:
    """Takes one message at a time and returns what to do, in order.

    Args:
        parts: Who serves.
        cfg: Bounds.
    """

    def __init__(
        self, parts: ServingContext, cfg: ServingSettings | None = None
    ) -> None:
        self.cfg = cfg or ServingSettings()
        self.holding = EntryHolding(parts.incarnation, self.cfg.escrow)
        self._limits = OpenWorkExempt(self.holding)
        self.shares = FairShares(parts.incarnation, self.cfg.shares)
        self.book = WorkerRegistry(parts.zone, parts.rng, cfg=self.cfg.workers)
        self.desk = RequestDesk(
            limits=self._limits,
            shares=self.shares,
            rng=parts.rng,
            workers=self.book,
            cfg=self.cfg.desk,
            leases=LeaseTracker(self.cfg.leases),
            attempt_prefix=f"{parts.entry}.{parts.incarnation}",
        )
        self.refused_grants = 0
        self._report_due_ms = 0
        self._frame_due_ms = 0
        self._look_again_ms: int | None = None
        self._leaving: frozenset[HostId] = frozenset()

    def handle(self, message: ServingMessage, now_ms: Millis) -> list[ServingEffect]:
        """Takes one message.

        Args:
            message: What happened.
            now_ms: Now, on the entry's monotonic clock; it never goes back.
        """
        effects: list[ServingEffect] = []
        for effect in self._take(message, now_ms):
            effects.extend(self._checked(effect, now_ms))
        if isinstance(message, Tick):
            effects.extend(self._periodic(now_ms))
        return effects

    def next_wake_ms(self) -> int:
        """Returns when the next ``Tick`` is due."""
        times = [self._report_due_ms, self._frame_due_ms]
        desk_ms = self.desk.next_wake_ms()
        if desk_ms is not None:
            times.append(desk_ms)
        if self._look_again_ms is not None:
            times.append(self._look_again_ms)
        return min(times)

    def _take(self, message: ServingMessage, now_ms: Millis) -> list[DeskEffect]:
        match message:
            case ConfigurationInForce():
                self._apply_terms(message, now_ms)
            case HostsListed(by_pool=by_pool):
                effects = self.desk.update_hosts(by_pool, now_ms)
                for pool in by_pool:
                    self.shares.set_pool_slots(pool, self.book.total_slots(pool))
                return effects
            case TermFollowed(term=term):
                self.holding.follow(term)
                self._report_due_ms = now_ms
            case GrantArrived(grant=grant):
                verdict = self.holding.apply(grant, now_ms)
                self.refused_grants += verdict is not GrantVerdict.APPLIED
                return self.desk.reconsider(now_ms)
            case UsageArrived(frame=frame):
                self.shares.merge(frame, now_ms)
            case SourceEnded(source=source):
                self.shares.remove_source(source, now_ms)
            case HostsReported(leaving=leaving):
                self._note_leaving(leaving, now_ms)
            case ZoneShared(stripe=stripe):
                self.book.set_stripe(stripe, now_ms)
            case LeaveBegun():
                self.holding.leave()
                self._report_due_ms = now_ms
            case _:
                return self.desk.handle(message, now_ms)
        return []

    def _apply_terms(self, message: ConfigurationInForce, now_ms: Millis) -> None:
        limits = {team: terms.limit for team, terms in message.teams.items()}
        self.holding.set_limits(message.revision, limits, now_ms)
        weights = {team: terms.share for team, terms in message.teams.items()}
        self.shares.set_weights(weights)

    def _periodic(self, now_ms: Millis) -> list[ServingEffect]:
        effects: list[ServingEffect] = []
        if self._look_again_ms is not None and now_ms >= self._look_again_ms:
            effects.extend(self.desk.reconsider(now_ms))
        waiting = self.desk.waiting_teams()
        held_back = any(self.book.available_slots(pool) > 0 for pool in waiting)
        self._look_again_ms = now_ms + self.cfg.hold_back_ms if held_back else None
        if now_ms >= self._report_due_ms:
            self._report_due_ms = now_ms + self.cfg.escrow.urgent_report_ms
            effects.extend(self._report(now_ms))
            effects.extend(self._host_news())
        if now_ms >= self._frame_due_ms:
            self._frame_due_ms = now_ms + self.cfg.shares.period_ms
            effects.append(SendUsage(self.shares.frame(waiting, now_ms)))
        return effects

    def _host_news(self) -> list[ServingEffect]:
        leaving = frozenset(self.book.leaving_hosts())
        fresh = leaving - self._leaving
        self._leaving = leaving
        return [SendHostNews(tuple(sorted(fresh)))] if fresh else []

    def _note_leaving(self, hosts: tuple[HostId, ...], now_ms: Millis) -> None:
        """Believes another entry; what it said is not told any further."""
        for host in hosts:
            worker = self.book.worker(host)
            if worker is not None and not worker.is_reported_leaving:
                self.book.record_leaving(worker, now_ms)
        self._leaving |= frozenset(hosts)

    def _report(self, now_ms: Millis) -> list[ServingEffect]:
        for team, waiting in self.desk.demand().items():
            self._limits.note_demand(team, waiting, now_ms)
        if not self.holding.is_report_due(now_ms):
            return []
        return [SendReport(self.holding.report(now_ms))]

    def _checked(self, effect: DeskEffect, now_ms: Millis) -> list[ServingEffect]:
        """Keeps leases from being renewed that no unit covers any more."""
        if not isinstance(effect, RenewLeases):
            return [effect]
        uncovered = self._uncovered(now_ms)
        if not uncovered:
            return [effect]
        kept = tuple(item for item in effect.attempt_ids if item not in uncovered)
        stopped = [item for item in effect.attempt_ids if item in uncovered]
        effects: list[ServingEffect] = [StopTask(item, effect.host) for item in stopped]
        if kept:
            effects.append(RenewLeases(effect.host, kept, effect.ttl_ms))
        return effects

    def _uncovered(self, now_ms: Millis) -> set[AttemptId]:
        """Returns the attempts whose teams have more running than may go on."""
        uncovered: set[AttemptId] = set()
        for team, attempts in self.desk.attempts_by_team().items():
            if team == OPEN_TEAM:
                continue
            excess = len(attempts) - self.holding.renewable(team, now_ms)
            if excess > 0:
                uncovered.update(attempts[-excess:])
        return uncovered
