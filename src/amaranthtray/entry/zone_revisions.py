"""Which configuration revision each availability zone has in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..domain.ids import Revision, ZoneId
    from .config_view import ConfigView


class OwnZoneOnly:
    """Knows only the zone of this entry.

    Args:
        zone: This entry's availability zone.
        view: Configuration in force here.
    """

    def __init__(self, zone: ZoneId, view: ConfigView) -> None:
        self._zone = zone
        self._view = view

    def wait(self, revision: Revision, timeout_ms: int) -> Mapping[ZoneId, Revision]:
        """Waits until this entry has a revision, or the timeout."""
        cfg = self._view.current
        if cfg.revision < revision:
            cfg = self._view.wait_beyond(
                type(revision)(revision - 1), timeout_ms / 1_000
            )
        return {self._zone: cfg.revision}
