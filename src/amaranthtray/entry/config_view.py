"""The configuration in force at this entry, read by every thread."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.configuration.follower import ConfigFollower
from .clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..domain.configuration import Configuration, Record
    from ..domain.configuration.follower import CatchUp, InForce
    from ..domain.ids import Revision


@dataclass(frozen=True, slots=True)
class Freshness:
    """Since when the configuration may be out of date.

    Attributes:
        confirmed_ms: When the platform, or a peer that sees it, last confirmed it.
    """

    confirmed_ms: int


class ConfigView:
    """Owns the follower; readers take ``current`` without a lock.

    Args:
        on_change: Called in order with each configuration put in force.
    """

    def __init__(self, on_change: Callable[[Configuration], None]) -> None:
        self._follower = ConfigFollower()
        self._on_change = on_change
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._freshness = Freshness(now_ms())

    @property
    def current(self) -> Configuration:
        """Returns the configuration in force."""
        return self._follower.cfg

    @property
    def revision(self) -> Revision:
        """Returns the revision in force."""
        return self._follower.cfg.revision

    @property
    def age_ms(self) -> int:
        """Returns how long the configuration has not been confirmed."""
        return max(0, now_ms() - self._freshness.confirmed_ms)

    def confirm(self, confirmed_ms: int) -> None:
        """Records that nothing newer existed at that moment."""
        with self._lock:
            latest = max(confirmed_ms, self._freshness.confirmed_ms)
            self._freshness = Freshness(latest)

    def offer_records(self, records: Iterable[Record]) -> None:
        """Takes records in any order."""
        with self._lock:
            self._announce(self._follower.offer_records(records))

    def offer_snapshot(self, snapshot: Configuration) -> None:
        """Takes a whole configuration."""
        with self._lock:
            self._announce(self._follower.offer_snapshot(snapshot))

    def hear(self, revision: Revision) -> None:
        """Learns that a revision exists somewhere."""
        with self._lock:
            self._follower.hear(revision)

    def wanted_after(self) -> Revision | None:
        """Returns the revision after which records are missing; none if up to date."""
        with self._lock:
            return self._follower.wanted_after()

    def catch_up(self, after: Revision) -> CatchUp:
        """Returns what a peer at ``after`` needs."""
        with self._lock:
            return self._follower.catch_up(after)

    def wait_beyond(self, revision: Revision, timeout_s: float) -> Configuration:
        """Waits until a later revision is in force and returns what is then."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._follower.cfg.revision > revision, timeout_s
            )
            return self._follower.cfg

    def _announce(self, change: InForce) -> None:
        if change.has_changed:
            self._on_change(self._follower.cfg)
            self._changed.notify_all()
