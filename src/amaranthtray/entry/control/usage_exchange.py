"""Exchange of slot usage within a zone, and between zones through their stewards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...domain.ids import Incarnation
from ...domain.serving import UsageArrived
from ...domain.shares import UsageAggregator, UsageFrame

if TYPE_CHECKING:
    from ...domain.ids import EntryId, Millis
    from ...peers.control import PeerControl
    from ...peers.messages import Member
    from .ports import Links, ServingPort


class UsageExchange:
    """Sends usage to other entries, summed by zone for those of other zones.

    The number of frames grows with the zones and not with the entries of other zones.

    Args:
        own: This entry.
        peers: The linked peers and the stewards of the zones.
        links: Links over which frames are sent.
        serving: The serving part, which receives the usage of other entries.
        fresh_ms: Time without a frame after which a source no longer counts.
    """

    def __init__(
        self,
        own: Member,
        peers: PeerControl,
        links: Links,
        serving: ServingPort,
        *,
        fresh_ms: int,
    ) -> None:
        self._own = own
        self._peers = peers
        self._links = links
        self._serving = serving
        self._own_zone = UsageAggregator(self._source("near"), fresh_ms=fresh_ms)
        self._other_zones = UsageAggregator(self._source("far"), fresh_ms=fresh_ms)

    def send(self, frame: UsageFrame, now_ms: Millis) -> None:
        """Sends this entry's frame to the entries of its zone."""
        self._own_zone.merge(frame, now_ms)
        for entry in self._linked_zone_entries():
            self._links.send(entry, frame)

    def handle_frame(self, entry: EntryId, frame: UsageFrame, now_ms: Millis) -> None:
        """Records a frame of an entry of this zone, or of another zone's steward."""
        peer = self._peers.members.links.get(entry)
        if peer is None:
            return
        if peer.zone != self._own.zone:
            self._other_zones.merge(frame, now_ms)
            return
        if frame.source == peer.incarnation:
            self._own_zone.merge(frame, now_ms)
        self._serving.post(UsageArrived(frame))

    def relay(self, now_ms: Millis) -> None:
        """Sends this zone's usage to other zones, and theirs to this zone's entries."""
        own_usage = self._own_zone.frame(now_ms)
        for entry in self._stewards_of_other_zones(now_ms):
            self._links.send(entry, own_usage)
        other_usage = self._other_zones.frame(now_ms)
        self._serving.post(UsageArrived(other_usage))
        for entry in self._linked_zone_entries():
            self._links.send(entry, other_usage)

    def remove_source(self, source: Incarnation) -> None:
        """Removes the usage of an incarnation that has ended."""
        self._own_zone.remove_source(source)

    def _source(self, name: str) -> Incarnation:
        own = self._own
        return Incarnation(f"{name}/{own.zone}/{own.incarnation}")

    def _linked_zone_entries(self) -> list[EntryId]:
        links = self._peers.members.links
        return [entry for entry, peer in links.items() if peer.zone == self._own.zone]

    def _stewards_of_other_zones(self, now_ms: Millis) -> list[EntryId]:
        members = self._peers.members
        zones = [zone for zone in members.stewards if zone != self._own.zone]
        stewards = [members.live_steward(zone, now_ms) for zone in zones]
        return [entry for entry in stewards if entry is not None]
