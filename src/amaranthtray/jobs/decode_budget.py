"""Memory of the submitted documents that are decoded at one time."""

from __future__ import annotations

import contextlib
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

BYTES_PER_BYTE = 16
"""Memory of an element of a list of small numbers, for each byte that it takes."""

BYTES_PER_OBJECT = 2_000
"""Memory of a step with all its fields: decoded, encoded and in a store's call."""


def decoded_size(body: bytes) -> int:
    """Returns an upper estimate of the bytes that a document takes while stored."""
    return BYTES_PER_BYTE * len(body) + BYTES_PER_OBJECT * body.count(b"{")


class DecodeBudget:
    """Bounds the sum of the documents that all requests hold decoded; thread-safe.

    Args:
        max_bytes: Maximum sum of their estimated sizes.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._lock = threading.Lock()

    def can_ever_hold(self, size: int) -> bool:
        """Returns whether a document of this size fits while there is no other."""
        return size <= self._max_bytes

    @contextlib.contextmanager
    def hold(self, size: int) -> Iterator[bool]:
        """Takes part of the budget; yields False if too little is left."""
        with self._lock:
            is_held = self._held_bytes + size <= self._max_bytes
            if is_held:
                self._held_bytes += size
        try:
            yield is_held
        finally:
            if is_held:
                with self._lock:
                    self._held_bytes -= size
