"""Links to other entries, for the control plane and for forwarded requests."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from ..peers.events import CloseLink, Dial, LinkDown, LinkUp, PeerEvent
from ..peers.hub import HubSettings, PeerHub

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import EntryId
    from ..peers.codec import PeerMessage
    from ..peers.handshake import Admission


class HubLinks:
    """Implements ``control.Links`` and ``forwarding.PeerLinks`` over the hub.

    Args:
        settings: Identity and address of this entry, for its peers.
        on_event: Called with each event of the links; must not block.
        on_link_request: Called to request a link to an entry.
    """

    def __init__(
        self,
        settings: HubSettings,
        *,
        on_event: Callable[[PeerEvent], None],
        on_link_request: Callable[[EntryId], None],
    ) -> None:
        self.hub = PeerHub(settings, self._handle_event)
        self._on_event = on_event
        self._on_link_request = on_link_request
        self._changed = threading.Condition()
        self._up: set[EntryId] = set()

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message, or drops it if there is no link."""
        self.hub.send(to, message)

    def dial(self, dial: Dial) -> None:
        """Tries to connect; the outcome arrives as a peer event."""
        self.hub.submit(dial)

    def hang_up(self, entry: EntryId) -> None:
        """Closes the link to an entry."""
        self.hub.submit(CloseLink(entry))

    def admit(self, admission: Admission) -> None:
        """Replaces the members against which new peers are checked."""
        self.hub.set_admission(admission)

    def ensure_link(self, entry: EntryId, timeout_ms: int) -> bool:
        """Requests a link if there is none; returns whether one is up in time."""
        with self._changed:
            if entry in self._up:
                return True
            self._on_link_request(entry)
            return self._changed.wait_for(lambda: entry in self._up, timeout_ms / 1_000)

    def _handle_event(self, event: PeerEvent) -> None:
        match event:
            case LinkUp(entry=entry):
                self._mark_link(entry, is_up=True)
            case LinkDown(entry=entry):
                self._mark_link(entry, is_up=False)
        self._on_event(event)

    def _mark_link(self, entry: EntryId, *, is_up: bool) -> None:
        with self._changed:
            if is_up:
                self._up.add(entry)
            else:
                self._up.discard(entry)
            self._changed.notify_all()
