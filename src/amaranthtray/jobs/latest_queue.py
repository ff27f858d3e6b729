"""A queue in which a newer item takes the place of one that still waits."""

from __future__ import annotations

import queue
import threading
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class LatestQueue(Generic[K, V]):
    """Holds at most one item for each key, in the order of the first; thread-safe.

    What is asked for again since it has not been served yet adds nothing to the wait.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._items: dict[K, V] = {}
        self._keys: queue.SimpleQueue[K | None] = queue.SimpleQueue()

    def put(self, key: K, item: V) -> None:
        """Queues an item, or replaces the one of the same key that waits."""
        with self._lock:
            is_waiting = key in self._items
            self._items[key] = item
        if not is_waiting:
            self._keys.put(key)

    def close(self) -> None:
        """Ends the queue after the items that are in it."""
        self._keys.put(None)

    def get(self) -> V | None:
        """Waits for an item and removes it; returns None at the end."""
        key = self._keys.get()
        if key is None:
            return None
        with self._lock:
            return self._items.pop(key)
