"""Where a watch goes on, for a store whose watches may go deaf for a moment."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .contract import WatchBatch

DEAF_MS = 3_000
"""A watch may miss changes for about a second before its history is dropped.

An empty answer is therefore trusted only once it is older than this: until then the
next watch starts before it, so that it finds what was missed or learns that the
history is gone.
"""


class WatchCursor:
    """The version after which the next watch of a prefix starts.

    Args:
        version: Version of the listing that the watch follows.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self._quiet: deque[tuple[int, int]] = deque()

    def advance(self, batch: WatchBatch, now_ms: int) -> None:
        """Takes an answer that came at the steady time ``now_ms``."""
        if batch.events:
            self._quiet.clear()
            newest = max(event.version for event in batch.events)
            self.version = max(self.version, newest)
            return
        self._quiet.append((now_ms, batch.at_version))
        while self._quiet and now_ms - self._quiet[0][0] >= DEAF_MS:
            self.version = max(self.version, self._quiet.popleft()[1])
