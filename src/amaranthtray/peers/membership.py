"""Members of the fleet, liveness of peers, and the links that an entry needs."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..domain.ids import EntryId, Incarnation, Term, ZoneId
from .events import Dial, LinkUp, PeerAddress
from .handshake import Admission
from .messages import Heartbeat, Member, MemberList

MAX_INCARNATIONS = 8
"""Remembered incarnations of an entry; all but the latest are refused."""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times of links and heartbeats.

    Attributes:
        heartbeat_ms: Time between heartbeats on a link.
        silence_timeout_ms: Time without a message after which a link is closed.
        steward_timeout_ms: Time without a message from the zone's steward after which
            an entry follows the platform itself and tries to acquire the duty.
        min_backoff_ms: First backoff after a dial; it doubles with each further dial.
        max_backoff_ms: Longest backoff.
        deferred_dial_ms: How long an entry waits for a peer of its zone with a smaller
            name to dial it, before it dials itself.
        keep_link_ms: How long a link outside the topology is kept after its last use.
        fallback_links: Number of links to other zones that an entry opens if it
            has neither a steward nor the platform.
    """

    heartbeat_ms: int = 1_000
    silence_timeout_ms: int = 3_500
    steward_timeout_ms: int = 1_500
    min_backoff_ms: int = 200
    max_backoff_ms: int = 5_000
    deferred_dial_ms: int = 1_000
    keep_link_ms: int = 30_000
    fallback_links: int = 2


@dataclass(slots=True)
class LinkedPeer:
    """A peer with an open link, and its latest heartbeat."""

    zone: ZoneId
    incarnation: Incarnation
    last_message_ms: int
    heartbeat: Heartbeat | None = None


@dataclass(frozen=True, slots=True)
class KnownSteward:
    """The steward of a zone under the highest term known."""

    entry: EntryId
    term: Term


@dataclass(slots=True)
class _Backoff:
    since_ms: int
    next_ms: int
    pause_ms: int = 0


@dataclass(slots=True)
class Membership:
    """Members as listed by the platform, and peers as seen on links.

    Attributes:
        own: This entry.
        seeds: Addresses to dial while no member is known.
        rng: Source of the jitter between dials.
        settings: Times and bounds of links.
        steward_term: Term under which this entry is its zone's steward, or 0.
        is_platform_available: Whether the platform responded at the last attempt.
        old_term_messages: Number of messages refused for an old steward term.
    """

    own: Member
    rng: random.Random
    seeds: Sequence[PeerAddress] = ()
    settings: MembershipSettings = field(default_factory=MembershipSettings)
    steward_term: Term = Term(0)  # noqa: RUF009
    is_platform_available: bool = True
    old_term_messages: int = 0
    at_version: int = -1
    members: dict[EntryId, Member] = field(default_factory=dict)
    links: dict[EntryId, LinkedPeer] = field(default_factory=dict)
    stewards: dict[ZoneId, KnownSteward] = field(default_factory=dict)
    _incarnations: dict[EntryId, list[Incarnation]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _backoffs: dict[PeerAddress, _Backoff] = field(default_factory=dict)
    _requested_until_ms: dict[EntryId, int] = field(default_factory=dict)
    _last_needed_ms: dict[EntryId, int] = field(default_factory=dict)
    _rotation_offset: int = 0

    def __post_init__(self) -> None:
        """Draws the offset at which this entry starts when it chooses among others."""
        self._rotation_offset = self.rng.randrange(1_000)

    def apply_member_list(self, listed: MemberList) -> bool:
        """Replaces the members by a newer list; False if it is not newer."""
        if listed.at_version <= self.at_version:
            return False
        self.at_version = listed.at_version
        for member in listed.members:
            self._record_incarnation(member.entry, member.incarnation)
        self.members = {member.entry: member for member in listed.members}
        return True

    def member_list(self) -> MemberList:
        """Returns the known members as a message to relay."""
        return MemberList(self.at_version, tuple(self.members.values()))

    def add_link(self, event: LinkUp, now_ms: int) -> None:
        """Adds a link; it replaces an earlier one to the same entry."""
        self._record_incarnation(event.entry, event.incarnation)
        self.links[event.entry] = LinkedPeer(event.zone, event.incarnation, now_ms)

    def remove_link(self, entry: EntryId) -> None:
        """Removes a link that has ended."""
        self.links.pop(entry, None)

    def mark_alive(self, entry: EntryId, now_ms: int) -> LinkedPeer | None:
        """Records that a peer sent a message; returns None if it has no link."""
        peer = self.links.get(entry)
        if peer is not None:
            peer.last_message_ms = now_ms
        return peer

    def handle_heartbeat(
        self, entry: EntryId, heartbeat: Heartbeat, now_ms: int
    ) -> None:
        """Records a heartbeat and the steward that it names."""
        peer = self.mark_alive(entry, now_ms)
        if peer is None:
            return
        peer.heartbeat = heartbeat
        if heartbeat.steward_term:
            self._record_steward(peer.zone, entry, heartbeat.steward_term)
        elif heartbeat.steward is not None and peer.zone not in self.stewards:
            self.stewards[peer.zone] = KnownSteward(heartbeat.steward, Term(0))

    def is_old_term(self, zone: ZoneId, term: Term) -> bool:
        """Returns whether a steward's message is of an old term; counts it if so."""
        steward = self.stewards.get(zone)
        is_old = steward is not None and term < steward.term
        self.old_term_messages += is_old
        return is_old

    def live_steward(self, zone: ZoneId, now_ms: int) -> EntryId | None:
        """Returns the steward of a zone if it is this entry or sends heartbeats."""
        if zone == self.own.zone and self.steward_term:
            return self.own.entry
        steward = self.stewards.get(zone)
        peer = self.links.get(steward.entry) if steward else None
        if steward is None or peer is None or peer.heartbeat is None:
            return None
        is_fresh = now_ms - peer.last_message_ms <= self.settings.steward_timeout_ms
        return steward.entry if is_fresh and peer.heartbeat.steward_term else None

    def has_steward(self, now_ms: int) -> bool:
        """Returns whether this entry's zone has a live steward."""
        return self.live_steward(self.own.zone, now_ms) is not None

    def silent_peers(self, now_ms: int) -> tuple[EntryId, ...]:
        """Returns the linked peers that exceeded ``silence_timeout_ms``."""
        oldest_ms = now_ms - self.settings.silence_timeout_ms
        return tuple(
            entry
            for entry, peer in self.links.items()
            if peer.last_message_ms < oldest_ms
        )

    def request_link(self, entry: EntryId, now_ms: int) -> None:
        """Requests a link to an entry outside the topology for ``keep_link_ms``."""
        self._requested_until_ms[entry] = now_ms + self.settings.keep_link_ms

    def desired_links(self, now_ms: int) -> set[EntryId]:
        """Returns the entries to which this entry should have a link."""
        requested = {
            entry for entry, until in self._requested_until_ms.items() if until > now_ms
        }
        zone_peers = {member.entry for member in self._in_zone(self.own.zone)}
        desired = requested | zone_peers
        if self.steward_term:
            desired |= self._other_stewards(now_ms)
        elif not self.has_steward(now_ms) and not self.is_platform_available:
            desired |= self._fallback_links(now_ms)
        return (desired - {self.own.entry}) & self.members.keys()

    def due_dials(self, now_ms: int) -> tuple[Dial, ...]:
        """Returns the connections to open now, and starts their backoff."""
        missing = self.desired_links(now_ms) - self.links.keys()
        targets = [self._dial_to(self.members[entry]) for entry in sorted(missing)]
        if not self.links and len(self.members) <= 1:
            targets.extend(Dial(seed, None) for seed in self.seeds)
        self._remove_backoffs({dial.target for dial in targets})
        return tuple(dial for dial in targets if self._is_due(dial, now_ms))

    def unneeded_peers(self, now_ms: int) -> tuple[EntryId, ...]:
        """Returns the peers in other zones whose links no side needed for long.

        A link is kept for ``keep_link_ms`` after it was last needed.
        """
        desired_links = self.desired_links(now_ms)
        for entry, peer in self.links.items():
            if entry in desired_links or self._may_need_link(peer):
                self._last_needed_ms[entry] = now_ms
        for entry in self._last_needed_ms.keys() - self.links.keys():
            del self._last_needed_ms[entry]
        oldest_ms = now_ms - self.settings.keep_link_ms
        return tuple(
            entry for entry, at in self._last_needed_ms.items() if at < oldest_ms
        )

    def admission(self) -> Admission:
        """Returns the members that a connecting peer is checked against."""
        return Admission(
            zones={member.entry: member.zone for member in self.members.values()},
            superseded={
                entry: frozenset(incarnations[:-1])
                for entry, incarnations in self._incarnations.items()
            },
        )

    def _record_steward(self, zone: ZoneId, entry: EntryId, term: Term) -> None:
        if not self.is_old_term(zone, term):
            self.stewards[zone] = KnownSteward(entry, term)

    def _may_need_link(self, peer: LinkedPeer) -> bool:
        """Returns whether a peer is in this zone, a steward, or without a steward."""
        heartbeat = peer.heartbeat
        if peer.zone == self.own.zone or heartbeat is None:
            return True
        return bool(heartbeat.steward_term) or heartbeat.steward is None

    def _record_incarnation(self, entry: EntryId, incarnation: Incarnation) -> None:
        """Stores incarnations in the order in which they were first seen."""
        incarnations = self._incarnations[entry]
        if incarnation not in incarnations:
            incarnations.append(incarnation)
            del incarnations[:-MAX_INCARNATIONS]

    def _in_zone(self, zone: ZoneId) -> list[Member]:
        return [member for member in self.members.values() if member.zone == zone]

    def _other_stewards(self, now_ms: int) -> set[EntryId]:
        """Returns the steward of each other zone, or a member that can name it."""
        zones = {member.zone for member in self.members.values()} - {self.own.zone}
        targets = set()
        for zone in zones:
            entries = sorted(member.entry for member in self._in_zone(zone))
            steward = self.stewards.get(zone)
            is_listed = steward is not None and steward.entry in entries
            if (
                steward is not None
                and is_listed
                and not self._is_former_steward(steward.entry)
            ):
                targets.add(steward.entry)
            else:
                targets.add(entries[self._rotation(now_ms) % len(entries)])
        return targets

    def _rotation(self, now_ms: int) -> int:
        """Returns a number that differs between entries and grows slowly.

        It spreads the choices of entries over the members and over time.
        """
        return self._rotation_offset + now_ms // self.settings.max_backoff_ms

    def _is_former_steward(self, entry: EntryId) -> bool:
        """Returns whether a peer that was steward reports that it no longer is."""
        peer = self.links.get(entry)
        return (
            peer is not None
            and peer.heartbeat is not None
            and not peer.heartbeat.steward_term
        )

    def _fallback_links(self, now_ms: int) -> set[EntryId]:
        others = sorted(
            member.entry
            for member in self.members.values()
            if member.zone != self.own.zone
        )
        turn = self._rotation(now_ms)
        count = min(self.settings.fallback_links, len(others))
        return {others[(turn + index) % len(others)] for index in range(count)}

    def _dial_to(self, member: Member) -> Dial:
        return Dial(PeerAddress(member.address, member.port), member.entry)

    def _is_due(self, dial: Dial, now_ms: int) -> bool:
        settings = self.settings
        backoff = self._backoffs.get(dial.target)
        if backoff is None:
            member = self.members.get(dial.entry) if dial.entry else None
            is_same_zone = member is not None and member.zone == self.own.zone
            waits = (
                is_same_zone and dial.entry is not None and dial.entry < self.own.entry
            )
            first_ms = now_ms + (settings.deferred_dial_ms if waits else 0)
            backoff = _Backoff(now_ms, first_ms)
            self._backoffs[dial.target] = backoff
        if now_ms < backoff.next_ms:
            return False
        bound_ms = max(settings.min_backoff_ms, 2 * backoff.pause_ms)
        backoff.pause_ms = min(bound_ms, settings.max_backoff_ms)
        jitter_ms = self.rng.randint(backoff.pause_ms // 2, backoff.pause_ms)
        backoff.next_ms = now_ms + jitter_ms
        return True

    def _remove_backoffs(self, targets: set[PeerAddress]) -> None:
        for target in self._backoffs.keys() - targets:
            del self._backoffs[target]
