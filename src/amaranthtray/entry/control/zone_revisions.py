"""The configuration revision in force in each availability zone."""

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
"""Revision of a zone that sent no recent report, or some of whose entries did not."""


class ZoneRevisions:
    """Shares the revisions of the zones: the control plane writes, any thread reads."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._revisions: dict[ZoneId, Revision] = {}

    def update(self, reach: Iterable[ZoneRollout]) -> None:
        """Replaces the revisions of all zones."""
        revisions = {
            zone.zone: UNKNOWN
            if zone.state is RolloutState.UNREACHED
            else zone.revision
            for zone in reach
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
        """Waits up to the timeout until all zones have at least a revision."""
        with self._changed:
            self._changed.wait_for(
                lambda: min(self._revisions.values(), default=UNKNOWN) >= revision,
                timeout_ms / 1_000,
            )
            return dict(self._revisions)
