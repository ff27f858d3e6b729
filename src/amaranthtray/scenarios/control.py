"""Runs the real control plane of an entry on the simulated platform and links."""

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
    """The control plane of one incarnation of an entry."""

    def __init__(self, world: World, entry: VirtualEntry) -> None:
        self.world = world
        self.entry = entry
        self.store = world.store_of(entry.name)
        self.listed: list[Host] = []
        self.view = ConfigView(self.apply, clock=lambda: world.now_ms)
        read_back = ReadBackStore(self.store)
        rules = configuration_rules(lambda: self.listed)
        self.log = ConfigLog(read_back, entry=entry.name, rules=rules)
        self._log_watcher = ConfigLogWatcher(self.log, read_back)
        self._last_hosts: tuple[Revision, list[Host]] | None = None
        self._members = PrefixWatch(self.store, MEMBER_PREFIX)
        self._ledger = PrefixWatch(self.store, LEDGER_PREFIX)
        self._takeovers = 0
        self._is_wake_scheduled = False
        self._control = ControlPlane(
            ControlContext(
                member=Member(entry.name, entry.zone, entry.incarnation, entry.name, 1),
                view=self.view,
                links=entry.links,
                serving=self,
                store=read_back,
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
        """Returns the time since the configuration was last confirmed as current."""
        return self.view.age_ms

    def put(self, message: ControlInput) -> None:
        """Queues an input and schedules a step of the control plane."""
        self._control.put(message)
        if not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            self.world.clock.after(WAKE_MS, lambda: self.entry.run(self._wake))

    def _wake(self) -> None:
        self._is_wake_scheduled = False
        self._follow_ledger()
        self._control.step()

    def request_link(self, entry: VirtualEntry) -> None:
        """Requests a link to an entry, as forwarding a request does."""
        self._control.request_link(entry.name)

    def post(self, message: ServingMessage) -> None:
        """Passes a message to the data plane."""
        self.entry.handle(message)

    def apply(self, cfg: Configuration) -> None:
        """Puts a configuration in force."""
        entry = self.entry
        now_ms = self.world.now_ms
        self.world.observer.record_applied(
            ConfigApplied(now_ms, entry.name, entry.incarnation, cfg.revision)
        )
        teams = {
            name: TeamQuota(team.share, team.limit) for name, team in cfg.teams.items()
        }
        zones = tuple(sorted(cfg.evacuations))
        entry.handle(ConfigurationInForce(cfg.revision, teams, zones))
        self._update_hosts(cfg)

    def may_leave(self) -> bool:
        """Returns whether no other entry of the zone still needs this one."""
        return self._control.may_leave()

    def stop(self) -> None:
        """Releases the duty and the registration."""
        self._control.leave()

    def _step(self) -> None:
        if not self.entry.is_alive:
            return
        if not self.entry.is_paused:
            self.entry.run(self._follow_and_step)
        self.world.clock.after(STEP_MS, self._step)

    def _follow_and_step(self) -> None:
        self._follow_configuration()
        if self.world.can_use_platform(self.entry):
            self.listed = self.world.listed_hosts()
        self._update_hosts(self.cfg)
        self._follow_members()
        self._follow_ledger()
        self._control.step()
        self.entry.conductors.step()

    def _follow_configuration(self) -> None:
        """Reads the log; applies it after the time of one call, two for a snapshot."""
        called_ms = self.world.now_ms
        match self._log_watcher.poll(timeout_ms=0):
            case Success(updates):
                calls = 1 if updates.snapshot is None else 2
                apply = partial(self._apply_updates, updates, called_ms)
                delay_ms = calls * self.world.store_call_ms
                self.world.clock.after(delay_ms, lambda: self.entry.run(apply))

    def _apply_updates(self, updates: LogUpdates, called_ms: int) -> None:
        if updates.snapshot is not None:
            self.view.offer_snapshot(updates.snapshot)
        self.view.offer_records(updates.records)
        if self.view.missing_after() is not None:
            self._log_watcher.reset()
        self.view.confirm(called_ms)

    def _follow_members(self) -> None:
        if self._members.needs_read:
            at_version = self._control.read_members()
            if at_version is not None:
                self._members.begin(at_version)
        events = self._members.poll(0)
        if events:
            self._control.handle_watch_events(MEMBER_PREFIX, events)

    def _follow_ledger(self) -> None:
        stewardship = self._control.stewardship
        if not stewardship.is_active:
            self._ledger.reset()
            return
        if self._takeovers != stewardship.takeovers:
            self._takeovers = stewardship.takeovers
            self._ledger.begin(stewardship.at_version)
        events = self._ledger.poll(0)
        if events:
            self._control.handle_watch_events(LEDGER_PREFIX, events)

    def _update_hosts(self, cfg: Configuration) -> None:
        hosts = (cfg.revision, self.listed)
        if cfg.revision == 0 or hosts == self._last_hosts:
            return
        self._last_hosts = hosts
        pools = dict.fromkeys(cfg.pools, ()) | dict(by_pool(cfg, self.listed))
        self.world.observer.observe_placement(pools)
        self.entry.handle(HostsListed(pools))
