"""Interfaces that the control plane of an entry depends on."""

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
        """Sends a message, or drops it if there is no link."""

    def dial(self, dial: Dial) -> None:
        """Tries to connect; the outcome arrives as a peer event."""

    def hang_up(self, entry: EntryId) -> None:
        """Closes the link to an entry."""

    def admit(self, admission: Admission) -> None:
        """Replaces the members against which new peers are checked."""


class ServingPort(Protocol):
    """The serving part of the entry."""

    def post(self, message: ServingMessage) -> None:
        """Queues a message for the serving part."""
