"""Processor time of a frame on a link over the loopback interface."""

from __future__ import annotations

import threading
import time

from ..domain.ids import EntryId, Incarnation, Revision, Term, ZoneId
from ..peers.events import Dial, LinkUp, PeerAddress, PeerEvent, Received
from ..peers.hub import HubSettings, PeerHub
from ..peers.messages import Heartbeat

FRAMES = 2_000
TIMEOUT_S = 30.0
SECRET = b"bench"
ADDRESS = "127.0.0.1"
FIRST, SECOND = EntryId("bench-a"), EntryId("bench-b")


def frame_cost_s() -> float:
    """Returns the processor time of sending and receiving one frame.

    Two hubs send a heartbeat back and forth, so that each frame wakes its receiver,
    as frames do that arrive one at a time.

    Raises:
        TimeoutError: The link did not come up, or the frames did not arrive.
    """
    return _PingPong().run()


class _PingPong:
    """Two hubs that answer each received frame with another one."""

    def __init__(self) -> None:
        self._remaining_frames = FRAMES
        self._links_up = threading.Semaphore(0)
        self._finished = threading.Event()
        self._hubs = {
            FIRST: self._hub(FIRST, SECOND),
            SECOND: self._hub(SECOND, FIRST),
        }

    def run(self) -> float:
        """Returns the processor time of one frame."""
        ports = {entry: hub.start() for entry, hub in self._hubs.items()}
        try:
            self._hubs[FIRST].submit(Dial(PeerAddress(ADDRESS, ports[SECOND]), SECOND))
            for _ in self._hubs:
                if not self._links_up.acquire(timeout=TIMEOUT_S):
                    raise TimeoutError("the link did not come up")
            start_s = time.process_time()
            self._send(FIRST, SECOND)
            if not self._finished.wait(TIMEOUT_S):
                raise TimeoutError("the frames did not arrive")
            return (time.process_time() - start_s) / FRAMES
        finally:
            for hub in self._hubs.values():
                hub.stop()

    def _hub(self, own: EntryId, peer: EntryId) -> PeerHub:
        settings = HubSettings(own, ZoneId("z1"), Incarnation("i1"), SECRET, ADDRESS)
        return PeerHub(settings, lambda event: self._handle_event(event, own, peer))

    def _handle_event(self, event: PeerEvent, own: EntryId, peer: EntryId) -> None:
        match event:
            case LinkUp():
                self._links_up.release()
            case Received():
                self._remaining_frames -= 1
                if self._remaining_frames > 0:
                    self._send(own, peer)
                else:
                    self._finished.set()

    def _send(self, own: EntryId, peer: EntryId) -> None:
        heartbeat = Heartbeat(Revision(self._remaining_frames), Term(0), 0, 0, FIRST)
        self._hubs[own].send(peer, heartbeat)
