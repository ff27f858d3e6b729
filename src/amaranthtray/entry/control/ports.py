"""What the control part of an entry needs from its surroundings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ...domain.ids import EntryId
    from ...domain.serving import ServingMessage
    from ...peers.codec import PeerMessage
    from ...peers.events import Dial
    from ...peers.handshake import Admission


class Links(Protocol):
    """Links to other entries."""

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message; without a link it is dropped."""

    def dial(self, dial: Dial) -> None:
        """Tries to connect; the outcome arrives as an event."""

    def hang_up(self, entry: EntryId) -> None:
        """Ends the link to an entry."""

    def admit(self, admission: Admission) -> None:
        """Replaces what new peers are checked against."""


class ServingPort(Protocol):
    """The serving part of the entry."""

    def post(self, message: ServingMessage) -> None:
        """Hands over a message."""
