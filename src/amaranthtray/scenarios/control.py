"""What a virtual entry does besides requests: configuration, duty, units, hosts."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.configuration.follower import ConfigFollower
from ..domain.ids import Millis, PoolName
from ..domain.invariants import ConfigApplied
from ..domain.limits.ledger import LEDGER_PREFIX
from ..domain.serving import (
    ConfigurationInForce,
    GrantArrived,
    HostsListed,
    TermFollowed,
)
from ..domain.serving.messages import TeamTerms
from ..entry.host_list import by_pool
from ..entry.limits_runner import LimitsRunner
from ..entry.rules import configuration_rules
from ..platform.config_log import ConfigFeed, ConfigLog
from .duty import Duty, DutyNews

if TYPE_CHECKING:
    from ..domain.configuration import Configuration
    from ..domain.configuration.follower import CatchUp, InForce
    from ..domain.ids import Revision, Term
    from ..domain.inventory import Host
    from ..domain.limits.messages import UnitsReport
    from ..domain.serving.messages import UsageArrived
    from .entry import VirtualEntry
    from .world import World

STEP_MS = 200
DUTY_PREFIX = "duty/steward/"


class Control:
    """The control side of one run of an entry."""

    def __init__(self, world: World, entry: VirtualEntry) -> None:
        self.world = world
        self.entry = entry
        self.store = world.store_of(entry.name)
        rules = configuration_rules(lambda: self.listed)
        self.log = ConfigLog(self.store, entry=entry.name, rules=rules)
        self._feed = ConfigFeed(self.log, self.store)
        self._follower = ConfigFollower()
        self._confirmed_ms = world.now_ms
        self.listed: list[Host] = []
        self._shown: tuple[Revision, list[Host]] | None = None
        self._duty = Duty(self.store, DUTY_PREFIX + entry.zone, entry.incarnation)
        self._steward: VirtualEntry | None = None
        escrow = entry.serving.cfg.escrow
        self.runner = LimitsRunner(
            entry.zone, entry.incarnation, escrow, self.store, self._now
        )
        world.clock.after(1, self._step)

    @property
    def cfg(self) -> Configuration:
        """Returns the configuration in force."""
        return self._follower.cfg

    @property
    def config_age_ms(self) -> int:
        """Returns how long the configuration has not been confirmed."""
        return self.world.now_ms - self._confirmed_ms

    def _now(self) -> Millis:
        return Millis(self.world.now_ms)

    def _step(self) -> None:
        entry = self.entry
        if not entry.is_alive:
            return
        if not entry.is_paused:
            entry.run(self._work)
        delay_ms = STEP_MS + self.world.store_call_ms
        self.world.clock.after(delay_ms, self._step)

    def _work(self) -> None:
        asked_ms = self.world.now_ms
        match self._feed.poll(timeout_ms=0):
            case Success(news):
                if news.snapshot is not None:
                    self.offer(self._follower.offer_snapshot(news.snapshot))
                self.offer(self._follower.offer_records(news.records))
                self._confirmed_ms = max(asked_ms, self._confirmed_ms)
        if self.world.reads_platform(self.entry):
            self.listed = self.world.listed()
        self._show_hosts()
        self._ask_peers()
        self._hold_duty()
        self._work_as_steward()
        self.entry.conducting.step()

    # -- configuration ----------------------------------------------------------

    def offer(self, change: InForce) -> None:
        """Puts what changed in force."""
        if not change.has_changed:
            return
        cfg, now_ms = self.cfg, self.world.now_ms
        entry = self.entry
        seen = ConfigApplied(now_ms, entry.name, entry.incarnation, cfg.revision)
        self.world.applied(seen)
        teams = {
            name: TeamTerms(team.share, team.limit) for name, team in cfg.teams.items()
        }
        entry.handle(ConfigurationInForce(cfg.revision, teams))
        self._set_limits()
        self._show_hosts()

    def offer_snapshot(self, cfg: Configuration) -> None:
        """Takes a whole configuration, as after an own commit."""
        self.offer(self._follower.offer_snapshot(cfg))

    def offer_quietly(self, cfg: Configuration) -> None:
        """Takes a configuration that nobody is to hear of, as at the set-up."""
        self._follower.offer_snapshot(cfg)

    def _set_limits(self) -> None:
        limits = {name: team.limit for name, team in self.cfg.teams.items()}
        self.runner.set_limits(self.cfg.revision, limits)

    def _ask_peers(self) -> None:
        after = self.cfg.revision
        for peer in self.world.peers(self.entry):
            self.world.send(
                self.entry,
                peer,
                partial(peer.control.tell, self.entry, after),
            )

    def tell(self, asker: VirtualEntry, after: Revision) -> None:
        """Answers a peer with what it lacks, and how fresh that is."""
        found = self._follower.catch_up(after)
        confirmed_ms = self._confirmed_ms
        self.world.send(
            self.entry,
            asker,
            lambda: asker.control.hear(found, confirmed_ms),
        )

    def hear(self, found: CatchUp, confirmed_ms: int) -> None:
        """Takes what a peer knows."""
        if found.snapshot is not None:
            self.offer(self._follower.offer_snapshot(found.snapshot))
        self.offer(self._follower.offer_records(found.records))
        self._confirmed_ms = max(confirmed_ms, self._confirmed_ms)

    def _show_hosts(self) -> None:
        shown = (self.cfg.revision, self.listed)
        if self.cfg.revision == 0 or shown == self._shown:
            return
        self._shown = shown
        pools = by_pool(self.cfg, self.listed)
        everything = {name: pools.get(name, ()) for name in (*self.cfg.pools, *pools)}
        self.world.placed(everything)
        self.entry.handle(HostsListed({PoolName(k): v for k, v in everything.items()}))

    # -- duty and units ---------------------------------------------------------

    def _hold_duty(self) -> None:
        news = self._duty.step(self.world.now_ms)
        match news:
            case DutyNews.GAINED if self.runner.is_active:
                self.runner.extend(Millis(self._duty.until_ms))
            case DutyNews.GAINED:
                if self.runner.begin() is not None:
                    self._duty.give_up()
                    return
                self._set_limits()
                self.runner.extend(Millis(self._duty.until_ms))
            case DutyNews.RENEWED:
                self.runner.extend(Millis(self._duty.until_ms))

    def _work_as_steward(self) -> None:
        if not self.runner.is_active:
            return
        watched = self.store.watch(
            LEDGER_PREFIX, after_version=self.runner.at_version, timeout_ms=0
        )
        if isinstance(watched, Success):
            self.runner.watched(watched.unwrap().events)
        self.runner.tick()
        term = self.runner.term
        if term is None:
            return
        for peer in (self.entry, *self.world.peers(self.entry)):
            if peer.zone == self.entry.zone:
                self.world.send(
                    self.entry,
                    peer,
                    partial(peer.control.follow, self.entry, term),
                )

    def follow(self, steward: VirtualEntry, term: Term) -> None:
        """Reports to the steward of this term from now on."""
        holding = self.entry.serving.holding
        if term < holding.term or (steward is self._steward and term == holding.term):
            return
        self._steward = steward
        self.entry.handle(TermFollowed(term))

    def send_report(self, report: UnitsReport) -> None:
        """Sends what this entry uses and wants to its steward."""
        steward = self._steward
        if steward is not None:
            self.world.send(
                self.entry,
                steward,
                lambda: steward.control.take_report(self.entry, report),
            )

    def take_report(self, sender: VirtualEntry, report: UnitsReport) -> None:
        """Answers a report as steward."""
        grant = self.runner.report(report)
        if grant is not None:
            arrived = GrantArrived(grant)
            self.world.send(self.entry, sender, lambda: sender.handle(arrived))

    def send_usage(self, usage: UsageArrived) -> None:
        """Sends usage sums to all other entries."""
        for peer in self.world.peers(self.entry):
            self.world.send(self.entry, peer, partial(peer.handle, usage))

    def stop(self) -> None:
        """Gives the duty up."""
        self.runner.end()
        self._duty.give_up()
