"""Links to other entries, as the control part and forwarded requests use them."""

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
    """Implements ``control.Links`` and ``forwarding.PeerPort`` over the hub.

    Args:
        settings: Who this entry is towards its peers.
        on_event: Takes what happens on the links; must not block.
        on_wanted: Asks the control part for a link to an entry.
    """

    def __init__(
        self,
        settings: HubSettings,
        *,
        on_event: Callable[[PeerEvent], None],
        on_wanted: Callable[[EntryId], None],
    ) -> None:
        self.hub = PeerHub(settings, self._post)
        self._on_event = on_event
        self._on_wanted = on_wanted
        self._changed = threading.Condition()
        self._up: set[EntryId] = set()

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message; without a link it is dropped."""
        self.hub.send(to, message)

    def dial(self, dial: Dial) -> None:
        """Tries to connect."""
        self.hub.submit(dial)

    def hang_up(self, entry: EntryId) -> None:
        """Ends the link to an entry."""
        self.hub.submit(CloseLink(entry))

    def admit(self, admission: Admission) -> None:
        """Replaces what new peers are checked against."""
        self.hub.set_admission(admission)

    def reach(self, entry: EntryId, timeout_ms: int) -> bool:
        """Makes sure of a link to an entry; false if there is none in time."""
        with self._changed:
            if entry in self._up:
                return True
            self._on_wanted(entry)
            return self._changed.wait_for(lambda: entry in self._up, timeout_ms / 1_000)

    def _post(self, event: PeerEvent) -> None:
        match event:
            case LinkUp(entry=entry):
                self._note(entry, is_up=True)
            case LinkDown(entry=entry):
                self._note(entry, is_up=False)
        self._on_event(event)

    def _note(self, entry: EntryId, *, is_up: bool) -> None:
        with self._changed:
            if is_up:
                self._up.add(entry)
            else:
                self._up.discard(entry)
            self._changed.notify_all()
