"""Which configuration revision each availability zone has in force."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from ...domain.ids import Revision, Term
from ...peers.messages import ZoneRevision

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...domain.ids import EntryId, ZoneId
    from .peer_table import Peer

NOTHING = Revision(0)


class ZoneStatus:
    """Collects the reports of all zones; readers wait for a revision."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._reports: dict[ZoneId, ZoneRevision] = {}
        self._known: set[ZoneId] = set()
        self._seq = 0

    def know(self, zones: Iterable[ZoneId]) -> None:
        """Records which zones have entries; ones that lapsed stay known."""
        with self._changed:
            self._known.update(zones)

    def take(self, report: ZoneRevision) -> bool:
        """Takes a report; false if a later one is known."""
        with self._changed:
            older = self._reports.get(report.zone)
            if older and (older.term, older.seq) >= (report.term, report.seq):
                return False
            self._reports[report.zone] = report
            self._known.add(report.zone)
            self._changed.notify_all()
            return True

    def reports(self) -> list[ZoneRevision]:
        """Returns the latest report of each zone."""
        with self._changed:
            return list(self._reports.values())

    def revisions(self) -> dict[ZoneId, Revision]:
        """Returns the revision that each known zone is known to have."""
        with self._changed:
            return self._revisions()

    def wait(self, revision: Revision, timeout_ms: int) -> Mapping[ZoneId, Revision]:
        """Waits until all known zones have a revision, or the timeout."""
        with self._changed:
            self._changed.wait_for(
                lambda: min(self._revisions().values(), default=NOTHING) >= revision,
                timeout_ms / 1_000,
            )
            return self._revisions()

    def own_report(
        self,
        zone: ZoneId,
        term: Term,
        own_revision: Revision,
        registered: Iterable[EntryId],
        peers: Mapping[EntryId, Peer],
    ) -> ZoneRevision:
        """Returns the steward's report of its own zone.

        Args:
            zone: The zone.
            term: The steward's term.
            own_revision: Revision in force at the steward.
            registered: All other registered entries of the zone.
            peers: Those of them that are heard.
        """
        entries = list(registered)
        unheard = tuple(sorted(entry for entry in entries if entry not in peers))
        held = [peers[entry].revision for entry in entries if entry in peers]
        lowest = min([own_revision, *held])
        self._seq += 1
        return ZoneRevision(zone, term, self._seq, lowest, len(entries) + 1, unheard)

    def _revisions(self) -> dict[ZoneId, Revision]:
        found = {}
        for zone in self._known:
            report = self._reports.get(zone)
            is_whole = report is not None and not report.unheard
            found[zone] = report.revision if report and is_whole else NOTHING
        return found
