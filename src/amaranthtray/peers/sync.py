"""Synchronization of configuration records between entries.

An entry that applies records pushes them to peers that are known to lag behind. A
push may be lost: each heartbeat names the sender's revision, and an entry that receives
a higher one requests the records it lacks, so a lost push only costs time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..domain.configuration.codec import (
    record_from_dict,
    record_to_dict,
    record_to_json,
    snapshot_from_json,
    snapshot_to_json,
)
from ..domain.configuration.follower import ConfigFollower, ConfigUpdate
from ..domain.errors import ProblemError
from ..domain.ids import EntryId, Revision
from .events import Send
from .messages import ConfigRecords, ConfigWanted

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..domain.configuration.changes import Record

MAX_RECORDS_BYTES = 256_000
"""Largest size of the records in one message; a single record may exceed it."""


@dataclass(frozen=True, slots=True)
class SyncSettings:
    """Settings of the synchronization with peers.

    Attributes:
        push_wait_ms: How long an entry that learned of a revision waits for its push
            before it requests the records.
        request_timeout_ms: Time after which an unanswered request is sent to another
            peer.
        pushes: Whether records are pushed at all.
    """

    push_wait_ms: int = 50
    request_timeout_ms: int = 400
    pushes: bool = True


@dataclass(slots=True)
class ConfigSync:
    """Configuration in force here and the revisions that peers have.

    Attributes:
        follower: The configuration in force.
        settings: Times of requests, and whether to push.
        malformed_messages: Number of malformed records and snapshots.
        peer_revisions: Highest revision that each peer is known to have.
    """

    follower: ConfigFollower
    settings: SyncSettings = field(default_factory=SyncSettings)
    malformed_messages: int = 0
    peer_revisions: dict[EntryId, Revision] = field(default_factory=dict)
    _next_request_ms: int | None = None
    _requested_peer: EntryId | None = None

    @property
    def revision(self) -> Revision:
        """Returns the configuration revision in force."""
        return self.follower.cfg.revision

    def record_revision(self, entry: EntryId, revision: Revision, now_ms: int) -> None:
        """Records the revision that a peer has in force."""
        self.peer_revisions[entry] = max(
            revision, self.peer_revisions.get(entry, Revision(0))
        )
        self.follower.mark_revision_known(revision)
        self._schedule_request(now_ms)

    def remove_peer(self, entry: EntryId) -> None:
        """Removes a peer whose link has ended or was replaced."""
        self.peer_revisions.pop(entry, None)

    def apply_records(
        self, entry: EntryId, message: ConfigRecords, now_ms: int
    ) -> ConfigUpdate:
        """Applies a peer's snapshot, and its records as far as they are consecutive."""
        try:
            update = self._apply(entry, message)
        except ProblemError:
            self.malformed_messages += 1
            return ConfigUpdate()
        if entry == self._requested_peer:
            self._requested_peer = None
            self._next_request_ms = None
        self._schedule_request(now_ms)
        return update

    def answer(self, entry: EntryId, wanted: ConfigWanted) -> Send:
        """Returns the records or the snapshot that a peer lacks, up to one message."""
        missing = self.follower.updates_since(wanted.after)
        if missing.snapshot is not None:
            snapshot = snapshot_to_json(missing.snapshot)
            return Send(entry, ConfigRecords(snapshot=snapshot))
        return Send(entry, _message_of(missing.records))

    def push(self, records: Sequence[Record], peers: Iterable[EntryId]) -> list[Send]:
        """Returns messages that push new records to the peers that lag behind."""
        if not records or not self.settings.pushes:
            return []
        message = _message_of(records)
        last = Revision(records[0].revision + len(message.records) - 1)
        behind = [
            peer for peer in peers if self.peer_revisions.get(peer, Revision(0)) < last
        ]
        return [Send(peer, message) for peer in behind]

    def due_request(self, peers: Iterable[EntryId], now_ms: int) -> list[Send]:
        """Returns the request for missing records if due, to a peer that has them."""
        after = self.follower.missing_after()
        if (
            after is None
            or self._next_request_ms is None
            or now_ms < self._next_request_ms
        ):
            return []
        candidates = sorted(
            peer for peer in peers if self.peer_revisions.get(peer, after) > after
        )
        if not candidates:
            return []
        others = [
            peer for peer in candidates if peer != self._requested_peer
        ] or candidates
        self._requested_peer = others[now_ms % len(others)]
        self._next_request_ms = now_ms + self.settings.request_timeout_ms
        return [Send(self._requested_peer, ConfigWanted(after))]

    def _schedule_request(self, now_ms: int) -> None:
        if self.follower.missing_after() is None:
            self._next_request_ms = None
        elif self._next_request_ms is None:
            self._next_request_ms = now_ms + self.settings.push_wait_ms

    def _apply(self, entry: EntryId, message: ConfigRecords) -> ConfigUpdate:
        step = "take-records"
        records = [
            record_from_dict(record, step=step, peer=entry)
            for record in message.records
        ]
        adopted = ConfigUpdate()
        if message.snapshot is not None:
            snapshot = snapshot_from_json(message.snapshot, step=step, peer=entry)
            adopted = self.follower.offer_snapshot(snapshot)
        followed = self.follower.offer_records(records)
        return ConfigUpdate(adopted.records + followed.records, adopted.adopted)


def _message_of(records: Sequence[Record]) -> ConfigRecords:
    chosen: list[dict[str, Any]] = []
    size = 0
    for record in records:
        size += len(record_to_json(record))
        if chosen and size > MAX_RECORDS_BYTES:
            break
        chosen.append(record_to_dict(record))
    return ConfigRecords(tuple(chosen))
