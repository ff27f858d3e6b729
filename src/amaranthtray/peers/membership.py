"""Who is in the fleet, who is heard, and which links an entry wants."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..domain.ids import EntryId, Incarnation, Term, ZoneId
from .events import Dial, LinkUp, PeerAddress
from .handshake import Admission
from .messages import Heartbeat, Member, MemberList

MAX_SUPERSEDED = 8
"""Earlier runs of one entry that are remembered and refused."""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times of links and heartbeats.

    Attributes:
        heartbeat_ms: Time between heartbeats on a link.
        death_ms: Silence after which a link is closed.
        steward_silence_ms: Silence of the zone's steward after which an entry looks
            at the platform itself and wants the duty.
        dial_min_ms: First pause after a failed dial; it doubles.
        dial_max_ms: Longest pause.
        second_dial_ms: How long the entry with the greater name waits to be dialed.
        demand_ms: How long a link outside the topology is kept after its last use.
        uplinks: Links to other zones of an entry that has neither steward nor
            platform.
    """

    heartbeat_ms: int = 1_000
    death_ms: int = 3_500
    steward_silence_ms: int = 1_500
    dial_min_ms: int = 200
    dial_max_ms: int = 5_000
    second_dial_ms: int = 1_000
    demand_ms: int = 30_000
    uplinks: int = 2


@dataclass(slots=True)
class LinkedPeer:
    """A peer with a link."""

    zone: ZoneId
    incarnation: Incarnation
    heard_ms: int
    beat: Heartbeat | None = None


@dataclass(frozen=True, slots=True)
class StewardSeen:
    """The steward of a zone under the highest term heard."""

    entry: EntryId
    term: Term


@dataclass(slots=True)
class _Backoff:
    since_ms: int
    next_ms: int
    pause_ms: int = 0


@dataclass(slots=True)
class Membership:
    """Members as the platform lists them, and peers as links show them.

    Attributes:
        own: This entry.
        seeds: Addresses to dial while no member is known.
        rng: Source of the jitter between dials.
        settings: Times.
        steward_term: Term under which this entry is its zone's steward, or 0.
        sees_platform: Whether the platform answered lately.
        old_terms: Number of messages refused for an old steward term.
    """

    own: Member
    rng: random.Random
    seeds: Sequence[PeerAddress] = ()
    settings: MembershipSettings = field(default_factory=MembershipSettings)
    steward_term: Term = Term(0)  # noqa: RUF009
    sees_platform: bool = True
    old_terms: int = 0
    at_version: int = -1
    members: dict[EntryId, Member] = field(default_factory=dict)
    links: dict[EntryId, LinkedPeer] = field(default_factory=dict)
    stewards: dict[ZoneId, StewardSeen] = field(default_factory=dict)
    _superseded: dict[EntryId, list[Incarnation]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _backoffs: dict[PeerAddress, _Backoff] = field(default_factory=dict)
    _demands: dict[EntryId, int] = field(default_factory=dict)
    _needed_ms: dict[EntryId, int] = field(default_factory=dict)
    _offset: int = 0

    def __post_init__(self) -> None:
        """Draws where this entry begins when it has to choose among others."""
        self._offset = self.rng.randrange(1_000)

    def take_list(self, listed: MemberList) -> bool:
        """Replaces the members by a newer list; false if it is not newer."""
        if listed.at_version <= self.at_version:
            return False
        self.at_version = listed.at_version
        for member in listed.members:
            self._note_run(member.entry, member.incarnation)
        self.members = {one.entry: one for one in listed.members}
        return True

    def member_list(self) -> MemberList:
        """Returns the members to pass on."""
        return MemberList(self.at_version, tuple(self.members.values()))

    def link_up(self, event: LinkUp, now_ms: int) -> None:
        """Notes a link; an earlier one to the same entry is gone."""
        self._note_run(event.entry, event.incarnation)
        self.links[event.entry] = LinkedPeer(event.zone, event.incarnation, now_ms)

    def link_down(self, entry: EntryId) -> None:
        """Notes the end of a link."""
        self.links.pop(entry, None)

    def hear(self, entry: EntryId, now_ms: int) -> LinkedPeer | None:
        """Notes that a peer is alive; none if it has no link."""
        peer = self.links.get(entry)
        if peer is not None:
            peer.heard_ms = now_ms
        return peer

    def take_beat(self, entry: EntryId, beat: Heartbeat, now_ms: int) -> None:
        """Notes a heartbeat and who it says is steward."""
        peer = self.hear(entry, now_ms)
        if peer is None:
            return
        peer.beat = beat
        if beat.steward_term:
            self._take_steward(peer.zone, entry, beat.steward_term)
        elif beat.steward is not None and peer.zone not in self.stewards:
            self.stewards[peer.zone] = StewardSeen(beat.steward, Term(0))

    def is_old_term(self, zone: ZoneId, term: Term) -> bool:
        """Returns and counts whether a steward's message is of an old term."""
        seen = self.stewards.get(zone)
        is_old = seen is not None and term < seen.term
        self.old_terms += is_old
        return is_old

    def live_steward(self, zone: ZoneId, now_ms: int) -> EntryId | None:
        """Returns the steward of a zone if it is this entry or is heard."""
        if zone == self.own.zone and self.steward_term:
            return self.own.entry
        seen = self.stewards.get(zone)
        peer = self.links.get(seen.entry) if seen else None
        if seen is None or peer is None or peer.beat is None:
            return None
        is_fresh = now_ms - peer.heard_ms <= self.settings.steward_silence_ms
        return seen.entry if is_fresh and peer.beat.steward_term else None

    def has_steward(self, now_ms: int) -> bool:
        """Returns whether this entry's zone has a steward that is heard."""
        return self.live_steward(self.own.zone, now_ms) is not None

    def dead(self, now_ms: int) -> tuple[EntryId, ...]:
        """Returns the peers that were not heard for too long."""
        oldest_ms = now_ms - self.settings.death_ms
        return tuple(
            entry for entry, peer in self.links.items() if peer.heard_ms < oldest_ms
        )

    def request_link(self, entry: EntryId, now_ms: int) -> None:
        """Keeps a link to an entry outside the topology for some time."""
        self._demands[entry] = now_ms + self.settings.demand_ms

    def wanted(self, now_ms: int) -> set[EntryId]:
        """Returns the entries to hold a link to."""
        demanded = {one for one, until in self._demands.items() if until > now_ms}
        mates = {one.entry for one in self._in_zone(self.own.zone)}
        found = demanded | mates
        if self.steward_term:
            found |= self._other_stewards(now_ms)
        elif not self.has_steward(now_ms) and not self.sees_platform:
            found |= self._uplinks(now_ms)
        return (found - {self.own.entry}) & self.members.keys()

    def dials(self, now_ms: int) -> tuple[Dial, ...]:
        """Returns the connections to open now."""
        missing = self.wanted(now_ms) - self.links.keys()
        targets = [self._dial_of(self.members[entry]) for entry in sorted(missing)]
        if not self.links and len(self.members) <= 1:
            targets.extend(Dial(seed, None) for seed in self.seeds)
        self._forget_backoffs({dial.target for dial in targets})
        return tuple(dial for dial in targets if self._is_due(dial, now_ms))

    def idle(self, now_ms: int) -> tuple[EntryId, ...]:
        """Returns the links to other zones that neither side needed for long."""
        wanted = self.wanted(now_ms)
        for entry, peer in self.links.items():
            if entry in wanted or self._may_need_us(peer):
                self._needed_ms[entry] = now_ms
        for entry in self._needed_ms.keys() - self.links.keys():
            del self._needed_ms[entry]
        oldest_ms = now_ms - self.settings.demand_ms
        return tuple(one for one, at in self._needed_ms.items() if at < oldest_ms)

    def admission(self) -> Admission:
        """Returns what the hub checks new peers against."""
        return Admission(
            zones={one.entry: one.zone for one in self.members.values()},
            superseded={
                entry: frozenset(runs[:-1]) for entry, runs in self._superseded.items()
            },
        )

    def _take_steward(self, zone: ZoneId, entry: EntryId, term: Term) -> None:
        if not self.is_old_term(zone, term):
            self.stewards[zone] = StewardSeen(entry, term)

    def _may_need_us(self, peer: LinkedPeer) -> bool:
        """Returns whether a peer is a mate, a steward, or without a steward."""
        beat = peer.beat
        if peer.zone == self.own.zone or beat is None:
            return True
        return bool(beat.steward_term) or beat.steward is None

    def _note_run(self, entry: EntryId, incarnation: Incarnation) -> None:
        """Remembers runs in the order in which they were first seen."""
        runs = self._superseded[entry]
        if incarnation not in runs:
            runs.append(incarnation)
            del runs[:-MAX_SUPERSEDED]

    def _in_zone(self, zone: ZoneId) -> list[Member]:
        return [one for one in self.members.values() if one.zone == zone]

    def _other_stewards(self, now_ms: int) -> set[EntryId]:
        """Returns each zone's steward, or a member that can name it."""
        zones = {one.zone for one in self.members.values()} - {self.own.zone}
        found = set()
        for zone in zones:
            entries = sorted(one.entry for one in self._in_zone(zone))
            seen = self.stewards.get(zone)
            known = seen is not None and seen.entry in entries
            if seen is not None and known and not self._is_deposed(seen.entry):
                found.add(seen.entry)
            else:
                found.add(entries[self._turn(now_ms) % len(entries)])
        return found

    def _turn(self, now_ms: int) -> int:
        """Returns a number that differs between entries and changes slowly."""
        return self._offset + now_ms // self.settings.dial_max_ms

    def _is_deposed(self, entry: EntryId) -> bool:
        """Returns whether a peer that was steward says that it no longer is."""
        peer = self.links.get(entry)
        return peer is not None and peer.beat is not None and not peer.beat.steward_term

    def _uplinks(self, now_ms: int) -> set[EntryId]:
        others = sorted(
            one.entry for one in self.members.values() if one.zone != self.own.zone
        )
        turn = self._turn(now_ms)
        count = min(self.settings.uplinks, len(others))
        return {others[(turn + index) % len(others)] for index in range(count)}

    def _dial_of(self, member: Member) -> Dial:
        return Dial(PeerAddress(member.address, member.port), member.entry)

    def _is_due(self, dial: Dial, now_ms: int) -> bool:
        settings = self.settings
        backoff = self._backoffs.get(dial.target)
        if backoff is None:
            member = self.members.get(dial.entry) if dial.entry else None
            is_mate = member is not None and member.zone == self.own.zone
            waits = is_mate and dial.entry is not None and dial.entry < self.own.entry
            first_ms = now_ms + (settings.second_dial_ms if waits else 0)
            backoff = _Backoff(now_ms, first_ms)
            self._backoffs[dial.target] = backoff
        if now_ms < backoff.next_ms:
            return False
        bound_ms = max(settings.dial_min_ms, 2 * backoff.pause_ms)
        backoff.pause_ms = min(bound_ms, settings.dial_max_ms)
        jitter_ms = self.rng.randint(backoff.pause_ms // 2, backoff.pause_ms)
        backoff.next_ms = now_ms + jitter_ms
        return True

    def _forget_backoffs(self, targets: set[PeerAddress]) -> None:
        for target in self._backoffs.keys() - targets:
            del self._backoffs[target]
