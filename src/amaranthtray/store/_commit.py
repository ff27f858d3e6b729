"""One commit to the configuration log, with its races and lost replies."""

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
"""Says why a change may not be made on a configuration, or none."""

CommitFailure: TypeAlias = Problem | ChangeConflict | StoreFailure


@dataclass(frozen=True, slots=True)
class Committed:
    """The change is in the log.

    Attributes:
        revision: Its place.
        cfg: A configuration that has it in force, to offer to a follower.
        records: Records read or written on the way, to pass on to peers.
    """

    revision: Revision
    cfg: Configuration
    records: tuple[Record, ...] = ()


class _Next(Enum):
    """What to do after an attempt that did not settle the commit."""

    AGAIN = auto()
    RELOAD = auto()


@dataclass(frozen=True, slots=True)
class _Written:
    """Our record is in the store; whether it is the log's is not yet known."""

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
        self._in_doubt: EffectUnknown | None = None

    def run(self, cfg: Configuration) -> Result[Committed, CommitFailure]:
        """Commits on top of ``cfg`` or of whatever the store holds by then."""
        self._follower = ConfigFollower(cfg)
        todo = _Next.AGAIN
        for _ in range(MAX_ATTEMPTS):
            if todo is _Next.RELOAD:
                failure = self._reload()
                if failure is not None:
                    return Failure(self._doubt(failure))
            outcome = self._attempt()
            if not isinstance(outcome, _Next):
                return outcome
            todo = outcome
        return Failure(
            self._doubt(
                Unavailable(STEP, PEER, "too many writers or an unreadable record")
            )
        )

    def _attempt(self) -> Result[Committed, CommitFailure] | _Next:
        proposed = self._propose()
        if isinstance(proposed, Failure):
            return self._refused(proposed.failure())
        record = proposed.unwrap()
        value = record_to_json(record)
        if len(value) > MAX_VALUE_BYTES:
            return Failure(self._too_large(len(value)))
        created = self._store.create(record_key(record.revision), value)
        if isinstance(created, Success):
            return self._verify(record, _Written(created.unwrap()))
        failure = created.failure()
        match failure:
            case Conflict(found=found):
                return self._lost_race(record, found)
            case EffectUnknown():
                self._in_doubt = failure
                return self._settle(record)
        return Failure(self._doubt(failure))

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

    def _refused(self, refusal: Refusal) -> Result[Committed, CommitFailure] | _Next:
        """Believes a refusal only if the state behind it is fresh."""
        match refusal:
            case AlreadyCommitted(revision):
                return Success(self._committed(revision))
            case Problem() if not self._is_fresh:
                return _Next.RELOAD
        return Failure(refusal)

    def _settle(self, record: Record) -> Result[Committed, CommitFailure] | _Next:
        """Reads back after a lost reply; an absent record is created again."""
        read = self._store.get(record_key(record.revision))
        if isinstance(read, Failure):
            return Failure(self._doubt(read.failure()))
        found = read.unwrap()
        return _Next.AGAIN if found is None else self._lost_race(record, found)

    def _lost_race(
        self, record: Record, found: Versioned | None
    ) -> Result[Committed, CommitFailure] | _Next:
        """Looks whose record is in our place."""
        winner = decode_record(found.value) if found else None
        if found is None or winner is None:
            return _Next.RELOAD
        if winner.op_id == record.op_id:
            return self._verify(winner, _Written(found.version))
        self._in_doubt = None
        self._records.extend(self._follower.offer_records([winner]).records)
        return _Next.AGAIN if len(self._records) == 1 else _Next.RELOAD

    def _verify(
        self, record: Record, written: _Written
    ) -> Result[Committed, CommitFailure] | _Next:
        """Makes sure that our key is not one that a compaction had deleted.

        A record is deleted only after a snapshot that covers it was written. So if
        the snapshot does not reach our revision, the record before it was the last.
        """
        read = self._log.read_snapshot()
        if isinstance(read, Failure):
            detail = "the record was written but could not be verified"
            self._in_doubt = EffectUnknown(STEP, PEER, detail)
            return Failure(self._in_doubt)
        snapshot, _ = read.unwrap()
        if snapshot.revision < record.revision:
            self._records.extend(self._follower.offer_records([record]).records)
            return Success(self._committed(record.revision))
        return self._compare(record, written, snapshot)

    def _compare(
        self, record: Record, written: _Written, snapshot: Configuration
    ) -> Result[Committed, CommitFailure] | _Next:
        """Finds our operation in a snapshot that covers our revision."""
        self._adopt(snapshot)
        at = revision_of(snapshot, record.op_id)
        if at is not None:
            return Success(self._committed(at))
        if snapshot.revision - record.revision >= HISTORY_RECORDS:
            detail = "the log moved on too far to tell"
            return Failure(EffectUnknown(STEP, PEER, detail))
        self._store.delete(record_key(record.revision), version=written.version)
        self._in_doubt = None
        return _Next.RELOAD

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

    def _doubt(self, failure: StoreFailure) -> StoreFailure:
        """Returns what is true of the whole commit after a failure of a step."""
        return self._in_doubt or failure

    def _too_large(self, size: int) -> Problem:
        what = f"the record has {size} bytes"
        fix = f"split the change; a record has at most {MAX_VALUE_BYTES} bytes"
        return Problem(STEP, self._operator, what, "changes", fix)
