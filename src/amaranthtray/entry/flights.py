"""Requests in flight and their final replies, so that a duplicate never runs anew."""

from __future__ import annotations

import hashlib
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .replies import Reply

if TYPE_CHECKING:
    from ..domain.ids import QueueName, RequestId, TeamName
    from .results import ResultCache


@dataclass(slots=True)
class Flight:
    """One request in flight at this entry.

    Attributes:
        fingerprint: Digest of queue and body; a duplicate must have the same.
        reply: The final reply, once there is one.
    """

    fingerprint: bytes
    reply: Reply | None = None
    landed: threading.Event = field(default_factory=threading.Event)


def fingerprint_of(queue: QueueName, body: bytes) -> bytes:
    """Returns the digest that tells a duplicate from another request."""
    return hashlib.blake2b(body, digest_size=16, key=queue.encode()[:64]).digest()


class FlightTable:
    """Joins duplicates in flight and keeps the replies of those that landed.

    Args:
        results: Keeps final replies for a while.
    """

    def __init__(self, results: ResultCache) -> None:
        self._results = results
        self._lock = threading.Lock()
        self._flights: dict[tuple[TeamName, RequestId], Flight] = {}

    def board(
        self, team: TeamName, request_id: RequestId, fingerprint: bytes
    ) -> tuple[Flight, bool]:
        """Returns the flight of a request and whether the caller must run it."""
        key = (team, request_id)
        with self._lock:
            flight = self._flights.get(key)
            if flight is not None:
                return flight, False
            flight = Flight(fingerprint)
            self._flights[key] = flight
            return flight, True

    def land(
        self, team: TeamName, request_id: RequestId, reply: Reply, now_ms: int
    ) -> None:
        """Gives the final reply to everyone who waits and keeps it for a while."""
        key = (team, request_id)
        with self._lock:
            flight = self._flights.pop(key)
            self._results.put(key, reply, now_ms)
        flight.reply = reply
        flight.landed.set()

    def find(self, team: TeamName, request_id: RequestId) -> Flight | None:
        """Returns the flight of a request that has no final reply yet."""
        with self._lock:
            return self._flights.get((team, request_id))
