"""The control plane of an entry: peers, steward duty, team limits, usage sums."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from returns.result import Success

from ...domain.ids import EntryId, HostId, Millis, Revision, Term
from ...domain.limits.ledger import LEDGER_PREFIX
from ...domain.limits.messages import UnitsGrant, UnitsReport
from ...domain.serving import (
    GrantArrived,
    HostsReported,
    SendHostNews,
    SendReport,
    SendUsage,
    ServingSettings,
    SourceEnded,
    TermFollowed,
    ZoneShared,
)
from ...domain.shares import UsageFrame
from ...domain.workers.selection import Stripe
from ...peers.control import ConfigUpdated, Deliver, PeerControl
from ...peers.events import CloseLink, Dial, LinkUp, PeerAddress, PeerEvent, Send
from ...peers.messages import HostNews, Member, MemberList
from ...store.contract import Store
from ...store.registry import PREFIX as MEMBER_PREFIX
from ...store.registry import EntryRegistry
from ..config_view import ConfigView
from .ports import Links, ServingPort
from .stewardship import Stewardship
from .usage_exchange import UsageExchange
from .zone_revisions import ZoneRevisions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...peers.control import ControlCommand
    from ...store.contract import WatchEvent

RELAY_INTERVAL_MS = 1_000
LINK_GRACE_MS = 500
"""Time after the start for links to come up before a free duty is acquired."""

PLATFORM_TIMEOUT_MS = 12_000
"""Time since the platform's last confirmation after which it is unavailable."""

ControlInput: TypeAlias = PeerEvent | SendReport | SendUsage | SendHostNews


@dataclass(frozen=True, slots=True)
class ControlContext:
    """The environment of the control plane: store, configuration, links and clock.

    Attributes:
        member: The registration of this entry.
        store: A store that resolves lost replies by reading back.
        raw_store: The same store without that, for duties and the ledger.
        clock: Monotonic clock in milliseconds.
        rng: Random source of jitter.
        seeds: Peers to contact while the platform lists none, as during an outage.
    """

    member: Member
    view: ConfigView
    links: Links
    serving: ServingPort
    store: Store
    raw_store: Store
    clock: Callable[[], Millis]
    rng: random.Random
    settings: ServingSettings
    seeds: tuple[PeerAddress, ...] = ()


class ControlPlane:
    """Connects an entry with its peers, and acts as zone steward when it has the duty.

    One thread owns it and calls ``step`` about every 100 ms and on input.

    Args:
        context: The environment of the control plane.
    """

    def __init__(self, context: ControlContext) -> None:
        own = context.member
        self.peers = PeerControl(
            own, follower=context.view.follower, rng=context.rng, seeds=context.seeds
        )
        self.zone_revisions = ZoneRevisions()
        self.stewardship = Stewardship(
            own.entry,
            own.incarnation,
            own.zone,
            store=context.raw_store,
            clock=context.clock,
            rng=context.rng,
            timing=context.settings.escrow,
        )
        self.refused = 0
        self.is_leaving = False
        self._context = context
        self._own = own
        self._registry = EntryRegistry(own, store=context.store, clock=context.clock)
        self._usage = UsageExchange(
            own,
            self.peers,
            context.links,
            context.serving,
            fresh_ms=context.settings.shares.fresh_ms,
        )
        self._inputs: deque[ControlInput] = deque()
        self._requested_links: deque[EntryId] = deque()
        self._followed_term = Term(0)
        self._stripe: Stripe | None = None
        self._published = context.view.revision
        self._relay_due_ms = 0
        self._started_ms = context.clock()

    # -- from any thread ---------------------------------------------------------

    def put(self, message: ControlInput) -> None:
        """Queues an input for the next step."""
        self._inputs.append(message)

    def request_link(self, entry: EntryId) -> None:
        """Requests a link to an entry of any zone, for a forwarded request."""
        self._requested_links.append(entry)

    # -- the owner's thread ------------------------------------------------------

    def handle_watch_events(self, prefix: str, events: list[WatchEvent]) -> None:
        """Applies changes that a store watch reported."""
        if prefix == MEMBER_PREFIX:
            self.read_members()
        elif prefix == LEDGER_PREFIX:
            self.stewardship.handle_watch_events(events)

    def read_members(self) -> int | None:
        """Reads the registered entries; returns the store version, None on failure."""
        listed = self._registry.members()
        if not isinstance(listed, Success):
            return None
        members: MemberList = listed.unwrap()
        self._end_replaced_incarnations(members)
        self._carry_out(self.peers.update_members(members))
        self._context.links.admit(self.peers.admission)
        self._update_stripe()
        return members.at_version

    def step(self) -> None:
        """Handles the queued inputs and does the periodic work that is due."""
        while self._requested_links:
            self.peers.members.request_link(
                self._requested_links.popleft(), self._context.clock()
            )
        while self._inputs:
            self._handle_input(self._inputs.popleft())
        if not self.is_leaving:
            self._registry.run()
        now_ms = self._context.clock()
        self._update_platform_age(now_ms)
        self._run_stewardship(now_ms)
        self._follow_steward(now_ms)
        with self._context.view.exclusive():
            commands = self._publish_records(now_ms)
            commands += self.peers.tick(now_ms)
        self._carry_out(commands)
        self.zone_revisions.update(self.peers.rollout(Revision(0), now_ms))

    def may_leave(self) -> bool:
        """Returns whether the zone's steward can go on without this entry.

        While the store is unavailable no other entry can acquire the duty, and a
        steward whose lease has expired goes on only while a majority of its zone
        follows it. Safe to call from any thread.
        """
        return not self._other_entries() or isinstance(
            self._registry.members(), Success
        )

    def leave(self) -> None:
        """Releases the steward duty and the registration."""
        self.is_leaving = True
        self.stewardship.release()
        self._registry.leave()

    # -- inputs ------------------------------------------------------------------

    def _handle_input(self, message: ControlInput) -> None:
        now_ms = self._context.clock()
        match message:
            case SendReport(report=report):
                self._send_report(report, now_ms)
            case SendUsage(frame=frame):
                self._usage.send(frame, now_ms)
            case SendHostNews(leaving=leaving):
                update = HostNews(leaving=leaving)
                self._carry_out(self.peers.broadcast_news(update, now_ms))
            case LinkUp():
                self._end_previous_incarnation(message)
                self._handle_peer_event(message, now_ms)
            case _:
                self._handle_peer_event(message, now_ms)

    def _handle_peer_event(self, event: PeerEvent, now_ms: int) -> None:
        with self._context.view.exclusive():
            commands = self.peers.handle(event, now_ms)
        self._carry_out(commands)

    def _end_previous_incarnation(self, event: LinkUp) -> None:
        previous = self.peers.members.links.get(event.entry)
        if previous is not None and previous.incarnation != event.incarnation:
            self._usage.remove_source(previous.incarnation)
            self.stewardship.mark_incarnation_ended(previous.incarnation)
            self._context.serving.post(SourceEnded(previous.incarnation))

    def _update_stripe(self) -> None:
        """Sends the serving part this entry's place among the entries of its zone."""
        members = self.peers.members.members.values()
        zone_entries = {
            member.entry for member in members if member.zone == self._own.zone
        }
        entries = sorted(zone_entries | {self._own.entry})
        stripe = Stripe(entries.index(self._own.entry), len(entries))
        if stripe != self._stripe:
            self._stripe = stripe
            self._context.serving.post(ZoneShared(stripe))

    def _end_replaced_incarnations(self, listed: MemberList) -> None:
        """Frees the units of incarnations in this zone that a later one replaced."""
        known = self.peers.members.members
        for member in listed.members:
            previous = known.get(member.entry)
            if previous is not None and previous.incarnation != member.incarnation:
                self.stewardship.mark_incarnation_ended(previous.incarnation)

    def _carry_out(self, commands: Iterable[ControlCommand]) -> None:
        links = self._context.links
        for command in commands:
            match command:
                case Send(to=entry, message=message):
                    links.send(entry, message)
                case Dial():
                    links.dial(command)
                case CloseLink(entry=entry):
                    links.hang_up(entry)
                case ConfigUpdated(update=update):
                    self._context.view.publish_update(update)
                case Deliver():
                    self._deliver(command)

    def _deliver(self, command: Deliver) -> None:
        now_ms = self._context.clock()
        match command.message:
            case UnitsReport() as report:
                self._handle_report(command.entry, report)
            case UnitsGrant() as grant:
                self._handle_grant(command, grant)
            case UsageFrame() as frame:
                self._usage.handle_frame(command.entry, frame, now_ms)
            case HostNews(leaving=leaving):
                hosts = tuple(HostId(host) for host in leaving)
                self._context.serving.post(HostsReported(hosts))
            case _:
                self.refused += 1

    # -- configuration -----------------------------------------------------------

    def _update_platform_age(self, now_ms: int) -> None:
        """Passes the ages of the configuration between the peers and the view."""
        view = self._context.view
        if view.platform_age_ms <= PLATFORM_TIMEOUT_MS:
            self.peers.mark_platform_current(now_ms - view.platform_age_ms)
        else:
            self.peers.mark_platform_unavailable()
        view.confirm_by_peers(now_ms - self.peers.config_age_ms(now_ms))

    def _publish_records(self, now_ms: int) -> list[ControlCommand]:
        """Sends peers the records that came into force here since the last call.

        They come from the platform or from a commit of this entry.
        """
        view = self._context.view
        if view.revision <= self._published:
            return []
        records = self.peers.sync.follower.updates_since(self._published).records
        self._published = view.revision
        return self.peers.push_records(records, now_ms)

    # -- limits ------------------------------------------------------------------

    def _send_report(self, report: UnitsReport, now_ms: int) -> None:
        if self.stewardship.term and self.stewardship.term >= self._followed_term:
            grant = self.stewardship.handle_report(report)
            if grant is not None:
                self._context.serving.post(GrantArrived(grant))
            return
        steward = self.peers.members.live_steward(self._own.zone, now_ms)
        if steward is not None:
            self._context.links.send(steward, report)

    def _handle_report(self, entry: EntryId, report: UnitsReport) -> None:
        grant = self.stewardship.handle_report(report)
        if grant is not None:
            self._context.links.send(entry, grant)

    def _handle_grant(self, command: Deliver, grant: UnitsGrant) -> None:
        if command.zone != self._own.zone:
            self.refused += 1
            return
        self._context.serving.post(GrantArrived(grant))

    def _run_stewardship(self, now_ms: Millis) -> None:
        is_wanted = self._may_acquire_duty() and self.peers.wants_stewardship(now_ms)
        self.stewardship.step(self._context.view.current, is_wanted=is_wanted)
        self.peers.set_steward_term(self.stewardship.term)
        if self.stewardship.is_active and now_ms >= self._relay_due_ms:
            self._relay_due_ms = now_ms + RELAY_INTERVAL_MS
            self._usage.relay(now_ms)

    def _may_acquire_duty(self) -> bool:
        """Returns whether this entry may acquire the steward duty.

        It waits for links first, so that it finds a steward that already exists.
        """
        if self.is_leaving or self.peers.members.at_version < 0:
            return False
        return (
            not self._other_entries()
            or self._context.clock() >= self._started_ms + LINK_GRACE_MS
        )

    def _other_entries(self) -> list[Member]:
        """Returns the other entries of the zone, as last read from the registry."""
        return [
            member
            for member in self.peers.members.members.values()
            if member.zone == self._own.zone and member.entry != self._own.entry
        ]

    def _follow_steward(self, now_ms: int) -> None:
        members = self.peers.members
        steward = members.live_steward(self._own.zone, now_ms)
        term = self.stewardship.term
        if steward is not None and steward != self._own.entry:
            other = members.stewards[self._own.zone].term
            self.stewardship.observe_term(other)
            term = max(term, other)
        if term > self._followed_term:
            self._followed_term = term
            self._context.serving.post(TermFollowed(term))
