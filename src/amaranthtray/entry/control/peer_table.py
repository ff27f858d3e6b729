"""What this entry has heard of each linked entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...domain.ids import EntryId, Incarnation, Revision, Term, ZoneId

if TYPE_CHECKING:
    from ...peers.messages import Heartbeat

SILENT_AFTER_MS = 3_500
"""A peer whose last heartbeat is older counts as gone."""


@dataclass(slots=True)
class Peer:
    """A linked entry.

    Attributes:
        heard_ms: When its last heartbeat came.
        revision: Configuration revision that it has in force.
        term: Its steward term, 0 when it is no steward.
        follows: The steward that it follows, if any.
        pushed: Highest revision that was sent to it unasked.
    """

    entry: EntryId
    zone: ZoneId
    incarnation: Incarnation
    heard_ms: int
    revision: Revision = Revision(0)  # noqa: RUF009
    term: Term = Term(0)  # noqa: RUF009
    follows: EntryId | None = None
    pushed: Revision = Revision(0)  # noqa: RUF009


class PeerTable:
    """The linked entries.

    Args:
        zone: This entry's availability zone.
    """

    def __init__(self, zone: ZoneId) -> None:
        self._zone = zone
        self._peers: dict[EntryId, Peer] = {}

    def linked(
        self, entry: EntryId, zone: ZoneId, incarnation: Incarnation, now_ms: int
    ) -> None:
        """Records a link."""
        self._peers[entry] = Peer(entry, zone, incarnation, now_ms)

    def unlinked(self, entry: EntryId) -> None:
        """Forgets an entry whose link has ended."""
        self._peers.pop(entry, None)

    def heartbeat(self, entry: EntryId, beat: Heartbeat, now_ms: int) -> None:
        """Records a heartbeat."""
        peer = self._peers.get(entry)
        if peer is None:
            return
        peer.heard_ms = now_ms
        peer.revision = max(peer.revision, beat.revision)
        peer.term = beat.steward_term
        peer.follows = beat.steward

    def get(self, entry: EntryId) -> Peer | None:
        """Returns a linked entry."""
        return self._peers.get(entry)

    def all(self) -> list[Peer]:
        """Returns all linked entries."""
        return list(self._peers.values())

    def near(self) -> list[Peer]:
        """Returns the linked entries of this zone."""
        return [peer for peer in self._peers.values() if peer.zone == self._zone]

    def stewards(self, now_ms: int) -> list[Peer]:
        """Returns the live linked entries that are stewards of other zones."""
        return [
            peer
            for peer in self._peers.values()
            if peer.term and peer.zone != self._zone and _is_live(peer, now_ms)
        ]

    def own_steward(self, now_ms: int) -> Peer | None:
        """Returns the live steward of this zone with the highest term, if linked."""
        held = [peer for peer in self.near() if peer.term and _is_live(peer, now_ms)]
        return max(held, key=lambda peer: peer.term, default=None)

    def silent(self, now_ms: int) -> list[EntryId]:
        """Returns the linked entries that have not been heard for too long."""
        return [
            entry for entry, peer in self._peers.items() if not _is_live(peer, now_ms)
        ]


def _is_live(peer: Peer, now_ms: int) -> bool:
    return now_ms - peer.heard_ms <= SILENT_AFTER_MS
