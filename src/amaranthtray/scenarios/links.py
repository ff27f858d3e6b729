"""Links between virtual entries; a cut is noticed only by silence."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..peers.events import DialFailed, LinkDown, LinkUp, Received

if TYPE_CHECKING:
    from ..domain.ids import EntryId
    from ..peers.codec import PeerMessage
    from ..peers.events import Dial
    from ..peers.handshake import Admission
    from .entry import VirtualEntry
    from .world import World


class VirtualLinks:
    """Implements ``Links`` for one run of an entry."""

    def __init__(self, world: World, entry: VirtualEntry) -> None:
        self._world = world
        self._entry = entry
        self._linked: dict[EntryId, VirtualEntry] = {}

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message; without a link it is dropped."""
        peer = self._linked.get(to)
        if peer is not None:
            received = Received(self._entry.name, message)
            self._world.send(self._entry, peer, partial(peer.control.put, received))

    def dial(self, dial: Dial) -> None:
        """Links two entries if messages pass in both directions."""
        peer = self._world.entries.get(dial.entry) if dial.entry else None
        name = self._entry.name
        if (
            peer is None
            or not peer.is_alive
            or not self._world.network.joins(name, peer.name)
        ):
            failed = DialFailed(dial.target, dial.entry, "no connection")
            self._entry.control.put(failed)
            return
        self._world.send(self._entry, peer, partial(peer.links.up, self._entry))
        self._world.send(peer, self._entry, partial(self.up, peer))

    def up(self, peer: VirtualEntry) -> None:
        """Takes a link that has come up."""
        self._linked[peer.name] = peer
        event = LinkUp(peer.name, peer.zone, peer.incarnation)
        self._entry.control.put(event)

    def hang_up(self, entry: EntryId) -> None:
        """Ends the link to an entry."""
        peer = self._linked.pop(entry, None)
        if peer is not None:
            self._world.send(self._entry, peer, partial(peer.links.down, self._entry))

    def down(self, peer: VirtualEntry) -> None:
        """Takes the end of a link by the other side."""
        if self._linked.get(peer.name) is peer:
            del self._linked[peer.name]
            self._entry.control.put(LinkDown(peer.name, "closed"))

    def break_all(self) -> None:
        """Ends all links, as when the process dies."""
        for name in list(self._linked):
            self.hang_up(name)

    def admit(self, admission: Admission) -> None:
        """Ignores who may link: every virtual entry is what it says."""
