"""Spreading of configuration records: pushes are hints, revisions are the truth.

Whoever puts records in force pushes them to peers that are known to lag behind. A
push may be lost. Each heartbeat names the sender's revision, and an entry that hears
a higher one asks for what it lacks, so a lost push costs time and nothing else.
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
"""Records of one reply, but for a single larger one."""


@dataclass(frozen=True, slots=True)
class SyncSettings:
    """Times of catching up.

    Attributes:
        grace_ms: How long an entry waits for the push after hearing of a revision.
        ask_again_ms: Time after which an unanswered question goes to another peer.
        pushes: Whether records are pushed at all.
    """

    grace_ms: int = 50
    ask_again_ms: int = 400
    pushes: bool = True


@dataclass(slots=True)
class ConfigSync:
    """What this entry has in force, and what its peers have.

    Attributes:
        follower: The configuration in force.
        settings: Times.
        refused: Number of malformed records and snapshots.
        known: Revision that each peer is known to have.
    """

    follower: ConfigFollower
    settings: SyncSettings = field(default_factory=SyncSettings)
    refused: int = 0
    known: dict[EntryId, Revision] = field(default_factory=dict)
    _ask_at_ms: int | None = None
    _asked: EntryId | None = None

    @property
    def revision(self) -> Revision:
        """Returns the revision in force."""
        return self.follower.cfg.revision

    def hear(self, entry: EntryId, revision: Revision, now_ms: int) -> None:
        """Learns which revision a peer has in force."""
        self.known[entry] = max(revision, self.known.get(entry, Revision(0)))
        self.follower.mark_revision_known(revision)
        self._plan_question(now_ms)

    def forget(self, entry: EntryId) -> None:
        """Forgets a peer without a link."""
        self.known.pop(entry, None)

    def take(self, entry: EntryId, message: ConfigRecords, now_ms: int) -> ConfigUpdate:
        """Puts a peer's records in force, as far as they follow each other."""
        try:
            in_force = self._offer(entry, message)
        except ProblemError:
            self.refused += 1
            return ConfigUpdate()
        if entry == self._asked:
            self._asked = None
            self._ask_at_ms = None
        self._plan_question(now_ms)
        return in_force

    def answer(self, entry: EntryId, wanted: ConfigWanted) -> Send:
        """Returns what a peer lacks, as far as one message holds it."""
        missing = self.follower.updates_since(wanted.after)
        if missing.snapshot is not None:
            snapshot = snapshot_to_json(missing.snapshot)
            return Send(entry, ConfigRecords(snapshot=snapshot))
        return Send(entry, _message_of(missing.records))

    def push(self, records: Sequence[Record], peers: Iterable[EntryId]) -> list[Send]:
        """Returns messages that hand new records to peers that lag behind."""
        if not records or not self.settings.pushes:
            return []
        message = _message_of(records)
        last = Revision(records[0].revision + len(message.records) - 1)
        behind = [one for one in peers if self.known.get(one, Revision(0)) < last]
        return [Send(one, message) for one in behind]

    def ask(self, peers: Iterable[EntryId], now_ms: int) -> list[Send]:
        """Returns the question that is due, to a peer that can answer it."""
        after = self.follower.missing_after()
        if after is None or self._ask_at_ms is None or now_ms < self._ask_at_ms:
            return []
        able = sorted(one for one in peers if self.known.get(one, after) > after)
        if not able:
            return []
        others = [one for one in able if one != self._asked] or able
        self._asked = others[now_ms % len(others)]
        self._ask_at_ms = now_ms + self.settings.ask_again_ms
        return [Send(self._asked, ConfigWanted(after))]

    def _plan_question(self, now_ms: int) -> None:
        if self.follower.missing_after() is None:
            self._ask_at_ms = None
        elif self._ask_at_ms is None:
            self._ask_at_ms = now_ms + self.settings.grace_ms

    def _offer(self, entry: EntryId, message: ConfigRecords) -> ConfigUpdate:
        step = "take-records"
        records = [
            record_from_dict(one, step=step, peer=entry) for one in message.records
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
