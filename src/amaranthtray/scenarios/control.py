"""The control part of a virtual entry: the real one with stand-ins around it."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.ids import Millis
from ..domain.invariants import ConfigApplied
from ..domain.limits.ledger import LEDGER_PREFIX
from ..domain.serving import ConfigurationInForce, HostsListed
from ..domain.serving.messages import TeamQuota
from ..entry.config_view import ConfigView
from ..entry.control import ControlContext, ControlPlane
from ..entry.control.watches import PrefixWatch
from ..entry.host_list import by_pool
from ..entry.rules import configuration_rules
from ..peers.messages import Member
from ..store.config_log import ConfigLog, ConfigLogWatcher
from ..store.read_back import ReadBackStore
from ..store.registry import PREFIX as MEMBER_PREFIX

if TYPE_CHECKING:
    from ..domain.configuration import Configuration
    from ..domain.ids import Revision
    from ..domain.inventory import Host
    from ..domain.serving import ServingMessage
    from ..entry.control.control import ControlInput
    from ..store.config_log import LogUpdates
    from .entry import VirtualEntry
    from .world import World

STEP_MS = 100
WAKE_MS = 1


class VirtualControl:
    """Everything that one run of an entry does besides serving requests."""

    def __init__(self, world: World, entry: VirtualEntry) -> None:
        self.world = world
        self.entry = entry
        self.store = world.store_of(entry.name)
        self.listed: list[Host] = []
        self.view = ConfigView(self.apply, clock=lambda: world.now_ms)
        settled = ReadBackStore(self.store)
        rules = configuration_rules(lambda: self.listed)
        self.log = ConfigLog(settled, entry=entry.name, rules=rules)
        self._feed = ConfigLogWatcher(self.log, settled)
        self._shown: tuple[Revision, list[Host]] | None = None
        self._members = PrefixWatch(self.store, MEMBER_PREFIX)
        self._ledger = PrefixWatch(self.store, LEDGER_PREFIX)
        self._takeovers = 0
        self._is_woken = False
        self._part = ControlPlane(
            ControlContext(
                member=Member(entry.name, entry.zone, entry.incarnation, entry.name, 1),
                view=self.view,
                links=entry.links,
                serving=self,
                store=settled,
                raw_store=self.store,
                clock=lambda: Millis(world.now_ms),
                rng=entry.rng,
                settings=entry.serving.cfg,
            )
        )
        world.clock.after(1, self._step)

    @property
    def cfg(self) -> Configuration:
        """Returns the configuration in force."""
        return self.view.current

    @property
    def config_age_ms(self) -> int:
        """Returns how long the configuration has not been confirmed."""
        return self.view.age_ms

    def put(self, message: ControlInput) -> None:
        """Queues an input and wakes the control part, as its task does."""
        self._part.put(message)
        if not self._is_woken:
            self._is_woken = True
            self.world.clock.after(WAKE_MS, lambda: self.entry.run(self._wake))

    def _wake(self) -> None:
        self._is_woken = False
        self._follow_ledger()
        self._part.step()

    def request_link(self, entry: VirtualEntry) -> None:
        """Asks for a link, as for a forwarded request."""
        self._part.request_link(entry.name)

    def post(self, message: ServingMessage) -> None:
        """Hands a message over to the serving part."""
        self.entry.handle(message)

    def apply(self, cfg: Configuration) -> None:
        """Puts a configuration in force."""
        entry = self.entry
        now_ms = self.world.now_ms
        self.world.observer.applied(
            ConfigApplied(now_ms, entry.name, entry.incarnation, cfg.revision)
        )
        teams = {
            name: TeamQuota(team.share, team.limit) for name, team in cfg.teams.items()
        }
        entry.handle(ConfigurationInForce(cfg.revision, teams))
        self._show_hosts(cfg)

    def may_leave(self) -> bool:
        """Returns whether nobody in the zone needs this entry any more."""
        return self._part.may_leave()

    def stop(self) -> None:
        """Gives duty and registration back."""
        self._part.leave()

    def _step(self) -> None:
        if not self.entry.is_alive:
            return
        if not self.entry.is_paused:
            self.entry.run(self._work)
        self.world.clock.after(STEP_MS, self._step)

    def _work(self) -> None:
        self._follow_configuration()
        if self.world.reads_platform(self.entry):
            self.listed = self.world.listed()
        self._show_hosts(self.cfg)
        self._follow_members()
        self._follow_ledger()
        self._part.step()
        self.entry.conducting.step()

    def _follow_configuration(self) -> None:
        """Reads now and hears of it after the calls' time; a first read takes two."""
        asked_ms = self.world.now_ms
        match self._feed.poll(timeout_ms=0):
            case Success(news):
                calls = 1 if news.snapshot is None else 2
                hear = partial(self._hear, news, asked_ms)
                delay_ms = calls * self.world.store_call_ms
                self.world.clock.after(delay_ms, lambda: self.entry.run(hear))

    def _hear(self, news: LogUpdates, asked_ms: int) -> None:
        if news.snapshot is not None:
            self.view.offer_snapshot(news.snapshot)
        self.view.offer_records(news.records)
        if self.view.missing_after() is not None:
            self._feed.reset()
        self.view.confirm(asked_ms)

    def _follow_members(self) -> None:
        if self._members.needs_read:
            at_version = self._part.read_members()
            if at_version is not None:
                self._members.begin(at_version)
        events = self._members.poll(0)
        if events:
            self._part.handle_watch_events(MEMBER_PREFIX, events)

    def _follow_ledger(self) -> None:
        stewardship = self._part.stewardship
        if not stewardship.is_active:
            self._ledger.reset()
            return
        if self._takeovers != stewardship.takeovers:
            self._takeovers = stewardship.takeovers
            self._ledger.begin(stewardship.at_version)
        events = self._ledger.poll(0)
        if events:
            self._part.handle_watch_events(LEDGER_PREFIX, events)

    def _show_hosts(self, cfg: Configuration) -> None:
        shown = (cfg.revision, self.listed)
        if cfg.revision == 0 or shown == self._shown:
            return
        self._shown = shown
        pools = dict.fromkeys(cfg.pools, ()) | dict(by_pool(cfg, self.listed))
        self.world.observer.placed(pools)
        self.entry.handle(HostsListed(pools))
