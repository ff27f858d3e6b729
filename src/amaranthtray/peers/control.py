"""State machine of the messages between an entry and its peers.

The owner passes in the events of the hub and the updates of the platform, with the
time, and carries out the commands that are returned. Nothing here blocks, reads a clock
or uses a socket.
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
"""Time between reports of a zone whose state has not changed."""

UNKNOWN_AGE_MS = 10**12
"""Age of a configuration that was never known to be the latest."""


@dataclass(frozen=True, slots=True)
class ConfigUpdated:
    """The configuration in force has changed; ``cfg`` is the new one."""

    cfg: Configuration
    update: ConfigUpdate


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass a peer's message to another part of the entry."""

    entry: EntryId
    zone: ZoneId
    message: PeerMessage


ControlCommand: TypeAlias = HubCommand | ConfigUpdated | Deliver


class PeerControl:
    """Handles membership, heartbeats, configuration and zone reports of one entry.

    Args:
        own: This entry.
        follower: The configuration in force.
        rng: Source of jitter.
        seeds: Addresses to dial while no other member is known, as during an outage.
        membership: Times and bounds of links.
        sync: Settings of the configuration synchronization.
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
        self._zone_reports = ZoneReports()
        self._host_news = HostNewsFilter()
        self._confirmed_ms: int | None = None
        self._next_heartbeat_ms = 0
        self._next_report_ms = 0
        self._report_seq = 0
        self._last_report: ZoneRevision | None = None

    @property
    def cfg(self) -> Configuration:
        """Returns the configuration in force."""
        return self.sync.follower.cfg

    @property
    def admission(self) -> Admission:
        """Returns the members that a connecting peer is checked against."""
        return self.members.admission()

    def config_age_ms(self, now_ms: int) -> int:
        """Returns the time since the configuration was known to be the latest."""
        if self._confirmed_ms is None:
            return UNKNOWN_AGE_MS
        return max(0, now_ms - self._confirmed_ms)

    def must_follow_platform(self, now_ms: int) -> bool:
        """Returns whether this entry itself must follow the platform now.

        A steward does, and so does an entry whose zone has no live steward.
        """
        return bool(self.members.steward_term) or not self.members.has_steward(now_ms)

    def wants_stewardship(self, now_ms: int) -> bool:
        """Returns whether this entry should hold or try to acquire the steward duty."""
        return self.must_follow_platform(now_ms)

    def rollout(self, revision: Revision, now_ms: int) -> tuple[ZoneRollout, ...]:
        """Returns the rollout state of a revision in each zone."""
        zones = {member.zone for member in self.members.members.values()}
        return self._zone_reports.rollout(revision, zones | {self.own.zone}, now_ms)

    def set_steward_term(self, term: Term | None) -> None:
        """Records that this entry acquired or lost its zone's steward duty.

        The next heartbeat is then due at once, because the zone waits for it.
        """
        held = term or Term(0)
        if held != self.members.steward_term:
            self.members.steward_term = held
            self._next_heartbeat_ms = 0

    def handle(self, event: PeerEvent, now_ms: int) -> list[ControlCommand]:
        """Handles an event of the hub."""
        match event:
            case LinkUp():
                return self._handle_link_up(event, now_ms)
            case LinkDown(entry):
                self.members.remove_link(entry)
                self.sync.remove_peer(entry)
            case Received(entry, message):
                return self._handle_message(entry, message, now_ms)
            case DialFailed():
                pass
        return []

    def update_members(self, listed: MemberList) -> list[ControlCommand]:
        """Applies the platform's list of members; a steward sends it to its peers."""
        if not self.members.apply_member_list(listed) or not self.members.steward_term:
            return []
        return [Send(peer, listed) for peer in self.members.links]

    def mark_platform_current(self, now_ms: int) -> None:
        """Records that all records of the log up to now have been applied."""
        self.members.is_platform_available = True
        self._confirm_latest(now_ms)

    def mark_platform_unavailable(self) -> None:
        """Records that the platform does not respond."""
        self.members.is_platform_available = False

    def apply_log_updates(
        self,
        records: Sequence[Record],
        snapshot: Configuration | None,
        now_ms: int,
    ) -> list[ControlCommand]:
        """Applies records and a snapshot from the platform or from an own commit.

        Records are applied first: applied records are pushed to peers, a snapshot is
        not.
        """
        follower = self.sync.follower
        followed = follower.offer_records(records)
        adopted = follower.offer_snapshot(snapshot) if snapshot else ConfigUpdate()
        update = ConfigUpdate(followed.records + adopted.records, adopted.adopted)
        return self._publish_update(update, list(self.members.links), now_ms)

    def push_records(
        self, records: Sequence[Record], now_ms: int
    ) -> list[ControlCommand]:
        """Pushes records that another owner of the follower has applied."""
        self._next_heartbeat_ms = now_ms
        return list(self.sync.push(records, list(self.members.links)))

    def broadcast_news(self, news: HostNews, now_ms: int) -> list[ControlCommand]:
        """Sends all peers host updates that this entry observed itself."""
        unseen = self._host_news.filter_unseen(news, now_ms)
        return [Send(peer, unseen) for peer in self.members.links] if unseen else []

    def tick(self, now_ms: int) -> list[ControlCommand]:
        """Returns the commands that are due; call it several times a second."""
        commands: list[ControlCommand] = []
        commands += [
            CloseLink(entry)
            for entry in self.members.silent_peers(now_ms)
            + self.members.unneeded_peers(now_ms)
        ]
        commands += self.members.due_dials(now_ms)
        commands += self.sync.due_request(self.members.links, now_ms)
        commands += self._due_heartbeats(now_ms)
        commands += self._due_zone_report(now_ms)
        return commands

    def _handle_link_up(self, event: LinkUp, now_ms: int) -> list[ControlCommand]:
        self.members.add_link(event, now_ms)
        self.sync.remove_peer(event.entry)
        greeting = [Send(event.entry, self._heartbeat(now_ms))]
        if self.members.members:
            greeting.append(Send(event.entry, self.members.member_list()))
        return list(greeting)

    def _handle_message(
        self, entry: EntryId, message: PeerMessage, now_ms: int
    ) -> list[ControlCommand]:
        peer = self.members.mark_alive(entry, now_ms)
        if peer is None:
            return []
        match message:
            case Heartbeat():
                self._handle_heartbeat(entry, message, now_ms)
            case MemberList():
                return self._handle_member_list(entry, message)
            case ConfigWanted():
                return [self.sync.answer(entry, message)]
            case ConfigRecords():
                return self._handle_records(entry, message, now_ms)
            case ZoneRevision():
                return self._handle_zone_revision(entry, message, now_ms)
            case HostNews():
                return self._handle_host_news(entry, message, now_ms)
            case UnitsGrant(term=term) if self.members.is_old_term(peer.zone, term):
                pass
            case _:
                return [Deliver(entry, peer.zone, message)]
        return []

    def _handle_member_list(
        self, entry: EntryId, listed: MemberList
    ) -> list[ControlCommand]:
        if not self.members.apply_member_list(listed):
            return []
        return [Send(peer, listed) for peer in self._relay_targets(entry)]

    def _handle_heartbeat(
        self, entry: EntryId, heartbeat: Heartbeat, now_ms: int
    ) -> None:
        self.members.handle_heartbeat(entry, heartbeat, now_ms)
        self.sync.record_revision(entry, heartbeat.revision, now_ms)
        if heartbeat.fresh_age_ms is None or heartbeat.revision > self.sync.revision:
            return
        self._confirm_latest(now_ms - heartbeat.fresh_age_ms)

    def _confirm_latest(self, confirmed_ms: int) -> None:
        """Records that no newer revision existed then; earlier times have no effect."""
        known_ms = confirmed_ms if self._confirmed_ms is None else self._confirmed_ms
        self._confirmed_ms = max(confirmed_ms, known_ms)

    def _handle_records(
        self, entry: EntryId, message: ConfigRecords, now_ms: int
    ) -> list[ControlCommand]:
        update = self.sync.apply_records(entry, message, now_ms)
        return self._publish_update(update, self._relay_targets(entry), now_ms)

    def _handle_zone_revision(
        self, entry: EntryId, report: ZoneRevision, now_ms: int
    ) -> list[ControlCommand]:
        if self.members.is_old_term(report.zone, report.term):
            return []
        if not self._zone_reports.record_report(report, now_ms):
            return []
        return [Send(peer, report) for peer in self._relay_targets(entry)]

    def _handle_host_news(
        self, entry: EntryId, news: HostNews, now_ms: int
    ) -> list[ControlCommand]:
        unseen = self._host_news.filter_unseen(news, now_ms)
        if unseen is None:
            return []
        relayed = [Send(peer, unseen) for peer in self._relay_targets(entry)]
        return [Deliver(entry, self.members.links[entry].zone, unseen), *relayed]

    def _publish_update(
        self, update: ConfigUpdate, peers: Iterable[EntryId], now_ms: int
    ) -> list[ControlCommand]:
        if not update.has_changed:
            return []
        self._next_heartbeat_ms = now_ms
        pushes = self.sync.push(update.records, peers)
        return [ConfigUpdated(self.cfg, update), *pushes]

    def _relay_targets(self, source: EntryId) -> list[EntryId]:
        """Returns the peers to relay a message to, so that it enters each zone once.

        A message from another zone is relayed to the peers in this zone. A message
        from this zone is relayed to other zones if this entry is the steward.
        """
        links = self.members.links
        zone = links[source].zone if source in links else self.own.zone
        if zone != self.own.zone:
            return [
                entry for entry, peer in links.items() if peer.zone == self.own.zone
            ]
        if not self.members.steward_term:
            return []
        return [entry for entry, peer in links.items() if peer.zone != self.own.zone]

    def _heartbeat(self, now_ms: int) -> Heartbeat:
        age_ms = None if self._confirmed_ms is None else self.config_age_ms(now_ms)
        return Heartbeat(
            revision=self.sync.revision,
            steward_term=self.members.steward_term,
            load=self.load,
            fresh_age_ms=age_ms,
            steward=self.members.live_steward(self.own.zone, now_ms),
        )

    def _due_heartbeats(self, now_ms: int) -> list[Send]:
        if now_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now_ms + self.members.settings.heartbeat_ms
        heartbeat = self._heartbeat(now_ms)
        return [Send(peer, heartbeat) for peer in self.members.links]

    def _due_zone_report(self, now_ms: int) -> list[Send]:
        """Returns the steward's report of its zone if it has changed or is due."""
        if not self.members.steward_term:
            self._last_report = None
            return []
        report = self._zone_revision()
        if report == self._last_report and now_ms < self._next_report_ms:
            return []
        self._last_report = report
        self._next_report_ms = now_ms + ZONE_REPORT_MS
        self._report_seq += 1
        numbered_report = ZoneRevision(
            report.zone,
            report.term,
            self._report_seq,
            report.revision,
            report.entries,
            report.unheard,
        )
        self._zone_reports.record_report(numbered_report, now_ms)
        return [Send(peer, numbered_report) for peer in self.members.links]

    def _zone_revision(self) -> ZoneRevision:
        members, links = self.members.members, self.members.links
        zone_peers = [
            member.entry for member in members.values() if member.zone == self.own.zone
        ]
        others = [entry for entry in zone_peers if entry != self.own.entry]
        heartbeats = [links[entry].heartbeat for entry in others if entry in links]
        revisions = [
            heartbeat.revision for heartbeat in heartbeats if heartbeat is not None
        ]
        unheard = [
            entry
            for entry in others
            if entry not in links or not links[entry].heartbeat
        ]
        return ZoneRevision(
            zone=self.own.zone,
            term=self.members.steward_term,
            seq=0,
            revision=min([self.sync.revision, *revisions]),
            entries=len(zone_peers),
            unheard=tuple(sorted(unheard)),
        )
