"""What an entry and its peers tell each other, as one state machine.

The owner passes in what the hub and the platform report, with the time, and carries
out the commands that come back. Nothing here blocks, draws time or touches a socket.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ..domain.configuration.follower import ConfigFollower, ConfigUpdate
from ..domain.configuration.model import Configuration
from ..domain.ids import EntryId, Revision, Term, ZoneId
from ..domain.limits.messages import UnitsGrant
from .codec import PeerMessage
from .events import (
    CloseLink,
    DialFailed,
    HubCommand,
    LinkDown,
    LinkUp,
    PeerAddress,
    PeerEvent,
    Received,
    Send,
)
from .membership import Membership, MembershipSettings
from .messages import (
    ConfigRecords,
    ConfigWanted,
    Heartbeat,
    HostNews,
    Member,
    MemberList,
    ZoneRevision,
)
from .news import HostNewsFilter
from .sync import ConfigSync, SyncSettings
from .zone_rollout import ZoneReports, ZoneRollout

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from ..domain.configuration.changes import Record
    from .handshake import Admission

ZONE_REPORT_MS = 10_000
"""Time between reports of a zone whose revision did not change."""

NEVER_FRESH_MS = 10**12


@dataclass(frozen=True, slots=True)
class ConfigUpdated:
    """The configuration in force has changed; ``cfg`` is the new one."""

    cfg: Configuration
    update: ConfigUpdate


@dataclass(frozen=True, slots=True)
class Deliver:
    """A peer's message for another part of the entry."""

    entry: EntryId
    zone: ZoneId
    message: PeerMessage


ControlCommand: TypeAlias = HubCommand | ConfigUpdated | Deliver


class PeerControl:
    """Membership, heartbeats, configuration and zone reports of one entry.

    Args:
        own: This entry.
        follower: The configuration in force.
        rng: Source of jitter.
        seeds: Peers to dial while no member is known, as during an outage.
        membership: Times of links.
        sync: Times of catching up.
    """

    def __init__(
        self,
        own: Member,
        *,
        follower: ConfigFollower,
        rng: random.Random,
        seeds: Sequence[PeerAddress] = (),
        membership: MembershipSettings | None = None,
        sync: SyncSettings | None = None,
    ) -> None:
        settings = membership or MembershipSettings()
        self.own = own
        self.members = Membership(own, rng, seeds, settings)
        self.sync = ConfigSync(follower, sync or SyncSettings())
        self.load = 0
        self._reports = ZoneReports()
        self._news = HostNewsFilter()
        self._fresh_ms: int | None = None
        self._beat_at_ms = 0
        self._report_at_ms = 0
        self._report_seq = 0
        self._reported: ZoneRevision | None = None

    @property
    def cfg(self) -> Configuration:
        """Returns the configuration in force."""
        return self.sync.follower.cfg

    @property
    def admission(self) -> Admission:
        """Returns what the hub checks new peers against."""
        return self.members.admission()

    def config_age_ms(self, now_ms: int) -> int:
        """Returns the time since the configuration was known to be the latest."""
        if self._fresh_ms is None:
            return NEVER_FRESH_MS
        return max(0, now_ms - self._fresh_ms)

    def must_follow_platform(self, now_ms: int) -> bool:
        """Returns whether this entry itself must follow the platform now."""
        return bool(self.members.steward_term) or not self.members.has_steward(now_ms)

    def wants_stewardship(self, now_ms: int) -> bool:
        """Returns whether this entry should hold or try to take the duty."""
        return self.must_follow_platform(now_ms)

    def rollout(self, revision: Revision, now_ms: int) -> tuple[ZoneRollout, ...]:
        """Returns in which zones a revision is in force and which are not reached."""
        zones = {one.zone for one in self.members.members.values()}
        return self._reports.rollout(revision, zones | {self.own.zone}, now_ms)

    def set_steward_term(self, term: Term | None) -> None:
        """Notes that this entry took or lost its zone's steward duty.

        The next beat is then due at once: the zone waits for it.
        """
        held = term or Term(0)
        if held != self.members.steward_term:
            self.members.steward_term = held
            self._beat_at_ms = 0

    def handle(self, event: PeerEvent, now_ms: int) -> list[ControlCommand]:
        """Takes an event of the hub."""
        match event:
            case LinkUp():
                return self._link_up(event, now_ms)
            case LinkDown(entry):
                self.members.link_down(entry)
                self.sync.forget(entry)
            case Received(entry, message):
                return self._receive(entry, message, now_ms)
            case DialFailed():
                pass
        return []

    def update_members(self, listed: MemberList) -> list[ControlCommand]:
        """Takes the members as the platform lists them; stewards pass them on."""
        if not self.members.take_list(listed) or not self.members.steward_term:
            return []
        return [Send(peer, listed) for peer in self.members.links]

    def mark_platform_current(self, now_ms: int) -> None:
        """Notes that all the log's records up to now have been taken."""
        self.members.sees_platform = True
        self._confirm(now_ms)

    def mark_platform_unavailable(self) -> None:
        """Notes that the platform does not answer."""
        self.members.sees_platform = False

    def apply_log_updates(
        self,
        records: Sequence[Record],
        snapshot: Configuration | None,
        now_ms: int,
    ) -> list[ControlCommand]:
        """Takes records and snapshots from the platform or from an own commit.

        Records come first: those that follow are pushed on, a snapshot is not.
        """
        follower = self.sync.follower
        followed = follower.offer_records(records)
        adopted = follower.offer_snapshot(snapshot) if snapshot else ConfigUpdate()
        update = ConfigUpdate(followed.records + adopted.records, adopted.adopted)
        return self._applied(update, list(self.members.links), now_ms)

    def push_records(
        self, records: Sequence[Record], now_ms: int
    ) -> list[ControlCommand]:
        """Pushes records that another owner of the follower put in force."""
        self._beat_at_ms = now_ms
        return list(self.sync.push(records, list(self.members.links)))

    def broadcast_news(self, news: HostNews, now_ms: int) -> list[ControlCommand]:
        """Tells all peers what this entry learned from a backend server."""
        novel = self._news.take(news, now_ms)
        return [Send(peer, novel) for peer in self.members.links] if novel else []

    def tick(self, now_ms: int) -> list[ControlCommand]:
        """Returns what is due; call it several times a second."""
        commands: list[ControlCommand] = []
        commands += [
            CloseLink(entry)
            for entry in self.members.dead(now_ms) + self.members.idle(now_ms)
        ]
        commands += self.members.dials(now_ms)
        commands += self.sync.ask(self.members.links, now_ms)
        commands += self._beat(now_ms)
        commands += self._report(now_ms)
        return commands

    def _link_up(self, event: LinkUp, now_ms: int) -> list[ControlCommand]:
        self.members.link_up(event, now_ms)
        self.sync.forget(event.entry)
        greeting = [Send(event.entry, self._heartbeat(now_ms))]
        if self.members.members:
            greeting.append(Send(event.entry, self.members.member_list()))
        return list(greeting)

    def _receive(
        self, entry: EntryId, message: PeerMessage, now_ms: int
    ) -> list[ControlCommand]:
        peer = self.members.hear(entry, now_ms)
        if peer is None:
            return []
        match message:
            case Heartbeat():
                self._take_beat(entry, message, now_ms)
            case MemberList():
                return self._take_members(entry, message)
            case ConfigWanted():
                return [self.sync.answer(entry, message)]
            case ConfigRecords():
                return self._take_records(entry, message, now_ms)
            case ZoneRevision():
                return self._take_report(entry, message, now_ms)
            case HostNews():
                return self._take_news(entry, message, now_ms)
            case UnitsGrant(term=term) if self.members.is_old_term(peer.zone, term):
                pass
            case _:
                return [Deliver(entry, peer.zone, message)]
        return []

    def _take_members(self, entry: EntryId, listed: MemberList) -> list[ControlCommand]:
        if not self.members.take_list(listed):
            return []
        return [Send(peer, listed) for peer in self._onward(entry)]

    def _take_beat(self, entry: EntryId, beat: Heartbeat, now_ms: int) -> None:
        self.members.take_beat(entry, beat, now_ms)
        self.sync.hear(entry, beat.revision, now_ms)
        if beat.fresh_age_ms is None or beat.revision > self.sync.revision:
            return
        self._confirm(now_ms - beat.fresh_age_ms)

    def _confirm(self, fresh_ms: int) -> None:
        """Notes that nothing newer existed then; older news takes nothing back."""
        known_ms = fresh_ms if self._fresh_ms is None else self._fresh_ms
        self._fresh_ms = max(fresh_ms, known_ms)

    def _take_records(
        self, entry: EntryId, message: ConfigRecords, now_ms: int
    ) -> list[ControlCommand]:
        update = self.sync.take(entry, message, now_ms)
        return self._applied(update, self._onward(entry), now_ms)

    def _take_report(
        self, entry: EntryId, report: ZoneRevision, now_ms: int
    ) -> list[ControlCommand]:
        if self.members.is_old_term(report.zone, report.term):
            return []
        if not self._reports.take(report, now_ms):
            return []
        return [Send(peer, report) for peer in self._onward(entry)]

    def _take_news(
        self, entry: EntryId, news: HostNews, now_ms: int
    ) -> list[ControlCommand]:
        novel = self._news.take(news, now_ms)
        if novel is None:
            return []
        onward = [Send(peer, novel) for peer in self._onward(entry)]
        return [Deliver(entry, self.members.links[entry].zone, novel), *onward]

    def _applied(
        self, update: ConfigUpdate, peers: Iterable[EntryId], now_ms: int
    ) -> list[ControlCommand]:
        if not update.has_changed:
            return []
        self._beat_at_ms = now_ms
        pushes = self.sync.push(update.records, peers)
        return [ConfigUpdated(self.cfg, update), *pushes]

    def _onward(self, source: EntryId) -> list[EntryId]:
        """Returns the peers to pass news on to: each zone hears it once.

        News from another zone goes to this zone. News from this zone goes to other
        zones, if this entry is the steward.
        """
        links = self.members.links
        zone = links[source].zone if source in links else self.own.zone
        if zone != self.own.zone:
            return [one for one, peer in links.items() if peer.zone == self.own.zone]
        if not self.members.steward_term:
            return []
        return [one for one, peer in links.items() if peer.zone != self.own.zone]

    def _heartbeat(self, now_ms: int) -> Heartbeat:
        age_ms = None if self._fresh_ms is None else self.config_age_ms(now_ms)
        return Heartbeat(
            revision=self.sync.revision,
            steward_term=self.members.steward_term,
            load=self.load,
            fresh_age_ms=age_ms,
            steward=self.members.live_steward(self.own.zone, now_ms),
        )

    def _beat(self, now_ms: int) -> list[Send]:
        if now_ms < self._beat_at_ms:
            return []
        self._beat_at_ms = now_ms + self.members.settings.heartbeat_ms
        beat = self._heartbeat(now_ms)
        return [Send(peer, beat) for peer in self.members.links]

    def _report(self, now_ms: int) -> list[Send]:
        """Returns the steward's report of its zone, if it changed or is due."""
        if not self.members.steward_term:
            self._reported = None
            return []
        report = self._zone_revision()
        if report == self._reported and now_ms < self._report_at_ms:
            return []
        self._reported = report
        self._report_at_ms = now_ms + ZONE_REPORT_MS
        self._report_seq += 1
        numbered = ZoneRevision(
            report.zone,
            report.term,
            self._report_seq,
            report.revision,
            report.entries,
            report.unheard,
        )
        self._reports.take(numbered, now_ms)
        return [Send(peer, numbered) for peer in self.members.links]

    def _zone_revision(self) -> ZoneRevision:
        members, links = self.members.members, self.members.links
        mates = [one.entry for one in members.values() if one.zone == self.own.zone]
        others = [one for one in mates if one != self.own.entry]
        beats = [links[one].beat for one in others if one in links]
        revisions = [beat.revision for beat in beats if beat is not None]
        unheard = [one for one in others if one not in links or not links[one].beat]
        return ZoneRevision(
            zone=self.own.zone,
            term=self.members.steward_term,
            seq=0,
            revision=min([self.sync.revision, *revisions]),
            entries=len(mates),
            unheard=tuple(sorted(unheard)),
        )
