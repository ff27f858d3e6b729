"""Links between virtual entries; a cut drops messages but closes no link."""

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
    """Implements ``Links`` for one incarnation of an entry."""

    def __init__(self, world: World, entry: VirtualEntry) -> None:
        self._world = world
        self._entry = entry
        self._peers: dict[EntryId, VirtualEntry] = {}

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message, or drops it if there is no link."""
        peer = self._peers.get(to)
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
            or not self._world.network.is_connected(name, peer.name)
        ):
            failed = DialFailed(dial.target, dial.entry, "no connection")
            self._entry.control.put(failed)
            return
        self._world.send(
            self._entry, peer, partial(peer.links.handle_link_up, self._entry)
        )
        self._world.send(peer, self._entry, partial(self.handle_link_up, peer))

    def handle_link_up(self, peer: VirtualEntry) -> None:
        """Records a link that has been established."""
        self._peers[peer.name] = peer
        event = LinkUp(peer.name, peer.zone, peer.incarnation)
        self._entry.control.put(event)

    def hang_up(self, entry: EntryId) -> None:
        """Closes the link to an entry."""
        peer = self._peers.pop(entry, None)
        if peer is not None:
            self._world.send(
                self._entry, peer, partial(peer.links.handle_link_down, self._entry)
            )

    def handle_link_down(self, peer: VirtualEntry) -> None:
        """Removes a link that the other side has closed."""
        if self._peers.get(peer.name) is peer:
            del self._peers[peer.name]
            self._entry.control.put(LinkDown(peer.name, "closed"))

    def close_all(self) -> None:
        """Closes all links, as the end of the process does."""
        for name in list(self._peers):
            self.hang_up(name)

    def admit(self, admission: Admission) -> None:
        """Does nothing: virtual entries never claim a false identity."""
