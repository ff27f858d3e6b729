"""The configuration log in the platform's store.

The record at revision N + 1 is stored under ``config/log/<N + 1>``; creating that key
is the commit. Compaction writes the snapshot first and deletes the covered records
afterwards. A writer that was paused during a compaction could create a deleted key
again, so each commit is verified against the snapshot before it counts as made.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..domain.configuration.changes import Record
from ..domain.configuration.codec import (
    snapshot_from_json,
    snapshot_to_json,
)
from ..domain.configuration.follower import ConfigFollower
from ..domain.configuration.model import EMPTY_REVISION, Configuration
from ..domain.errors import ProblemError
from ..domain.ids import Revision
from ._commit import Commit, CommitFailure, CommitGuard, Committed
from .config_keys import (
    LOG_PREFIX,
    PEER,
    PREFIX,
    SNAPSHOT_KEY,
    decode_record,
    revision_of_key,
)
from .contract import Compacted, Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..domain.configuration.changes import Change
    from ..domain.configuration.log import Rules
    from ..domain.ids import EntryId, OperationId
    from .contract import Listing, Store, StoreFailure, Versioned, WatchEvent

__all__ = [
    "CommitFailure",
    "CommitGuard",
    "Committed",
    "ConfigLogWatcher",
    "ConfigLog",
    "LoadedLog",
    "LogUpdates",
]

KEPT_RECORDS = 64
COMPACT_AFTER_RECORDS = 192
"""Number of stored records from which a compaction is due."""
MAX_DELETES = 64
"""Maximum number of records that one compaction deletes."""


@dataclass(frozen=True, slots=True)
class LoadedLog:
    """The configuration log as read from the store.

    Attributes:
        cfg: The snapshot with the records after it applied.
        at_version: Store version after which a watch starts.
        log_length: Number of records in the store.
        has_gap: Whether a record after the snapshot is missing or unreadable.
    """

    cfg: Configuration
    at_version: int
    log_length: int
    has_gap: bool


@dataclass(frozen=True, slots=True)
class LogUpdates:
    """Updates of the log, to offer to a follower."""

    records: tuple[Record, ...] = ()
    snapshot: Configuration | None = None


class ConfigLog:
    """Reads and extends the configuration log.

    Args:
        store: The platform's store.
        entry: This entry.
        rules: Checks of changes that belong to other parts of the domain.
        kept_records: Number of records before the snapshot that a compaction
            keeps for entries that lag behind.
    """

    def __init__(
        self,
        store: Store,
        *,
        entry: EntryId,
        rules: Rules,
        kept_records: int = KEPT_RECORDS,
    ) -> None:
        self._store = store
        self._entry = entry
        self._rules = rules
        self._kept_records = kept_records

    def commit(
        self,
        cfg: Configuration,
        changes: Sequence[Change],
        *,
        op_id: OperationId,
        operator: str,
        expected: Revision | None = None,
        guard: CommitGuard | None = None,
    ) -> Result[Committed, CommitFailure]:
        """Commits changes as one record.

        Args:
            cfg: Configuration in force here; a stale one costs an extra read.
            changes: Applied together or not at all.
            op_id: Chosen once for the operation; a retry must use the same one.
            operator: Who requests the changes.
            expected: Revision that the operator has seen; None to overwrite.
            guard: Checked against each state on which the changes are validated.

        Returns:
            The revision in the log, a refusal, or a store failure. Only
            ``EffectUnknown`` leaves open whether the change was made; retry the
            operation with the same ``op_id`` to find out. A failure of such a
            retry says nothing about the attempt before it.
        """
        commit = Commit(
            log=self,
            store=self._store,
            entry=self._entry,
            rules=self._rules,
            changes=tuple(changes),
            op_id=op_id,
            operator=operator,
            expected=expected,
            guard=guard,
        )
        return commit.run(cfg)

    def load(self) -> Result[LoadedLog, StoreFailure]:
        """Reads the snapshot and the records after it at one store version."""
        return self._store.list(PREFIX).bind(_apply_listing)

    def read_snapshot(self) -> Result[tuple[Configuration, int], StoreFailure]:
        """Reads the snapshot and its store version, which is 0 if there is none."""
        return self._store.get(SNAPSHOT_KEY).bind(_decode_snapshot)

    def compact(self, cfg: Configuration) -> Result[bool, StoreFailure]:
        """Writes ``cfg`` as the snapshot and deletes old records before it.

        Args:
            cfg: The configuration in force here.

        Returns:
            Whether this call wrote the snapshot; False if the stored one is as new.
        """
        read = self.read_snapshot()
        if isinstance(read, Failure):
            return read
        snapshot, version = read.unwrap()
        covered = snapshot.revision
        is_newer = cfg.revision > covered
        if is_newer:
            written = self._write_snapshot(cfg, version)
            if isinstance(written, Failure):
                return written
            covered = cfg.revision
        deleted = self._delete_covered(Revision(covered - self._kept_records))
        return deleted.map(lambda _: is_newer)

    def _write_snapshot(
        self, cfg: Configuration, version: int
    ) -> Result[int, StoreFailure]:
        value = snapshot_to_json(cfg)
        if version == 0:
            return self._store.create(SNAPSHOT_KEY, value)
        return self._store.compare_and_swap(SNAPSHOT_KEY, value, version=version)

    def _delete_covered(self, last: Revision) -> Result[None, StoreFailure]:
        listed = self._store.list(LOG_PREFIX)
        if isinstance(listed, Failure):
            return listed
        items = listed.unwrap().items
        covered = [item for item in items if revision_of_key(item.key) <= last]
        for item in covered[:MAX_DELETES]:
            self._store.delete(item.key, version=item.version)
        return Success(None)


class ConfigLogWatcher:
    """Watches the log in the store; one instance per holder of the duty.

    Args:
        log: The configuration log.
        store: The platform's store.
    """

    def __init__(self, log: ConfigLog, store: Store) -> None:
        self._log = log
        self._store = store
        self._at_version: int | None = None
        self.compaction_due = False

    def reset(self) -> None:
        """Causes the next poll to read the whole log, for example after a gap."""
        self._at_version = None

    def poll(self, *, timeout_ms: int) -> Result[LogUpdates, StoreFailure]:
        """Returns updates; waits for them up to the timeout."""
        if self._at_version is None:
            return self._log.load().map(self._start_watching)
        watched = self._store.watch(
            LOG_PREFIX, after_version=self._at_version, timeout_ms=timeout_ms
        )
        if isinstance(watched, Failure):
            if isinstance(watched.failure(), Compacted):
                self.reset()
                return Success(LogUpdates())
            return watched
        batch = watched.unwrap()
        records = _decode_events(batch.events)
        if records is None:
            self.reset()
            return Success(LogUpdates())
        self._at_version = batch.at_version
        return Success(LogUpdates(records=records))

    def _start_watching(self, loaded: LoadedLog) -> LogUpdates:
        self._at_version = loaded.at_version
        self.compaction_due = loaded.log_length >= COMPACT_AFTER_RECORDS
        return LogUpdates(snapshot=loaded.cfg)


def _decode_events(events: Sequence[WatchEvent]) -> tuple[Record, ...] | None:
    """Returns the records of a batch; None if one is unreadable."""
    records = [
        decode_record(event.value) for event in events if event.value is not None
    ]
    readable = tuple(record for record in records if record is not None)
    return readable if len(readable) == len(records) else None


def _decode_snapshot(
    stored: Versioned | None,
) -> Result[tuple[Configuration, int], StoreFailure]:
    if stored is None:
        return Success((Configuration(), 0))
    try:
        cfg = snapshot_from_json(stored.value, step="read-snapshot", peer=PEER)
    except ProblemError as exc:
        return Failure(Unavailable("read-snapshot", PEER, str(exc)))
    return Success((cfg, stored.version))


def _apply_listing(listing: Listing) -> Result[LoadedLog, StoreFailure]:
    snapshot = next((item for item in listing.items if item.key == SNAPSHOT_KEY), None)
    return _decode_snapshot(snapshot).map(lambda base: _apply_records(base[0], listing))


def _apply_records(base: Configuration, listing: Listing) -> LoadedLog:
    log = [item for item in listing.items if item.key.startswith(LOG_PREFIX)]
    follower = ConfigFollower(base)
    records = (decode_record(item.value) for item in log)
    follower.offer_records(record for record in records if record is not None)
    last = max((revision_of_key(item.key) for item in log), default=EMPTY_REVISION)
    return LoadedLog(
        cfg=follower.cfg,
        at_version=listing.at_version,
        log_length=len(log),
        has_gap=last > follower.cfg.revision,
    )
