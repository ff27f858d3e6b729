"""Store watches that feed the control plane."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from ...store.contract import Compacted

if TYPE_CHECKING:
    from ...store.contract import Store, WatchEvent


class PrefixWatch:
    """Watches one key prefix, starting at the version of a read by its owner.

    Args:
        store: The platform's store.
        prefix: Key prefix.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        self.prefix = prefix
        self._store = store
        self._at_version: int | None = None

    @property
    def needs_read(self) -> bool:
        """Returns whether the prefix must be read before it can be watched."""
        return self._at_version is None

    def begin(self, at_version: int) -> None:
        """Starts to watch after the version of a read."""
        self._at_version = at_version

    def reset(self) -> None:
        """Discards the version; the prefix must be read again."""
        self._at_version = None

    def poll(self, timeout_ms: int) -> list[WatchEvent] | None:
        """Returns changes, waiting up to the timeout for them; None on failure."""
        if self._at_version is None:
            return None
        watched = self._store.watch(
            self.prefix, after_version=self._at_version, timeout_ms=timeout_ms
        )
        if isinstance(watched, Success):
            batch = watched.unwrap()
            self._at_version = batch.at_version
            return list(batch.events)
        if isinstance(watched.failure(), Compacted):
            self.reset()
        return None
