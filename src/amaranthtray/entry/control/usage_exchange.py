"""Usage sums within a zone, and relayed between zones by their stewards."""

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
    """Passes usage on so that frames grow with zones and not with entries.

    Args:
        own: This entry.
        peers: Links and stewards.
        links: Sends messages.
        serving: Takes what other entries use.
        fresh_ms: Silence after which a source no longer counts.
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
        self._near = UsageAggregator(self._source("near"), fresh_ms=fresh_ms)
        self._far = UsageAggregator(self._source("far"), fresh_ms=fresh_ms)

    def send(self, frame: UsageFrame, now_ms: Millis) -> None:
        """Sends this entry's frame to the entries of its zone."""
        self._near.merge(frame, now_ms)
        for entry in self._mates():
            self._links.send(entry, frame)

    def take(self, entry: EntryId, frame: UsageFrame, now_ms: Millis) -> None:
        """Takes a frame of an entry of this zone, or of another zone's relay."""
        peer = self._peers.members.links.get(entry)
        if peer is None:
            return
        if peer.zone != self._own.zone:
            self._far.merge(frame, now_ms)
            return
        if frame.source == peer.incarnation:
            self._near.merge(frame, now_ms)
        self._serving.post(UsageArrived(frame))

    def relay(self, now_ms: Millis) -> None:
        """Tells other zones of this one, and this zone's entries of the others."""
        outward = self._near.frame(now_ms)
        for entry in self._other_stewards(now_ms):
            self._links.send(entry, outward)
        inward = self._far.frame(now_ms)
        self._serving.post(UsageArrived(inward))
        for entry in self._mates():
            self._links.send(entry, inward)

    def drop(self, source: Incarnation) -> None:
        """Forgets a run of an entry that has ended."""
        self._near.remove_source(source)

    def _source(self, name: str) -> Incarnation:
        own = self._own
        return Incarnation(f"{name}/{own.zone}/{own.incarnation}")

    def _mates(self) -> list[EntryId]:
        links = self._peers.members.links
        return [entry for entry, peer in links.items() if peer.zone == self._own.zone]

    def _other_stewards(self, now_ms: Millis) -> list[EntryId]:
        members = self._peers.members
        zones = [zone for zone in members.stewards if zone != self._own.zone]
        found = [members.live_steward(zone, now_ms) for zone in zones]
        return [entry for entry in found if entry is not None]
