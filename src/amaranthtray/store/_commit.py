"""One commit to the configuration log: concurrent writers and lost replies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, TypeAlias

from returns.result import Failure, Result, Success

from ..domain.configuration.changes import Record
from ..domain.configuration.codec import record_to_json
from ..domain.configuration.follower import ConfigFollower
from ..domain.configuration.log import (
    HISTORY_RECORDS,
    AlreadyCommitted,
    ChangeConflict,
    propose,
    revision_of,
)
from ..domain.configuration.model import Configuration
from ..domain.errors import Problem
from ..domain.ids import Revision
from .config_keys import PEER, decode_record, record_key
from .contract import (
    MAX_VALUE_BYTES,
    Conflict,
    EffectUnknown,
    StoreFailure,
    Unavailable,
)

if TYPE_CHECKING:
    from ..domain.configuration.changes import Change
    from ..domain.configuration.log import Refusal, Rules
    from ..domain.ids import EntryId, OperationId
    from .config_log import ConfigLog
    from .contract import Store, Versioned

MAX_ATTEMPTS = 16
STEP = "commit"

CommitGuard: TypeAlias = Callable[[Configuration], Problem | None]
"""Returns why a change may not be made to a configuration; None if it may."""

CommitFailure: TypeAlias = Problem | ChangeConflict | StoreFailure


@dataclass(frozen=True, slots=True)
class Committed:
    """The change is in the log.

    Attributes:
        revision: Revision of its record.
        cfg: A configuration that includes it, to offer to a follower.
        records: Records read or written during the commit, to send to peers.
    """

    revision: Revision
    cfg: Configuration
    records: tuple[Record, ...] = ()


class _Retry(Enum):
    """Next step after an attempt that did not decide the commit."""

    NOW = auto()
    AFTER_RELOAD = auto()


@dataclass(frozen=True, slots=True)
class _WrittenRecord:
    """Our record is in the store, but not yet verified as part of the log."""

    version: int


class Commit:
    """State of one commit; see ``ConfigLog.commit`` for the arguments."""

    def __init__(
        self,
        *,
        log: ConfigLog,
        store: Store,
        entry: EntryId,
        rules: Rules,
        changes: tuple[Change, ...],
        op_id: OperationId,
        operator: str,
        expected: Revision | None,
        guard: CommitGuard | None,
    ) -> None:
        self._log = log
        self._store = store
        self._entry = entry
        self._rules = rules
        self._changes = changes
        self._op_id = op_id
        self._operator = operator
        self._expected = expected
        self._permit = guard
        self._follower = ConfigFollower()
        self._records: list[Record] = []
        self._is_fresh = False
        self._unresolved: EffectUnknown | None = None

    def run(self, cfg: Configuration) -> Result[Committed, CommitFailure]:
        """Commits on top of ``cfg``, or of the newer state that the store holds."""
        self._follower = ConfigFollower(cfg)
        retry = _Retry.NOW
        for _ in range(MAX_ATTEMPTS):
            if retry is _Retry.AFTER_RELOAD:
                failure = self._reload()
                if failure is not None:
                    return Failure(self._commit_failure(failure))
            outcome = self._attempt()
            if not isinstance(outcome, _Retry):
                return outcome
            retry = outcome
        return Failure(
            self._commit_failure(
                Unavailable(STEP, PEER, "too many writers or an unreadable record")
            )
        )

    def _attempt(self) -> Result[Committed, CommitFailure] | _Retry:
        proposed = self._propose()
        if isinstance(proposed, Failure):
            return self._handle_refusal(proposed.failure())
        record = proposed.unwrap()
        value = record_to_json(record)
        if len(value) > MAX_VALUE_BYTES:
            return Failure(self._too_large(len(value)))
        created = self._store.create(record_key(record.revision), value)
        if isinstance(created, Success):
            return self._verify(record, _WrittenRecord(created.unwrap()))
        failure = created.failure()
        match failure:
            case Conflict(found=found):
                return self._handle_conflict(record, found)
            case EffectUnknown():
                self._unresolved = failure
                return self._resolve(record)
        return Failure(self._commit_failure(failure))

    def _propose(self) -> Result[Record, Refusal]:
        cfg = self._follower.cfg
        problem = self._permit(cfg) if self._permit else None
        if problem is not None:
            return Failure(problem)
        return propose(
            cfg,
            self._changes,
            rules=self._rules,
            op_id=self._op_id,
            operator=self._operator,
            entry=self._entry,
            expected=self._expected,
        )

    def _handle_refusal(
        self, refusal: Refusal
    ) -> Result[Committed, CommitFailure] | _Retry:
        """Accepts a refusal only if it was decided on a freshly read state."""
        match refusal:
            case AlreadyCommitted(revision):
                return Success(self._committed(revision))
            case Problem() if not self._is_fresh:
                return _Retry.AFTER_RELOAD
        return Failure(refusal)

    def _resolve(self, record: Record) -> Result[Committed, CommitFailure] | _Retry:
        """Reads the key back after a lost reply; creates an absent record again."""
        read = self._store.get(record_key(record.revision))
        if isinstance(read, Failure):
            return Failure(self._commit_failure(read.failure()))
        stored = read.unwrap()
        return _Retry.NOW if stored is None else self._handle_conflict(record, stored)

    def _handle_conflict(
        self, record: Record, stored: Versioned | None
    ) -> Result[Committed, CommitFailure] | _Retry:
        """Checks whose record is stored at our revision."""
        decoded = decode_record(stored.value) if stored else None
        if stored is None or decoded is None:
            return _Retry.AFTER_RELOAD
        if decoded.op_id == record.op_id:
            return self._verify(decoded, _WrittenRecord(stored.version))
        self._unresolved = None
        self._records.extend(self._follower.offer_records([decoded]).records)
        return _Retry.NOW if len(self._records) == 1 else _Retry.AFTER_RELOAD

    def _verify(
        self, record: Record, written: _WrittenRecord
    ) -> Result[Committed, CommitFailure] | _Retry:
        """Checks that our key is not one that a compaction had already deleted.

        A record is deleted only after a snapshot that covers it was written. So if
        the snapshot ends before our revision, our record follows the last one.
        """
        read = self._log.read_snapshot()
        if isinstance(read, Failure):
            detail = "the record was written but could not be verified"
            self._unresolved = EffectUnknown(STEP, PEER, detail)
            return Failure(self._unresolved)
        snapshot, _ = read.unwrap()
        if snapshot.revision < record.revision:
            self._records.extend(self._follower.offer_records([record]).records)
            return Success(self._committed(record.revision))
        return self._search_snapshot(record, written, snapshot)

    def _search_snapshot(
        self, record: Record, written: _WrittenRecord, snapshot: Configuration
    ) -> Result[Committed, CommitFailure] | _Retry:
        """Looks for our operation in a snapshot that covers our revision."""
        self._adopt(snapshot)
        revision = revision_of(snapshot, record.op_id)
        if revision is not None:
            return Success(self._committed(revision))
        if snapshot.revision - record.revision >= HISTORY_RECORDS:
            detail = "the snapshot no longer lists the operations of this revision"
            return Failure(EffectUnknown(STEP, PEER, detail))
        self._store.delete(record_key(record.revision), version=written.version)
        self._unresolved = None
        return _Retry.AFTER_RELOAD

    def _reload(self) -> StoreFailure | None:
        loaded = self._log.load()
        if isinstance(loaded, Failure):
            failure: StoreFailure = loaded.failure()
            return failure
        self._adopt(loaded.unwrap().cfg)
        self._is_fresh = True
        return None

    def _adopt(self, cfg: Configuration) -> None:
        if self._follower.offer_snapshot(cfg).adopted:
            self._records.clear()

    def _committed(self, revision: Revision) -> Committed:
        return Committed(revision, self._follower.cfg, tuple(self._records))

    def _commit_failure(self, failure: StoreFailure) -> StoreFailure:
        """Returns the failure of the whole commit after the failure of one call."""
        return self._unresolved or failure

    def _too_large(self, size: int) -> Problem:
        what = f"the record has {size} bytes"
        fix = f"split the change; a record has at most {MAX_VALUE_BYTES} bytes"
        return Problem(STEP, self._operator, what, "changes", fix)
