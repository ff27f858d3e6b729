"""The control part of an entry: peers, the steward duty, limits and usage sums."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ...domain.ids import EntryId, HostId, Incarnation, Millis, Revision, Term
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
    UsageArrived,
)
from ...domain.shares import UsageFrame, UsageRelay
from ...peers.events import DialFailed, LinkDown, LinkUp, PeerEvent, Received
from ...peers.messages import (
    ConfigRecords,
    ConfigWanted,
    Heartbeat,
    HostNews,
    Member,
    ZoneRevision,
)
from ...platform.store import Store
from ..config_view import ConfigView
from .config_sync import ConfigSync
from .members import MEMBER_PREFIX, MemberList, Registration
from .peer_table import PeerTable
from .ports import Links, ServingPort
from .stewardship import Stewardship
from .zone_status import ZoneStatus

if TYPE_CHECKING:
    from ...platform.store import WatchEvent
    from .peer_table import Peer

HEARTBEAT_MS = 1_000
ZONE_REPORT_MS = 1_000
DIAL_AGAIN_MS = 2_000
RELAY_MS = 1_000
WANTED_LINK_MS = 60_000
IDLE_CHECKS = 2

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


class Control:
    """Owned by one thread, which calls ``step`` about every 100 ms and on input.

    Args:
        parts: What it works with.
    """

    def __init__(self, parts: ControlParts) -> None:
        own = parts.member
        self.members = MemberList(parts.store, own.entry)
        self.peers = PeerTable(own.zone)
        self.zones = ZoneStatus()
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
        self._registration = Registration(own, parts.store, parts.clock)
        self._sync = ConfigSync(parts.view, parts.links)
        self._near_usage = self._relay("near")
        self._far_usage = self._relay("far")
        self._inputs: deque[ControlInput] = deque()
        self._dialed_ms: dict[EntryId, int] = {}
        self._wanted_until_ms: dict[EntryId, int] = {}
        self._followed = Term(0)
        self._idle_checks: dict[EntryId, int] = {}
        self._due_ms: dict[str, int] = {}
        self._started_ms = parts.clock()

    # -- inputs, from any thread -------------------------------------------------

    def put(self, message: ControlInput) -> None:
        """Queues an input for the next step."""
        self._inputs.append(message)

    def want_link(self, entry: EntryId) -> None:
        """Asks for a link to an entry of any zone, for a forwarded request."""
        self._wanted_until_ms[entry] = self._parts.clock() + WANTED_LINK_MS

    # -- the owner's thread ------------------------------------------------------

    def watched(self, prefix: str, events: list[WatchEvent]) -> None:
        """Takes changes that a watch reported."""
        if prefix == MEMBER_PREFIX:
            self.members.watched(events)
            self._members_changed()
        elif prefix == LEDGER_PREFIX:
            self.stewardship.watched(events)

    def read_members(self) -> bool:
        """Reads the list of entries; false if the store is away."""
        is_read = self.members.read()
        if is_read:
            self._members_changed()
        return is_read

    def step(self) -> None:
        """Takes the inputs and does what is due."""
        while self._inputs:
            self._take(self._inputs.popleft())
        if not self.is_leaving:
            self._registration.step()
        now_ms = self._parts.clock()
        self._work_as_steward(now_ms)
        self._follow_steward(now_ms)
        self._drop_silent(now_ms)
        self._push_configuration()
        if self._is_due("heartbeat", HEARTBEAT_MS, now_ms):
            self._send_heartbeats(now_ms)
        if self._is_due("dial", DIAL_AGAIN_MS // 4, now_ms):
            self._dial_missing(now_ms)
        if self._is_due("idle", WANTED_LINK_MS, now_ms):
            self._drop_idle_links(now_ms)

    def leave(self) -> None:
        """Gives the duty and the registration back."""
        self.is_leaving = True
        self.stewardship.release()
        self._registration.end()

    # -- inputs ------------------------------------------------------------------

    def _take(self, message: ControlInput) -> None:
        now_ms = self._parts.clock()
        match message:
            case SendReport(report=report):
                self._send_report(report, now_ms)
            case SendUsage(frame=frame):
                self._send_usage(frame, now_ms)
            case SendHostNews(leaving=leaving):
                self._send_host_news(frozenset(leaving))
            case LinkUp(entry=entry, zone=zone, incarnation=incarnation):
                self.peers.linked(entry, zone, incarnation, now_ms)
                self._parts.links.send(entry, self._heartbeat())
            case LinkDown(entry=entry):
                self.peers.unlinked(entry)
            case DialFailed():
                pass
            case Received(entry=entry, message=received):
                self._receive(entry, received, now_ms)

    def _receive(self, entry: EntryId, message: object, now_ms: Millis) -> None:
        peer = self.peers.get(entry)
        if peer is None:
            self.refused += 1
            return
        match message:
            case Heartbeat():
                self._heard(peer, message, now_ms)
            case ConfigWanted():
                self._sync.wanted(entry, message)
            case ConfigRecords():
                self._sync.received(entry, message)
            case UnitsReport():
                self._answer_report(entry, message)
            case UnitsGrant():
                self._take_grant(peer, message)
            case UsageFrame():
                self._take_usage(peer, message, now_ms)
            case ZoneRevision():
                self._take_zone_report(peer, message)
            case HostNews():
                self._take_host_news(peer, message)
            case _:
                self.refused += 1

    def _heard(self, peer: Peer, beat: Heartbeat, now_ms: int) -> None:
        self.peers.heartbeat(peer.entry, beat, now_ms)
        self._sync.heartbeat(peer.entry, beat, now_ms)
        if peer.zone == self._own.zone and beat.steward_term:
            self.stewardship.heard(beat.steward_term)

    # -- limits ------------------------------------------------------------------

    def _send_report(self, report: UnitsReport, now_ms: int) -> None:
        if self.stewardship.term and self.stewardship.term >= self._followed:
            grant = self.stewardship.report(report)
            if grant is not None:
                self._parts.serving.post(GrantArrived(grant))
            return
        steward = self.peers.own_steward(now_ms)
        if steward is not None:
            self._parts.links.send(steward.entry, report)

    def _answer_report(self, entry: EntryId, report: UnitsReport) -> None:
        grant = self.stewardship.report(report)
        if grant is not None:
            self._parts.links.send(entry, grant)

    def _take_grant(self, peer: Peer, grant: UnitsGrant) -> None:
        if peer.zone != self._own.zone or grant.term < self._followed:
            self.refused += 1
            return
        self._parts.serving.post(GrantArrived(grant))

    def _work_as_steward(self, now_ms: int) -> None:
        other = self.peers.own_steward(now_ms)
        is_wanted = other is None and not self.is_leaving and self._may_take_duty()
        self.stewardship.step(self._parts.view.current, is_wanted=is_wanted)
        if not self.stewardship.is_active:
            return
        if self._is_due("relay", RELAY_MS, now_ms):
            self._relay_usage(Millis(now_ms))
        if self._is_due("zone", ZONE_REPORT_MS, now_ms):
            self._report_zone()

    def _may_take_duty(self) -> bool:
        """Lets links to a steward that is already there come up first."""
        alone = not any(m.zone == self._own.zone for m in self.members.others())
        waited_ms = self._parts.clock() - self._started_ms
        return self.members.at_version is not None and (
            alone or waited_ms >= DIAL_AGAIN_MS
        )

    def _follow_steward(self, now_ms: int) -> None:
        other = self.peers.own_steward(now_ms)
        term = max(self.stewardship.term, other.term if other else Term(0))
        if term > self._followed:
            self._followed = term
            self._parts.serving.post(TermFollowed(term))

    # -- usage sums --------------------------------------------------------------

    def _relay(self, name: str) -> UsageRelay:
        """Returns a relay of this run; its name tells it from entries and others."""
        own = self._own
        source = Incarnation(f"{name}/{own.zone}/{own.incarnation}")
        return UsageRelay(source, fresh_ms=self._parts.settings.shares.fresh_ms)

    def _send_usage(self, frame: UsageFrame, now_ms: Millis) -> None:
        self._near_usage.take(frame, now_ms)
        for peer in self.peers.near():
            self._parts.links.send(peer.entry, frame)

    def _take_usage(self, peer: Peer, frame: UsageFrame, now_ms: Millis) -> None:
        if peer.zone != self._own.zone:
            self._far_usage.take(frame, now_ms)
            return
        if frame.source == peer.incarnation:
            self._near_usage.take(frame, now_ms)
        self._parts.serving.post(UsageArrived(frame))

    def _relay_usage(self, now_ms: Millis) -> None:
        """Tells other zones of this one, and this zone's entries of the others."""
        outward = self._near_usage.frame(now_ms)
        for steward in self.peers.stewards(now_ms):
            self._parts.links.send(steward.entry, outward)
        inward = self._far_usage.frame(now_ms)
        self._parts.serving.post(UsageArrived(inward))
        for peer in self.peers.near():
            self._parts.links.send(peer.entry, inward)

    # -- configuration -----------------------------------------------------------

    def _push_configuration(self) -> None:
        revision = self._parts.view.revision
        for peer in self.peers.all():
            known = max(peer.revision, peer.pushed)
            if known < revision and known > 0:
                self._sync.push(peer.entry, Revision(known))
                peer.pushed = revision

    def _report_zone(self) -> None:
        near = {peer.entry: peer for peer in self.peers.near()}
        registered = [
            member.entry
            for member in self.members.in_zone(self._own.zone)
            if member.entry != self._own.entry
        ]
        report = self.zones.own_report(
            self._own.zone,
            self.stewardship.term,
            self._parts.view.revision,
            registered,
            near,
        )
        self.zones.take(report)
        for peer in self.peers.all():
            self._parts.links.send(peer.entry, report)

    def _take_zone_report(self, peer: Peer, report: ZoneRevision) -> None:
        if not self.zones.take(report) or not self.stewardship.is_active:
            return
        if peer.zone != self._own.zone:
            for near in self.peers.near():
                self._parts.links.send(near.entry, report)

    # -- hosts -------------------------------------------------------------------

    def _send_host_news(self, leaving: frozenset[HostId]) -> None:
        news = HostNews(leaving=tuple(sorted(leaving)))
        for peer in self.peers.all():
            self._parts.links.send(peer.entry, news)

    def _take_host_news(self, peer: Peer, news: HostNews) -> None:
        self._parts.serving.post(HostsReported(news.leaving))
        if self.stewardship.is_active and peer.zone != self._own.zone:
            for near in self.peers.near():
                self._parts.links.send(near.entry, news)

    # -- links -------------------------------------------------------------------

    def _members_changed(self) -> None:
        self._parts.links.admit(self.members.admission())
        self.zones.know(self.members.zones())
        for peer in self.peers.all():
            member = self.members.get(peer.entry)
            if member is not None and member.incarnation != peer.incarnation:
                self._parts.serving.post(SourceEnded(peer.incarnation))
                self._parts.links.hang_up(peer.entry)

    def _dial_missing(self, now_ms: int) -> None:
        for member in self.members.others():
            if self.peers.get(member.entry) is not None:
                continue
            last_ms = self._dialed_ms.get(member.entry, now_ms - DIAL_AGAIN_MS)
            is_due = now_ms - last_ms >= DIAL_AGAIN_MS
            if is_due and self._should_link(member, now_ms):
                self._dialed_ms[member.entry] = now_ms
                self._parts.links.dial(member)

    def _should_link(self, member: Member, now_ms: int) -> bool:
        """Full mesh in a zone; between zones stewards, and what is asked for."""
        if member.zone == self._own.zone or self._is_wanted(member.entry, now_ms):
            return True
        return self.stewardship.is_active and self._is_gateway(member, now_ms)

    def _is_wanted(self, entry: EntryId, now_ms: int) -> bool:
        return now_ms < self._wanted_until_ms.get(entry, now_ms)

    def _is_gateway(self, member: Member, now_ms: int) -> bool:
        """Returns whether a member is the one to reach its zone through.

        That is its steward where it is known, else each member in its turn.
        """
        linked = [peer for peer in self.peers.all() if peer.zone == member.zone]
        if any(peer.term for peer in linked):
            return False
        hints = {peer.follows for peer in linked if peer.follows is not None}
        if hints:
            return member.entry in hints
        names = sorted(item.entry for item in self.members.in_zone(member.zone))
        turn = now_ms // (2 * DIAL_AGAIN_MS) % len(names)
        return names[turn] == member.entry

    def _drop_idle_links(self, now_ms: int) -> None:
        """Ends links to other zones that neither side needs any more."""
        for peer in self.peers.all():
            is_near = peer.zone == self._own.zone
            if is_near or peer.term or self._is_wanted(peer.entry, now_ms):
                continue
            gateway = any(
                other.term for other in self.peers.all() if other.zone == peer.zone
            )
            if gateway or not self.stewardship.is_active:
                self._idle_checks[peer.entry] = self._idle_checks.get(peer.entry, 0) + 1
            if self._idle_checks.get(peer.entry, 0) > IDLE_CHECKS:
                del self._idle_checks[peer.entry]
                self._parts.links.hang_up(peer.entry)

    def _drop_silent(self, now_ms: int) -> None:
        for entry in self.peers.silent(now_ms):
            self.peers.unlinked(entry)
            self._parts.links.hang_up(entry)

    def _send_heartbeats(self, now_ms: int) -> None:
        beat = self._heartbeat()
        for peer in self.peers.all():
            self._parts.links.send(peer.entry, beat)

    def _heartbeat(self) -> Heartbeat:
        view = self._parts.view
        steward = self.peers.own_steward(self._parts.clock())
        follows = steward.entry if steward else None
        if self.stewardship.term:
            follows = self._own.entry
        return Heartbeat(view.revision, self.stewardship.term, 0, view.age_ms, follows)

    def _is_due(self, what: str, every_ms: int, now_ms: int) -> bool:
        if now_ms < self._due_ms.get(what, 0):
            return False
        self._due_ms[what] = now_ms + every_ms
        return True
