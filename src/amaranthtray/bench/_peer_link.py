"""Processor time of one frame over a real link on the loopback interface."""

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
ONE, OTHER = EntryId("bench-a"), EntryId("bench-b")


def frame_cost_s() -> float:
    """Returns the processor time of sending and receiving one frame.

    Two hubs pass a heartbeat to and fro, so that each frame wakes its receiver up,
    as frames do that come one by one.

    Raises:
        TimeoutError: The frames did not arrive.
    """
    return _Rally().run()


class _Rally:
    """Two hubs that answer each frame by another."""

    def __init__(self) -> None:
        self._left = FRAMES
        self._is_up = threading.Semaphore(0)
        self._is_over = threading.Event()
        self._hubs = {
            ONE: self._hub(ONE, OTHER),
            OTHER: self._hub(OTHER, ONE),
        }

    def run(self) -> float:
        """Returns the processor time of one frame."""
        ports = {entry: hub.start() for entry, hub in self._hubs.items()}
        try:
            self._hubs[ONE].submit(Dial(PeerAddress(ADDRESS, ports[OTHER]), OTHER))
            for _ in self._hubs:
                if not self._is_up.acquire(timeout=TIMEOUT_S):
                    raise TimeoutError("the link did not come up")
            began = time.process_time()
            self._send(ONE, OTHER)
            if not self._is_over.wait(TIMEOUT_S):
                raise TimeoutError("the frames did not arrive")
            return (time.process_time() - began) / FRAMES
        finally:
            for hub in self._hubs.values():
                hub.stop()

    def _hub(self, own: EntryId, peer: EntryId) -> PeerHub:
        settings = HubSettings(own, ZoneId("z1"), Incarnation("i1"), SECRET, ADDRESS)
        return PeerHub(settings, lambda event: self._take(event, own, peer))

    def _take(self, event: PeerEvent, own: EntryId, peer: EntryId) -> None:
        match event:
            case LinkUp():
                self._is_up.release()
            case Received():
                self._left -= 1
                if self._left > 0:
                    self._send(own, peer)
                else:
                    self._is_over.set()

    def _send(self, own: EntryId, peer: EntryId) -> None:
        beat = Heartbeat(Revision(self._left), Term(0), 0, 0, ONE)
        self._hubs[own].send(peer, beat)
