"""Bounded queue of the messages to one peer."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

from ..domain.shares.frames import UsageFrame
from .messages import Heartbeat, MemberList, ZoneRevision

if TYPE_CHECKING:
    from .codec import PeerMessage

MAX_QUEUED_MESSAGES = 256


class Outbox:
    """Queues messages; newer heartbeats and reports replace queued older ones.

    Messages of other kinds are never dropped.

    Args:
        limit: Maximum number of queued messages.
    """

    def __init__(self, limit: int = MAX_QUEUED_MESSAGES) -> None:
        self.superseded = 0
        self._limit = limit
        self._queue: deque[PeerMessage] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, message: PeerMessage) -> bool:
        """Queues a message; False if the queue is full and the link must close."""
        older = self._find_superseded(message)
        if older is not None:
            self.superseded += 1
            self._queue.remove(older)
            message = _merge(older, message)
        if len(self._queue) >= self._limit:
            return False
        self._queue.append(message)
        return True

    def get(self) -> PeerMessage | None:
        """Removes and returns the oldest message; None if the queue is empty."""
        return self._queue.popleft() if self._queue else None

    def _find_superseded(self, message: PeerMessage) -> PeerMessage | None:
        if not isinstance(message, Heartbeat | UsageFrame | MemberList | ZoneRevision):
            return None
        return next(
            (queued for queued in self._queue if _supersedes(message, queued)), None
        )


def _supersedes(newer: PeerMessage, older: PeerMessage) -> bool:
    match newer, older:
        case Heartbeat(), Heartbeat():
            return True
        case UsageFrame(), UsageFrame():
            return newer.source == older.source
        case MemberList(), MemberList():
            return newer.at_version >= older.at_version
        case ZoneRevision(), ZoneRevision():
            return newer.zone == older.zone
    return False


def _merge(older: PeerMessage, newer: PeerMessage) -> PeerMessage:
    """Returns the newer message with the sums that only the older one contains."""
    if not isinstance(older, UsageFrame) or not isinstance(newer, UsageFrame):
        return newer
    sums = {pool: dict(teams) for pool, teams in older.sums.items()}
    for pool, teams in newer.sums.items():
        sums.setdefault(pool, {}).update(teams)
    return replace(newer, sums=sums)
