"""Configuration records between entries, for when the platform is away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...domain.configuration.codec import (
    record_from_dict,
    record_to_dict,
    snapshot_from_json,
    snapshot_to_json,
)
from ...domain.errors import ProblemError
from ...peers.messages import ConfigRecords, ConfigWanted

if TYPE_CHECKING:
    from ...domain.configuration import Record
    from ...domain.ids import EntryId, Revision
    from ...peers.messages import Heartbeat
    from ..config_view import ConfigView
    from .ports import Links

ASK_AGAIN_MS = 500


class ConfigSync:
    """Asks peers that are ahead, and serves those that are behind.

    Args:
        view: Configuration in force here.
        links: Links to other entries.
    """

    def __init__(self, view: ConfigView, links: Links) -> None:
        self._view = view
        self._links = links
        self._asked_ms: dict[EntryId, int] = {}
        self.malformed = 0

    def heartbeat(self, entry: EntryId, beat: Heartbeat, now_ms: int) -> None:
        """Learns how far a peer is, and how lately it heard from the platform."""
        if beat.fresh_age_ms is not None and beat.revision <= self._view.revision:
            self._view.confirm(now_ms - beat.fresh_age_ms)
        if beat.revision <= self._view.revision:
            return
        if now_ms - self._asked_ms.get(entry, -ASK_AGAIN_MS) < ASK_AGAIN_MS:
            return
        self._asked_ms[entry] = now_ms
        self._links.send(entry, ConfigWanted(self._view.revision))

    def wanted(self, entry: EntryId, message: ConfigWanted) -> None:
        """Sends a peer what it is missing."""
        found = self._view.catch_up(message.after)
        if found.snapshot is not None:
            snapshot = snapshot_to_json(found.snapshot)
            self._links.send(entry, ConfigRecords(snapshot=snapshot))
        elif found.records:
            self._links.send(entry, _records(found.records))

    def received(self, entry: EntryId, message: ConfigRecords) -> None:
        """Puts what a peer sent in force, in order and never backwards."""
        try:
            if message.snapshot is not None:
                self._view.offer_snapshot(
                    snapshot_from_json(message.snapshot, step="sync", peer=entry)
                )
            self._view.offer_records(
                record_from_dict(item, step="sync", peer=entry)
                for item in message.records
            )
        except ProblemError:
            self.malformed += 1

    def push(self, entry: EntryId, known: Revision) -> None:
        """Sends a peer at ``known`` the records after it, unasked."""
        found = self._view.catch_up(known)
        if found.records:
            self._links.send(entry, _records(found.records))


def _records(records: tuple[Record, ...]) -> ConfigRecords:
    return ConfigRecords(tuple(record_to_dict(record) for record in records))
