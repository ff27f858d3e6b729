"""The control part of an entry: peers, the steward duty, limits and usage sums."""

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
from .zone_board import ZoneBoard

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...peers.control import ControlCommand
    from ...store.contract import WatchEvent

RELAY_MS = 1_000
JOIN_MS = 500
"""Time for links to come up before a duty that is free is taken."""

PLATFORM_SILENT_MS = 12_000
"""Age of the platform's last word after which it counts as away."""

ControlInput: TypeAlias = PeerEvent | SendReport | SendUsage | SendHostNews


@dataclass(frozen=True, slots=True)
class ControlParts:
    """What the control part works with.

    Attributes:
        member: This entry as it registers itself.
        store: A store that settles lost replies.
        raw_store: The same store without that, for duties and the ledger.
        clock: Monotonic clock in milliseconds.
        rng: Source of jitter.
        seeds: Entries to ask while the platform lists none, as during an outage.
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


class Control:
    """Owned by one thread, which calls ``step`` about every 100 ms and on input.

    Args:
        parts: What it works with.
    """

    def __init__(self, parts: ControlParts) -> None:
        own = parts.member
        self.peers = PeerControl(
            own, follower=parts.view.follower, rng=parts.rng, seeds=parts.seeds
        )
        self.zones = ZoneBoard()
        self.stewardship = Stewardship(
            own.entry,
            own.incarnation,
            own.zone,
            store=parts.raw_store,
            clock=parts.clock,
            rng=parts.rng,
            timing=parts.settings.escrow,
        )
        self.refused = 0
        self.is_leaving = False
        self._parts = parts
        self._own = own
        self._registry = EntryRegistry(own, store=parts.store, clock=parts.clock)
        self._usage = UsageExchange(
            own,
            self.peers,
            parts.links,
            parts.serving,
            fresh_ms=parts.settings.shares.fresh_ms,
        )
        self._inputs: deque[ControlInput] = deque()
        self._wanted: deque[EntryId] = deque()
        self._followed = Term(0)
        self._stripe: Stripe | None = None
        self._pushed = parts.view.revision
        self._relay_due_ms = 0
        self._started_ms = parts.clock()

    # -- from any thread ---------------------------------------------------------

    def put(self, message: ControlInput) -> None:
        """Queues an input for the next step."""
        self._inputs.append(message)

    def want_link(self, entry: EntryId) -> None:
        """Asks for a link to an entry of any zone, for a forwarded request."""
        self._wanted.append(entry)

    # -- the owner's thread ------------------------------------------------------

    def watched(self, prefix: str, events: list[WatchEvent]) -> None:
        """Takes changes that a watch reported."""
        if prefix == MEMBER_PREFIX:
            self.read_members()
        elif prefix == LEDGER_PREFIX:
            self.stewardship.watched(events)

    def read_members(self) -> int | None:
        """Reads the list of entries; returns its store version, none on failure."""
        listed = self._registry.members()
        if not isinstance(listed, Success):
            return None
        members: MemberList = listed.unwrap()
        self._note_replaced(members)
        self._carry_out(self.peers.update_members(members))
        self._parts.links.admit(self.peers.admission)
        self._share_zone()
        return members.at_version

    def step(self) -> None:
        """Takes the inputs and does what is due."""
        while self._wanted:
            self.peers.members.request_link(self._wanted.popleft(), self._parts.clock())
        while self._inputs:
            self._take(self._inputs.popleft())
        if not self.is_leaving:
            self._registry.run()
        now_ms = self._parts.clock()
        self._note_platform(now_ms)
        self._work_as_steward(now_ms)
        self._follow_steward(now_ms)
        with self._parts.view.exclusive():
            commands = self._spread(now_ms)
            commands += self.peers.tick(now_ms)
        self._carry_out(commands)
        self.zones.put(self.peers.rollout(Revision(0), now_ms))

    def may_leave(self) -> bool:
        """Returns whether the zone's steward can do without this entry.

        Without the store no other entry can take the duty over, and a steward past
        its lease goes on only while most of its zone follows it. Safe to call from
        any thread.
        """
        return not self._mates() or isinstance(self._registry.members(), Success)

    def leave(self) -> None:
        """Gives the duty and the registration back."""
        self.is_leaving = True
        self.stewardship.release()
        self._registry.leave()

    # -- inputs ------------------------------------------------------------------

    def _take(self, message: ControlInput) -> None:
        now_ms = self._parts.clock()
        match message:
            case SendReport(report=report):
                self._send_report(report, now_ms)
            case SendUsage(frame=frame):
                self._usage.send(frame, now_ms)
            case SendHostNews(leaving=leaving):
                news = HostNews(leaving=leaving)
                self._carry_out(self.peers.broadcast_news(news, now_ms))
            case LinkUp():
                self._end_older_run(message)
                self._handle(message, now_ms)
            case _:
                self._handle(message, now_ms)

    def _handle(self, event: PeerEvent, now_ms: int) -> None:
        with self._parts.view.exclusive():
            commands = self.peers.handle(event, now_ms)
        self._carry_out(commands)

    def _end_older_run(self, event: LinkUp) -> None:
        older = self.peers.members.links.get(event.entry)
        if older is not None and older.incarnation != event.incarnation:
            self._usage.drop(older.incarnation)
            self.stewardship.mark_incarnation_ended(older.incarnation)
            self._parts.serving.post(SourceEnded(older.incarnation))

    def _share_zone(self) -> None:
        """Tells the serving part its place among the entries of the zone."""
        known = self.peers.members.members.values()
        mates = {one.entry for one in known if one.zone == self._own.zone}
        names = sorted(mates | {self._own.entry})
        stripe = Stripe(names.index(self._own.entry), len(names))
        if stripe != self._stripe:
            self._stripe = stripe
            self._parts.serving.post(ZoneShared(stripe))

    def _note_replaced(self, listed: MemberList) -> None:
        """Frees the units of runs of this zone that a later run has replaced."""
        known = self.peers.members.members
        for member in listed.members:
            older = known.get(member.entry)
            if older is not None and older.incarnation != member.incarnation:
                self.stewardship.mark_incarnation_ended(older.incarnation)

    def _carry_out(self, commands: Iterable[ControlCommand]) -> None:
        links = self._parts.links
        for command in commands:
            match command:
                case Send(to=entry, message=message):
                    links.send(entry, message)
                case Dial():
                    links.dial(command)
                case CloseLink(entry=entry):
                    links.hang_up(entry)
                case ConfigUpdated(update=update):
                    self._parts.view.announce(update)
                case Deliver():
                    self._deliver(command)

    def _deliver(self, command: Deliver) -> None:
        now_ms = self._parts.clock()
        match command.message:
            case UnitsReport() as report:
                self._answer_report(command.entry, report)
            case UnitsGrant() as grant:
                self._take_grant(command, grant)
            case UsageFrame() as frame:
                self._usage.take(command.entry, frame, now_ms)
            case HostNews(leaving=leaving):
                hosts = tuple(HostId(host) for host in leaving)
                self._parts.serving.post(HostsReported(hosts))
            case _:
                self.refused += 1

    # -- configuration -----------------------------------------------------------

    def _note_platform(self, now_ms: int) -> None:
        """Tells the peers' part how fresh the platform's word is."""
        view = self._parts.view
        if view.platform_age_ms <= PLATFORM_SILENT_MS:
            self.peers.mark_platform_current(now_ms - view.platform_age_ms)
        else:
            self.peers.mark_platform_unavailable()
        view.confirm_by_peers(now_ms - self.peers.config_age_ms(now_ms))

    def _spread(self, now_ms: int) -> list[ControlCommand]:
        """Hands on what came into force from the platform or an own commit."""
        view = self._parts.view
        if view.revision <= self._pushed:
            return []
        records = self.peers.sync.follower.updates_since(self._pushed).records
        self._pushed = view.revision
        return self.peers.push_records(records, now_ms)

    # -- limits ------------------------------------------------------------------

    def _send_report(self, report: UnitsReport, now_ms: int) -> None:
        if self.stewardship.term and self.stewardship.term >= self._followed:
            grant = self.stewardship.report(report)
            if grant is not None:
                self._parts.serving.post(GrantArrived(grant))
            return
        steward = self.peers.members.live_steward(self._own.zone, now_ms)
        if steward is not None:
            self._parts.links.send(steward, report)

    def _answer_report(self, entry: EntryId, report: UnitsReport) -> None:
        grant = self.stewardship.report(report)
        if grant is not None:
            self._parts.links.send(entry, grant)

    def _take_grant(self, command: Deliver, grant: UnitsGrant) -> None:
        if command.zone != self._own.zone:
            self.refused += 1
            return
        self._parts.serving.post(GrantArrived(grant))

    def _work_as_steward(self, now_ms: Millis) -> None:
        is_wanted = self._may_take_duty() and self.peers.wants_stewardship(now_ms)
        self.stewardship.step(self._parts.view.current, is_wanted=is_wanted)
        self.peers.set_steward_term(self.stewardship.term)
        if self.stewardship.is_active and now_ms >= self._relay_due_ms:
            self._relay_due_ms = now_ms + RELAY_MS
            self._usage.relay(now_ms)

    def _may_take_duty(self) -> bool:
        """Lets links to a steward that is already there come up first."""
        if self.is_leaving or self.peers.members.at_version < 0:
            return False
        return not self._mates() or self._parts.clock() >= self._started_ms + JOIN_MS

    def _mates(self) -> list[Member]:
        """Returns the other entries of the zone, as last listed."""
        return [
            one
            for one in self.peers.members.members.values()
            if one.zone == self._own.zone and one.entry != self._own.entry
        ]

    def _follow_steward(self, now_ms: int) -> None:
        members = self.peers.members
        steward = members.live_steward(self._own.zone, now_ms)
        term = self.stewardship.term
        if steward is not None and steward != self._own.entry:
            seen = members.stewards[self._own.zone].term
            self.stewardship.heard(seen)
            term = max(term, seen)
        if term > self._followed:
            self._followed = term
            self._parts.serving.post(TermFollowed(term))
