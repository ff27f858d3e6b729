"""The state machine by which an entry serves requests.

It combines the dispatch of requests, the units of upper limits and the fair shares.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ..limits.entry_units import EntryUnits
from ..limits.messages import GrantResult
from ..requests.dispatcher import RequestDispatcher
from ..requests.messages import RenewLeases, StopTask, Tick
from ..requests.model import OPEN_TEAM
from ..shares.fair_shares import FairShares
from ..workers.leases import LeaseTracker
from ..workers.registry import WorkerRegistry
from ._open_work import OpenWorkExemptLimits
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
    from ..requests.messages import DispatcherEffect
    from .messages import ServingEffect, ServingMessage


class ServingContext(NamedTuple):
    """The entry that serves, and its source of randomness.

    Attributes:
        incarnation: This incarnation of the entry.
        rng: Source of randomness for selection and jitter.
    """

    entry: EntryId
    incarnation: Incarnation
    zone: ZoneId
    rng: random.Random


class Serving:
    """Handles one message at a time and returns the effects to carry out, in order.

    Args:
        context: The entry that serves.
        cfg: Settings of all parts.
    """

    def __init__(
        self, context: ServingContext, cfg: ServingSettings | None = None
    ) -> None:
        self.cfg = cfg or ServingSettings()
        self.units = EntryUnits(context.incarnation, self.cfg.escrow)
        self._limits = OpenWorkExemptLimits(self.units)
        self.shares = FairShares(context.incarnation, self.cfg.shares)
        self.workers = WorkerRegistry(context.zone, context.rng, cfg=self.cfg.workers)
        self.dispatcher = RequestDispatcher(
            limits=self._limits,
            shares=self.shares,
            rng=context.rng,
            workers=self.workers,
            cfg=self.cfg.desk,
            leases=LeaseTracker(self.cfg.leases),
            attempt_prefix=f"{context.entry}.{context.incarnation}",
        )
        self.refused_grants = 0
        self._report_due_ms = 0
        self._frame_due_ms = 0
        self._recheck_ms: int | None = None
        self._announced_leaving: frozenset[HostId] = frozenset()

    def handle(self, message: ServingMessage, now_ms: Millis) -> list[ServingEffect]:
        """Handles one message and returns its effects.

        Args:
            message: What happened.
            now_ms: Current time on the entry's monotonic clock; never decreases.
        """
        effects: list[ServingEffect] = []
        for effect in self._apply(message, now_ms):
            effects.extend(self._filter_renewals(effect, now_ms))
        if isinstance(message, Tick):
            effects.extend(self._periodic(now_ms))
        return effects

    def next_wake_ms(self) -> int:
        """Returns when the next ``Tick`` is due."""
        times = [self._report_due_ms, self._frame_due_ms]
        dispatch_ms = self.dispatcher.next_wake_ms()
        if dispatch_ms is not None:
            times.append(dispatch_ms)
        if self._recheck_ms is not None:
            times.append(self._recheck_ms)
        return min(times)

    def _apply(self, message: ServingMessage, now_ms: Millis) -> list[DispatcherEffect]:
        match message:
            case ConfigurationInForce():
                return self._apply_configuration(message, now_ms)
            case HostsListed(by_pool=by_pool):
                effects = self.dispatcher.update_hosts(by_pool, now_ms)
                for pool in by_pool:
                    self.shares.set_pool_slots(pool, self.workers.total_slots(pool))
                return effects
            case TermFollowed(term=term):
                self.units.follow(term)
                self._report_due_ms = now_ms
            case GrantArrived(grant=grant):
                result = self.units.apply(grant, now_ms)
                self.refused_grants += result is not GrantResult.APPLIED
                return self.dispatcher.redispatch(now_ms)
            case UsageArrived(frame=frame):
                self.shares.merge(frame, now_ms)
            case SourceEnded(source=source):
                self.shares.remove_source(source, now_ms)
            case HostsReported(leaving=leaving):
                self._apply_reported_leaving(leaving, now_ms)
            case ZoneShared(stripe=stripe):
                self.workers.set_stripe(stripe, now_ms)
            case LeaveBegun():
                self.units.leave()
                self._report_due_ms = now_ms
            case _:
                return self.dispatcher.handle(message, now_ms)
        return []

    def _apply_configuration(
        self, message: ConfigurationInForce, now_ms: Millis
    ) -> list[DispatcherEffect]:
        limits = {team: quota.limit for team, quota in message.teams.items()}
        self.units.set_limits(message.revision, limits, now_ms)
        weights = {team: quota.share for team, quota in message.teams.items()}
        self.shares.set_weights(weights)
        zones = frozenset(message.evacuated_zones)
        if not self.workers.set_evacuated_zones(zones, now_ms):
            return []
        for pool in self.workers.pools:
            self.shares.set_pool_slots(pool, self.workers.total_slots(pool))
        return self.dispatcher.redispatch(now_ms)

    def _periodic(self, now_ms: Millis) -> list[ServingEffect]:
        effects: list[ServingEffect] = []
        if self._recheck_ms is not None and now_ms >= self._recheck_ms:
            effects.extend(self.dispatcher.redispatch(now_ms))
        waiting = self.dispatcher.waiting_teams()
        held_back = any(self.workers.available_slots(pool) > 0 for pool in waiting)
        self._recheck_ms = now_ms + self.cfg.hold_back_ms if held_back else None
        if now_ms >= self._report_due_ms:
            self._report_due_ms = now_ms + self.cfg.escrow.urgent_report_ms
            effects.extend(self._report_units(now_ms))
            effects.extend(self._leaving_updates())
        if now_ms >= self._frame_due_ms:
            self._frame_due_ms = now_ms + self.cfg.shares.period_ms
            effects.append(SendUsage(self.shares.frame(waiting, now_ms)))
        return effects

    def _leaving_updates(self) -> list[ServingEffect]:
        leaving = frozenset(self.workers.leaving_hosts())
        new = leaving - self._announced_leaving
        self._announced_leaving = leaving
        return [SendHostNews(tuple(sorted(new)))] if new else []

    def _apply_reported_leaving(
        self, hosts: tuple[HostId, ...], now_ms: Millis
    ) -> None:
        """Applies another entry's report of leaving hosts; does not forward it."""
        for host in hosts:
            worker = self.workers.worker(host)
            if worker is not None and not worker.is_reported_leaving:
                self.workers.record_leaving(worker, now_ms)
        self._announced_leaving |= frozenset(hosts)

    def _report_units(self, now_ms: Millis) -> list[ServingEffect]:
        for team, waiting in self.dispatcher.demand().items():
            self._limits.record_demand(team, waiting, now_ms)
        if not self.units.is_report_due(now_ms):
            return []
        return [SendReport(self.units.report(now_ms))]

    def _filter_renewals(
        self, effect: DispatcherEffect, now_ms: Millis
    ) -> list[ServingEffect]:
        """Stops tasks that no unit covers any more instead of renewing their leases."""
        if not isinstance(effect, RenewLeases):
            return [effect]
        uncovered = self._uncovered_attempts(now_ms)
        if not uncovered:
            return [effect]
        kept = tuple(
            attempt_id
            for attempt_id in effect.attempt_ids
            if attempt_id not in uncovered
        )
        stopped = [
            attempt_id for attempt_id in effect.attempt_ids if attempt_id in uncovered
        ]
        effects: list[ServingEffect] = [
            StopTask(attempt_id, effect.host) for attempt_id in stopped
        ]
        if kept:
            effects.append(RenewLeases(effect.host, kept, effect.ttl_ms))
        return effects

    def _uncovered_attempts(self, now_ms: Millis) -> set[AttemptId]:
        """Returns the newest attempts of teams that run more than they may renew."""
        uncovered: set[AttemptId] = set()
        for team, attempts in self.dispatcher.attempts_by_team().items():
            if team == OPEN_TEAM:
                continue
            excess = len(attempts) - self.units.renewable(team, now_ms)
            if excess > 0:
                uncovered.update(attempts[-excess:])
        return uncovered
