"""Which configuration revision each availability zone has, for other threads."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from ...domain.ids import Revision
from ...peers.zone_rollout import RolloutState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...domain.ids import ZoneId
    from ...peers.zone_rollout import ZoneRollout

UNKNOWN = Revision(0)
"""Stands for a zone that was not heard lately, or whose entries were not."""


class ZoneBoard:
    """Written by the control part's owner, read by any thread."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._revisions: dict[ZoneId, Revision] = {}

    def put(self, reach: Iterable[ZoneRollout]) -> None:
        """Replaces what is known of all zones."""
        revisions = {
            one.zone: UNKNOWN if one.state is RolloutState.UNREACHED else one.revision
            for one in reach
        }
        with self._changed:
            if revisions != self._revisions:
                self._revisions = revisions
                self._changed.notify_all()

    def revisions(self) -> dict[ZoneId, Revision]:
        """Returns the revision that each zone is known to have in force."""
        with self._changed:
            return dict(self._revisions)

    def wait(self, revision: Revision, timeout_ms: int) -> Mapping[ZoneId, Revision]:
        """Waits until all zones have a revision, or the timeout."""
        with self._changed:
            self._changed.wait_for(
                lambda: min(self._revisions.values(), default=UNKNOWN) >= revision,
                timeout_ms / 1_000,
            )
            return dict(self._revisions)
