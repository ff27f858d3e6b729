"""Rollout of configuration revisions over the availability zones."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ..domain.ids import EntryId, Revision, Term, ZoneId
from .messages import ZoneRevision

if TYPE_CHECKING:
    from collections.abc import Iterable


class RolloutState(StrEnum):
    """How far a revision has come in a zone."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    UNREACHED = "not reached"


@dataclass(frozen=True, slots=True)
class ZoneRollout:
    """Rollout state of a revision in one zone.

    Attributes:
        zone: Availability zone.
        state: Whether the revision is in force at every entry of the zone.
        revision: Lowest revision in force there, as last reported.
        unheard: Entries from which the steward of the zone has no heartbeat.
    """

    zone: ZoneId
    state: RolloutState
    revision: Revision
    unheard: tuple[EntryId, ...] = ()


@dataclass(slots=True)
class _Report:
    report: ZoneRevision
    received_ms: int


@dataclass(slots=True)
class ZoneReports:
    """The latest report of each zone's steward.

    Attributes:
        stale_ms: Age after which a report is ignored.
    """

    stale_ms: int = 25_000
    _reports: dict[ZoneId, _Report] = field(default_factory=dict)

    def record_report(self, report: ZoneRevision, now_ms: int) -> bool:
        """Stores a report; returns False if an equally new one is already stored."""
        stored = self._reports.get(report.zone)
        if stored is not None and _order(report) <= _order(stored.report):
            return False
        self._reports[report.zone] = _Report(report, now_ms)
        return True

    def rollout(
        self, revision: Revision, zones: Iterable[ZoneId], now_ms: int
    ) -> tuple[ZoneRollout, ...]:
        """Returns the rollout state of a revision in each zone, by zone name."""
        names = sorted({*zones, *self._reports})
        return tuple(self._zone_rollout(zone, revision, now_ms) for zone in names)

    def _zone_rollout(
        self, zone: ZoneId, revision: Revision, now_ms: int
    ) -> ZoneRollout:
        stored = self._reports.get(zone)
        if stored is None:
            return ZoneRollout(zone, RolloutState.UNREACHED, Revision(0))
        report = stored.report
        state = RolloutState.IN_FORCE
        if now_ms - stored.received_ms > self.stale_ms or report.unheard:
            state = RolloutState.UNREACHED
        elif report.revision < revision:
            state = RolloutState.BEHIND
        return ZoneRollout(zone, state, report.revision, report.unheard)


def _order(report: ZoneRevision) -> tuple[Term, int]:
    return report.term, report.seq
