"""The configuration in force at this entry, read by every thread."""

from __future__ import annotations

import contextlib
import threading
from typing import TYPE_CHECKING

from ..domain.configuration.follower import ConfigFollower
from .clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ..domain.configuration import Configuration, Record
    from ..domain.configuration.follower import ConfigUpdate, MissingUpdates
    from ..domain.ids import Revision


class ConfigView:
    """Owns the configuration follower; ``current`` is read without a lock.

    Args:
        on_change: Called with each configuration that comes into force, in order.
        clock: Monotonic clock in milliseconds.

    Attributes:
        follower: The follower; other owners use it only within ``exclusive``.
    """

    def __init__(
        self,
        on_change: Callable[[Configuration], None],
        *,
        clock: Callable[[], int] = now_ms,
    ) -> None:
        self.follower = ConfigFollower()
        self._on_change = on_change
        self._clock = clock
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._platform_ms = clock()
        self._confirmed_ms = clock()

    @property
    def current(self) -> Configuration:
        """Returns the configuration in force."""
        return self.follower.cfg

    @property
    def revision(self) -> Revision:
        """Returns the revision in force."""
        return self.follower.cfg.revision

    @property
    def age_ms(self) -> int:
        """Returns the time since the platform or a peer confirmed the configuration."""
        return max(0, self._clock() - self._confirmed_ms)

    @property
    def platform_age_ms(self) -> int:
        """Returns the time since the platform itself confirmed the configuration."""
        return max(0, self._clock() - self._platform_ms)

    @contextlib.contextmanager
    def exclusive(self) -> Iterator[None]:
        """Locks the follower for another owner."""
        with self._lock:
            yield

    def publish_update(self, change: ConfigUpdate) -> None:
        """Notifies readers of what another owner of the follower has put in force."""
        with self._lock:
            self._notify(change)

    def confirm(self, confirmed_ms: int) -> None:
        """Records that the platform had nothing newer at that moment."""
        self._platform_ms = max(confirmed_ms, self._platform_ms)
        self.confirm_by_peers(confirmed_ms)

    def confirm_by_peers(self, confirmed_ms: int) -> None:
        """Records that a peer knew of nothing newer at that moment."""
        self._confirmed_ms = max(confirmed_ms, self._confirmed_ms)

    def offer_records(self, records: Iterable[Record]) -> None:
        """Applies records, which may come in any order."""
        with self._lock:
            self._notify(self.follower.offer_records(records))

    def offer_snapshot(self, snapshot: Configuration) -> None:
        """Applies a complete configuration."""
        with self._lock:
            self._notify(self.follower.offer_snapshot(snapshot))

    def missing_after(self) -> Revision | None:
        """Returns the revision after which records are missing, None if none are."""
        with self._lock:
            return self.follower.missing_after()

    def updates_since(self, after: Revision) -> MissingUpdates:
        """Returns what a peer at ``after`` needs."""
        with self._lock:
            return self.follower.updates_since(after)

    def wait_for_newer(self, revision: Revision, timeout_s: float) -> Configuration:
        """Waits for a later revision; returns the configuration then in force."""
        with self._changed:
            self._changed.wait_for(
                lambda: self.follower.cfg.revision > revision, timeout_s
            )
            return self.follower.cfg

    def _notify(self, change: ConfigUpdate) -> None:
        if change.has_changed:
            self._on_change(self.follower.cfg)
            self._changed.notify_all()
