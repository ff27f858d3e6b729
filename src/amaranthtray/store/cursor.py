"""Start version of the next watch, for a store whose watches can miss changes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .contract import WatchBatch

WATCH_GAP_MS = 3_000
"""A watch can miss changes for about a second before the store drops their history.

An empty reply is therefore trusted only once it is older than this: until then the
next watch starts at an earlier version, so that it returns the missed changes or
reports that their history was dropped.
"""


class WatchCursor:
    """Tracks the version after which the next watch of a prefix starts.

    Args:
        version: Version of the listing after which the watch starts.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self._empty_replies: deque[tuple[int, int]] = deque()

    def advance(self, batch: WatchBatch, now_ms: int) -> None:
        """Handles the reply of a watch, received at monotonic time ``now_ms``."""
        if batch.events:
            self._empty_replies.clear()
            newest = max(event.version for event in batch.events)
            self.version = max(self.version, newest)
            return
        self._empty_replies.append((now_ms, batch.at_version))
        while (
            self._empty_replies and now_ms - self._empty_replies[0][0] >= WATCH_GAP_MS
        ):
            self.version = max(self.version, self._empty_replies.popleft()[1])
